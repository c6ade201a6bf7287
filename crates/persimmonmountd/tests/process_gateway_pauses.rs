//! Tests of gateway processes with endpoints that want no requests for a while.

use std::time::{Duration, Instant};

use persimmon_platform::standin::{Behaviour, GatewayFixture};
use rstest::rstest;

/// Time for requests that were already on their way when an endpoint asked for a pause.
const ON_THE_WAY: Duration = Duration::from_millis(500);

/// Starts one gateway before endpoints with these names.
fn start(names: &[&str]) -> GatewayFixture {
    GatewayFixture::start(env!("CARGO_BIN_EXE_persimmonmountd"), 1, names).unwrap()
}

/// Sends requests until the endpoint `number` has received one.
fn call_until_received(fixture: &GatewayFixture, number: usize, path: &str) {
    let endpoint = &fixture.endpoints[number];
    let before = endpoint.received().len();
    for attempt in 0.. {
        assert!(attempt < 200, "the endpoint was never chosen");
        fixture.call(0, path, &format!("before-{attempt}")).unwrap();
        if endpoint.received().len() > before {
            return;
        }
    }
}

#[rstest]
#[case::once("/commit/x")]
#[case::lookup("/lookup/x")]
#[case::draft("/draft/x")]
#[case::chat("/chat/x")]
fn endpoint_that_pauses_gets_no_request(#[case] path: &str) {
    const PAUSE: Duration = Duration::from_millis(1_200);
    let fixture = start(&["one", "two"]);
    let pausing = Behaviour::Pause { retry_after: "1.2" };
    fixture.endpoints[0].queue_behaviour(pausing);
    call_until_received(&fixture, 0, path);
    let paused_at = fixture.endpoints[0].received().last().unwrap().at;
    let mut number = 0;
    while paused_at.elapsed() < PAUSE {
        let answer = fixture.call(0, path, &format!("request-{number}")).unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        number += 1;
    }
    let received = fixture.endpoints[0].received();
    let in_pause = |at: Instant| at > paused_at && at < paused_at + PAUSE;
    let late = received.iter().filter(|it| in_pause(it.at) && it.at > paused_at + ON_THE_WAY);
    assert_eq!(late.count(), 0);
    // One at a time, so that none was on its way.
    assert_eq!(received.iter().filter(|it| in_pause(it.at)).count(), 0);
    call_until_received(&fixture, 0, path);
    fixture.deployment.close();
}

#[test]
fn callers_are_refused_at_once_while_every_endpoint_pauses() {
    let fixture = start(&["one", "two"]);
    fixture.endpoints[0].queue_behaviour(Behaviour::Pause { retry_after: "30" });
    fixture.endpoints[1].queue_behaviour(Behaviour::Pause { retry_after: "20" });
    // The first call meets both, since a refusal as not run is tried elsewhere.
    let first = fixture.call(0, "/commit/x", "request-0").unwrap();
    let received = || fixture.received_count();
    assert_eq!((first.status, received()), (503, 2), "{first:?}");
    for number in 1..10 {
        let started = Instant::now();
        let answer = fixture.call(0, "/commit/x", &format!("request-{number}")).unwrap();
        assert_eq!(answer.status, 503);
        assert!(started.elapsed() < Duration::from_millis(500));
        let retry_after_s = answer.retry_after_s.unwrap();
        assert!((19.0..21.0).contains(&retry_after_s), "{retry_after_s}");
    }
    assert_eq!(received(), 2, "a request reached an endpoint that pauses");
    fixture.deployment.close();
}

#[rstest]
#[case::text("soon")]
#[case::date("Fri, 04 Dec 2026 09:00:00 GMT")]
#[case::negative("-3")]
#[case::not_a_number("NaN")]
#[case::infinite("inf")]
#[case::empty("")]
#[case::zero("0")]
fn unreadable_pause_is_none(#[case] retry_after: &'static str) {
    let fixture = start(&["one"]);
    fixture.endpoints[0].queue_behaviour(Behaviour::Pause { retry_after });
    assert_eq!(fixture.call(0, "/commit/x", "request-0").unwrap().status, 503);
    assert_eq!(fixture.call(0, "/commit/x", "request-1").unwrap().status, 200);
    fixture.deployment.close();
}
