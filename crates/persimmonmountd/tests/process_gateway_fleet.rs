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
const APPLY_LIMIT: Duration = Duration::from_secs(2);

struct Fixture {
    deployment: Deployment,
    one: EndpointStandin,
    two: EndpointStandin,
}

impl Fixture {
    fn start(gateways: u8) -> Self {
        let mut fixture = Self::prepare(gateways);
        fixture.publish(&[KEY]);
        fixture.deployment.start_all().unwrap();
        fixture
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
    fn wait_for_status(&self, gateways: usize, path: &str, key: &str, status: u16) -> Duration {
        let started = Instant::now();
        for gateway in 0..gateways {
            let answers = || self.status(gateway, path, key) == status;
            assert!(wait_until(answers), "gateway {gateway}: {:#?}", self.deployment.log(gateway));
        }
        started.elapsed()
    }
}

#[test]
fn routes_and_keys_are_applied_by_all_gateways() {
    let mut fixture = Fixture::start(4);
    fixture.wait_for_status(4, "/commit/x", KEY, 200);
    fixture.publish(&["key-2"]);
    let took = fixture.wait_for_status(4, "/commit/x", KEY, 401);
    assert!(took < APPLY_LIMIT, "{took:?}");
    fixture.wait_for_status(4, "/commit/x", "key-2", 200);
    fixture.deployment.publish_routes(&[RouteSpec::once("new")], &["key-2"]);
    let took = fixture.wait_for_status(4, "/new/x", "key-2", 200);
    assert!(took < APPLY_LIMIT, "{took:?}");
    fixture.wait_for_status(4, "/commit/x", "key-2", 404);
    fixture.deployment.close();
}

/// A gateway that starts by the records without keys has only these to go by. If they leave out the
/// workspaces, it can't tell that there were any.
#[rstest]
#[case::workspace_without_keys(Some(&[("desk", &[][..])][..]), true)]
#[case::no_workspaces(Some(&[][..]), true)]
#[case::no_list_of_workspaces(None, false)]
fn nobody_is_let_in_once_the_last_key_is_gone(
    #[case] workspaces: Option<&[(&str, &[&str])]>,
    #[case] is_kept_by_restart: bool,
) {
    let mut fixture = Fixture::start(2);
    fixture.wait_for_status(2, "/commit/x", KEY, 200);
    assert_eq!(fixture.status(0, "/commit/x", "stranger"), 401);
    fixture.deployment.publish_workspaces(&[RouteSpec::once("commit")], workspaces);
    let took = fixture.wait_for_status(2, "/commit/x", KEY, 401);
    assert!(took < APPLY_LIMIT, "{took:?}");
    if is_kept_by_restart {
        fixture.deployment.kill(1).unwrap();
        fixture.deployment.restart(1).unwrap();
        let is_ready = || fixture.deployment.is_ready(1);
        assert!(wait_until(is_ready), "{:#?}", fixture.deployment.log(1));
    }
    let runs = fixture.one.received().len() + fixture.two.received().len();
    for (gateway, key) in [(0, KEY), (0, "stranger"), (1, KEY), (1, "stranger")] {
        assert_eq!(fixture.status(gateway, "/commit/x", key), 401, "gateway {gateway}, {key}");
    }
    assert_eq!(fixture.one.received().len() + fixture.two.received().len(), runs);
    fixture.deployment.close();
}

#[rstest]
#[case::first(0)]
#[case::second(1)]
#[case::last(2)]
fn gateway_refused_by_store_gets_records_from_peers(#[case] refused: usize) {
    let mut fixture = Fixture::start(3);
    fixture.wait_for_status(3, "/commit/x", KEY, 200);
    let ip = fixture.deployment.ip(refused);
    fixture.deployment.store.set_mode(StoreMode::Refusing(vec![ip]));
    fixture.publish(&["key-2"]);
    let took = fixture.wait_for_status(3, "/commit/x", KEY, 401);
    assert!(took < APPLY_LIMIT, "{took:?}");
    fixture.deployment.close();
}

#[test]
fn gateways_with_silent_store_keep_known_records() {
    let mut fixture = Fixture::start(2);
    fixture.deployment.store.set_mode(StoreMode::Silent);
    fixture.publish(&["key-2"]);
    // Longer than a watcher takes to detect the silence.
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        assert_eq!(fixture.status(0, "/commit/x", KEY), 200);
        assert_eq!(fixture.status(1, "/commit/x", KEY), 200);
    }
    fixture.deployment.store.set_mode(StoreMode::Serving);
    fixture.wait_for_status(2, "/commit/x", KEY, 401);
    fixture.deployment.close();
}

#[test]
fn records_are_listed_again_after_history_is_compacted() {
    let mut fixture = Fixture::start(2);
    fixture.deployment.store.set_mode(StoreMode::Silent);
    fixture.publish(&["key-2"]);
    fixture.deployment.store.compact_history();
    fixture.deployment.store.set_mode(StoreMode::Serving);
    fixture.wait_for_status(2, "/commit/x", "key-2", 200);
    fixture.deployment.close();
}

#[test]
fn gateway_started_with_silent_store_asks_peer() {
    let mut fixture = Fixture::prepare(2);
    fixture.publish(&[KEY]);
    let first = fixture.deployment.start_gateway().unwrap();
    fixture.deployment.wait_ready(first).unwrap();
    fixture.deployment.store.set_mode(StoreMode::Silent);
    let second = fixture.deployment.start_gateway().unwrap();
    fixture.deployment.wait_ready(second).unwrap();
    assert_eq!(fixture.status(second, "/commit/x", KEY), 200);
    fixture.deployment.close();
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

/// After an outage, a gateway may read the routes before it has read the records of the endpoints
/// that serve them.
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
    let mut fixture = Fixture::start(GATEWAYS as u8);
    let more: Vec<_> = ["three", "four", "five", "six"]
        .into_iter()
        .map(|id| EndpointStandin::start(id, crash.clone()).unwrap())
        .collect();
    more.iter().for_each(|endpoint| fixture.deployment.publish_endpoint(endpoint, false));
    fixture.one.set_behaviour(crash.clone());
    fixture.two.set_behaviour(crash);
    fixture.deployment.publish_routes(&[RouteSpec::repeatable("lookup")], &[KEY]);
    fixture.wait_for_status(GATEWAYS, "/lookup/x", KEY, 200);
    for attempt in 0..TRIES {
        let caller = fixture.deployment.caller(attempt % GATEWAYS).unwrap();
        let mut caller = caller.request("POST", "/lookup/x", &format!("crash-{attempt}"));
        caller = caller.with_key(KEY).with_deadline_ms(3_000);
        assert_ne!(caller.call(MARKER).unwrap().status, 200);
        let is_refused = |gateway| {
            let status = fixture.deployment.status(gateway).unwrap();
            !status.contains("\"quarantined\":[]")
        };
        let all_refuse = || (0..GATEWAYS).all(is_refused);
        assert!(wait_until(all_refuse), "{}", fixture.deployment.status(0).unwrap());
    }
    let crashes: u64 =
        more.iter().chain([&fixture.one, &fixture.two]).map(EndpointStandin::crashes).sum();
    assert!(crashes >= 1, "the request never ran");
    assert!(crashes <= MAX_CRASHED, "{crashes} endpoints crashed");
    fixture.wait_for_status(GATEWAYS, "/lookup/x", KEY, 200);
    fixture.deployment.close();
}

#[test]
fn unreadable_record_affects_no_other() {
    let mut fixture = Fixture::start(1);
    fixture.deployment.publish_unreadable_endpoint("three");
    fixture.deployment.publish_unreadable_endpoint("two");
    fixture.publish(&["key-2"]);
    fixture.wait_for_status(1, "/commit/x", "key-2", 200);
    let before = fixture.two.received().len();
    for _ in 0..10 {
        assert_eq!(fixture.status(0, "/commit/x", "key-2"), 200);
    }
    assert_eq!(fixture.two.received().len(), before);
    fixture.deployment.close();
}

#[rstest]
#[case::draining(true)]
#[case::withdrawn(false)]
fn leaving_endpoint_gets_no_new_requests(#[case] is_draining: bool) {
    let fixture = Fixture::start(3);
    fixture.wait_for_status(3, "/commit/x", KEY, 200);
    match is_draining {
        true => fixture.deployment.publish_endpoint(&fixture.one, true),
        false => fixture.deployment.withdraw_endpoint(&fixture.one),
    }
    std::thread::sleep(APPLY_LIMIT);
    let before = fixture.one.received().len();
    for request in 0..30 {
        assert_eq!(fixture.status(request % 3, "/commit/x", KEY), 200);
    }
    assert_eq!(fixture.one.received().len(), before);
    fixture.deployment.close();
}

#[test]
fn stopping_gateway_completes_streams_and_announces_close() {
    let mut fixture = Fixture::start(1);
    let stream =
        Behaviour::Stream { events: 40, pause: Duration::from_millis(30), cut_after: None };
    fixture.one.set_behaviour(stream.clone());
    fixture.two.set_behaviour(stream);
    let mut open_before_stop = fixture.deployment.caller(0).unwrap();
    let mut caller =
        fixture.deployment.caller(0).unwrap().request("POST", "/chat/x", "r").with_key(KEY);
    caller.send("body").unwrap();
    caller.wait_for("id: 1").unwrap();
    fixture.deployment.stop(0).unwrap();
    assert!(wait_until(|| !fixture.deployment.is_ready(0)));
    caller.wait_for("id: 40").unwrap();
    // A request on a connection opened before the stop is answered, and the answer announces that
    // the connection closes.
    fixture.one.set_behaviour(Behaviour::ok());
    fixture.two.set_behaviour(Behaviour::ok());
    open_before_stop = open_before_stop.request("POST", "/commit/x", "late").with_key(KEY);
    let answer = open_before_stop.call("body").unwrap();
    assert!(answer.closes, "{answer:?}");
    assert_eq!(answer.status, 200);
    let status = fixture.deployment.wait_ended(0).unwrap();
    assert_eq!(status.code(), Some(0));
    fixture.deployment.close();
}

#[test]
fn reload_keeps_process_and_serves_requests() {
    let fixture = Fixture::start(1);
    fixture.deployment.reload(0).unwrap();
    assert!(wait_until(|| fixture.deployment.log(0).iter().any(|it| it.contains("read again"))));
    assert_eq!(fixture.status(0, "/commit/x", KEY), 200);
    fixture.deployment.close();
}

#[test]
fn two_of_four_gateways_watch_the_store() {
    let fixture = Fixture::start(4);
    fixture.wait_for_status(4, "/commit/x", KEY, 200);
    let others_idle = || {
        let idle = |gateway| {
            let log = fixture.deployment.log(gateway);
            log.iter().any(|it| it.contains("other gateways watch the store"))
        };
        (0..4).filter(|it| idle(*it)).count() == 2
    };
    assert!(wait_until(others_idle));
    fixture.deployment.close();
}
