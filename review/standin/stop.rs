//! A gateway is stopped with SIGTERM. Later, clients send a long request, and a change that may run only once,
//! on connections that they have kept.

use std::io;
use std::sync::Arc;
use std::thread;

use crate::platform::{
    Client, Deployment, RouteSpec, SIGTERM, Worker, WorkerSpec, config, ms, note, request, sleep_ms,
    start_worker,
};

/// Pace of events: a step takes 3.74 ms and more, and an event holds 5 tokens.
const PACE_MS: u64 = 25;
/// Events of usual answers, and the most that an answer has on the users' site.
const USUAL_EVENTS: [u64; 12] = [58, 50, 62, 47, 55, 60, 52, 64, 49, 57, 61, 53];
const MOST_EVENTS: u64 = 191;
const GRACE_MS: u64 = 8_000;
const TIMEOUT_MS: u64 = 12_000;
/// Time of the long request after SIGTERM, and of the change.
const SENT_AFTER_MS: u64 = 3_200;
const CHANGED_AFTER_MS: u64 = 7_300;
/// Usual work of a change, and the most on the users' site.
const WORK_MS: u64 = 60;
const MOST_WORK_MS: u64 = 450;

fn chat(id: &str, events: u64) -> Vec<u8> {
    let headers = format!(
        "Model: m\r\nToken-Usage: 829,{}\r\nPrompt-Prefix: 5c1e07a2:119,91bd3f06:580,{}:130\r\nDeadline-Ms: {TIMEOUT_MS}\r\n",
        events * 5, id.trim_start_matches(|it: char| !it.is_ascii_hexdigit())
    );
    request("POST", "/chat/2f", id, &headers, b"question")
}

fn change(id: &str) -> Vec<u8> {
    request("POST", "/apply/2f", id, "Deadline-Ms: 4000\r\n", b"change")
}

/// Reports whether a request was passed on, and whether its worker sent the whole answer.
fn at_workers(workers: &[Worker], id: &str) -> (bool, bool) {
    let passed_on = workers.iter().any(|it| it.arrivals.lock().unwrap().iter().any(|it| it.id == id));
    let is_whole = workers.iter().any(|it| it.ended.lock().unwrap().iter().any(|(_, it)| it == id));
    (passed_on, is_whole)
}

pub fn play(has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::new()?;
    let handler = Arc::new(|worker: &crate::platform::WorkerState, arrival: &crate::platform::Arrival, writer: &mut std::net::TcpStream| {
        if arrival.head.path().starts_with("/apply/") {
            sleep_ms(if arrival.id == "d0" { MOST_WORK_MS } else { WORK_MS });
            return worker.send(arrival, 200, "", b"applied", writer);
        }
        let usage = arrival.head.get("token-usage").unwrap_or("");
        let tokens: u64 = usage.rsplit(',').next().and_then(|it| it.parse().ok()).unwrap_or(5);
        worker.stream(arrival, tokens / 5, PACE_MS, writer)
    });
    let mut workers = Vec::new();
    for number in 0..6 {
        let (service, slots) = if number < 3 { ("assistant-llm", 64) } else { ("registry-api", 6) };
        let id = format!("i-{service}-{number}");
        let spec = WorkerSpec { id: &id, ip: deployment.worker_ip(number), service, slots };
        let worker = start_worker(spec, handler.clone())?;
        deployment.publish(&worker, "ready");
        workers.push(worker);
    }
    let routes = [
        RouteSpec {
            prefix: "/chat/", kind: "streaming", service: "assistant-llm", timeout_ms: TIMEOUT_MS,
            target_ms: 400, attempts: 1, more: ",\"Sticky\":true,\"Resumable\":false,\"GapAimMs\":300",
        },
        RouteSpec {
            prefix: "/apply/", kind: "non_idempotent", service: "registry-api", timeout_ms: 2_000,
            target_ms: 300, attempts: 1, more: "",
        },
    ];
    deployment.store.put("op/config", &config(7, &routes, &["assistant-llm", "registry-api"]));
    deployment.start_gateways(2)?;
    let front = deployment.gateways[0].front();

    // Usual traffic, each client on a connection that it keeps.
    let mut usual = Vec::new();
    for (number, events) in USUAL_EVENTS.into_iter().enumerate() {
        usual.push(thread::spawn(move || {
            let mut client = Client::connect(front)?;
            for turn in 0..2 {
                let answer = client.call(&chat(&format!("a{number:02x}{turn}"), events));
                if answer.status != 200 || !answer.is_whole {
                    return Err(io::Error::other("usual traffic isn't served"));
                }
            }
            Ok(client)
        }));
    }
    let mut clients = Vec::new();
    for it in usual {
        clients.push(it.join().map_err(|_| io::Error::other("a client failed"))??);
    }
    let mut changing = Client::connect(front)?;
    for number in 0..12 {
        if changing.call(&change(&format!("e{number}"))).status != 200 {
            return Err(io::Error::other("usual traffic isn't served"));
        }
    }
    note("24 streams and 12 changes were answered in full");
    let mut kept = clients.remove(0);
    let mut other = clients.remove(0);

    // A request in progress when SIGTERM comes; it ends well within the grace period.
    let in_progress = thread::spawn(move || other.call(&chat("b0", 170)));
    sleep_ms(500);
    let stopped_at = ms();
    if has_trouble {
        note("SIGTERM to gateway 1");
        deployment.gateways[0].signal(SIGTERM);
    }
    // The change, on a connection that is idle until then.
    let changed = thread::spawn(move || {
        sleep_ms(CHANGED_AFTER_MS);
        let sent_at = ms();
        note("client sends change d0 on its kept connection");
        let answer = changing.call(&change("d0"));
        (sent_at, ms(), answer)
    });
    sleep_ms(SENT_AFTER_MS);
    let sent_at = ms();
    note("client sends request c0 on its kept connection");
    let answer = kept.call(&chat("c0", MOST_EVENTS));
    let ended_at = ms();
    let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
    note(&format!("request c0: {events} of {MOST_EVENTS} events"));
    let other = in_progress.join().map_err(|_| io::Error::other("a client failed"))?;
    note(&format!("request b0, in progress at SIGTERM: status {}, whole: {}", other.status, other.is_whole));
    let change = changed.join().map_err(|_| io::Error::other("a client failed"))?;
    sleep_ms(MOST_WORK_MS);
    let mut is_broken = false;
    for (id, timeout_ms, (sent_at, ended_at, answer)) in
        [("c0", TIMEOUT_MS, (sent_at, ended_at, answer)), ("d0", 2_000, change)]
    {
        let (passed_on, by_worker) = at_workers(&workers, id);
        let (sent_ms, ended_ms) = (sent_at - stopped_at, ended_at - stopped_at);
        let is_cut = !answer.is_whole && !matches!(answer.status, 400..);
        let is_lost = passed_on && is_cut && ended_ms <= GRACE_MS + 1_000 && ended_at - sent_at < timeout_ms;
        note(&format!(
            "request {id}: sent {sent_ms} ms after SIGTERM, passed on: {passed_on}, status {}, whole: {}, ended {ended_ms} ms after \
             SIGTERM and {} ms after it was sent; its worker sent the whole answer: {by_worker}; lost: {is_lost}",
            answer.status, answer.is_whole, ended_at - sent_at
        ));
        is_broken |= is_lost;
    }
    Ok(is_broken)
}
