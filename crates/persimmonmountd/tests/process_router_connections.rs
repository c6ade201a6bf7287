//! Tests of a router whose connections are taken by a crowd of callers that don't end their requests.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use persimmon_standins::fleet::{CALLER_KEY, ChatRequest, Fleet};
use persimmon_standins::{Crowd, CrowdMessage, Engine, ProcessUsage};
use rstest::rstest;

/// Maximum number of callers' connections that the router keeps.
const MAX_CONNECTIONS: usize = 64;
/// Number of callers in the crowd.
const CROWD: usize = 200;
/// Number of addresses of a crowd that has many.
const MANY_ADDRESSES: usize = 50;
/// Descriptors for everything but callers' connections.
const OWN_DESCRIPTORS: usize = 64;
/// Memory that the router may use, in megabytes.
const MEMORY_MB: u64 = 64;
const MODEL: &str = "chat-large";
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// One test at a time, since each measures a process under load.
static RUNNING: Mutex<()> = Mutex::new(());

/// How far a caller of the crowd gets with its request.
#[derive(Debug, Clone, Copy)]
enum Unfinished {
    /// It sends nothing.
    Nothing,
    /// The first bytes of a head.
    Head,
    /// A body in chunks of this many bytes, without the last chunk.
    Chunks { chunk_bytes: usize, body_bytes: usize },
    /// A body of stated length, without its last byte.
    Length { body_bytes: usize },
}

impl Unfinished {
    /// Returns what callers at this many addresses send.
    fn messages(self, addresses: usize) -> Vec<CrowdMessage> {
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\n\
             Authorization: Bearer {CALLER_KEY}\r\n"
        );
        let (head, rest) = match self {
            Self::Nothing => (String::new(), Vec::new()),
            Self::Head => (head, Vec::new()),
            Self::Chunks { chunk_bytes, body_bytes } => {
                let size = format!("{chunk_bytes:x}\r\n");
                let chunk = [size.as_bytes(), &vec![b' '; chunk_bytes], b"\r\n"].concat();
                let body = chunk.repeat(body_bytes.div_ceil(chunk_bytes));
                (format!("{head}Transfer-Encoding: chunked\r\n\r\n"), body)
            }
            Self::Length { body_bytes } => {
                (format!("{head}Content-Length: {body_bytes}\r\n\r\n"), vec![b' '; body_bytes - 1])
            }
        };
        let rest: Arc<[u8]> = rest.into();
        let message = |number: usize| {
            let last = u8::try_from(number % addresses).unwrap();
            let from = Some(IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1 + last)));
            CrowdMessage { head: head.clone().into_bytes(), rest: rest.clone(), from }
        };
        (0..CROWD).map(message).collect()
    }
}

/// Sends one ordinary request, and checks that it is served.
fn assert_serves(fleet: &Fleet) {
    let request = ChatRequest::new(MODEL, "an ordinary prompt").with_max_tokens(2);
    let reply = fleet.caller("router-1").unwrap().chat(&request).unwrap();
    assert_eq!((reply.status, reply.text()), (200, request.expected_answer()), "{reply:?}");
}

/// Guards against crowds that shut ordinary callers out by holding all connections with requests that
/// they don't end.
#[rstest]
#[case::nothing(Unfinished::Nothing)]
#[case::head(Unfinished::Head)]
#[case::large_chunks(Unfinished::Chunks { chunk_bytes: 32 * 1024, body_bytes: 64_000 })]
#[case::tiny_chunks(Unfinished::Chunks { chunk_bytes: 8, body_bytes: 24_000 })]
#[case::length(Unfinished::Length { body_bytes: 64_000 })]
fn ordinary_request_is_served_beside_unfinished_ones(
    #[case] unfinished: Unfinished,
    #[values(1, MANY_ADDRESSES)] addresses: usize,
) {
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_variable("PERSIMMON_MAX_CONNECTIONS", &MAX_CONNECTIONS.to_string())
        .with_variable("PERSIMMON_MEMORY_MB", &MEMORY_MB.to_string())
        .with_router("router-1", "zone-a")
        .with_engine("engine-1", "zone-a", Engine::builder(MODEL))
        .start()
        .unwrap();
    let address = fleet.daemons.listen("router-1").unwrap();
    let crowd = Crowd::send(address, unfinished.messages(addresses));
    println!("{} of {CROWD} connections are open", crowd.open());

    assert_serves(&fleet);

    for received in crowd.received().filter(|it| !it.is_empty()) {
        let answer = String::from_utf8_lossy(received).to_ascii_lowercase();
        assert!(answer.contains("persimmon-outcome: not-run"), "{answer}");
        assert!(answer.contains("connection: close\r\n"), "{answer}");
    }
    let usage = ProcessUsage::of(fleet.daemons.id("router-1").unwrap()).unwrap();
    println!("{usage:?}");
    assert!(usage.descriptors <= MAX_CONNECTIONS + OWN_DESCRIPTORS, "{usage:?}");
    assert!(usage.peak_bytes <= MEMORY_MB * 1024 * 1024, "{usage:?}");
    crowd.close();
    fleet.close();
}

/// Guards against connections that are closed because a request has a body which isn't needed.
#[test]
fn unneeded_body_keeps_its_connection() {
    let fleet = Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_router("router-1", "zone-a")
        .with_service("booking-1", "zone-a", "booking")
        .start()
        .unwrap();
    let mut stream = TcpStream::connect(fleet.daemons.listen("router-1").unwrap()).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    for number in 0..3 {
        let request = format!(
            "POST /v1/services/booking/claims HTTP/1.1\r\nHost: router\r\nIdempotency-Key: k{number}\r\n\
             Authorization: Bearer {CALLER_KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = Vec::new();
        while !answer.ends_with(b"}") {
            let mut buf = [0; 1_024];
            let length = stream.read(&mut buf).unwrap();
            assert_ne!(length, 0, "closed after {}", String::from_utf8_lossy(&answer));
            answer.extend_from_slice(&buf[..length]);
        }
        let answer = String::from_utf8(answer).unwrap().to_ascii_lowercase();
        assert!(answer.starts_with("http/1.1 200 "), "{answer}");
        assert!(!answer.contains("connection: close"), "{answer}");
    }
    fleet.close();
}

/// Guards against connections whose buffers take more memory than the settings allow.
#[test]
fn unfinished_heads_fit_the_memory() {
    const CROWD: usize = 1_000;
    const HEAD_BYTES: usize = 30_000;
    const MEMORY_MB: u64 = 48;
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_variable("PERSIMMON_MEMORY_MB", &MEMORY_MB.to_string())
        .with_router("router-1", "zone-a")
        .with_engine("engine-1", "zone-a", Engine::builder(MODEL))
        .start()
        .unwrap();
    let address = fleet.daemons.listen("router-1").unwrap();
    let head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nX-Long: ".to_vec();
    let message = CrowdMessage { head, rest: vec![b'x'; HEAD_BYTES].into(), from: None };
    let crowd = Crowd::send(address, vec![message; CROWD]);

    assert_serves(&fleet);
    let usage = ProcessUsage::of(fleet.daemons.id("router-1").unwrap()).unwrap();
    println!("{usage:?}, {} open", crowd.open());
    assert!(usage.peak_bytes <= MEMORY_MB * 1024 * 1024, "{usage:?}");
    crowd.close();
    fleet.close();
}
