//! Sends seeded random HTTP messages to one gateway. Caller, gateway and endpoint must agree on
//! where each request ends, whatever the caller sends.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use persimmon_platform::standin::{Behaviour, Deployment, EndpointStandin, REQUEST_ID, RouteSpec};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const KEY: &str = "key-1";
const SEED: u64 = 7_301;
const THREADS: u64 = 8;
const MESSAGES_PER_THREAD: u64 = 2_500;
/// Read time-out. It exceeds the routes' time limit on heads and the longest wait for an endpoint.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Header lines, among them those that parsers are known to interpret differently.
const HEADER_LINES: &[&str] = &[
    "Content-Length: 0",
    "Content-Length: 4",
    "Content-Length: 40",
    "Content-Length: +4",
    "Content-Length: 0x4",
    "Content-Length: 4, 4",
    "Content-Length:4",
    "Content-Length : 4",
    "content-length: 18446744073709551616",
    "Transfer-Encoding: chunked",
    "transfer-encoding: CHUNKED",
    "Transfer-Encoding: chunked, identity",
    "Transfer-Encoding: xchunked",
    "Transfer-Encoding:\tchunked",
    "Transfer-Encoding: \"chunked\"",
    "Connection: keep-alive",
    "Connection: close",
    "Connection: content-length",
    "Expect: 100-continue",
    "Host: other.example",
    "Last-Event-Id: 5",
    "Deadline-Ms: 900",
    "X-Fold: a\r\n b",
    "X-Null: a\0b",
    "X-Bare: a\nContent-Length: 9",
    "X-Return: a\rb",
    "X-High: \u{e9}\u{1f600}",
    ": no name",
    "no colon",
    "Trailer: Content-Length",
    "TE: trailers",
    "Upgrade: h2c",
];

/// Valid and malformed bodies, with a stated length and chunked.
const BODIES: &[&str] = &[
    "",
    "body",
    "0\r\n\r\n",
    "4\r\nbody\r\n0\r\n\r\n",
    "4;ext=1\r\nbody\r\n0\r\n\r\n",
    "4\nbody\n0\n\n",
    "04\r\nbody\r\n0\r\nContent-Length: 7\r\n\r\n",
    "-4\r\nbody\r\n0\r\n\r\n",
    "fffffffffffffffff\r\nbody",
    "4\r\nbodyX\r\n0\r\n\r\n",
];

const REQUEST_LINES: &[&str] = &[
    "GET /lookup/x HTTP/1.1",
    "POST  /lookup/x HTTP/1.1",
    "POST /lookup/x HTTP/1.0",
    "POST /lookup/x HTTP/2.0",
    "POST /lookup/%00/../x HTTP/1.1",
    "POST http://other.example/lookup/x HTTP/1.1",
    "CONNECT lookup:443 HTTP/1.1",
    "OPTIONS * HTTP/1.1",
    "PRI * HTTP/2.0",
    "",
];

/// Returns two consecutive requests, the first of which may be malformed anywhere.
fn message(rng: &mut Pcg64Mcg, name: &str) -> Vec<u8> {
    let default_line = "POST /lookup/x HTTP/1.1";
    let request_line = if rng.random_bool(0.8) { default_line } else { one_of(rng, REQUEST_LINES) };
    let mut text = request_line.to_owned();
    let fixed = [
        "Host: calls.example".to_owned(),
        format!("{REQUEST_ID}: {name}-first"),
        format!("Authorization: Bearer {KEY}"),
    ];
    let mut lines: Vec<_> = fixed.into_iter().filter(|_| rng.random_bool(0.97)).collect();
    let (framing, body) = match rng.random_range(0..4) {
        0 => ("Content-Length: 4", "body"),
        1 => ("Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n"),
        _ => (one_of(rng, HEADER_LINES), one_of(rng, BODIES)),
    };
    lines.push(framing.to_owned());
    for _ in 0..rng.random_range(0..2) {
        let line = one_of(rng, HEADER_LINES).to_owned();
        lines.insert(rng.random_range(0..=lines.len()), line);
    }
    for line in lines {
        text.push_str("\r\n");
        text.push_str(&line);
    }
    text.push_str("\r\n\r\n");
    text.push_str(body);
    let mut bytes = text.into_bytes();
    for _ in 0..rng.random_range(0..3_u32).saturating_sub(1) {
        corrupt(rng, &mut bytes);
    }
    let second = format!(
        "POST /lookup/y HTTP/1.1\r\nHost: calls.example\r\n{REQUEST_ID}: {name}-second\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: 4\r\n\r\nnext"
    );
    bytes.extend_from_slice(second.as_bytes());
    bytes
}

fn one_of<'a>(rng: &mut Pcg64Mcg, items: &[&'a str]) -> &'a str {
    items.choose(rng).copied().unwrap_or_default()
}

/// Changes, removes or inserts one byte, or truncates the message at a random place.
fn corrupt(rng: &mut Pcg64Mcg, bytes: &mut Vec<u8>) {
    if bytes.is_empty() {
        return;
    }
    let at = rng.random_range(0..bytes.len());
    match rng.random_range(0..10) {
        0..3 => bytes[at] = rng.random(),
        3..6 => {
            bytes.remove(at);
        }
        6..9 => bytes.insert(at, rng.random()),
        _ => bytes.truncate(at),
    }
}

/// Sends the bytes and reads until the gateway closes the connection.
fn exchange(gateway: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(gateway).expect("the gateway accepts connections");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
    // The gateway may close the connection before it has read everything, and reset it.
    let _ = stream.write_all(bytes).and_then(|()| stream.shutdown(Shutdown::Write));
    let mut answer = Vec::new();
    if let Err(err) = stream.read_to_end(&mut answer) {
        let kind = err.kind();
        assert_ne!(
            kind,
            std::io::ErrorKind::WouldBlock,
            "the answer doesn't end: {:?}",
            text(bytes)
        );
    }
    answer
}

/// Returns the request ids in the sent text, including malformed ones.
fn request_ids(sent: &str) -> impl Iterator<Item = &str> {
    let headers = sent.split('\n').filter_map(|line| line.split_once(':'));
    let named = headers.filter(|(name, _)| name.eq_ignore_ascii_case(REQUEST_ID));
    named.map(|(_, id)| id.trim())
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn random_messages_are_delimited_consistently() {
    let mut deployment = Deployment::new(env!("CARGO_BIN_EXE_persimmonmountd"), 1).unwrap();
    let endpoint = EndpointStandin::start("one", Behaviour::ok()).unwrap();
    deployment.publish_endpoint(&endpoint, false);
    deployment.publish_routes(&[RouteSpec::once("lookup")], &[KEY]);
    deployment.start_all().unwrap();
    let gateway = deployment.callers_address(0);
    let id = deployment.id(0);
    let exchanges: Vec<_> = thread::scope(|scope| {
        let run_thread = |thread: u64| {
            let mut rng = Pcg64Mcg::seed_from_u64(SEED + thread);
            let exchange_random = |_| {
                // Long enough that a corrupted id doesn't equal another request's.
                let name = format!("{:016x}", rng.random::<u64>());
                let bytes = message(&mut rng, &name);
                let answer = exchange(gateway, &bytes);
                (bytes, answer)
            };
            (0..MESSAGES_PER_THREAD).map(exchange_random).collect::<Vec<_>>()
        };
        let threads: Vec<_> = (0..THREADS).map(|it| scope.spawn(move || run_thread(it))).collect();
        threads.into_iter().flat_map(|it| it.join().expect("every answer ends")).collect()
    });

    let received = endpoint.received();
    let mut served = 0;
    let mut unmatched: HashMap<_, _> = received.iter().map(|it| (it.id.clone(), it)).collect();
    assert_eq!(unmatched.len(), received.len(), "a request ran twice");
    for (bytes, answer) in &exchanges {
        let sent = text(bytes);
        let ran = request_ids(&sent).filter(|id| unmatched.remove(*id).is_some()).count();
        let answers = text(answer).matches("HTTP/1.1 200").count();
        // A caller that closes early may miss an answer, but must not receive an extra one.
        assert!(answers <= ran, "{answers} answers, {ran} ran: {sent:?}");
        served += answers;
    }
    assert!(unmatched.is_empty(), "requests that nobody sent: {unmatched:?}");
    assert!(served > exchanges.len() / 4, "only {served} of {} were answered", exchanges.len());
    assert_eq!(deployment.id(0), id, "the gateway restarted");
    let log = deployment.log(0).join("\n");
    assert!(!log.contains("panicked"), "{log}");
    let mut valid = deployment.caller(0).unwrap().request("POST", "/lookup/x", "honest");
    valid = valid.with_key(KEY);
    assert_eq!(valid.call("body").unwrap().status, 200);
    deployment.close();
}
