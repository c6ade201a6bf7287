//! A gateway is stopped with SIGTERM while a client sends a long request on a kept connection.

use std::io;
use std::sync::Arc;
use std::thread;

use crate::platform::{
    Client, Deployment, RouteSpec, SIGTERM, WorkerSpec, config, ms, note, request, sleep_ms,
    start_worker,
};

/// Pace of events: a step takes 3.74 ms and more, and an event holds 5 tokens.
const PACE_MS: u64 = 25;
/// Events of usual answers, and the most that an answer has on the users' site.
const USUAL_EVENTS: [u64; 12] = [58, 50, 62, 47, 55, 60, 52, 64, 49, 57, 61, 53];
const MOST_EVENTS: u64 = 191;
const GRACE_MS: u64 = 8_000;
const TIMEOUT_MS: u64 = 12_000;
/// Time of the long request after SIGTERM.
const SENT_AFTER_MS: u64 = 3_200;

fn chat(id: &str, events: u64) -> Vec<u8> {
    let headers = format!(
        "Model: m\r\nToken-Usage: 829,{}\r\nPrompt-Prefix: 5c1e07a2:119,91bd3f06:580,{}:130\r\nDeadline-Ms: {TIMEOUT_MS}\r\n",
        events * 5, id.trim_start_matches(|it: char| !it.is_ascii_hexdigit())
    );
    request("POST", "/chat/2f", id, &headers, b"question")
}

pub fn play(has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::new()?;
    let handler = Arc::new(|worker: &crate::platform::WorkerState, arrival: &crate::platform::Arrival, writer: &mut std::net::TcpStream| {
        let usage = arrival.head.get("token-usage").unwrap_or("");
        let tokens: u64 = usage.rsplit(',').next().and_then(|it| it.parse().ok()).unwrap_or(5);
        worker.stream(arrival, tokens / 5, PACE_MS, writer)
    });
    let mut workers = Vec::new();
    for number in 0..3 {
        let id = format!("i-llm-{number}");
        let spec = WorkerSpec { id: &id, ip: deployment.worker_ip(number), service: "assistant-llm", slots: 64 };
        let worker = start_worker(spec, handler.clone())?;
        deployment.publish(&worker, "ready");
        workers.push(worker);
    }
    let route = RouteSpec {
        prefix: "/chat/", kind: "streaming", service: "assistant-llm", timeout_ms: TIMEOUT_MS,
        target_ms: 400, attempts: 1, more: ",\"Sticky\":true,\"Resumable\":false,\"GapAimMs\":300",
    };
    deployment.store.put("op/config", &config(7, &[route], &["assistant-llm"]));
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
    note("24 usual requests were answered in full");
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
    sleep_ms(SENT_AFTER_MS);
    let sent_at = ms();
    note("client sends request c0 on its kept connection");
    let answer = kept.call(&chat("c0", MOST_EVENTS));
    let ended_at = ms();
    let passed_on = workers.iter().any(|it| it.arrivals.lock().unwrap().iter().any(|it| it.id == "c0"));
    let by_worker = workers.iter().any(|it| it.ended.lock().unwrap().iter().any(|(_, id)| id == "c0"));
    let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
    note(&format!(
        "request c0: sent {} ms after SIGTERM, passed on: {passed_on}, status {}, {events} of {MOST_EVENTS} events, \
         whole: {}, ended {} ms after SIGTERM and {} ms after it was sent; worker ended it itself: {by_worker}",
        sent_at - stopped_at, answer.status, answer.is_whole, ended_at - stopped_at, ended_at - sent_at
    ));
    let other = in_progress.join().map_err(|_| io::Error::other("a client failed"))?;
    note(&format!("request b0, in progress at SIGTERM: status {}, whole: {}", other.status, other.is_whole));
    let is_cut = answer.status == 0 || !answer.is_whole;
    let in_window = ended_at - stopped_at <= GRACE_MS + 1_000;
    let before_timeout = ended_at - sent_at < TIMEOUT_MS;
    Ok(passed_on && is_cut && in_window && before_timeout && !by_worker)
}
