//! Tests of gateway processes with endpoints whose answers say that they leave.

use persimmon_platform::standin::{
    Answer, Behaviour, Deployment, EndpointStandin, RouteSpec, wait_until,
};
use rstest::rstest;

const KEY: &str = "key-1";
/// Number of requests after which one of two endpoints has certainly been chosen.
const MAX_REQUESTS: usize = 100;

struct Fixture {
    deployment: Deployment,
    one: EndpointStandin,
}

impl Fixture {
    fn start(gateways: u8) -> Self {
        let mut deployment =
            Deployment::new(env!("CARGO_BIN_EXE_persimmonmountd"), gateways).unwrap();
        let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
        let two = EndpointStandin::start("two", Behaviour::ok()).unwrap();
        deployment.publish_endpoint(&one, false);
        deployment.publish_endpoint(&two, false);
        let routes = [
            RouteSpec::once("commit"),
            RouteSpec::repeatable("lookup"),
            RouteSpec::stream("draft", true),
            RouteSpec::stream("chat", false),
        ];
        deployment.publish_routes(&routes, &[KEY]);
        deployment.start_all().unwrap();
        let fixture = Self { deployment, one };
        for gateway in 0..usize::from(gateways) {
            fixture.wait_for_log(gateway, "\"endpoint\":\"one\"");
            fixture.wait_for_log(gateway, "\"endpoint\":\"two\"");
        }
        fixture
    }

    fn wait_for_log(&self, gateway: usize, text: &str) {
        let found = wait_until(|| self.deployment.log(gateway).iter().any(|it| it.contains(text)));
        assert!(found, "gateway {gateway} didn't log {text}");
    }

    fn call(&self, gateway: usize, path: &str, id: &str) -> Answer {
        let caller = self.deployment.caller(gateway).unwrap().request("POST", path, id);
        caller.with_key(KEY).with_deadline_ms(4_000).call("the body").unwrap()
    }

    /// Sends requests through a gateway until `one` has answered one.
    fn call_until_one_answers(&self, gateway: usize, path: &str) {
        let before = self.one.received().len();
        for number in 0..MAX_REQUESTS {
            self.call(gateway, path, &format!("before-{number}"));
            if self.one.received().len() > before {
                return;
            }
        }
        panic!("the endpoint was never chosen");
    }

    /// Sends requests through a gateway, none of which `one` may receive.
    fn assert_one_gets_nothing(&self, gateway: usize, path: &str) {
        let before = self.one.received().len();
        for number in 0..MAX_REQUESTS {
            let answer = self.call(gateway, path, &format!("after-{number}"));
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        assert_eq!(self.one.received().len(), before);
    }
}

#[rstest]
#[case::once("/commit/x")]
#[case::lookup("/lookup/x")]
#[case::draft("/draft/x")]
#[case::chat("/chat/x")]
fn endpoint_that_leaves_gets_no_request(#[case] path: &str) {
    let fixture = Fixture::start(1);
    fixture.one.set_leaving();
    fixture.call_until_one_answers(0, path);
    fixture.assert_one_gets_nothing(0, path);
    fixture.deployment.close();
}

/// A refusal is an answer too.
#[test]
fn refusal_of_an_endpoint_that_leaves_counts() {
    let fixture = Fixture::start(1);
    fixture.one.set_leaving();
    fixture.one.set_behaviour(Behaviour::NotRun);
    fixture.call_until_one_answers(0, "/commit/x");
    fixture.one.set_behaviour(Behaviour::ok());
    fixture.assert_one_gets_nothing(0, "/commit/x");
    fixture.deployment.close();
}

#[rstest]
#[case::written_again(false)]
#[case::withdrawn_and_written_again(true)]
fn record_written_again_doesnt_bring_a_leaving_endpoint_back(#[case] is_withdrawn: bool) {
    let fixture = Fixture::start(1);
    fixture.one.set_leaving();
    fixture.call_until_one_answers(0, "/commit/x");
    if is_withdrawn {
        fixture.deployment.withdraw_endpoint(&fixture.one);
        fixture.wait_for_log(0, "endpoint removed");
    }
    let published = |log: Vec<String>| {
        log.iter().filter(|it| it.contains("endpoint published") && it.contains("\"one\"")).count()
    };
    let before = published(fixture.deployment.log(0));
    fixture.deployment.publish_endpoint(&fixture.one, false);
    assert!(wait_until(|| published(fixture.deployment.log(0)) > before));
    fixture.assert_one_gets_nothing(0, "/commit/x");
    fixture.deployment.close();
}

#[test]
fn endpoint_that_started_again_is_used() {
    let fixture = Fixture::start(1);
    fixture.one.set_leaving();
    fixture.call_until_one_answers(0, "/commit/x");
    fixture.deployment.publish_restarted_endpoint(&fixture.one, 1_700_000_000_000);
    fixture.call_until_one_answers(0, "/commit/x");
    fixture.deployment.close();
}

#[test]
fn peer_of_the_gateway_that_was_told_sends_nothing_either() {
    let fixture = Fixture::start(2);
    fixture.one.set_leaving();
    fixture.call_until_one_answers(0, "/commit/x");
    fixture.wait_for_log(1, "a peer says that an endpoint is leaving");
    fixture.assert_one_gets_nothing(1, "/commit/x");
    fixture.deployment.close();
}
