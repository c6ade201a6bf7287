//! Workers shed load; a few of their refusals come a second time, late, on the same connection.

use std::collections::{BTreeMap, HashSet};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::platform::{
    Arrival, Client, Deployment, RouteSpec, WorkerSpec, WorkerState, config, ms, note, request,
    sleep_ms, start_worker,
};

/// A worker works on this many requests and queues a few more.
const SLOTS: usize = 6;
const QUEUED: usize = 4;
/// Most of a worker's answers that are followed by a second copy, in 1,000.
const GARBLED_PER_1000: u64 = 30;
/// Workers of three that do so, and until when.
const GARBLING_WORKERS: u8 = 2;
const GARBLED_UNTIL_MS: u64 = 5_000;
const BURSTS: usize = 20;
const CLIENTS: usize = 48;
/// As `fleetbench wire` shows it under "a server sheds".
const SHED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

#[derive(Default)]
struct Load {
    active: AtomicUsize,
    answers: AtomicU64,
    garbled: AtomicU64,
    /// Connections on which a second copy of a refusal is still to come.
    late: Mutex<HashSet<SocketAddr>>,
}

pub fn play(has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::new()?;
    let runs = Arc::new(Mutex::new(BTreeMap::<String, Vec<String>>::new()));
    let mut workers = Vec::new();
    let mut loads = Vec::new();
    for number in 0..3 {
        let load = Arc::new(Load::default());
        loads.push(load.clone());
        let runs = runs.clone();
        let handler = Arc::new(move |worker: &WorkerState, arrival: &Arrival, writer: &mut std::net::TcpStream| {
            let answers = load.answers.fetch_add(1, Ordering::SeqCst) + 1;
            if load.active.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUED {
                load.active.fetch_sub(1, Ordering::SeqCst);
                writer.write_all(SHED)?;
                let garbled = load.garbled.load(Ordering::SeqCst);
                let is_garbling = has_trouble && number < GARBLING_WORKERS && ms() < GARBLED_UNTIL_MS;
                if is_garbling && (garbled + 1) * 1_000 <= answers * GARBLED_PER_1000 {
                    load.garbled.fetch_add(1, Ordering::SeqCst);
                    load.late.lock().unwrap().insert(arrival.from);
                    note(&format!("{} sheds request {}; a second copy of this answer is late", worker.id, arrival.id));
                }
                return Ok(true);
            }
            if load.late.lock().unwrap().remove(&arrival.from) {
                note(&format!("{}: the late copy goes out as request {} arrives on its connection", worker.id, arrival.id));
                writer.write_all(SHED)?;
            }
            runs.lock().unwrap().entry(arrival.id.clone()).or_default().push(worker.id.clone());
            sleep_ms(60);
            load.active.fetch_sub(1, Ordering::SeqCst);
            worker.send(arrival, 200, "", b"applied", writer)
        });
        let id = format!("i-api-{number}");
        let ip = deployment.worker_ip(number);
        let worker =
            start_worker(WorkerSpec { id: &id, ip, service: "registry-api", slots: SLOTS as u32 }, handler)?;
        deployment.publish(&worker, "ready");
        workers.push(worker);
    }
    let route = RouteSpec {
        prefix: "/apply/", kind: "non_idempotent", service: "registry-api", timeout_ms: 2_000,
        target_ms: 300, attempts: 1, more: "",
    };
    deployment.store.put("op/config", &config(7, &[route], &["registry-api"]));
    deployment.start_gateways(2)?;
    let fronts: Vec<_> = deployment.gateways.iter().map(|it| it.front()).collect();
    let answers = Arc::new(Mutex::new(BTreeMap::<String, u16>::new()));
    // Bursts of changes, each sent once by its client.
    for burst in 0..BURSTS {
        let mut calls = Vec::new();
        for number in 0..CLIENTS {
            let (front, answers) = (fronts[number % 2], answers.clone());
            calls.push(thread::spawn(move || {
                let id = format!("change-{burst}-{number}");
                let bytes = request("POST", "/apply/2f", &id, "Deadline-Ms: 4000\r\n", b"change");
                let status = Client::connect(front).map_or(0, |mut it| it.call(&bytes).status);
                note(&format!("the client of request {id} gets {status}"));
                answers.lock().unwrap().insert(id, status);
            }));
        }
        for it in calls {
            let _ = it.join();
        }
        sleep_ms(200);
    }
    let runs = runs.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, workers)| workers.len() > 1).collect();
    for (id, workers) in &twice {
        note(&format!("request {id} ran more than once: at {}", workers.join(" and ")));
    }
    let answers = answers.lock().unwrap();
    let refused: Vec<_> = runs.keys().filter(|id| answers.get(*id) == Some(&503)).collect();
    for id in &refused {
        note(&format!("request {id} ran, and its client was told 503: not run"));
    }
    let mut statuses = BTreeMap::<u16, u32>::new();
    answers.values().for_each(|status| *statuses.entry(*status).or_default() += 1);
    let garbled: u64 = loads.iter().map(|it| it.garbled.load(Ordering::SeqCst)).sum();
    let all: u64 = loads.iter().map(|it| it.answers.load(Ordering::SeqCst)).sum();
    note(&format!(
        "{} requests ran; answers to clients by status: {statuses:?}; {garbled} of {all} answers of workers came twice; \
         {} requests ran more than once, {} ran and were answered 503",
        runs.len(), twice.len(), refused.len()
    ));
    // REFUSED is the rule of this case; TWICE is noted besides.
    Ok(!refused.is_empty())
}
