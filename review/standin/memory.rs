//! One tenant uploads many bodies in chunks at once, each within the operator's limits. The platform kills
//! a process that exceeds `MemoryMb`.

use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{
    Arrival, Client, Deployment, RouteSpec, WorkerSpec, WorkerState, config, ms, note, request,
    sleep_ms, start_worker,
};

const MEMORY_BYTES: u64 = 260 * 1024 * 1024;
/// Below MaxBodyBytes, 4194304.
const BODY_BYTES: usize = 4_100_000;
const CHUNK_BYTES: usize = 16_384;
/// Time that a client takes to upload a body, about 11 Mbit/s.
const UPLOAD_MS: u64 = 3_000;
/// Uploads in progress of the tenant usually, and at its busiest.
const USUAL: usize = 10;
const BUSIEST: usize = 75;
const SESSIONS: usize = 12;
/// Work of a session's requests, within the most of the users' site (450 ms).
const SESSION_WORK_MS: u64 = 400;
/// Start and length of the tenant's busiest time.
const BUSY_FROM_MS: u64 = 8_000;
const BUSY_MS: u64 = 6_500;

fn upload(client: &mut Client, id: &str) -> io::Result<u16> {
    let head = format!(
        "POST /apply/2f HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nAuthorization: Bearer key-of-tenant-2\r\n\
         Deadline-Ms: 10000\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    client.send(head.as_bytes())?;
    let began = Instant::now();
    let mut sent = 0;
    while sent < BODY_BYTES {
        let size = CHUNK_BYTES.min(BODY_BYTES - sent);
        let mut piece = format!("{size:x}\r\n").into_bytes();
        piece.resize(piece.len() + size, b'x');
        piece.extend_from_slice(b"\r\n");
        client.writer().write_all(&piece)?;
        sent += size;
        let due = began + Duration::from_millis(UPLOAD_MS * sent as u64 / BODY_BYTES as u64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    client.send(b"0\r\n\r\n")?;
    Ok(client.read().status)
}

pub fn play(has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::new()?;
    let handler = Arc::new(|worker: &WorkerState, arrival: &Arrival, writer: &mut std::net::TcpStream| {
        sleep_ms(if arrival.body_bytes < 1_000 { SESSION_WORK_MS } else { 60 });
        worker.send(arrival, 200, "", b"applied", writer)
    });
    let mut workers = Vec::new();
    for number in 0..3 {
        let id = format!("i-api-{number}");
        let ip = deployment.worker_ip(number);
        let spec = WorkerSpec { id: &id, ip, service: "registry-api", slots: 6 };
        let worker = start_worker(spec, handler.clone())?;
        deployment.publish(&worker, "ready");
        workers.push(worker);
    }
    let route = RouteSpec {
        prefix: "/apply/", kind: "non_idempotent", service: "registry-api", timeout_ms: 10_000,
        target_ms: 4_000, attempts: 1, more: "",
    };
    deployment.store.put("op/config", &config(7, &[route], &["registry-api"]));
    deployment.start_gateways(2)?;
    let front = deployment.gateways[0].front();
    let is_over = Arc::new(AtomicBool::new(false));

    // Sessions of tenant 1: one change after the other, each on a connection that it keeps.
    let lost = Arc::new(Mutex::new(Vec::<String>::new()));
    let mut sessions = Vec::new();
    for session in 0..SESSIONS {
        let (is_over, lost) = (is_over.clone(), lost.clone());
        sessions.push(thread::spawn(move || {
            let Ok(mut client) = Client::connect(front) else { return 0 };
            let mut served = 0;
            while !is_over.load(Ordering::SeqCst) {
                let id = format!("change-{session}-{served}");
                let answer = client.call(&request("POST", "/apply/2f", &id, "Deadline-Ms: 10000\r\n", b"change"));
                if answer.status == 200 && answer.is_whole {
                    served += 1;
                    continue;
                }
                note(&format!(
                    "request {id}, after {served} on its connection: status {}, {} bytes, whole: {}",
                    answer.status, answer.body.len(), answer.is_whole
                ));
                if served > 0 && answer.status == 0 {
                    lost.lock().unwrap().push(id);
                }
                return served;
            }
            served
        }));
    }

    // Uploads of tenant 2.
    let uploads = if has_trouble { BUSIEST } else { USUAL };
    let answered = Arc::new(Mutex::new(std::collections::BTreeMap::<u16, u32>::new()));
    let mut uploaders = Vec::new();
    for number in 0..uploads {
        let (is_over, answered) = (is_over.clone(), answered.clone());
        uploaders.push(thread::spawn(move || {
            let is_extra = number >= USUAL;
            sleep_ms(number as u64 * 5 + if is_extra { BUSY_FROM_MS } else { 0 });
            let until = Instant::now() + Duration::from_millis(BUSY_MS);
            let mut turn = 0;
            while !(is_extra && Instant::now() > until) && !is_over.load(Ordering::SeqCst) {
                let id = format!("upload-{number}-{turn}");
                let status = Client::connect(front).and_then(|mut it| upload(&mut it, &id)).unwrap_or(0);
                *answered.lock().unwrap().entry(status).or_default() += 1;
                turn += 1;
                sleep_ms(200);
            }
        }));
    }

    // The platform: kills a process that exceeds its memory.
    let began = Instant::now();
    let (mut peak, mut killed_at, mut noted) = (0, None, 0);
    while began.elapsed() < Duration::from_secs(20) && killed_at.is_none() {
        let bytes = deployment.gateways[0].memory_bytes();
        peak = peak.max(bytes);
        if ms() / 1_000 > noted {
            noted = ms() / 1_000;
            note(&format!("gateway 1 has {} MB", bytes / (1024 * 1024)));
        }
        if bytes > MEMORY_BYTES {
            let _ = deployment.gateways[0].child.kill();
            killed_at = Some(ms());
            note(&format!("the platform kills gateway 1: {} MB", bytes / (1024 * 1024)));
        }
        sleep_ms(5);
    }
    is_over.store(true, Ordering::SeqCst);
    sleep_ms(500);
    if killed_at.is_none() {
        for it in sessions {
            let _ = it.join();
        }
    }
    let reached: Vec<_> = workers
        .iter()
        .flat_map(|it| it.arrivals.lock().unwrap().iter().map(|it| it.id.clone()).collect::<Vec<_>>())
        .collect();
    let lost = lost.lock().unwrap().iter().filter(|it| reached.contains(it)).count();
    note(&format!(
        "peak memory {} MB; {} requests reached workers; uploads by status: {:?}; requests on kept \
         connections that were passed on and whose connection was closed without an answer: {lost}",
        peak / (1024 * 1024), reached.len(), answered.lock().unwrap()
    ));
    Ok(killed_at.is_some() && lost > 3)
}
