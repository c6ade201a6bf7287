//! Tests of gateway processes that are stopped while callers use them.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{
    Answer, Behaviour, BodyEnd, BodyFraming, Caller, Deployment, GatewayFixture, RouteSpec,
};
use rstest::rstest;
use socket2::{Domain, Socket, Type};

const KEY: &str = GatewayFixture::KEY;
/// Time from SIGTERM until a gateway must have ended, as on the users' sites.
const GRACE_S: u64 = 8;
/// Timeout of routes for streams, in milliseconds: as on the users' sites, longer than the grace period.
const STREAM_TIMEOUT_MS: u64 = 12_000;
/// Time after which the users' load balancer sends a stopping gateway no new connections, at most.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_500);
const EVENT_PAUSE_MS: u64 = 50;
/// Size of an answer that a slow caller reads for longer than an idle gateway runs on after SIGTERM.
const LARGE_BYTES: usize = 400_000;
/// Number of short calls before a stop.
const CALLS_BEFORE: usize = 20;

/// Starts two gateways before two endpoints.
fn start() -> GatewayFixture {
    let mut deployment = Deployment::new(env!("CARGO_BIN_EXE_persimmonmountd"), 2).unwrap();
    deployment.set_grace_s(GRACE_S);
    let mut fixture = GatewayFixture::start_on(deployment, &["one", "two"]).unwrap();
    let routes = [
        RouteSpec::once("commit").with_timeout_ms(2_000),
        RouteSpec::repeatable("lookup").with_timeout_ms(2_000),
        RouteSpec::stream("draft", true).with_timeout_ms(STREAM_TIMEOUT_MS),
        RouteSpec::stream("chat", false).with_timeout_ms(STREAM_TIMEOUT_MS),
    ];
    fixture.deployment.publish_routes(&routes, &[KEY]);
    fixture.wait_for_log(0, "\"routes in force\",\"version\":2").unwrap();
    fixture
}

/// Returns a behaviour whose answers take this time.
fn answer_within(ms: u64) -> Behaviour {
    let pause = Duration::from_millis(EVENT_PAUSE_MS);
    Behaviour::Stream { events: ms / EVENT_PAUSE_MS, pause, cut_after: None }
}

fn connect(fixture: &GatewayFixture) -> Caller {
    fixture.deployment.caller(0).unwrap()
}

fn request(caller: Caller, path: &str, id: &str) -> Caller {
    caller.request("POST", path, id).with_key(KEY).with_deadline_ms(STREAM_TIMEOUT_MS)
}

/// Makes short calls over one connection, and returns the connection.
fn caller_with_history(fixture: &GatewayFixture, path: &str) -> Caller {
    fixture.set_behaviours(&answer_within(EVENT_PAUSE_MS));
    let mut caller = connect(fixture);
    for number in 0..CALLS_BEFORE {
        caller = request(caller, path, &format!("before-{number}"));
        assert_eq!(caller.call("body").unwrap().status, 200);
    }
    caller
}

fn has_reached_endpoint(fixture: &GatewayFixture, id: &str) -> bool {
    fixture.endpoints.iter().any(|it| it.received().iter().any(|it| it.id == id))
}

/// Stops the first gateway, and returns after `after` has passed since.
fn stop(fixture: &GatewayFixture, after: Duration) {
    fixture.deployment.stop(0).unwrap();
    thread::sleep(after);
}

fn assert_not_lost(fixture: &GatewayFixture, id: &str, answer: &io::Result<Answer>) {
    let is_whole = answer.as_ref().is_ok_and(|it| it.is_complete);
    let log = fixture.deployment.log(0);
    let of_request: Vec<_> = log.iter().filter(|line| line.contains(id)).collect();
    assert!(is_whole || !has_reached_endpoint(fixture, id), "{answer:?}, {of_request:#?}");
}

#[rstest]
#[case::long_chat("/chat/x", 3_200, 6_000)]
#[case::long_draft("/draft/x", 3_200, 6_000)]
#[case::slow_commit_at_the_end("/commit/x", 7_300, 450)]
#[case::slow_lookup_at_the_end("/lookup/x", 7_300, 450)]
fn request_that_outlasts_a_stop_isnt_lost_on_a_kept_connection(
    #[case] path: &str,
    #[case] sent_after_ms: u64,
    #[case] takes_ms: u64,
) {
    let fixture = start();
    let kept = caller_with_history(&fixture, path);
    // A stream in progress keeps the process running.
    fixture.set_behaviours(&answer_within(7_000));
    let mut other = request(connect(&fixture), "/chat/x", "other");
    other.send("body").unwrap();
    stop(&fixture, Duration::from_millis(sent_after_ms));
    fixture.set_behaviours(&answer_within(takes_ms));
    let answer = request(kept, path, "late").call("body");
    assert_not_lost(&fixture, "late", &answer);
    fixture.deployment.close();
}

#[rstest]
#[case::long_chat("/chat/x", 3_200, 6_000)]
#[case::slow_commit_at_the_end("/commit/x", 7_300, 450)]
#[case::slow_lookup_at_the_end("/lookup/x", 7_300, 450)]
fn request_that_outlasts_a_stop_isnt_lost_on_a_new_connection(
    #[case] path: &str,
    #[case] sent_after_ms: u64,
    #[case] takes_ms: u64,
) {
    let fixture = start();
    caller_with_history(&fixture, path).close();
    fixture.set_behaviours(&answer_within(7_000));
    let mut other = request(connect(&fixture), "/chat/x", "other");
    other.send("body").unwrap();
    stop(&fixture, Duration::from_millis(sent_after_ms));
    fixture.set_behaviours(&answer_within(takes_ms));
    let answer = request(connect(&fixture), path, "late").call("body");
    assert_not_lost(&fixture, "late", &answer);
    let answer = answer.unwrap();
    assert!(answer.status != 503 || answer.retry_after_s.is_some(), "{answer:?}");
    fixture.deployment.close();
}

#[test]
fn request_whose_body_ends_late_in_a_stop_isnt_sent() {
    let fixture = start();
    let head = format!(
        "POST /chat/x HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: slow\r\nDeadline-Ms: 12000\r\n\
         Authorization: Bearer {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut caller = connect(&fixture);
    caller.send_raw(format!("{head}4\r\nbody\r\n").as_bytes()).unwrap();
    fixture.set_behaviours(&answer_within(6_000));
    stop(&fixture, Duration::from_secs(5));
    caller.send_raw(b"0\r\n\r\n").unwrap();
    let answer = caller.receive().unwrap().unwrap();
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.retry_after_s.is_some(), "{answer:?}");
    assert!(!has_reached_endpoint(&fixture, "slow"));
    fixture.deployment.close();
}

#[test]
fn refusal_reaches_a_caller_that_is_still_sending_its_body() {
    let fixture = start();
    fixture.set_behaviours(&answer_within(7_000));
    let mut other = request(connect(&fixture), "/chat/x", "other");
    other.send("body").unwrap();
    stop(&fixture, Duration::from_millis(3_200));
    let mut caller = connect(&fixture);
    let head = format!(
        "POST /chat/x HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: long\r\nDeadline-Ms: 12000\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: 80000\r\n\r\n"
    );
    caller.send_raw(head.as_bytes()).unwrap();
    for _ in 0..8 {
        caller.send_raw(&[b'x'; 10_000]).unwrap();
        thread::sleep(Duration::from_millis(20));
    }
    let answer = caller.receive().unwrap().unwrap();
    assert_eq!(answer.status, 503, "{answer:?}");
    fixture.deployment.close();
}

/// The caller's receive buffer and segments are small, so that most of the answer waits in the gateway.
#[test]
fn slow_caller_gets_its_whole_answer_from_a_stopping_gateway() {
    let fixture = start();
    let body = "x".repeat(LARGE_BYTES);
    let (framing, sent_bytes) = (BodyFraming::Length, body.len());
    let answer = Behaviour::Body { headers: "", framing, body, sent_bytes, end: BodyEnd::Framed };
    fixture.set_behaviours(&answer);
    let mut caller = connect_narrow(&fixture).unwrap();
    let head = format!(
        "POST /lookup/x HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: large\r\nDeadline-Ms: 2000\r\n\
         Authorization: Bearer {KEY}\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).unwrap();
    stop(&fixture, Duration::ZERO);
    let (mut total, mut buf) = (0, [0; 4_096]);
    let result = loop {
        match caller.read(&mut buf) {
            Ok(0) => break Ok(()),
            Ok(length) => total += length,
            Err(err) => break Err(err),
        }
        // The whole answer takes about five seconds.
        thread::sleep(Duration::from_millis(50));
    };
    assert!(total > LARGE_BYTES, "{total} bytes, then {result:?}");
    fixture.deployment.close();
}

/// Connects to the first gateway with a small receive buffer and small segments.
fn connect_narrow(fixture: &GatewayFixture) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(4_096)?;
    socket.set_tcp_mss(536)?;
    socket.connect(&fixture.deployment.callers_address(0).into())?;
    socket.set_read_timeout(Some(Duration::from_secs(10)))?;
    Ok(socket.into())
}

#[test]
fn request_without_an_answer_is_answered_before_the_exit() {
    let fixture = start();
    fixture.set_behaviours(&Behaviour::Hang);
    let mut caller = request(connect(&fixture), "/chat/x", "silent");
    caller.send("body").unwrap();
    stop(&fixture, Duration::ZERO);
    let answer = caller.receive().unwrap().unwrap();
    assert_eq!(answer.status, 502, "{answer:?}");
    assert!(answer.is_complete);
    fixture.deployment.close();
}

#[test]
fn idle_connections_are_closed_after_the_load_balancer_has_noticed() {
    let fixture = start();
    let mut kept = caller_with_history(&fixture, "/lookup/x");
    fixture.set_behaviours(&answer_within(7_000));
    let mut other = request(connect(&fixture), "/chat/x", "other");
    other.send("body").unwrap();
    let stopped = Instant::now();
    stop(&fixture, Duration::ZERO);
    assert!(kept.is_closed());
    assert!(stopped.elapsed() < BALANCER_NOTICE, "{:?}", stopped.elapsed());
    // A caller that connects now has the time to send its request.
    let caller = connect(&fixture);
    thread::sleep(Duration::from_millis(200));
    request(caller, "/lookup/x", "late").call("body").unwrap();
    fixture.deployment.close();
}

#[test]
fn exit_logs_the_requests_that_it_cuts() {
    let mut fixture = start();
    fixture.set_behaviours(&answer_within(10_000));
    let mut caller = request(connect(&fixture), "/chat/x", "long");
    caller.send("body").unwrap();
    caller.wait_for("id: 1").unwrap();
    stop(&fixture, Duration::ZERO);
    assert_eq!(fixture.deployment.wait_ended(0).unwrap().code(), Some(0));
    let is_cut = |line: &&String| line.contains("cut off by the exit") && line.contains("\"long\"");
    let log = fixture.deployment.log(0);
    let cut = log.iter().find(is_cut).unwrap_or_else(|| panic!("{log:#?}"));
    assert!(cut.contains("\"route\":\"chat\"") && cut.contains("\"answering\""), "{cut}");
    fixture.deployment.close();
}
