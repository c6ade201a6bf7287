//! After rolling restarts, requests with a prompt part that crashes workers are tried again and again.

#[path = "../harness-2/harness.rs"]
mod harness;

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Ipv4Addr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

const GATEWAYS: u8 = 4;
const WORKERS: u8 = 8;
/// `ContactMs`.
const CONTACT_MS: u64 = 3_000;
/// A worker that has crashed is back after "some seconds".
const DOWN: Duration = Duration::from_millis(2_500);
/// Part that crashes each worker that begins to write an answer on it.
const DEADLY: &str = "dead0000";
/// Two rolling restarts (`roll_term`, share 1, one at a time, a gap of 2 s), and the time between their beginnings.
const ROLLS: usize = 2;
const FIRST_ROLL: Duration = Duration::from_secs(24);
const BETWEEN_ROLLS: Duration = Duration::from_secs(36);
const EVENTS: u64 = 12;
const PAUSE: Duration = Duration::from_millis(50);

fn call(number: u64, is_deadly: bool) -> Call {
    let second = if is_deadly { DEADLY.to_owned() } else { format!("b{:03x}", number % 20) };
    Call {
        method: "POST",
        path: "/qa/x".to_owned(),
        id: format!("{}{number:012x}", if is_deadly { "dead" } else { "50de" }),
        key: "key-1".to_owned(),
        deadline_ms: 12_000,
        headers: format!("Model: m\r\nToken-Usage: 900,60\r\nPrompt-Prefix: a1:500,{second}:300,c{number:08x}:100\r\n"),
        body: format!("question {number}"),
    }
}

/// Streams events, or crashes the worker.
fn serve(arrival: &Arrival, writer: &mut TcpStream) -> io::Result<Next> {
    if arrival.head.get("prompt-prefix").is_some_and(|it| it.contains(DEADLY)) {
        return Ok(Next::Crash);
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: seal-{}\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        arrival.id, arrival.worker
    );
    writer.write_all(head.as_bytes())?;
    for number in 1..=EVENTS {
        thread::sleep(PAUSE);
        let event = format!("id: {number}\ndata: token\n\n");
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    writer.write_all(b"0\r\n\r\n")?;
    Ok(Next::Keep)
}

#[derive(Default)]
struct Sound {
    sent: AtomicUsize,
    whole: AtomicUsize,
    cut: AtomicUsize,
}

fn run(record: &Record) -> io::Result<bool> {
    let folder = Folder::create("8")?;
    let store = Store::start()?;
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let name = format!("i-{number}-0");
        let at = ip(&store, 101 + number);
        workers.push(Worker::start(&name, "llm", "1", at, 64, &store, record, &arrivals, Arc::new(serve))?);
    }
    let crashed: Arc<Mutex<Vec<u64>>> = Arc::default();
    let route = Route { sticky: true, timeout_ms: 12_000, target_ms: 400, ..Route::new("qa", "streaming", "llm") };
    store.put("op/config", &configuration(1, &[route], &["llm"], &["key-1"]));
    let ips: Vec<Ipv4Addr> = (1..=GATEWAYS).map(|it| ip(&store, it)).collect();
    let mut gateways = Vec::new();
    for (number, at) in ips.iter().enumerate() {
        let text = settings(&format!("edge-{number}"), *at, &ips[..3], store.address);
        gateways.push(Process::start("gateway", *at, &folder.0, &text)?);
    }
    for gateway in &gateways {
        gateway.wait_ready(ms(15_000))?;
    }
    // Workers that have crashed are back as new incarnations.
    for worker in workers.clone() {
        let (crashed, record) = (crashed.clone(), record.clone());
        thread::spawn(move || {
            let mut life = 0;
            loop {
                thread::sleep(ms(5));
                if worker.is_up() {
                    continue;
                }
                lock(&crashed).push(record.ms());
                thread::sleep(DOWN);
                life += 1;
                let id = format!("{}-{life}", worker.name.trim_end_matches("-0"));
                if worker.start_again(&id).is_err() {
                    record.line("a worker could not start again");
                }
            }
        });
    }
    thread::sleep(ms(4_000));
    let start = Instant::now();
    let is_over = Arc::new(AtomicBool::new(false));
    let sound = Arc::new(Sound::default());
    // For each gateway, the times of SIGTERM and of its return; none while it is away.
    let since: Arc<Mutex<HashMap<Ipv4Addr, Vec<(u64, Option<u64>)>>>> = Arc::default();
    ips.iter().for_each(|it| {
        lock(&since).insert(*it, Vec::new());
    });
    let is_away = |since: &Arc<Mutex<HashMap<Ipv4Addr, Vec<(u64, Option<u64>)>>>>, at: Ipv4Addr| {
        lock(since)[&at].iter().any(|it| it.1.is_none())
    };
    // Sound requests: 6 a second at each gateway that is ready.
    for (number, at) in ips.clone().into_iter().enumerate() {
        let (is_over, sound, since) = (is_over.clone(), sound.clone(), since.clone());
        thread::spawn(move || {
            let mut count = number as u64;
            while !is_over.load(Ordering::SeqCst) {
                count += u64::from(GATEWAYS);
                thread::sleep(ms(160));
                if is_away(&since, at) {
                    continue;
                }
                let (call, sound) = (call(count, false), sound.clone());
                thread::spawn(move || {
                    sound.sent.fetch_add(1, Ordering::SeqCst);
                    match call.send((at, FRONT).into()) {
                        Ok(it) if it.is_whole && it.status() == 200 => {
                            sound.whole.fetch_add(1, Ordering::SeqCst);
                        }
                        Ok(it) if it.status() == 200 => {
                            sound.cut.fetch_add(1, Ordering::SeqCst);
                        }
                        _ => {}
                    }
                });
            }
        });
    }
    // Requests with the deadly part: one a second, at any machine in turn, no two alike.
    let deadly_at: Arc<Mutex<HashMap<String, (Ipv4Addr, u64)>>> = Arc::default();
    {
        let (is_over, since, record, ips) = (is_over.clone(), since.clone(), record.clone(), ips.clone());
        let deadly_at = deadly_at.clone();
        thread::spawn(move || {
            let mut count = 0;
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(ms(1_000));
                count += 1;
                let at = ips[count as usize % ips.len()];
                if is_away(&since, at) {
                    continue;
                }
                let call = call(count, true);
                lock(&deadly_at).insert(call.id.clone(), (at, record.ms()));
                let record = record.clone();
                thread::spawn(move || {
                    let got = outcome(&call.send((at, FRONT).into()));
                    record.line(&format!("client {} {at} with the deadly part: {got}", call.id));
                });
            }
        });
    }
    thread::sleep(FIRST_ROLL.saturating_sub(start.elapsed()));
    let before = lock(&crashed).len();
    record.say(&format!("{before} crashes before the rolling restart"));
    for number in 1..=ROLLS {
        if !has_trouble() {
            break;
        }
        let mut stopping: Vec<thread::JoinHandle<io::Result<Process>>> = Vec::new();
        for mut gateway in gateways.drain(..) {
            let (since, record) = (since.clone(), record.clone());
            stopping.push(thread::spawn(move || {
                lock(&since).entry(gateway.ip).or_default().push((record.ms(), None));
                gateway.signal("TERM")?;
                record.line(&format!("SIGTERM to {}", gateway.ip));
                let until = Instant::now() + ms(8_000);
                while !gateway.has_ended() && Instant::now() < until {
                    thread::sleep(ms(20));
                }
                gateway.start_again()?;
                gateway.wait_ready(ms(10_000))?;
                record.line(&format!("{} has started again", gateway.ip));
                if let Some(last) = lock(&since).entry(gateway.ip).or_default().last_mut() {
                    last.1 = Some(record.ms());
                }
                Ok(gateway)
            }));
            thread::sleep(ms(2_000));
        }
        // All are joined first, so that each process is in hand, and ended, if one couldn't be started.
        let stopped: Vec<_> = stopping.into_iter().map(thread::JoinHandle::join).collect();
        for it in stopped {
            gateways.push(it.map_err(|_| io::Error::other("a thread panicked"))??);
        }
        gateways.sort_by_key(|it| it.ip);
        record.say(&format!("rolling restart {number} has ended, {} crashes", lock(&crashed).len()));
        if number < ROLLS {
            thread::sleep((FIRST_ROLL + BETWEEN_ROLLS).saturating_sub(start.elapsed()));
        }
    }
    let mut samples = Vec::new();
    while start.elapsed() < Duration::from_secs(104) {
        thread::sleep(ms(1_000));
        samples.push(lock(&crashed).len());
    }
    is_over.store(true, Ordering::SeqCst);
    thread::sleep(ms(1_500));
    let crashed = lock(&crashed).clone();
    let Some(fifth) = crashed.get(4).copied() else {
        record.say(&format!("{} crashes only", crashed.len()));
        return Ok(false);
    };
    let since = lock(&since).clone();
    let mut late = 0;
    for arrival in lock(&arrivals).iter().filter(|it| it.ran && it.id.starts_with("dead")) {
        let (at, sent) = lock(&deadly_at)[&arrival.id];
        // In touch: no SIGTERM and no start within `ContactMs` before, and none in between.
        let is_apart = |(stop, back): &(u64, Option<u64>)| {
            arrival.at_ms < *stop || back.is_some_and(|back| arrival.at_ms >= back + CONTACT_MS)
        };
        let is_in_touch = since[&at].iter().all(is_apart);
        let is_late = arrival.at_ms > fifth + CONTACT_MS && is_in_touch;
        late += usize::from(is_late);
        record.say(&format!(
            "deadly request {} sent to {at} at {sent} ms reached worker {} at {} ms{}",
            arrival.id, arrival.worker, arrival.at_ms, if is_late { ": counts" } else { "" }
        ));
    }
    record.say(&format!(
        "{} crashes, the fifth at {fifth} ms; {late} requests with the part counted (at most 3); sound streams: {} sent, {} \
         whole, {} cut off",
        crashed.len(), sound.sent.load(Ordering::SeqCst), sound.whole.load(Ordering::SeqCst), sound.cut.load(Ordering::SeqCst)
    ));
    Ok(late > 3)
}

fn main() {
    finish(run)
}
