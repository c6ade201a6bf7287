//! Tests of several gateways: applying published records, store outages, and endpoints and gateways
//! that leave.

use std::time::{Duration, Instant};

use persimmon_platform::standin::{
    Behaviour, Deployment, EndpointStandin, RouteSpec, StoreMode, wait_until,
};
use rstest::rstest;

const KEY: &str = "key-1";
/// Maximum time until all gateways apply published routes and the departure of endpoints, from the
/// specification of the deployments.
const IN_FORCE: Duration = Duration::from_secs(2);

struct Desk {
    deployment: Deployment,
    one: EndpointStandin,
    two: EndpointStandin,
}

impl Desk {
    fn start(gateways: u8) -> Self {
        let mut desk = Self::prepare(gateways);
        desk.publish(&[KEY]);
        desk.deployment.start_all().unwrap();
        desk
    }

    fn prepare(gateways: u8) -> Self {
        let program = env!("CARGO_BIN_EXE_persimmonmountd");
        let deployment = Deployment::new(program, gateways).unwrap();
        let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
        let two = EndpointStandin::start("two", Behaviour::ok()).unwrap();
        deployment.publish_endpoint(&one, false);
        deployment.publish_endpoint(&two, false);
        Self { deployment, one, two }
    }

    fn publish(&mut self, keys: &[&str]) {
        let routes = [RouteSpec::once("commit"), RouteSpec::stream("chat", false)];
        self.deployment.publish_routes(&routes, keys);
    }

    fn status(&self, gateway: usize, path: &str, key: &str) -> u16 {
        let caller = self.deployment.caller(gateway).unwrap();
        caller.request("POST", path, "request").with_key(key).call("body").unwrap().status
    }

    /// Waits until every gateway answers with `status`, and returns how long that took.
    fn wait_all(&self, gateways: usize, path: &str, key: &str, status: u16) -> Duration {
        let started = Instant::now();
        for gateway in 0..gateways {
            let answers = || self.status(gateway, path, key) == status;
            assert!(wait_until(answers), "gateway {gateway}: {:#?}", self.deployment.log(gateway));
        }
        started.elapsed()
    }
}

#[test]
fn routes_and_keys_are_in_force_everywhere() {
    let mut desk = Desk::start(4);
    desk.wait_all(4, "/commit/x", KEY, 200);
    desk.publish(&["key-2"]);
    let took = desk.wait_all(4, "/commit/x", KEY, 401);
    assert!(took < IN_FORCE, "{took:?}");
    desk.wait_all(4, "/commit/x", "key-2", 200);
    desk.deployment.publish_routes(&[RouteSpec::once("new")], &["key-2"]);
    let took = desk.wait_all(4, "/new/x", "key-2", 200);
    assert!(took < IN_FORCE, "{took:?}");
    desk.wait_all(4, "/commit/x", "key-2", 404);
    desk.deployment.close();
}

#[rstest]
#[case::first(0)]
#[case::second(1)]
#[case::last(2)]
fn gateway_that_the_store_refuses_learns_from_peers(#[case] refused: usize) {
    let mut desk = Desk::start(3);
    desk.wait_all(3, "/commit/x", KEY, 200);
    let ip = desk.deployment.ip(refused);
    desk.deployment.store.set_mode(StoreMode::Refusing(ip));
    desk.publish(&["key-2"]);
    let took = desk.wait_all(3, "/commit/x", KEY, 401);
    assert!(took < IN_FORCE, "{took:?}");
    desk.deployment.close();
}

#[test]
fn store_that_falls_silent_leaves_what_is_known_in_force() {
    let mut desk = Desk::start(2);
    desk.deployment.store.set_mode(StoreMode::Silent);
    desk.publish(&["key-2"]);
    // Longer than a watcher takes to detect the silence.
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        assert_eq!(desk.status(0, "/commit/x", KEY), 200);
        assert_eq!(desk.status(1, "/commit/x", KEY), 200);
    }
    desk.deployment.store.set_mode(StoreMode::Serving);
    desk.wait_all(2, "/commit/x", KEY, 401);
    desk.deployment.close();
}

#[test]
fn history_that_is_gone_is_listed_again() {
    let mut desk = Desk::start(2);
    desk.deployment.store.set_mode(StoreMode::Silent);
    desk.publish(&["key-2"]);
    desk.deployment.store.compact_history();
    desk.deployment.store.set_mode(StoreMode::Serving);
    desk.wait_all(2, "/commit/x", "key-2", 200);
    desk.deployment.close();
}

#[test]
fn gateway_that_starts_while_the_store_is_away_asks_a_peer() {
    let mut desk = Desk::prepare(2);
    desk.publish(&[KEY]);
    let first = desk.deployment.start_gateway().unwrap();
    desk.deployment.wait_ready(first).unwrap();
    desk.deployment.store.set_mode(StoreMode::Silent);
    let second = desk.deployment.start_gateway().unwrap();
    desk.deployment.wait_ready(second).unwrap();
    assert_eq!(desk.status(second, "/commit/x", KEY), 200);
    desk.deployment.close();
}

#[test]
fn gateway_without_records_is_not_ready_and_refuses_as_not_run() {
    let mut deployment = Deployment::new(env!("CARGO_BIN_EXE_persimmonmountd"), 1).unwrap();
    let only = deployment.start_gateway().unwrap();
    assert!(wait_until(|| deployment.caller(only).is_ok()));
    let mut caller =
        deployment.caller(only).unwrap().request("POST", "/commit/x", "r").with_key(KEY);
    let answer = caller.call("body").unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after_s.is_some_and(|s| s > 0.0));
    assert!(!deployment.is_ready(only));
    deployment.close();
}

/// After an outage, a gateway may read routes again before the endpoints that serve them.
#[test]
fn request_waits_for_an_endpoint_that_returns() {
    let mut deployment = Deployment::new(env!("CARGO_BIN_EXE_persimmonmountd"), 1).unwrap();
    let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
    let unrelated = EndpointStandin::start("unrelated", Behaviour::ok()).unwrap();
    deployment.publish_unrelated_endpoint(&unrelated);
    deployment.publish_routes(&[RouteSpec::once("commit")], &[KEY]);
    let only = deployment.start_gateway().unwrap();
    deployment.wait_ready(only).unwrap();
    let mut caller = deployment.caller(only).unwrap().request("POST", "/commit/x", "r");
    caller = caller.with_key(KEY).with_deadline_ms(4_000);
    caller.send("body").unwrap();
    std::thread::sleep(Duration::from_millis(300));
    deployment.publish_endpoint(&one, false);
    assert_eq!(caller.receive().unwrap().unwrap().status, 200);
    deployment.close();
}

/// A caller that ignores `Retry-After` sends every gateway in turn a request that crashes each
/// endpoint that starts to run it.
#[test]
fn request_that_crashes_endpoints_is_refused_everywhere() {
    const GATEWAYS: usize = 3;
    const TRIES: usize = 12;
    const MARKER: &str = "crash-the-endpoint";
    /// Maximum crashes: as many as the first gateway needs to identify the request.
    const MAX_CRASHED: u64 = 2;
    let crash = Behaviour::Crash {
        marker: MARKER,
        downtime: Duration::from_secs(2),
        body: "done".to_owned(),
    };
    let mut desk = Desk::start(GATEWAYS as u8);
    let more: Vec<_> = ["three", "four", "five", "six"]
        .into_iter()
        .map(|id| EndpointStandin::start(id, crash.clone()).unwrap())
        .collect();
    more.iter().for_each(|endpoint| desk.deployment.publish_endpoint(endpoint, false));
    desk.one.set_behaviour(crash.clone());
    desk.two.set_behaviour(crash);
    desk.deployment.publish_routes(&[RouteSpec::repeatable("lookup")], &[KEY]);
    desk.wait_all(GATEWAYS, "/lookup/x", KEY, 200);
    for attempt in 0..TRIES {
        let caller = desk.deployment.caller(attempt % GATEWAYS).unwrap();
        let mut caller = caller.request("POST", "/lookup/x", &format!("crash-{attempt}"));
        caller = caller.with_key(KEY).with_deadline_ms(3_000);
        assert_ne!(caller.call(MARKER).unwrap().status, 200);
        let is_refused = |gateway| {
            let status = desk.deployment.status(gateway).unwrap();
            !status.contains("\"quarantined\":[]")
        };
        let all_refuse = || (0..GATEWAYS).all(is_refused);
        assert!(wait_until(all_refuse), "{}", desk.deployment.status(0).unwrap());
    }
    let crashes: u64 =
        more.iter().chain([&desk.one, &desk.two]).map(EndpointStandin::crashes).sum();
    assert!(crashes >= 1, "the request never ran");
    assert!(crashes <= MAX_CRASHED, "{crashes} endpoints crashed");
    desk.wait_all(GATEWAYS, "/lookup/x", KEY, 200);
    desk.deployment.close();
}

#[test]
fn unreadable_record_harms_no_other() {
    let mut desk = Desk::start(1);
    desk.deployment.publish_unreadable_endpoint("three");
    desk.deployment.publish_unreadable_endpoint("two");
    desk.publish(&["key-2"]);
    desk.wait_all(1, "/commit/x", "key-2", 200);
    let before = desk.two.received().len();
    for _ in 0..10 {
        assert_eq!(desk.status(0, "/commit/x", "key-2"), 200);
    }
    assert_eq!(desk.two.received().len(), before);
    desk.deployment.close();
}

#[rstest]
#[case::draining(true)]
#[case::withdrawn(false)]
fn leaving_endpoint_gets_nothing_new(#[case] is_draining: bool) {
    let desk = Desk::start(3);
    desk.wait_all(3, "/commit/x", KEY, 200);
    match is_draining {
        true => desk.deployment.publish_endpoint(&desk.one, true),
        false => desk.deployment.withdraw_endpoint(&desk.one),
    }
    std::thread::sleep(IN_FORCE);
    let before = desk.one.received().len();
    for request in 0..30 {
        assert_eq!(desk.status(request % 3, "/commit/x", KEY), 200);
    }
    assert_eq!(desk.one.received().len(), before);
    desk.deployment.close();
}

#[test]
fn stop_ends_streams_whole_and_says_so() {
    let mut desk = Desk::start(1);
    let stream =
        Behaviour::Stream { events: 40, pause: Duration::from_millis(30), cut_after: None };
    desk.one.set_behaviour(stream.clone());
    desk.two.set_behaviour(stream);
    let mut kept = desk.deployment.caller(0).unwrap();
    let mut caller =
        desk.deployment.caller(0).unwrap().request("POST", "/chat/x", "r").with_key(KEY);
    caller.send("body").unwrap();
    caller.wait_for("id: 1").unwrap();
    desk.deployment.stop(0).unwrap();
    assert!(wait_until(|| !desk.deployment.is_ready(0)));
    caller.wait_for("id: 40").unwrap();
    // A request on a connection opened before the stop is answered, and the answer announces that
    // the connection closes.
    desk.one.set_behaviour(Behaviour::ok());
    desk.two.set_behaviour(Behaviour::ok());
    kept = kept.request("POST", "/commit/x", "late").with_key(KEY);
    let answer = kept.call("body").unwrap();
    assert!(answer.closes, "{answer:?}");
    assert_eq!(answer.status, 200);
    let status = desk.deployment.wait_ended(0).unwrap();
    assert_eq!(status.code(), Some(0));
    desk.deployment.close();
}

#[test]
fn reload_keeps_the_process_and_its_requests() {
    let desk = Desk::start(1);
    desk.deployment.reload(0).unwrap();
    assert!(wait_until(|| desk.deployment.log(0).iter().any(|it| it.contains("read again"))));
    assert_eq!(desk.status(0, "/commit/x", KEY), 200);
    desk.deployment.close();
}

#[test]
fn watchers_are_few() {
    let desk = Desk::start(4);
    desk.wait_all(4, "/commit/x", KEY, 200);
    let others_idle = || {
        let idle = |gateway| {
            let log = desk.deployment.log(gateway);
            log.iter().any(|it| it.contains("other gateways watch the store"))
        };
        (0..4).filter(|it| idle(*it)).count() == 2
    };
    assert!(wait_until(others_idle));
    desk.deployment.close();
}
