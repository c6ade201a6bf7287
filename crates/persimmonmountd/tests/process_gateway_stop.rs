//! Tests of gateway processes that are stopped while callers use them.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{
    Answer, Behaviour, BodyEnd, BodyFraming, Caller, Deployment, GatewayFixture, REQUEST_ID,
    RouteSpec,
};
use rstest::rstest;
use socket2::{Domain, Socket, Type};

const KEY: &str = GatewayFixture::KEY;
/// Time from SIGTERM until a gateway must have ended, as on the users' sites.
const GRACE_S: u64 = 8;
/// Timeout of routes for streams, in milliseconds: as on the users' sites, longer than the grace period.
const STREAM_TIMEOUT_MS: u64 = 12_000;
/// Time after which a load balancer that checks every second sends a stopping gateway no new connections.
const BALANCER_NOTICE: Range<Duration> = Duration::from_secs(2)..Duration::from_millis(2_500);
/// Timeout of the route for calls that run once, in milliseconds.
const COMMIT_TIMEOUT_MS: u64 = 2_000;
const EVENT_PAUSE_MS: u64 = 50;
/// Size of an answer that a slow caller reads for longer than an idle gateway runs on after SIGTERM.
const LARGE_BYTES: usize = 400_000;
/// Number of callers that send a request on a kept connection around the time of its close.
const BURST: usize = 100;
/// Number of short calls before a stop.
const CALLS_BEFORE: usize = 20;

/// Starts two gateways before two endpoints.
fn start() -> GatewayFixture {
    let mut deployment = Deployment::new(env!("CARGO_BIN_EXE_persimmonmountd"), 2).unwrap();
    deployment.set_grace_s(GRACE_S);
    let mut fixture = GatewayFixture::start_on(deployment, &["one", "two"]).unwrap();
    let routes = [
        RouteSpec::once("commit").with_timeout_ms(COMMIT_TIMEOUT_MS),
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

/// Asserts that a request has a complete answer, or that the gateway hasn't read it.
fn assert_not_lost(fixture: &GatewayFixture, id: &str, answer: &io::Result<Answer>) {
    let is_whole = answer.as_ref().is_ok_and(|it| it.is_complete);
    let log = fixture.deployment.log(0);
    let of_request: Vec<_> = log.iter().filter(|line| line.contains(id)).collect();
    let is_unread = of_request.is_empty() && !has_reached_endpoint(fixture, id);
    assert!(is_whole || is_unread, "{answer:?}, {of_request:#?}");
}

/// Sends the head of a request whose body of `length` bytes follows.
fn send_head(caller: &mut Caller, path: &str, id: Option<&str>, length: usize) {
    let id = id.map(|id| format!("{REQUEST_ID}: {id}\r\n")).unwrap_or_default();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: calls.example\r\n{id}Deadline-Ms: 12000\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {length}\r\n\r\n"
    );
    caller.send_raw(head.as_bytes()).unwrap();
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
#[case::long_chat("/chat/x", 3_200, 6_000, 503)]
#[case::slow_commit_at_the_end("/commit/x", 7_300, 450, 503)]
#[case::slow_lookup_at_the_end("/lookup/x", 7_300, 450, 502)]
fn request_that_outlasts_a_stop_isnt_lost_on_a_new_connection(
    #[case] path: &str,
    #[case] sent_after_ms: u64,
    #[case] takes_ms: u64,
    #[case] expected: u16,
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
    assert_eq!(answer.status, expected, "{answer:?}");
    assert_eq!(answer.retry_after_s.is_some(), expected == 503, "{answer:?}");
    fixture.deployment.close();
}

/// Guards against requests that are passed on late in a stop and cut without an answer at its end: in calm,
/// with nothing else in progress, at any moment after the load balancer has noticed. A request that may
/// run only once isn't passed on unless it is answered in full.
#[rstest]
fn late_requests_are_answered_at_any_moment_of_a_stop(
    #[values("/commit/x", "/lookup/x", "/chat/x", "/draft/x")] path: &str,
    #[values(100, 900, 3_000)] takes_ms: u64,
) {
    const FROM_MS: u64 = 2_300;
    const EXIT_MS: u64 = GRACE_S * 1_000 - 200;
    const STEP_MS: u64 = 100;
    let fixture = start();
    caller_with_history(&fixture, path).close();
    fixture.set_behaviours(&answer_within(takes_ms));
    // A caller in each connection keeps the process running until the end.
    let mut other = request(connect(&fixture), "/lookup/x", "other");
    other.send_chunks(&["begun"], Duration::ZERO).unwrap();
    stop(&fixture, Duration::from_millis(FROM_MS));
    let late: Vec<_> = (FROM_MS..EXIT_MS)
        .step_by(STEP_MS as usize)
        .map(|at| {
            let id = format!("late-{at}");
            // Refused or reset once the process has closed its port.
            let caller = fixture.deployment.caller(0).map(|it| request(it, path, &id));
            let called = thread::spawn(move || caller.and_then(|mut it| it.call("body")));
            thread::sleep(Duration::from_millis(STEP_MS));
            (id, called)
        })
        .collect();
    let mut passed_on = 0;
    for (id, called) in late {
        let answer = called.join().unwrap();
        assert_not_lost(&fixture, &id, &answer);
        let is_passed_on = has_reached_endpoint(&fixture, &id);
        passed_on += usize::from(is_passed_on);
        if is_passed_on && path != "/lookup/x" {
            let answer = answer.unwrap();
            let is_over = path == "/commit/x" && takes_ms > COMMIT_TIMEOUT_MS;
            let expected = if is_over { 504 } else { 200 };
            assert_eq!((answer.status, answer.is_complete), (expected, true), "{id}: {answer:?}");
        }
    }
    // Deadlines of streams are longer than the time left.
    assert!(passed_on > 0 || path != "/lookup/x" || takes_ms > 900, "no request was passed on");
    fixture.deployment.close();
}

#[test]
fn request_whose_body_ends_late_in_a_stop_isnt_sent() {
    let fixture = start();
    let head = format!(
        "POST /chat/x HTTP/1.1\r\nHost: calls.example\r\n{REQUEST_ID}: slow\r\nDeadline-Ms: 12000\r\n\
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

#[rstest]
#[case::leaving("/chat/x", Some("long"), 503)]
#[case::unknown_route("/none/x", Some("long"), 404)]
#[case::no_id("/chat/x", None, 400)]
fn refusal_reaches_a_caller_that_is_still_sending_its_body(
    #[case] path: &str,
    #[case] id: Option<&str>,
    #[case] expected: u16,
) {
    let fixture = start();
    fixture.set_behaviours(&answer_within(7_000));
    let mut other = request(connect(&fixture), "/chat/x", "other");
    other.send("body").unwrap();
    stop(&fixture, Duration::from_millis(3_200));
    let mut caller = connect(&fixture);
    send_head(&mut caller, path, id, 80_000);
    for _ in 0..8 {
        caller.send_raw(&[b'x'; 10_000]).unwrap();
        thread::sleep(Duration::from_millis(20));
    }
    let answer = caller.receive().unwrap().unwrap();
    assert_eq!(answer.status, expected, "{answer:?}");
    fixture.deployment.close();
}

#[test]
fn connection_of_a_refused_caller_stays_open_after_its_body() {
    let fixture = start();
    let mut caller = connect(&fixture);
    send_head(&mut caller, "/none/x", Some("none"), 8);
    caller.send_raw(b"half").unwrap();
    assert_eq!(caller.receive().unwrap().unwrap().status, 404);
    caller.send_raw(b"more").unwrap();
    // Longer than a head may take.
    thread::sleep(Duration::from_millis(2_500));
    let answer = request(caller, "/commit/x", "next").call("body").unwrap();
    assert_eq!(answer.status, 200);
    fixture.deployment.close();
}

/// The caller's receive buffer and segments are small, so that most of the answer waits in the gateway.
/// `extra` is sent after the request, and may look like the start of another one.
#[rstest]
#[case::plain("1.1", "", Duration::ZERO)]
#[case::ends_with_the_connection("1.0", "", Duration::ZERO)]
#[case::extra_line_end("1.1", "\r\n", Duration::ZERO)]
#[case::next_request_begun("1.1", "POST /lookup/x HT", Duration::ZERO)]
#[case::extra_line_end_after_the_signal("1.1", "\r\n", Duration::from_millis(1_900))]
fn slow_caller_gets_its_whole_answer_from_a_stopping_gateway(
    #[case] version: &str,
    #[case] extra: &str,
    #[case] sent_after: Duration,
) {
    let fixture = start();
    fixture.set_behaviours(&large_answer(LARGE_BYTES));
    if !sent_after.is_zero() {
        stop(&fixture, sent_after);
    }
    let mut caller = send_on_narrow_connection(&fixture, "/lookup/x", version);
    thread::sleep(Duration::from_millis(200));
    caller.write_all(extra.as_bytes()).unwrap();
    if sent_after.is_zero() {
        stop(&fixture, Duration::ZERO);
    }
    let (total, result) = read_slowly(&mut caller);
    assert!(total > LARGE_BYTES, "{total} bytes, then {result:?}");
    fixture.deployment.close();
}

#[test]
fn exit_isnt_delayed_by_a_slow_caller() {
    let mut fixture = start();
    fixture.set_behaviours(&large_answer(30_000_000));
    let mut caller = send_on_narrow_connection(&fixture, "/chat/x", "1.1");
    thread::sleep(Duration::from_millis(300));
    let stopped = Instant::now();
    stop(&fixture, Duration::ZERO);
    let reading = thread::spawn(move || read_slowly(&mut caller));
    assert_eq!(fixture.deployment.wait_ended(0).unwrap().code(), Some(0));
    assert!(stopped.elapsed() < Duration::from_secs(GRACE_S), "{:?}", stopped.elapsed());
    let (total, result) = reading.join().unwrap();
    println!("{total} bytes, then {result:?}");
    fixture.deployment.close();
}

fn large_answer(bytes: usize) -> Behaviour {
    let (framing, body) = (BodyFraming::Length, "x".repeat(bytes));
    Behaviour::Body { headers: "", framing, body, sent_bytes: bytes, end: BodyEnd::Framed }
}

fn send_on_narrow_connection(fixture: &GatewayFixture, path: &str, version: &str) -> TcpStream {
    let mut caller = connect_narrow(fixture).unwrap();
    let head = format!(
        "POST {path} HTTP/{version}\r\nHost: calls.example\r\n{REQUEST_ID}: large\r\nDeadline-Ms: 12000\r\n\
         Authorization: Bearer {KEY}\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).unwrap();
    caller
}

/// Reads all that a gateway sends, at some 80 KB/s.
fn read_slowly(caller: &mut TcpStream) -> (usize, io::Result<()>) {
    let (mut total, mut buf) = (0, [0; 4_096]);
    loop {
        match caller.read(&mut buf) {
            Ok(0) => return (total, Ok(())),
            Ok(length) => total += length,
            Err(err) => return (total, Err(err)),
        }
        thread::sleep(Duration::from_millis(50));
    }
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
    assert!(BALANCER_NOTICE.contains(&stopped.elapsed()), "{:?}", stopped.elapsed());
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

#[test]
fn exit_logs_a_resumed_stream_that_it_cuts() {
    let mut fixture = start();
    fixture.set_behaviours(&answer_within(10_000));
    let (events, pause) = (200, Duration::from_millis(EVENT_PAUSE_MS));
    let breaking = Behaviour::Stream { events, pause, cut_after: Some(5) };
    fixture.endpoints[0].queue_behaviour(breaking);
    // One of them meets the endpoint that breaks its stream off.
    let callers: Vec<_> = (0..6)
        .map(|number| {
            let mut caller = request(connect(&fixture), "/draft/x", &format!("stream-{number}"));
            caller.send("body").unwrap();
            caller
        })
        .collect();
    fixture.wait_for_log(0, "stream resumed").unwrap();
    stop(&fixture, Duration::ZERO);
    assert_eq!(fixture.deployment.wait_ended(0).unwrap().code(), Some(0));
    let log = fixture.deployment.log(0);
    let cut = log.iter().filter(|line| line.contains("cut off by the exit")).count();
    assert_eq!(cut, callers.len(), "{log:#?}");
    fixture.deployment.close();
}

#[test]
fn request_at_the_close_of_its_connection_is_answered_or_unread() {
    let fixture = start();
    fixture.set_behaviours(&Behaviour::ok());
    let callers: Vec<_> = (0..BURST)
        .map(|number| {
            let mut caller = request(connect(&fixture), "/commit/x", &format!("before-{number}"));
            assert_eq!(caller.call("body").unwrap().status, 200);
            caller
        })
        .collect();
    fixture.set_behaviours(&answer_within(7_000));
    let mut other = request(connect(&fixture), "/chat/x", "other");
    other.send("body").unwrap();
    other.wait_for("id: 1").unwrap();
    fixture.set_behaviours(&Behaviour::ok());
    stop(&fixture, Duration::from_millis(2_100));
    let unanswered = thread::scope(|scope| {
        let calls: Vec<_> = callers
            .into_iter()
            .enumerate()
            .map(|(number, caller)| {
                let fixture = &fixture;
                scope.spawn(move || {
                    thread::sleep(Duration::from_millis(number as u64 * 2));
                    let id = format!("at-{number}");
                    let answer = request(caller, "/commit/x", &id).call("body");
                    assert_not_lost(fixture, &id, &answer);
                    answer.is_err()
                })
            })
            .collect();
        calls.into_iter().filter_map(|it| it.join().unwrap().then_some(())).count()
    });
    println!("{unanswered} of {BURST} connections were closed before the request was read");
    fixture.deployment.close();
}
