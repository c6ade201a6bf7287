//! Tests of gateway processes with endpoints whose answers say that they leave.

use persimmon_platform::standin::{Behaviour, GatewayFixture, wait_until};
use rstest::rstest;

/// Number of requests after which one of two endpoints has certainly been chosen.
const MAX_REQUESTS: usize = 100;

/// Starts gateways before the endpoints `one` and `two`.
fn start(gateways: u8) -> GatewayFixture {
    let program = env!("CARGO_BIN_EXE_persimmonmountd");
    GatewayFixture::start(program, gateways, &["one", "two"]).unwrap()
}

/// Sends requests through a gateway until `one` has answered one.
fn call_until_one_answers(fixture: &GatewayFixture, gateway: usize, path: &str) {
    let before = fixture.endpoints[0].received().len();
    for number in 0..MAX_REQUESTS {
        fixture.call(gateway, path, &format!("before-{number}")).unwrap();
        if fixture.endpoints[0].received().len() > before {
            return;
        }
    }
    panic!("the endpoint was never chosen");
}

/// Sends requests through a gateway, none of which `one` may receive.
fn assert_one_gets_nothing(fixture: &GatewayFixture, gateway: usize, path: &str) {
    let before = fixture.endpoints[0].received().len();
    for number in 0..MAX_REQUESTS {
        let answer = fixture.call(gateway, path, &format!("after-{number}")).unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(fixture.endpoints[0].received().len(), before);
}

#[rstest]
#[case::once("/commit/x")]
#[case::lookup("/lookup/x")]
#[case::draft("/draft/x")]
#[case::chat("/chat/x")]
fn endpoint_that_leaves_gets_no_request(#[case] path: &str) {
    let fixture = start(1);
    fixture.endpoints[0].set_leaving();
    call_until_one_answers(&fixture, 0, path);
    assert_one_gets_nothing(&fixture, 0, path);
    fixture.deployment.close();
}

/// A refusal is an answer too.
#[test]
fn refusal_of_an_endpoint_that_leaves_counts() {
    let fixture = start(1);
    fixture.endpoints[0].set_leaving();
    fixture.endpoints[0].set_behaviour(Behaviour::NotRun);
    call_until_one_answers(&fixture, 0, "/commit/x");
    fixture.endpoints[0].set_behaviour(Behaviour::ok());
    assert_one_gets_nothing(&fixture, 0, "/commit/x");
    fixture.deployment.close();
}

#[rstest]
#[case::written_again(false)]
#[case::withdrawn_and_written_again(true)]
fn record_written_again_doesnt_bring_a_leaving_endpoint_back(#[case] is_withdrawn: bool) {
    let fixture = start(1);
    fixture.endpoints[0].set_leaving();
    call_until_one_answers(&fixture, 0, "/commit/x");
    if is_withdrawn {
        fixture.deployment.withdraw_endpoint(&fixture.endpoints[0]);
        fixture.wait_for_log(0, "endpoint removed").unwrap();
    }
    let before = fixture.deployment.count_published(0, "one");
    fixture.deployment.publish_endpoint(&fixture.endpoints[0], false);
    assert!(wait_until(|| fixture.deployment.count_published(0, "one") > before));
    assert_one_gets_nothing(&fixture, 0, "/commit/x");
    fixture.deployment.close();
}

#[test]
fn endpoint_that_started_again_is_used() {
    let fixture = start(1);
    fixture.endpoints[0].set_leaving();
    call_until_one_answers(&fixture, 0, "/commit/x");
    fixture.deployment.publish_restarted_endpoint(&fixture.endpoints[0], 1_700_000_000_000);
    call_until_one_answers(&fixture, 0, "/commit/x");
    fixture.deployment.close();
}

#[test]
fn peer_of_the_gateway_that_was_told_sends_nothing_either() {
    let fixture = start(2);
    fixture.endpoints[0].set_leaving();
    call_until_one_answers(&fixture, 0, "/commit/x");
    fixture.wait_for_log(1, "a peer says that an endpoint is leaving").unwrap();
    assert_one_gets_nothing(&fixture, 1, "/commit/x");
    fixture.deployment.close();
}
