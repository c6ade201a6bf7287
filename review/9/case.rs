//! Streams that have lasted for more than a minute can't be taken up again after their gateway was killed.

#[path = "../harness-2/harness.rs"]
mod harness;

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use harness::*;

const STREAMS: u64 = 16;
/// A stream has 160 events, one each 0.5 s.
const EVENTS: u64 = 160;
const PAUSE: Duration = Duration::from_millis(500);
/// Time from the beginning of the streams to the kill.
const KILL_AFTER_MS: u64 = 66_000;

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
        headers: format!("Model: m\r\nToken-Usage: 900,900\r\nPrompt-Prefix: a1:50,b{number:08x}:300\r\n{headers}"),
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
    let kill_after = std::env::var("KILL_AFTER_MS").ok().and_then(|it| it.parse().ok()).unwrap_or(KILL_AFTER_MS);
    let folder = Folder::create("9")?;
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
        timeout_ms: 100_000,
        target_ms: 1_500,
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
    let (from, to) = (gateways[0].front(), gateways[1].front());
    let results: Arc<Mutex<Vec<(bool, bool)>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (record, results) = (record.clone(), results.clone());
        clients.push(thread::spawn(move || {
            let id = format!("50de{number:012x}");
            let begun = follow(&call(&id, number, "", 95_000), from, u64::MAX);
            record.line(&format!("client {id} at {from}: (status, first event, last event, complete) = {begun:?}"));
            let Ok((200, 1, last, is_complete)) = begun else { return };
            if is_complete {
                return;
            }
            // Taken up again at another machine. A client that is told to come back does so once.
            let mut goes_on = false;
            for attempt in 0..2 {
                let next = format!("ac{attempt:02}{number:012x}");
                let headers = format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n");
                let again = follow(&call(&next, number, &headers, 25_000), to, last + 4);
                record.line(&format!("client {next} takes {id} up again after event {last} at {to}: {again:?}"));
                if again.is_ok_and(|it| it.0 == 200 && it.1 == last + 1) {
                    goes_on = true;
                    break;
                }
                thread::sleep(ms(2_100));
            }
            lock(&results).push((true, goes_on));
        }));
    }
    thread::sleep(ms(kill_after));
    if has_trouble() {
        record.say(&format!("node_kill: SIGKILL to {}, {kill_after} ms after the streams began", gateways[0].ip));
        gateways[0].signal("KILL")?;
        gateways[0].start_again()?;
    }
    // New streams at the same time, at the machine at which the others are taken up again.
    let mut new = 0;
    for number in 0..STREAMS {
        let id = format!("0e30{number:012x}");
        let began = follow(&call(&id, 1_000 + number, "", 20_000), to, 1);
        new += usize::from(began.as_ref().is_ok_and(|it| it.0 == 200 && it.1 == 1));
        record.line(&format!("client {id} begins a stream at {to}: {began:?}"));
    }
    for client in clients {
        let _ = client.join();
    }
    let results = lock(&results).clone();
    let goes_on = results.iter().filter(|it| it.1).count();
    record.say(&format!(
        "{} streams taken up again, {goes_on} of them go on; {new} of {STREAMS} new streams began", results.len()
    ));
    // Of 12 or more streams, under half of the share of new ones.
    Ok(results.len() >= 12 && 2 * goes_on * (STREAMS as usize) < new * results.len())
}

fn main() {
    finish(run)
}
