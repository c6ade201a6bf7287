//! Tests of a gateway process with more short requests than its endpoint has slots.

use std::thread;
use std::time::Duration;

use persimmon_platform::standin::{Answer, Behaviour, GatewayFixture, Tail, wait_until};

/// More callers than the endpoint's slots and the queue that the route's target allows.
const CALLERS: usize = 100;
const CALLS: usize = 8;
const PATH: &str = "/short/x";

/// Guards against an overload in which the gateway's share isn't used, in which refused callers aren't told
/// when to come back, or which doesn't end: the gateway is alone, so that it has the whole share.
#[test]
fn overload_is_refused_by_share_until_it_ends() {
    let fixture =
        GatewayFixture::start(env!("CARGO_BIN_EXE_persimmonmountd"), 1, &["one"]).unwrap();
    let tail = Tail { unit: Duration::from_millis(50), long_one_in: u64::MAX };
    fixture.set_behaviours(&Behaviour::Tailed(tail));
    // The gateway needs to know how long requests take.
    for number in 0..10 {
        fixture.call(0, PATH, &format!("before-{number}")).unwrap();
    }
    let answers = call_at_once(&fixture);
    let refused: Vec<_> = answers.iter().filter(|it| it.status == 503).collect();
    assert!(answers.iter().any(|it| it.status == 200), "none was served");
    assert!(!refused.is_empty(), "none was refused");
    assert!(refused.iter().all(|it| it.retry_after_s.is_some_and(|s| s > 0.0)));
    let metrics = fixture.deployment.metrics(0).unwrap();
    let of_admission = || metrics.lines().filter(|it| it.contains("_admission_total{"));
    assert!(of_admission().any(|it| it.contains("refused_by_share")), "{metrics}");
    assert!(of_admission().any(|it| it.contains("admitted_by_share")), "{metrics}");
    let mut number = 0;
    let is_served = || {
        number += 1;
        fixture.call(0, PATH, &format!("after-{number}")).is_ok_and(|it| it.status == 200)
    };
    assert!(wait_until(is_served), "refused after the overload");
}

/// Sends requests of many callers at the same time.
fn call_at_once(fixture: &GatewayFixture) -> Vec<Answer> {
    let calls = |caller: usize| {
        let ids = (0..CALLS).map(move |call| format!("during-{caller}-{call}"));
        ids.filter_map(|id| fixture.call(0, PATH, &id).ok()).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let callers: Vec<_> =
            (0..CALLERS).map(|caller| scope.spawn(move || calls(caller))).collect();
        callers.into_iter().flat_map(|it| it.join().unwrap()).collect()
    })
}
