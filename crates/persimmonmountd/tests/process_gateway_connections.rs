//! Tests of a gateway whose connections are taken by a crowd of callers that don't end their requests.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use persimmon_platform::standin::{
    Answer, Behaviour, Caller, Deployment, EndpointStandin, REQUEST_ID, RouteSpec, wait_until,
};
use persimmon_standins::{Crowd, CrowdMessage, ProcessUsage};
use rstest::rstest;

/// Descriptors that the gateway's settings state. Half of them are for callers.
const MAX_DESCRIPTORS: usize = 128;
/// Number of callers in the crowd, more than the gateway has descriptors.
const CROWD: usize = 200;
/// Number of addresses of a crowd that has many.
const MANY_ADDRESSES: usize = 50;
/// Memory that the gateway may use, in megabytes.
const MEMORY_MB: u64 = 64;
const MAX_BODY_BYTES: u64 = 1024 * 1024;
/// Timeout of the routes, in milliseconds, which is longer than a test.
const TIMEOUT_MS: u64 = 120_000;
const KEY: &str = "key-1";
const UNKNOWN_KEY: &str = "key-2";

/// One test at a time, since each measures a process under load.
static RUNNING: Mutex<()> = Mutex::new(());

/// How far a caller of the crowd gets with its request.
#[derive(Debug, Clone, Copy)]
enum Unfinished {
    /// A body in chunks of this many bytes, without the last chunk.
    Chunks { chunk_bytes: usize, body_bytes: usize },
    /// A body of stated length, without its last byte.
    Length { body_bytes: usize },
    /// A chunk's size that begins with this many zeros and doesn't end.
    ChunkSize { zeros: usize },
    /// A body in chunks behind a key that no workspace has, without the last chunk.
    Refused { body_bytes: usize },
}

const LARGE_CHUNKS: Unfinished = Unfinished::Chunks { chunk_bytes: 32 * 1024, body_bytes: 64_000 };
const TINY_CHUNKS: Unfinished = Unfinished::Chunks { chunk_bytes: 8, body_bytes: 24_000 };
const LENGTH: Unfinished = Unfinished::Length { body_bytes: 64_000 };
const CHUNK_SIZE: Unfinished = Unfinished::ChunkSize { zeros: 60_000 };
const REFUSED: Unfinished = Unfinished::Refused { body_bytes: 64_000 };

impl Unfinished {
    /// Returns what callers at this many addresses send.
    fn messages(self, path: &str, addresses: usize) -> Vec<CrowdMessage> {
        let key = match self {
            Self::Refused { .. } => UNKNOWN_KEY,
            _ => KEY,
        };
        let framing = match self {
            Self::Length { body_bytes } => format!("Content-Length: {body_bytes}"),
            _ => "Transfer-Encoding: chunked".to_owned(),
        };
        let rest = match self {
            Self::Chunks { chunk_bytes, body_bytes } => chunks(chunk_bytes, body_bytes),
            Self::Refused { body_bytes } => chunks(1_024, body_bytes),
            Self::Length { body_bytes } => vec![b'x'; body_bytes - 1],
            Self::ChunkSize { zeros } => vec![b'0'; zeros],
        };
        let rest = Arc::from(rest);
        let message = |number: usize| {
            let head = format!(
                "POST {path} HTTP/1.1\r\nHost: calls.example\r\nAuthorization: Bearer {key}\r\n\
                 {REQUEST_ID}: crowd-{number}\r\n{framing}\r\n\r\n"
            );
            let last = u8::try_from(number % addresses).unwrap();
            let from = Some(IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1 + last)));
            CrowdMessage { head: head.into_bytes(), rest: Arc::clone(&rest), from }
        };
        (0..CROWD).map(message).collect()
    }
}

fn chunks(chunk_bytes: usize, body_bytes: usize) -> Vec<u8> {
    let size = format!("{chunk_bytes:x}\r\n");
    let chunk = [size.as_bytes(), &vec![b'x'; chunk_bytes], b"\r\n"].concat();
    chunk.repeat(body_bytes.div_ceil(chunk_bytes))
}

/// A gateway with few descriptors, and one endpoint.
struct Play {
    deployment: Deployment,
    endpoint: EndpointStandin,
}

impl Play {
    fn start() -> Self {
        let mut deployment = Deployment::new(env!("CARGO_BIN_EXE_persimmonmountd"), 1).unwrap();
        deployment.set_max_descriptors(MAX_DESCRIPTORS);
        deployment.set_memory_mb(MEMORY_MB);
        deployment.set_max_body_bytes(MAX_BODY_BYTES);
        let endpoint = EndpointStandin::start("one", Behaviour::ok()).unwrap();
        deployment.publish_endpoint(&endpoint, false);
        let routes = [RouteSpec::once("commit"), RouteSpec::stream("chat", false)];
        let routes = routes.map(|it| it.with_timeout_ms(TIMEOUT_MS));
        deployment.publish_routes(&routes, &[KEY]);
        deployment.start_all().unwrap();
        assert!(wait_until(|| deployment.knows(0, "one")));
        Self { deployment, endpoint }
    }

    fn caller(&self, id: &str) -> Caller {
        self.deployment.caller(0).unwrap().request("POST", "/commit/x", id).with_key(KEY)
    }

    fn crowd(&self, unfinished: Unfinished, path: &str, addresses: usize) -> Crowd {
        let address = self.deployment.callers_address(0);
        let crowd = Crowd::send(address, unfinished.messages(path, addresses));
        println!("{} of {CROWD} connections are open", crowd.open());
        crowd
    }

    /// Sends one ordinary request on one connection, and checks that it is served.
    fn assert_serves(&self) {
        assert_served(&self.caller("ordinary").call("the body").unwrap());
    }

    /// Checks the process, and that nothing has run that the crowd sent.
    fn check(mut self) {
        assert!(!self.deployment.has_ended(0), "the gateway has ended");
        let usage = ProcessUsage::of(self.deployment.id(0)).unwrap();
        println!("{usage:?}");
        let received = self.endpoint.received();
        assert!(received.iter().all(|it| !it.id.starts_with("crowd-")), "{received:?}");
        assert!(usage.descriptors <= MAX_DESCRIPTORS, "{usage:?}");
        assert!(usage.peak_bytes <= MEMORY_MB * 1024 * 1024, "{usage:?}");
        self.deployment.close();
    }
}

fn assert_served(answer: &Answer) {
    assert_eq!((answer.status, &*answer.body), (200, "done"), "{answer:?}");
}

/// Checks that callers are told that their requests haven't run, or that these are invalid.
fn check_refusals(crowd: &Crowd) {
    for received in crowd.received().filter(|it| !it.is_empty()) {
        let answer = std::str::from_utf8(received).unwrap().to_ascii_lowercase();
        let status = answer.split(' ').nth(1).unwrap();
        let is_promise = status == "408" || (status == "503" && answer.contains("retry-after: "));
        assert!(is_promise || status == "400" || status == "401", "{answer}");
        assert!(answer.contains("connection: close\r\n") || status == "401", "{answer}");
    }
}

/// Guards against crowds that shut ordinary callers out by holding all connections with requests that
/// they don't end.
#[rstest]
#[case::large_chunks(LARGE_CHUNKS)]
#[case::tiny_chunks(TINY_CHUNKS)]
#[case::length(LENGTH)]
#[case::chunk_size(CHUNK_SIZE)]
#[case::refused(REFUSED)]
fn ordinary_request_is_served_beside_unfinished_ones(
    #[case] unfinished: Unfinished,
    #[values("/commit/x", "/chat/x")] path: &str,
    #[values(1, MANY_ADDRESSES)] addresses: usize,
) {
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let play = Play::start();
    let crowd = play.crowd(unfinished, path, addresses);
    play.assert_serves();
    check_refusals(&crowd);
    crowd.close();
    play.check();
}

/// Guards against an answer that is lost because its connection gave way: the request may have run.
#[rstest]
#[case::one_address(1)]
#[case::many_addresses(MANY_ADDRESSES)]
fn complete_request_keeps_its_connection(#[case] addresses: usize) {
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let play = Play::start();
    play.endpoint.hold_answers(true);
    let mut running = play.caller("running");
    running.send("the body").unwrap();
    assert!(wait_until(|| play.endpoint.received().len() == 1));
    let crowd = play.crowd(TINY_CHUNKS, "/commit/x", addresses);
    play.endpoint.hold_answers(false);
    assert_served(&running.receive().unwrap().unwrap());
    play.assert_serves();
    crowd.close();
    play.check();
}

/// Guards against uploads that are cut off beside a crowd although they arrive steadily.
#[rstest]
#[case::one_address(1)]
#[case::many_addresses(MANY_ADDRESSES)]
fn steady_upload_keeps_its_connection(#[case] addresses: usize) {
    const CHUNKS: usize = 200;
    const PAUSE: Duration = Duration::from_millis(20);
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let play = Play::start();
    let mut upload = play.caller("upload");
    let answer = std::thread::scope(|scope| {
        let crowd = scope.spawn(|| play.crowd(TINY_CHUNKS, "/commit/x", addresses));
        upload.send_chunks(&[&*"y".repeat(1_000); CHUNKS], PAUSE).unwrap();
        let answer = upload.receive().unwrap().unwrap();
        crowd.join().unwrap().close();
        answer
    });
    assert_served(&answer);
    play.check();
}
