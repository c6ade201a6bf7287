//! Tests of gateway processes: complete answers, no request run twice, and clear failures.

use std::time::{Duration, Instant};

use persimmon_platform::standin::{Answer, Behaviour, EndpointStandin, GatewayFixture, wait_until};
use rstest::rstest;

const KEY: &str = GatewayFixture::KEY;
const STREAM: Behaviour =
    Behaviour::Stream { events: 8, pause: Duration::from_millis(10), cut_after: None };

/// Number of requests after which one of two endpoints has certainly been chosen.
const MAX_REQUESTS: usize = 100;

/// Starts one gateway before the endpoints `one` and `two`.
fn start() -> GatewayFixture {
    GatewayFixture::start(env!("CARGO_BIN_EXE_persimmonmountd"), 1, &["one", "two"]).unwrap()
}

#[test]
fn request_is_forwarded_unchanged() {
    let fixture = start();
    let caller = fixture.deployment.caller(0).unwrap();
    let answer = caller
        .request("POST", "/commit/a%2Fb?x=1&y=%20", "request-1")
        .with_key(KEY)
        .with_deadline_ms(4_000)
        .with_reserved_headers()
        .with_header("X-Own", "kept")
        .call("the body")
        .unwrap();
    assert_eq!((answer.status, &*answer.body), (200, "done"));
    assert!(answer.is_signed && answer.is_complete);
    assert_eq!(answer.id.as_deref(), Some("request-1"));
    let received = [fixture.endpoints[0].received(), fixture.endpoints[1].received()].concat();
    let [request] = &received[..] else { panic!("one arrival, not {received:?}") };
    assert_eq!(request.line, "POST /commit/a%2Fb?x=1&y=%20 HTTP/1.1");
    assert_eq!(request.body, b"the body");
    assert_eq!(request.workspace.as_deref(), Some("desk"));
    assert!(request.deadline_ms.is_some_and(|ms| (3_000..=4_000).contains(&ms)));
    assert!(matches!(request.expected_endpoint.as_deref(), Some("one" | "two")));
    let header = |name: &str| request.headers.iter().filter(|(it, _)| it == name).count();
    assert_eq!(header("x-own"), 1);
    assert_eq!(header("authorization"), 0);
    assert!(request.headers.iter().all(|(_, value)| value != "forged"));
    fixture.deployment.close();
}

#[rstest]
#[case::closed(Behaviour::CloseUnanswered, 502)]
#[case::foreign(Behaviour::ForeignAnswer, 502)]
#[case::foreign_refusal(Behaviour::ForeignRefusal, 502)]
#[case::unsigned(Behaviour::Unsigned, 502)]
#[case::half(Behaviour::half_body(), 502)]
#[case::failed(Behaviour::Answer { status: 500, body: "no".to_owned() }, 500)]
fn once_request_that_may_have_run_is_sent_once(#[case] behaviour: Behaviour, #[case] status: u16) {
    let fixture = start();
    fixture.set_behaviours(&behaviour);
    let answer = fixture.call(0, "/commit/x", "request-1").unwrap();
    assert_eq!(answer.status, status);
    // Only a failure that the endpoint answered carries its signature.
    assert_eq!(answer.is_signed, status == 500);
    assert_eq!(fixture.received_count(), 1);
    fixture.deployment.close();
}

#[rstest]
#[case::refused(Behaviour::NotRun)]
#[case::misdirected(Behaviour::Misdirected)]
fn once_request_that_didnt_run_is_retried(#[case] behaviour: Behaviour) {
    let fixture = start();
    for endpoint in [&fixture.endpoints[0], &fixture.endpoints[1]] {
        endpoint.queue_behaviour(behaviour.clone());
    }
    fixture.endpoints[0].set_behaviour(behaviour);
    let answer = fixture.call(0, "/commit/x", "request-1").unwrap();
    // Endpoint `two` refuses only its first request and serves the next one.
    assert!(matches!(answer.status, 200 | 503), "{answer:?}");
    assert!(answer.status == 200 || answer.retry_after_s.is_some());
    assert_eq!(fixture.call(0, "/commit/x", "request-2").unwrap().status, 200);
    fixture.deployment.close();
}

#[rstest]
#[case::failed(Behaviour::Answer { status: 500, body: "no".to_owned() })]
#[case::closed(Behaviour::CloseUnanswered)]
#[case::half(Behaviour::half_body())]
#[case::silent(Behaviour::Hang)]
fn lookup_is_retried_at_another_endpoint(#[case] behaviour: Behaviour) {
    let fixture = start();
    fixture.endpoints[0].set_behaviour(behaviour);
    for number in 0..4 {
        let answer = fixture.call(0, "/lookup/x", &format!("request-{number}")).unwrap();
        assert_eq!((answer.status, &*answer.body), (200, "done"));
    }
    fixture.deployment.close();
}

#[test]
fn lookup_runs_on_no_more_endpoints_than_its_route_allows() {
    let fixture = start();
    fixture.set_behaviours(&Behaviour::CloseUnanswered);
    assert_eq!(fixture.call(0, "/lookup/x", "request-1").unwrap().status, 502);
    assert_eq!(fixture.received_count(), 2);
    fixture.deployment.close();
}

#[test]
fn extra_answer_reaches_no_caller() {
    let fixture = start();
    fixture.set_behaviours(&Behaviour::ExtraAnswer);
    for number in 0..6 {
        let id = format!("request-{number}");
        let answer = fixture.call(0, "/lookup/x", &id).unwrap();
        assert_eq!((answer.status, &*answer.body), (200, "done"));
        assert_eq!(answer.id, Some(id));
    }
    fixture.deployment.close();
}

fn event_numbers(answer: &Answer) -> Vec<u64> {
    let ids = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

#[test]
fn cut_stream_is_resumed_at_another_endpoint() {
    let fixture = start();
    fixture.set_behaviours(&STREAM);
    let cut = Behaviour::Stream { events: 8, pause: Duration::from_millis(10), cut_after: Some(3) };
    fixture.endpoints[0].set_behaviour(cut);
    // The gateway chooses at random between the two endpoints.
    let mut number = 0;
    while fixture.endpoints[0].received().is_empty() {
        assert!(number < MAX_REQUESTS, "no stream was cut");
        let answer = fixture.call(0, "/draft/x", &format!("request-{number}")).unwrap();
        assert_eq!(answer.status, 200);
        assert!(answer.is_complete, "{}", answer.body);
        assert_eq!(event_numbers(&answer), (1..=8).collect::<Vec<_>>());
        number += 1;
    }
    // A resumed stream starts after the last complete event.
    let resumed =
        fixture.endpoints[1].received().iter().filter(|it| it.last_event == Some(3)).count();
    assert!(resumed > 0, "{:?}", fixture.endpoints[1].received());
    fixture.deployment.close();
}

#[test]
fn stream_that_may_run_once_is_cut_visibly() {
    let fixture = start();
    let cut = Behaviour::Stream { events: 8, pause: Duration::from_millis(10), cut_after: Some(3) };
    fixture.set_behaviours(&cut);
    let answer = fixture.call(0, "/chat/x", "request-1").unwrap();
    assert_eq!(answer.status, 200);
    assert!(!answer.is_complete);
    assert_eq!(fixture.received_count(), 1);
    fixture.deployment.close();
}

#[test]
fn stream_with_last_event_starts_after_it() {
    let fixture = start();
    fixture.set_behaviours(&STREAM);
    let caller = fixture.deployment.caller(0).unwrap().request("POST", "/draft/x", "request-1");
    let answer = caller.with_key(KEY).with_last_event(5).call("").unwrap();
    assert_eq!(event_numbers(&answer), [6, 7, 8]);
    fixture.deployment.close();
}

#[test]
fn timeout_is_answered_at_once_and_frees_the_endpoint() {
    let fixture = start();
    fixture.set_behaviours(&Behaviour::Hang);
    let started = Instant::now();
    let answer = fixture.call(0, "/short/x", "request-1").unwrap();
    assert_eq!(answer.status, 504);
    assert!(started.elapsed() < Duration::from_millis(800), "{:?}", started.elapsed());
    assert!(
        wait_until(|| fixture.endpoints[0].abandoned() + fixture.endpoints[1].abandoned() == 1)
    );
    fixture.deployment.close();
}

#[rstest]
#[case::before_the_answer("/commit/x", Behaviour::Hang)]
#[case::within_a_stream(
    "/chat/x",
    Behaviour::Stream { events: 10_000, pause: Duration::from_millis(5), cut_after: None }
)]
fn caller_that_disconnects_frees_the_endpoint(#[case] path: &str, #[case] behaviour: Behaviour) {
    let fixture = start();
    fixture.set_behaviours(&behaviour);
    let mut caller = fixture.deployment.caller(0).unwrap().request("POST", path, "r").with_key(KEY);
    caller.send("body").unwrap();
    assert!(wait_until(|| fixture.received_count() == 1));
    caller.close();
    let disconnected = Instant::now();
    assert!(
        wait_until(|| fixture.endpoints[0].abandoned() + fixture.endpoints[1].abandoned() == 1)
    );
    assert!(disconnected.elapsed() < Duration::from_millis(500), "{:?}", disconnected.elapsed());
    fixture.deployment.close();
}

/// An endpoint that drops idle connections without notice resets the next request sent on one.
#[rstest]
#[case::repeatable("/lookup/x", Duration::from_millis(100))]
#[case::once("/commit/x", Duration::from_millis(1_500))]
fn dropped_idle_connection_fails_no_request(#[case] path: &str, #[case] idle: Duration) {
    const REQUESTS: usize = 4;
    let fixture = start();
    fixture.set_behaviours(&Behaviour::ResetIdle { idle, body: "done".to_owned() });
    for number in 0..REQUESTS {
        let answer = fixture.call(0, path, &format!("request-{number}")).unwrap();
        assert_eq!(answer.status, 200, "request {number}: {answer:?}");
        std::thread::sleep(idle + Duration::from_millis(200));
    }
    fixture.deployment.close();
}

/// Endpoints drop idle connections much sooner than usual. A reset doesn't show whether a request
/// that may run only once has run, so the first such request fails.
#[test]
fn idle_connections_dropped_soon_fail_one_request() {
    const IDLE: Duration = Duration::from_millis(200);
    const REQUESTS: usize = 8;
    let fixture = start();
    fixture.set_behaviours(&Behaviour::ResetIdle { idle: IDLE, body: "done".to_owned() });
    let mut failed = 0;
    for number in 0..REQUESTS {
        let status = fixture.call(0, "/commit/x", &format!("request-{number}")).unwrap().status;
        assert!([200, 502].contains(&status), "request {number}: {status}");
        failed += usize::from(status == 502);
        std::thread::sleep(2 * IDLE);
    }
    assert!(failed <= 1, "{failed} of {REQUESTS} failed: {:#?}", fixture.deployment.log(0));
    fixture.deployment.close();
}

#[test]
fn unreachable_endpoint_fails_no_request() {
    let fixture = start();
    // Nobody listens on the address of an endpoint that has just crashed.
    let gone = EndpointStandin::start("gone", Behaviour::ok()).unwrap();
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = unused.local_addr().unwrap();
    drop(unused);
    let record = gone.clone().with_address(address);
    fixture.deployment.publish_endpoint(&record, false);
    for number in 0..20 {
        assert_eq!(fixture.call(0, "/commit/x", &format!("request-{number}")).unwrap().status, 200);
    }
    fixture.deployment.close();
}
