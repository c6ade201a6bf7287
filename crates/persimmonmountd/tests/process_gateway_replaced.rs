//! Tests of gateway processes before endpoints that have started again at their addresses under other IDs,
//! while the records of the ones before are still published.

use std::thread;
use std::time::Duration;

use persimmon_platform::standin::{Behaviour, Deployment, GatewayFixture, wait_until};
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_persimmonmountd");
const REQUESTS: usize = 40;

fn start(names: &[&str]) -> GatewayFixture {
    let fixture = GatewayFixture::start_on(Deployment::new(PROGRAM, 2).unwrap(), names).unwrap();
    let pause = Duration::from_millis(1);
    fixture.set_behaviours(&Behaviour::Mixed { events: 3, pause, body: "done".into() });
    fixture
}

/// Every endpoint has started again, and both records of each are published.
#[rstest]
fn request_reaches_the_endpoint_that_has_the_address(
    #[values("/commit/x", "/lookup/x", "/draft/x", "/chat/x")] path: &str,
) {
    let fixture = start(&["one", "two"]);
    for (number, endpoint) in fixture.endpoints.iter().enumerate() {
        fixture.deployment.publish_predecessor(&format!("old-{number}"), endpoint);
    }
    for gateway in 0..2 {
        let knows = |id| fixture.deployment.knows(gateway, id);
        assert!(wait_until(|| knows("old-0") && knows("old-1")));
    }
    for number in 0..REQUESTS {
        let answer = fixture.call(number % 2, path, &format!("request-{number}")).unwrap();
        assert_eq!(answer.status, 200, "{path}: {:#?}", fixture.deployment.log(number % 2));
    }
    assert_eq!(fixture.received_count(), REQUESTS, "requests were sent to endpoints that are gone");
    fixture.deployment.close();
}

/// The endpoint's new record comes some time after a gateway has started.
#[rstest]
fn request_to_a_gateway_that_knows_only_the_one_before_waits(
    #[values("/lookup/x", "/draft/x")] path: &str,
) {
    let mut fixture = start(&["one"]);
    let endpoint = &fixture.endpoints[0];
    fixture.deployment.publish_predecessor("old", endpoint);
    fixture.deployment.withdraw_endpoint(endpoint);
    fixture.wait_for_log(0, "endpoint removed").unwrap();
    fixture.deployment.kill(0).unwrap();
    fixture.deployment.kill(1).unwrap();
    fixture.deployment.restart(0).unwrap();
    fixture.deployment.wait_ready(0).unwrap();
    let endpoint = &fixture.endpoints[0];
    let answer = thread::scope(|scope| {
        let called = scope.spawn(|| fixture.call(0, path, "request").unwrap());
        thread::sleep(Duration::from_millis(500));
        fixture.deployment.publish_endpoint(endpoint, false);
        called.join().unwrap()
    });
    assert_eq!(answer.status, 200, "{:#?}", fixture.deployment.log(0));
    assert_eq!(fixture.received_count(), 2, "the one before is tried once");
    fixture.deployment.close();
}
