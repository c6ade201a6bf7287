//! Tests of endpoints that report wrong health or flap, callers that move between gateways, and
//! changes right before a gateway loses power.

use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{
    Answer, Behaviour, Deployment, EndpointStandin, RouteSpec, StoreMode, wait_until,
};
use persimmon_standins::Relay;
use rstest::rstest;
use serde_json::Value;

const KEY: &str = "key-1";
const REVOKED_KEY: &str = "key-2";
const EVENTS: u64 = 8;
const STREAM: Behaviour =
    Behaviour::Stream { events: EVENTS, pause: Duration::from_millis(20), cut_after: None };
/// Maximum time until all gateways apply published routes, from the specification of the
/// deployments.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

fn program() -> &'static str {
    env!("CARGO_BIN_EXE_persimmonmountd")
}

fn routes() -> [RouteSpec; 3] {
    [RouteSpec::once("commit"), RouteSpec::repeatable("lookup"), RouteSpec::stream("draft", true)]
}

/// Starts gateways and waits until each of them knows all these endpoints.
fn start(gateways: u8, endpoints: &[&EndpointStandin]) -> Deployment {
    let mut deployment = Deployment::new(program(), gateways).unwrap();
    endpoints.iter().for_each(|endpoint| deployment.publish_endpoint(endpoint, false));
    deployment.publish_routes(&routes(), &[KEY, REVOKED_KEY]);
    deployment.start_all().unwrap();
    let knows_all = |gateway| endpoints.iter().all(|it| deployment.knows(gateway, it.id()));
    assert!(wait_until(|| (0..usize::from(gateways)).all(knows_all)));
    deployment
}

fn call(deployment: &Deployment, gateway: usize, path: &str, key: &str) -> Answer {
    let caller = deployment.caller(gateway).unwrap().request("POST", path, "request");
    caller.with_key(key).with_deadline_ms(4_000).call("body").unwrap()
}

/// An endpoint that reports good health but fails requests, faster than others serve them, gets few
/// requests.
#[test]
fn endpoint_that_fails_while_healthy_is_avoided() {
    const CALLERS: usize = 8;
    const CALLS: usize = 12;
    let failure = Behaviour::Answer { status: 500, body: "failed".to_owned() };
    let failing = EndpointStandin::start("lying", failure).unwrap();
    let healthy: Vec<_> = ["two", "three", "four"]
        .into_iter()
        .map(|id| EndpointStandin::start(id, STREAM).unwrap())
        .collect();
    let all: Vec<_> = healthy.iter().chain([&failing]).collect();
    let deployment = start(1, &all);
    let call_all = || {
        thread::scope(|scope| {
            let run_calls = || (0..CALLS).for_each(|_| drop(call(&deployment, 0, "/draft/x", KEY)));
            (0..CALLERS).for_each(|_| drop(scope.spawn(run_calls)));
        });
        failing.received().len()
    };
    // After the first round the gateway has seen its failures.
    let early = call_all();
    let late = call_all() - early;
    // An equal share would be a quarter.
    assert!(late * 10 < CALLERS * CALLS, "{late} of {}", CALLERS * CALLS);
    deployment.close();
}

/// A gateway avoids an endpoint whose failures only another gateway has seen.
#[test]
fn endpoint_that_fails_at_one_gateway_is_avoided_by_the_others() {
    const CALLS: usize = 40;
    let failure = Behaviour::Answer { status: 500, body: "failed".to_owned() };
    let failing = EndpointStandin::start("lying", failure).unwrap();
    let healthy: Vec<_> = ["two", "three"]
        .into_iter()
        .map(|id| EndpointStandin::start(id, Behaviour::ok()).unwrap())
        .collect();
    let all: Vec<_> = healthy.iter().chain([&failing]).collect();
    let deployment = start(2, &all);
    let knows_failures = |gateway| {
        let status = deployment.status(gateway).unwrap_or_default();
        let status: Value = serde_json::from_str(&status).unwrap_or_default();
        let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
        let rate = |it: &Value| it["failure_rate"].as_f64().unwrap_or(0.0);
        endpoints.iter().any(|it| it["id"] == "lying" && rate(it) > 0.0)
    };
    // Calls only the first gateway until the second one knows of the failures.
    assert!(wait_until(|| {
        (0..CALLS).for_each(|_| drop(call(&deployment, 0, "/lookup/x", KEY)));
        knows_failures(1)
    }));
    let before = failing.received().len();
    for _ in 0..CALLS {
        assert_eq!(call(&deployment, 1, "/commit/x", KEY).status, 200);
    }
    assert_eq!(failing.received().len(), before);
    deployment.close();
}

/// Callers beyond the slots of all endpoints are refused at once with `Retry-After`, and the
/// streams of the others start.
#[test]
fn streams_beyond_all_slots_are_refused_at_once() {
    const CALLERS: usize = 48;
    /// Two endpoints with eight slots each, and a short queue for each of them.
    const MAX_SERVED: usize = 2 * 10;
    const MIN_SERVED: usize = 2 * 7;
    let pause = Duration::from_millis(300);
    let slow = Behaviour::Stream { events: EVENTS, pause, cut_after: None };
    let one = EndpointStandin::start("one", slow.clone()).unwrap();
    let two = EndpointStandin::start("two", slow).unwrap();
    let deployment = start(1, &[&one, &two]);
    let answers: Vec<_> = thread::scope(|scope| {
        let timed_call = || {
            let started = Instant::now();
            (call(&deployment, 0, "/draft/x", KEY), started.elapsed())
        };
        let calls: Vec<_> = (0..CALLERS).map(|_| scope.spawn(timed_call)).collect();
        calls.into_iter().map(|it| it.join().unwrap()).collect()
    });
    let (served, refused): (Vec<_>, Vec<_>) =
        answers.into_iter().partition(|(answer, _)| answer.status == 200);
    assert!((MIN_SERVED..=MAX_SERVED).contains(&served.len()), "{} served", served.len());
    for (answer, took) in refused {
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after_s.is_some(), "{answer:?}");
        assert!(took < pause * EVENTS as u32, "refused after {took:?}");
    }
    assert_eq!(one.received().len() + two.received().len(), served.len());
    deployment.close();
}

/// Gateways send no health checks, so an endpoint that serves requests is used whatever its health
/// check would return.
#[test]
fn endpoint_that_serves_is_used_without_health_checks() {
    let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
    let deployment = start(2, &[&one]);
    for gateway in [0, 1, 0, 1] {
        assert_eq!(call(&deployment, gateway, "/commit/x", KEY).status, 200);
    }
    assert!(one.received().iter().all(|it| it.line.contains("/commit/x")));
    deployment.close();
}

/// While an endpoint alternates between down and up, only requests in progress on it may fail.
#[rstest]
#[case::once("/commit/x")]
#[case::repeatable("/lookup/x")]
fn flapping_endpoint_fails_no_request(#[case] path: &str) {
    const TURNS: usize = 6;
    const REQUESTS_PER_TURN: usize = 8;
    let flapping = EndpointStandin::start("flapping", Behaviour::ok()).unwrap();
    let relay = Relay::start(flapping.address()).unwrap();
    let flapping = flapping.with_address(relay.address());
    let healthy = EndpointStandin::start("sound", Behaviour::ok()).unwrap();
    let deployment = start(2, &[&flapping, &healthy]);
    for turn in 0..TURNS {
        match turn % 2 {
            0 => relay.accept().unwrap(),
            _ => {
                relay.refuse();
                relay.cut();
            }
        }
        for number in 0..REQUESTS_PER_TURN {
            let answer = call(&deployment, number % 2, path, KEY);
            assert_eq!(answer.status, 200, "turn {turn}: {answer:?}");
        }
    }
    relay.close();
    deployment.close();
}

/// The gateway closes idle connections that it presumes dropped, since endpoints limit how many
/// they accept.
#[test]
fn idle_connections_presumed_dropped_are_closed() {
    const IDLE: Duration = Duration::from_millis(100);
    const REQUESTS: usize = 12;
    let resets_idle = Behaviour::ResetIdle { idle: IDLE, body: "done".to_owned() };
    let one = EndpointStandin::start("one", resets_idle).unwrap();
    let relay = Relay::start(one.address()).unwrap();
    let one = one.with_address(relay.address());
    let deployment = start(1, &[&one]);
    for _ in 0..REQUESTS {
        call(&deployment, 0, "/commit/x", KEY);
        thread::sleep(2 * IDLE);
    }
    // The last connection and one that is being closed.
    assert!(relay.open_connections() <= 2, "{} open", relay.open_connections());
    relay.close();
    deployment.close();
}

/// A caller that moves to another zone resumes its stream at a gateway there.
#[test]
fn caller_that_moves_resumes_its_stream() {
    let one = EndpointStandin::start("one", STREAM).unwrap();
    let deployment = start(2, &[&one]);
    let caller = deployment.caller(0).unwrap().request("POST", "/draft/x", "first");
    let mut caller = caller.with_key(KEY);
    caller.send("body").unwrap();
    caller.wait_for("id: 3").unwrap();
    caller.close();
    let caller = deployment.caller(1).unwrap().request("POST", "/draft/x", "second");
    let answer = caller.with_key(KEY).with_last_event(3).call("body").unwrap();
    let ids: Vec<_> = answer.body.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
    let expected: Vec<_> = (4..=EVENTS).map(|number| number.to_string()).collect();
    assert!(answer.is_complete);
    assert_eq!(ids, expected);
    // The gateway abandons the run whose answer nobody reads.
    assert!(wait_until(|| one.abandoned() == 1));
    deployment.close();
}

/// A gateway that loses power right after a change and restarts while the store doesn't answer must
/// not return to the routes and keys from before the change.
#[test]
fn gateway_killed_after_a_change_never_reverts_it() {
    const PROBES: usize = 50;
    let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
    let mut deployment = start(3, &[&one]);
    assert_eq!(call(&deployment, 0, "/commit/x", REVOKED_KEY).status, 200);
    deployment.publish_routes(&routes(), &[KEY]);
    let is_refused = || call(&deployment, 0, "/commit/x", REVOKED_KEY).status == 401;
    assert!(wait_until(is_refused));
    deployment.kill(0).unwrap();
    deployment.store.set_mode(StoreMode::Silent);
    deployment.restart(0).unwrap();
    for _ in 0..PROBES {
        let Ok(caller) = deployment.caller(0) else { continue };
        let caller = caller.request("POST", "/commit/x", "late");
        let Ok(answer) = caller.with_key(REVOKED_KEY).call("body") else { continue };
        assert!([401, 503].contains(&answer.status), "{answer:?}");
    }
    deployment.wait_ready(0).unwrap();
    assert_eq!(call(&deployment, 0, "/commit/x", REVOKED_KEY).status, 401);
    assert_eq!(call(&deployment, 0, "/commit/x", KEY).status, 200);
    deployment.close();
}

/// Gateways apply in time a configuration that adds many routes at once, and requests on existing
/// routes succeed meanwhile.
#[test]
fn many_routes_at_once_are_applied_in_time() {
    const ROUTES: usize = 2_000;
    const GATEWAYS: u8 = 3;
    let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
    let mut deployment = start(GATEWAYS, &[&one]);
    let mut many: Vec<_> = routes().into();
    many.extend((0..ROUTES).map(|number| RouteSpec::once(&format!("route-{number}"))));
    deployment.publish_routes(&many, &[KEY]);
    let published = Instant::now();
    let last = format!("/route-{}/x", ROUTES - 1);
    for gateway in 0..usize::from(GATEWAYS) {
        let is_applied = || {
            assert_eq!(call(&deployment, gateway, "/commit/x", KEY).status, 200);
            call(&deployment, gateway, &last, KEY).status == 200
        };
        assert!(wait_until(is_applied));
    }
    assert!(published.elapsed() < APPLY_LIMIT, "{:?}", published.elapsed());
    deployment.close();
}

/// Why the gateways that watch the store miss a change.
#[derive(Debug, Clone, Copy)]
enum Missing {
    /// Their processes are paused.
    Paused,
    /// The store refuses them, and serves all others.
    Refused,
}

/// The store is well all the time; only the gateways that watch it don't get its changes.
#[rstest]
fn endpoint_that_leaves_gets_nothing_though_the_watchers_miss_it(
    #[values(Missing::Paused, Missing::Refused)] missing: Missing,
    #[values(true, false)] is_draining: bool,
    #[values(2, 8)] endpoints: usize,
) {
    /// Time until no gateway sends a leaving endpoint requests, from the first deployments.
    const DRAIN_LIMIT: Duration = Duration::from_secs(2);
    const WATCHERS: [usize; 2] = [0, 1];
    let names = ["one", "two", "three", "four", "five", "six", "seven", "eight"];
    let started = |name: &&str| EndpointStandin::start(name, Behaviour::ok()).unwrap();
    let all: Vec<_> = names[..endpoints].iter().map(started).collect();
    let one = &all[0];
    let deployment = start(4, &all.iter().collect::<Vec<_>>());
    assert!(wait_until(|| (0..4).all(|gateway| {
        let status = deployment.status(gateway).unwrap_or_default();
        status.contains("\"gateways\":4")
    })));
    // Each gateway watches the store at its start, until its first watch is answered.
    let has_stepped_back = |gateway: usize| {
        let log = deployment.log(gateway);
        log.iter().any(|line| line.contains("other gateways watch the store"))
    };
    assert!(wait_until(|| has_stepped_back(2) && has_stepped_back(3)));
    match missing {
        Missing::Paused => WATCHERS.iter().for_each(|it| deployment.pause(*it).unwrap()),
        Missing::Refused => {
            let ips = WATCHERS.map(|gateway| deployment.ip(gateway));
            deployment.store.set_mode(StoreMode::Refusing(ips.to_vec()));
        }
    }
    let left_at = Instant::now();
    match is_draining {
        true => deployment.publish_endpoint(one, true),
        false => deployment.withdraw_endpoint(one),
    }
    while left_at.elapsed() < 2 * DRAIN_LIMIT {
        for gateway in [2, 3] {
            call(&deployment, gateway, "/commit/x", KEY);
        }
    }
    let late = one.received().iter().filter(|it| it.at > left_at + DRAIN_LIMIT).count();
    if let Missing::Paused = missing {
        WATCHERS.iter().for_each(|it| deployment.resume(*it).unwrap());
    }
    deployment.close();
    assert_eq!(late, 0, "requests reached the endpoint too late");
}
