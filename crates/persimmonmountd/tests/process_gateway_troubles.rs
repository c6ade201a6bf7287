//! Endpoints that lie about their health or go up and down, callers that move, and changes around a
//! loss of power.

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
/// Bound on the time until published routes are in force, from the deployments' sheets.
const IN_FORCE: Duration = Duration::from_secs(3);

fn program() -> &'static str {
    env!("CARGO_BIN_EXE_persimmonmountd")
}

fn routes() -> [RouteSpec; 3] {
    [RouteSpec::once("commit"), RouteSpec::repeatable("lookup"), RouteSpec::stream("draft", true)]
}

/// Starts gateways before these endpoints, and waits until they take requests.
fn start(gateways: u8, endpoints: &[&EndpointStandin]) -> Deployment {
    let mut deployment = Deployment::new(program(), gateways).unwrap();
    endpoints.iter().for_each(|endpoint| deployment.publish_endpoint(endpoint, false));
    deployment.publish_routes(&routes(), &[KEY, REVOKED_KEY]);
    deployment.start_all().unwrap();
    let knows_all = |gateway| {
        let status = deployment.status(gateway).unwrap_or_default();
        endpoints.iter().all(|it| status.contains(&format!("\"id\":\"{}\"", it.id())))
    };
    assert!(wait_until(|| (0..usize::from(gateways)).all(knows_all)));
    deployment
}

fn call(deployment: &Deployment, gateway: usize, path: &str, key: &str) -> Answer {
    let caller = deployment.caller(gateway).unwrap().request("POST", path, "request");
    caller.with_key(key).with_deadline_ms(4_000).call("body").unwrap()
}

/// An endpoint whose health answer is good and whose answers are failures, given faster than others
/// give good ones, gets few requests.
#[test]
fn endpoint_that_fails_while_healthy_is_avoided() {
    const CALLERS: usize = 8;
    const CALLS: usize = 12;
    let failing = Behaviour::Answer { status: 500, body: "failed".to_owned() };
    let lying = EndpointStandin::start("lying", failing).unwrap();
    let sound: Vec<_> = ["two", "three", "four"]
        .into_iter()
        .map(|id| EndpointStandin::start(id, STREAM).unwrap())
        .collect();
    let all: Vec<_> = sound.iter().chain([&lying]).collect();
    let deployment = start(1, &all);
    let call_all = || {
        thread::scope(|scope| {
            let play = || (0..CALLS).for_each(|_| drop(call(&deployment, 0, "/draft/x", KEY)));
            (0..CALLERS).for_each(|_| drop(scope.spawn(play)));
        });
        lying.received().len()
    };
    // After the first round its failures are plain.
    let early = call_all();
    let late = call_all() - early;
    // Its even share would be a quarter.
    assert!(late * 10 < CALLERS * CALLS, "{late} of {}", CALLERS * CALLS);
    deployment.close();
}

/// What one gateway's callers suffered at an endpoint spares those of another gateway.
#[test]
fn endpoint_that_fails_at_one_gateway_is_avoided_by_the_others() {
    const CALLS: usize = 40;
    let failing = Behaviour::Answer { status: 500, body: "failed".to_owned() };
    let lying = EndpointStandin::start("lying", failing).unwrap();
    let sound: Vec<_> = ["two", "three"]
        .into_iter()
        .map(|id| EndpointStandin::start(id, Behaviour::ok()).unwrap())
        .collect();
    let all: Vec<_> = sound.iter().chain([&lying]).collect();
    let deployment = start(2, &all);
    let knows_failures = |gateway| {
        let status = deployment.status(gateway).unwrap_or_default();
        let status: Value = serde_json::from_str(&status).unwrap_or_default();
        let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
        let rate = |it: &Value| it["failure_rate"].as_f64().unwrap_or(0.0);
        endpoints.iter().any(|it| it["id"] == "lying" && rate(it) > 0.0)
    };
    // Calls of the first gateway only, until the second one has heard of them.
    assert!(wait_until(|| {
        (0..CALLS).for_each(|_| drop(call(&deployment, 0, "/lookup/x", KEY)));
        knows_failures(1)
    }));
    let before = lying.received().len();
    for _ in 0..CALLS {
        assert_eq!(call(&deployment, 1, "/commit/x", KEY).status, 200);
    }
    assert_eq!(lying.received().len(), before);
    deployment.close();
}

/// Callers beyond the places of all endpoints are told at once when to come back, and the streams
/// of the others start.
#[test]
fn streams_beyond_all_places_are_refused_at_once() {
    const CALLERS: usize = 48;
    /// Two endpoints with eight places each, and a short queue before each of them.
    const MOST_SERVED: usize = 2 * 10;
    const LEAST_SERVED: usize = 2 * 7;
    let pause = Duration::from_millis(300);
    let slow = Behaviour::Stream { events: EVENTS, pause, cut_after: None };
    let one = EndpointStandin::start("one", slow.clone()).unwrap();
    let two = EndpointStandin::start("two", slow).unwrap();
    let deployment = start(1, &[&one, &two]);
    let answers: Vec<_> = thread::scope(|scope| {
        let play = || {
            let started = Instant::now();
            (call(&deployment, 0, "/draft/x", KEY), started.elapsed())
        };
        let calls: Vec<_> = (0..CALLERS).map(|_| scope.spawn(play)).collect();
        calls.into_iter().map(|it| it.join().unwrap()).collect()
    });
    let (served, refused): (Vec<_>, Vec<_>) =
        answers.into_iter().partition(|(answer, _)| answer.status == 200);
    assert!((LEAST_SERVED..=MOST_SERVED).contains(&served.len()), "{} served", served.len());
    for (answer, took) in refused {
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after_s.is_some(), "{answer:?}");
        assert!(took < pause * EVENTS as u32, "refused after {took:?}");
    }
    assert_eq!(one.received().len() + two.received().len(), served.len());
    deployment.close();
}

/// Health answers aren't asked for, so that an endpoint that serves is used whatever it says there.
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

/// An endpoint that goes down and up by turns costs no request that wasn't in progress there.
#[rstest]
#[case::once("/commit/x")]
#[case::repeatable("/lookup/x")]
fn endpoint_that_flaps_costs_no_request(#[case] path: &str) {
    const TURNS: usize = 6;
    const REQUESTS_A_TURN: usize = 8;
    let flapping = EndpointStandin::start("flapping", Behaviour::ok()).unwrap();
    let relay = Relay::start(flapping.address()).unwrap();
    let flapping = flapping.with_address(relay.address());
    let sound = EndpointStandin::start("sound", Behaviour::ok()).unwrap();
    let deployment = start(2, &[&flapping, &sound]);
    for turn in 0..TURNS {
        match turn % 2 {
            0 => relay.accept().unwrap(),
            _ => {
                relay.refuse();
                relay.cut();
            }
        }
        for number in 0..REQUESTS_A_TURN {
            let answer = call(&deployment, number % 2, path, KEY);
            assert_eq!(answer.status, 200, "turn {turn}: {answer:?}");
        }
    }
    relay.close();
    deployment.close();
}

/// Connections that are taken for dropped are closed, since endpoints bound how many they take.
#[test]
fn idle_connections_taken_for_dropped_do_not_pile_up() {
    const IDLE: Duration = Duration::from_millis(100);
    const REQUESTS: usize = 12;
    let forgetful = Behaviour::ResetIdle { idle: IDLE, body: "done".to_owned() };
    let one = EndpointStandin::start("one", forgetful).unwrap();
    let relay = Relay::start(one.address()).unwrap();
    let one = one.with_address(relay.address());
    let deployment = start(1, &[&one]);
    for _ in 0..REQUESTS {
        call(&deployment, 0, "/commit/x", KEY);
        thread::sleep(2 * IDLE);
    }
    // The last one, and one that is being closed.
    assert!(relay.open_connections() <= 2, "{} open", relay.open_connections());
    relay.close();
    deployment.close();
}

/// A caller that has moved to another zone goes on with its stream at a gateway there.
#[test]
fn caller_that_moves_goes_on_with_its_stream() {
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
    // The run that nobody reads any more is given up.
    assert!(wait_until(|| one.abandoned() == 1));
    deployment.close();
}

/// A gateway that loses power right after a change, and comes back while the store is away, never
/// goes back to what was in force before.
#[test]
fn gateway_killed_after_a_change_keeps_to_it() {
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

/// A configuration that grows by many routes at once is in force in time, and no call of before is
/// disturbed.
#[test]
fn many_routes_at_once_are_in_force_in_time() {
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
        let is_in_force = || {
            assert_eq!(call(&deployment, gateway, "/commit/x", KEY).status, 200);
            call(&deployment, gateway, &last, KEY).status == 200
        };
        assert!(wait_until(is_in_force));
    }
    assert!(published.elapsed() < IN_FORCE, "{:?}", published.elapsed());
    deployment.close();
}
