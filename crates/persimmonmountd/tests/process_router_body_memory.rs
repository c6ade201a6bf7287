//! Tests of a router's memory while a crowd of callers sends bodies that stop just short of their end, or
//! long prompts whose answers nobody reads.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use persimmon_standins::fleet::{CALLER_KEY, ChatRequest, Fleet};
use persimmon_standins::{Crowd, CrowdMessage, Engine, ProcessUsage, SocketBytes};
use rstest::rstest;

/// Memory that the router may use, in megabytes.
const MEMORY_MB: u64 = 64;
/// Number of callers in the crowd.
const CROWD: usize = 96;
/// Descriptors for everything but the crowd's connections.
const OWN_DESCRIPTORS: usize = 64;
/// Maximum size of a body, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Size of a long prompt, in bytes.
const PROMPT_BYTES: usize = 900_000;
/// Time within which the router must have read what the crowd sent; far more than a busy machine needs.
const READ_LIMIT: Duration = Duration::from_secs(90);
const READ_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the engine makes tokens, so that a prompt's answer lasts longer than a test.
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);
const MAX_TOKENS: u32 = 100_000;
const MODEL: &str = "chat-large";
/// Model of ordinary requests, whose engine the crowd doesn't load.
const ORDINARY_MODEL: &str = "chat-small";
const SERVICE: &str = "booking";
const CHAT_PATH: &str = "/v1/chat/completions";
const CALLS_PATH: &str = "/v1/services/booking/calls";

/// One test at a time, since each measures a process under load.
static RUNNING: Mutex<()> = Mutex::new(());

/// A request of the crowd.
#[derive(Debug, Clone, Copy)]
enum Sending {
    /// A body in chunks of this many bytes, without the last chunk.
    Chunks { chunk_bytes: usize, body_bytes: usize },
    /// A body of stated length, without its last byte.
    Length { body_bytes: usize },
    /// A complete request for a stream with a long prompt.
    Prompt,
    /// A complete call whose body has half a million values of one digit each.
    ManyValues,
    /// A complete call whose body has a hundred thousand members with short names.
    ManyMembers,
}

const LARGE_CHUNKS: Sending = Sending::Chunks { chunk_bytes: 64 * 1024, body_bytes: 950_000 };
const ONE_CHUNK: Sending = Sending::Chunks { chunk_bytes: 1_000_000, body_bytes: 1_000_000 };
const CHUNKS_OF_7: Sending = Sending::Chunks { chunk_bytes: 7, body_bytes: 300_000 };
const CHUNKS_OF_1: Sending = Sending::Chunks { chunk_bytes: 1, body_bytes: 100_000 };
const LENGTH: Sending = Sending::Length { body_bytes: 1_000_000 };

impl Sending {
    fn messages(self, path: &str) -> Vec<CrowdMessage> {
        let (framing, body) = match self {
            Self::Chunks { chunk_bytes, body_bytes } => {
                let size = format!("{chunk_bytes:x}\r\n");
                let chunk = [size.as_bytes(), &vec![b' '; chunk_bytes], b"\r\n"].concat();
                let body = chunk.repeat(body_bytes.div_ceil(chunk_bytes));
                ("Transfer-Encoding: chunked".to_owned(), body)
            }
            Self::Length { body_bytes } => {
                (format!("Content-Length: {body_bytes}"), vec![b' '; body_bytes - 1])
            }
            Self::ManyValues => call(&format!("[0{}]", ",0".repeat(500_000))),
            Self::ManyMembers => {
                let members: Vec<_> = (0..100_000).map(|it| format!("\"{it:x}\":0")).collect();
                call(&format!("{{{}}}", members.join(",")))
            }
            Self::Prompt => {
                let request = ChatRequest::new(MODEL, &"x".repeat(PROMPT_BYTES));
                let body = request.with_max_tokens(MAX_TOKENS).body(true);
                (format!("Content-Length: {}", body.len()), body.into_bytes())
            }
        };
        let rest: Arc<[u8]> = body.into();
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer {CALLER_KEY}\r\n\
             {framing}\r\n\r\n"
        );
        let message = CrowdMessage { head: head.into_bytes(), rest, from: None };
        vec![message; CROWD]
    }
}

/// Returns the framing and the body of a call with this JSON value.
fn call(value: &str) -> (String, Vec<u8>) {
    let body = format!("{{\"operation\":\"book\",\"body\":{value}}}").into_bytes();
    (format!("Content-Length: {}", body.len()), body)
}

fn start_fleet() -> Fleet {
    let engine = Engine::builder(MODEL).with_slots(2 * CROWD).with_token_interval(TOKEN_INTERVAL);
    Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_variable("PERSIMMON_MEMORY_MB", &MEMORY_MB.to_string())
        .with_router("router-1", "zone-a")
        .with_engine("engine-1", "zone-a", engine)
        .with_engine("engine-2", "zone-a", Engine::builder(ORDINARY_MODEL))
        .with_service("booking-1", "zone-a", SERVICE)
        .start()
        .unwrap()
}

/// Waits until the router has read what its callers sent, so that its memory shows all of it.
fn wait_read(fleet: &Fleet) {
    let address = fleet.daemons.listen("router-1").unwrap();
    let until = Instant::now() + READ_LIMIT;
    loop {
        let bytes = SocketBytes::at(address).unwrap();
        if bytes.unread + bytes.under_way == 0 {
            return;
        }
        assert!(Instant::now() < until, "{bytes:?}");
        thread::sleep(READ_INTERVAL);
    }
}

/// Sends one ordinary request, and checks that it is served.
fn assert_serves(fleet: &Fleet) {
    let request = ChatRequest::new(ORDINARY_MODEL, "an ordinary prompt").with_max_tokens(2);
    let reply = fleet.caller("router-1").unwrap().chat(&request).unwrap();
    assert_eq!((reply.status, reply.text()), (200, request.expected_answer()), "{reply:?}");
}

/// Checks that refused callers are told that their requests haven't run.
fn check_refusals(crowd: &Crowd) {
    for received in crowd.received() {
        let answer = String::from_utf8_lossy(received);
        let is_refusal = answer.starts_with("HTTP/1.1 ") && !answer.starts_with("HTTP/1.1 200 ");
        if is_refusal {
            let status = answer.split(' ').nth(1).unwrap().to_owned();
            let answer = answer.to_ascii_lowercase();
            assert!(answer.contains("persimmon-outcome: not-run"), "{answer}");
            let is_promise =
                status == "408" || (status == "503" && answer.contains("retry-after: "));
            assert!(is_promise || status == "400", "{answer}");
        }
    }
}

fn check_process(fleet: &Fleet) {
    let usage = ProcessUsage::of(fleet.daemons.id("router-1").unwrap()).unwrap();
    println!("{usage:?}");
    assert!(usage.descriptors <= CROWD + OWN_DESCRIPTORS, "{usage:?}");
    assert!(usage.peak_bytes <= MEMORY_MB * 1024 * 1024, "{usage:?}");
}

/// Guards against bodies that take more memory than the settings allow: the process is killed then, and
/// all requests in progress are lost.
#[rstest]
#[case::large_chunks(LARGE_CHUNKS)]
#[case::one_chunk(ONE_CHUNK)]
#[case::chunks_of_7(CHUNKS_OF_7)]
#[case::chunks_of_1(CHUNKS_OF_1)]
#[case::length(LENGTH)]
fn bodies_that_stop_short_of_their_end_fit_the_memory(
    #[case] sending: Sending,
    #[values(CHAT_PATH, CALLS_PATH)] path: &str,
) {
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = start_fleet();
    let address = fleet.daemons.listen("router-1").unwrap();
    let crowd = Crowd::send(address, sending.messages(path));
    wait_read(&fleet);
    assert_serves(&fleet);
    check_refusals(&crowd);
    check_process(&fleet);
    crowd.close();
    fleet.close();
}

/// Guards against long prompts whose memory grows with the number of their streams.
#[test]
fn prompts_of_unread_streams_fit_the_memory() {
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = start_fleet();
    let address = fleet.daemons.listen("router-1").unwrap();
    let crowd = Crowd::send_without_reading(address, Sending::Prompt.messages(CHAT_PATH));
    assert_serves(&fleet);
    check_process(&fleet);
    crowd.close();
    fleet.close();
}

/// Guards against requests whose parsed form is far larger than their text.
#[rstest]
#[case::many_values(Sending::ManyValues)]
#[case::many_members(Sending::ManyMembers)]
fn parsed_calls_fit_the_memory(#[case] sending: Sending) {
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = start_fleet();
    let address = fleet.daemons.listen("router-1").unwrap();
    let crowd = Crowd::send(address, sending.messages(CALLS_PATH));
    assert!(crowd.received().any(|it| !it.is_empty()), "no call was answered");
    assert_serves(&fleet);
    check_process(&fleet);
    crowd.close();
    fleet.close();
}

/// Guards against limits that refuse a single body of the maximum size.
#[rstest]
#[case::length(None)]
#[case::large_chunks(Some(64 * 1024))]
#[case::small_chunks(Some(64))]
fn largest_body_is_served(#[case] chunk_bytes: Option<usize>) {
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = start_fleet();
    let short = ChatRequest::new(MODEL, "").with_max_tokens(2).body(false).len();
    let request = ChatRequest::new(MODEL, &"x".repeat(MAX_BODY_BYTES - short)).with_max_tokens(2);
    let body = request.body(false).into_bytes();
    assert_eq!(body.len(), MAX_BODY_BYTES);
    let (framing, body) = match chunk_bytes {
        None => (format!("Content-Length: {}", body.len()), body),
        Some(bytes) => {
            let chunk =
                |it: &[u8]| [format!("{:x}\r\n", it.len()).as_bytes(), it, b"\r\n"].concat();
            let mut chunks: Vec<u8> = body.chunks(bytes).flat_map(chunk).collect();
            chunks.extend_from_slice(b"0\r\n\r\n");
            ("Transfer-Encoding: chunked".to_owned(), chunks)
        }
    };
    let head = format!(
        "POST {CHAT_PATH} HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer {CALLER_KEY}\r\n\
         {framing}\r\n\r\n"
    );
    let message = CrowdMessage { head: head.into_bytes(), rest: body.into(), from: None };
    let address = fleet.daemons.listen("router-1").unwrap();
    let mut caller = Crowd::send(address, vec![message]);
    let until = Instant::now() + READ_LIMIT;
    let answer = |caller: &Crowd| caller.received().next().unwrap().to_vec();
    while !answer(&caller).ends_with(b"}") && Instant::now() < until {
        caller.step();
        thread::sleep(READ_INTERVAL);
    }
    let answer = String::from_utf8(answer(&caller)).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.contains(&request.expected_answer()), "{answer}");
    check_process(&fleet);
    caller.close();
    fleet.close();
}
