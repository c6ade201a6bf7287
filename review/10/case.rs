//! No stream can be taken up again after all processes of the system were killed at one moment.

#[path = "../harness-2/harness.rs"]
mod harness;

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

const STREAMS: u64 = 24;
/// A stream has 90 events, one each 0.1 s.
const EVENTS: u64 = 90;
const PAUSE: Duration = Duration::from_millis(100);
/// Time from the beginning of the streams to the kill, and from the kill to the start of the processes.
const KILL_AFTER: Duration = Duration::from_millis(3_000);
const DOWN: Duration = Duration::from_millis(600);
/// Time from the break of a stream until its client takes it up again. The machines are in touch by then: `ContactMs`
/// is 3,000.
const COMES_BACK: Duration = Duration::from_millis(4_900);

fn serve(arrival: &Arrival, writer: &mut TcpStream) -> io::Result<Next> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: seal-{}\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        arrival.id, arrival.worker
    );
    writer.write_all(head.as_bytes())?;
    let last: u64 = arrival.head.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    for number in last + 1..=EVENTS {
        thread::sleep(PAUSE);
        let event = format!("id: {number}\ndata: token\n\n");
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    writer.write_all(b"0\r\n\r\n")?;
    Ok(Next::Keep)
}

fn call(id: &str, number: u64, headers: &str, deadline_ms: u64) -> Call {
    Call {
        method: "POST",
        path: "/draft/x".to_owned(),
        id: id.to_owned(),
        key: "key-1".to_owned(),
        deadline_ms,
        headers: format!("Model: m\r\nToken-Usage: 900,450\r\nPrompt-Prefix: a1:50,b{number:08x}:300\r\n{headers}"),
        body: format!("draft {number}"),
    }
}

/// Reads a stream until it ends, or until its event `most`. Returns the status, the number of the first event and of the
/// last one, and whether the stream was complete.
fn follow(call: &Call, to: SocketAddr, most: u64) -> io::Result<(u16, u64, u64, bool)> {
    let stream = TcpStream::connect_timeout(&to, ms(1_000))?;
    stream.set_read_timeout(Some(ms(6_000)))?;
    (&stream).write_all(call.text().as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let (mut first, mut last) = (0, 0);
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) | Err(_) => return Ok((head.status(), first, last, false)),
            Ok(_) => {}
        }
        if let Some(number) = line.trim().strip_prefix("id: ").and_then(|it| it.parse::<u64>().ok()) {
            if first == 0 {
                first = number;
            }
            last = number;
        }
        // The last chunk, or a short answer.
        if line == "0\r\n" || head.status() != 200 || last >= most {
            return Ok((head.status(), first, last, line == "0\r\n"));
        }
    }
}

fn run(record: &Record) -> io::Result<bool> {
    // For comparison only: the holders, beside the workers, aren't killed.
    let spares_holders = std::env::var("SPARE_HOLDERS").is_ok();
    let folder = Folder::create("10")?;
    let store = Store::start()?;
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let mut workers = Vec::new();
    for number in 0..3 {
        let at = ip(&store, 101 + number);
        let name = format!("i-{number}");
        workers.push(Worker::start(&name, "llm", "1", at, 64, &store, record, &arrivals, Arc::new(serve))?);
    }
    let route = Route {
        sticky: true,
        resumable: true,
        attempts: 2,
        timeout_ms: 15_000,
        target_ms: 800,
        ..Route::new("draft", "streaming", "llm")
    };
    store.put("op/config", &configuration(1, &[route], &["llm"], &["key-1"]));
    let ips: Vec<Ipv4Addr> = (1..=3).map(|it| ip(&store, it)).collect();
    let mut gateways = Vec::new();
    for (number, at) in ips.iter().enumerate() {
        let text = settings(&format!("edge-{number}"), *at, &ips, store.address);
        gateways.push(Process::start("gateway", *at, &folder.0, &text)?);
    }
    let mut holders = Vec::new();
    for worker in &workers {
        let std::net::IpAddr::V4(at) = worker.address.ip() else { continue };
        holders.push(Process::start("holder", at, &folder.0, &settings(&worker.name, at, &ips, store.address))?);
    }
    for gateway in &gateways {
        gateway.wait_ready(ms(15_000))?;
    }
    thread::sleep(ms(3_500));
    let fronts: Vec<SocketAddr> = gateways.iter().map(Process::front).collect();
    let results: Arc<Mutex<Vec<bool>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (record, results) = (record.clone(), results.clone());
        let (from, to) = (fronts[number as usize % 3], fronts[(number as usize + 1) % 3]);
        clients.push(thread::spawn(move || {
            let id = format!("50de{number:012x}");
            let begun = follow(&call(&id, number, "", 15_000), from, u64::MAX);
            record.line(&format!("client {id} at {from}: (status, first event, last event, complete) = {begun:?}"));
            let Ok((200, 1, last, is_complete)) = begun else { return };
            if is_complete {
                return;
            }
            // Taken up again once, at another machine.
            thread::sleep(COMES_BACK);
            let next = format!("ac00{number:012x}");
            let headers = format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n");
            let again = follow(&call(&next, number, &headers, 7_000), to, u64::MAX);
            record.line(&format!("client {next} takes {id} up again after event {last} at {to}: {again:?}"));
            lock(&results).push(again.is_ok_and(|it| it.0 == 200 && it.1 == last + 1));
        }));
    }
    thread::sleep(KILL_AFTER);
    let killed_at = Instant::now();
    if has_trouble() {
        for process in gateways.iter().chain(holders.iter().filter(|_| !spares_holders)) {
            process.signal("KILL")?;
        }
        record.say("herd_kill: SIGKILL to all processes of the system; the workers serve on");
        thread::sleep(DOWN);
        for process in gateways.iter_mut().chain(holders.iter_mut().filter(|_| !spares_holders)) {
            process.start_again()?;
        }
        for gateway in &gateways {
            gateway.wait_ready(ms(3_000))?;
        }
        // A machine is in touch once it has run for `ContactMs`.
        if killed_at.elapsed() + ms(3_000) > COMES_BACK {
            return Err(io::Error::other("the gateways were ready too late to be in touch"));
        }
        record.say("all processes have started again, and all gateways are ready");
    } else {
        thread::sleep(DOWN);
    }
    thread::sleep(COMES_BACK - DOWN);
    // New streams at the same time.
    let mut new = 0;
    for number in 0..STREAMS {
        let id = format!("0e30{number:012x}");
        let to = fronts[number as usize % 3];
        let began = follow(&call(&id, 1_000 + number, "", 12_000), to, 1);
        new += usize::from(began.as_ref().is_ok_and(|it| it.0 == 200 && it.1 == 1));
        record.line(&format!("client {id} begins a stream at {to}: {began:?}"));
    }
    for client in clients {
        let _ = client.join();
    }
    let results = lock(&results).clone();
    let goes_on = results.iter().filter(|it| **it).count();
    record.say(&format!(
        "{} streams taken up again, {goes_on} of them go on; {new} of {STREAMS} new streams began", results.len()
    ));
    // Of 12 or more streams, under half of the share of new ones.
    Ok(results.len() >= 12 && 2 * goes_on * (STREAMS as usize) < new * results.len())
}

fn main() {
    finish(run)
}
