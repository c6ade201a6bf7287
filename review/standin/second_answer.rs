//! A few streams without a length are followed by a second answer on the same connection.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use crate::platform::{
    Arrival, Client, Deployment, RouteSpec, WorkerSpec, WorkerState, config, ms, note, request,
    sleep_ms, start_worker,
};

const WORKERS: u8 = 5;
const GARBLING_WORKERS: u8 = 3;
/// Most of such a worker's answers that are followed by a second one, in 1,000.
const GARBLED_PER_1000: u64 = 30;
const GARBLED_FOR_MS: u64 = 5_500;
const EVENTS: u64 = 12;
const PACE_MS: u64 = 25;
const CLIENTS: usize = 12;
const TURNS: usize = 18;

fn event(number: u64, arrival: &Arrival, worker: &WorkerState) -> String {
    format!("id: {number}\ndata: {} by {}\n\n", arrival.id, worker.id)
}

/// A whole answer without a length or chunks, and a second one after it.
fn answer_twice(worker: &WorkerState, arrival: &Arrival, first: u64, writer: &mut std::net::TcpStream) -> io::Result<bool> {
    let head = format!(
        "HTTP/1.1 200 x\r\n{}{}Content-Type: text/event-stream\r\n\r\n", worker.echo(arrival), worker.seal()
    );
    writer.write_all(head.as_bytes())?;
    for number in first..EVENTS - 1 {
        sleep_ms(PACE_MS);
        writer.write_all(event(number, arrival, worker).as_bytes())?;
    }
    sleep_ms(2 * PACE_MS);
    // The last two events, and then the second answer.
    let events: String = (first..=EVENTS).map(|it| event(it, arrival, worker)).collect();
    let last: String = (EVENTS - 1..=EVENTS).map(|it| event(it, arrival, worker)).collect();
    writer.write_all(format!("{last}{head}{events}").as_bytes())?;
    Ok(false)
}

pub fn play(has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::new()?;
    let began = Arc::new(AtomicU64::new(u64::MAX));
    let mut workers = Vec::new();
    let mut counts = Vec::new();
    for number in 0..WORKERS {
        let (answers, garbled) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        counts.push((answers.clone(), garbled.clone()));
        let began = began.clone();
        let handler = Arc::new(move |worker: &WorkerState, arrival: &Arrival, writer: &mut std::net::TcpStream| {
            let after: u64 = arrival.head.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
            let answers = answers.fetch_add(1, Ordering::SeqCst) + 1;
            let is_time = ms().saturating_sub(began.load(Ordering::SeqCst)) < GARBLED_FOR_MS && ms() > began.load(Ordering::SeqCst);
            let may_garble = has_trouble && number < GARBLING_WORKERS && is_time && after == 0;
            if may_garble && (garbled.load(Ordering::SeqCst) + 1) * 1_000 <= answers * GARBLED_PER_1000 {
                garbled.fetch_add(1, Ordering::SeqCst);
                note(&format!("{}: request {} gets its whole answer, and a second one after it", worker.id, arrival.id));
                return answer_twice(worker, arrival, after + 1, writer);
            }
            worker.stream(arrival, EVENTS, PACE_MS, writer)
        });
        let id = format!("i-llm-{number}");
        let ip = deployment.worker_ip(number);
        let worker = start_worker(WorkerSpec { id: &id, ip, service: "assistant-llm", slots: 64 }, handler)?;
        deployment.publish(&worker, "ready");
        workers.push(worker);
    }
    let route = RouteSpec {
        prefix: "/chat/", kind: "streaming", service: "assistant-llm", timeout_ms: 15_000,
        target_ms: 800, attempts: 2, more: ",\"Resumable\":true,\"GapAimMs\":300",
    };
    deployment.store.put("op/config", &config(7, &[route], &["assistant-llm"]));
    deployment.start_gateways(2)?;
    began.store(ms(), Ordering::SeqCst);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = deployment.gateways[number % 2].front();
            thread::spawn(move || {
                let mut broken = Vec::new();
                let mut counts = [0u32; 3];
                for turn in 0..TURNS {
                    let id = format!("chat-{number}-{turn}");
                    let bytes = request("POST", "/chat/2f", &id, "Model: m\r\nDeadline-Ms: 15000\r\n", b"question");
                    let answer = Client::connect(front).map(|mut it| it.call(&bytes)).unwrap_or_default();
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let ids: Vec<u64> =
                        text.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect();
                    let is_right = ids.iter().copied().eq(1..=EVENTS);
                    let by: Vec<_> = text.lines().filter_map(|it| it.rsplit_once(" by ")).map(|(_, it)| it).collect();
                    let name = match (answer.status == 200 && answer.is_whole, is_right) {
                        (true, true) => 0,
                        (true, false) => 1,
                        (false, _) => 2,
                    };
                    counts[name] += 1;
                    if name == 1 {
                        note(&format!("the client of {id} gets a complete answer with the events {ids:?}, by {by:?}"));
                        broken.push(id);
                    }
                }
                (broken, counts)
            })
        })
        .collect();
    let mut broken = Vec::new();
    let mut all = [0; 3];
    for it in clients {
        let (ids, counts) = it.join().map_err(|_| io::Error::other("a client failed"))?;
        broken.extend(ids);
        (0..3).for_each(|at| all[at] += counts[at]);
    }
    let answers: u64 = counts.iter().map(|(answers, _)| answers.load(Ordering::SeqCst)).sum();
    let garbled: u64 = counts.iter().map(|(_, garbled)| garbled.load(Ordering::SeqCst)).sum();
    note(&format!(
        "{garbled} of {answers} answers of workers came twice; clients got {} streams in full, {} as complete with events missing \
         or twice, {} cut or refused", all[0], all[1], all[2]
    ));
    Ok(!broken.is_empty())
}
