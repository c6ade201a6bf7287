//! Tests of gateway processes before endpoints that are cold.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{Behaviour, Deployment, EndpointStandin, RouteSpec, wait_until};

const PROGRAM: &str = env!("CARGO_BIN_EXE_persimmonmountd");
const KEY: &str = "key-1";
const GATEWAYS: usize = 4;
const CALLERS: usize = 3;
/// Most requests that a cold endpoint may get in one second.
const MAX_PER_S: usize = 24;
/// Time after which gateways that have started together send to cold endpoints, with a reserve.
const STARTED: Duration = Duration::from_millis(5_000);
/// Time for which the endpoints are cold, and the interval between their records.
const COLD_MS: u64 = 4_800;
const RECORD_MS: u64 = 1_200;

/// Returns the status of a call, and whether a refusal says when to come back; none if the connection broke.
fn call(deployment: &Deployment, gateway: usize, id: &str) -> Option<(u16, bool)> {
    let caller = deployment.caller(gateway).ok()?.request("POST", "/commit/x", id);
    let answer = caller.with_key(KEY).with_deadline_ms(2_000).call("body").ok()?;
    Some((answer.status, answer.retry_after_s.is_some()))
}

/// Returns the most requests that an endpoint got in a second from `since` on.
fn most_per_s(endpoint: &EndpointStandin, since: Instant) -> usize {
    let received = endpoint.received().into_iter().map(|it| it.at);
    let at: Vec<_> = received.filter(|at| *at >= since).collect();
    let second = Duration::from_secs(1);
    let within =
        |from: &Instant| at.iter().filter(|it| (*from..*from + second).contains(*it)).count();
    at.iter().map(within).max().unwrap_or(0)
}

/// Starts gateways before warm endpoints, until they may send to cold ones.
fn start(endpoints: &[EndpointStandin]) -> Deployment {
    let mut deployment = Deployment::new(PROGRAM, GATEWAYS as u8).unwrap();
    deployment.bound_cold_endpoints();
    endpoints.iter().for_each(|it| deployment.publish_endpoint(it, false));
    deployment.publish_routes(&[RouteSpec::once("commit")], &[KEY]);
    deployment.start_all().unwrap();
    thread::sleep(STARTED);
    deployment
}

/// Guards against endpoints that crash under the load of all gateways as they come back.
#[test]
fn cold_endpoints_get_no_more_than_they_bear() {
    let endpoints: Vec<_> = ["one", "two"]
        .into_iter()
        .map(|id| EndpointStandin::start(id, Behaviour::ok()).unwrap())
        .collect();
    let deployment = start(&endpoints);
    let publish = |ms| endpoints.iter().for_each(|it| deployment.publish_cold_endpoint(it, ms));
    publish(COLD_MS);
    let began = Instant::now();
    let count = |gateway: usize| {
        let status = deployment.status(gateway).unwrap_or_default();
        status.matches("\"usage\":\"cold\"").count()
    };
    assert!(wait_until(|| (0..GATEWAYS).all(|gateway| count(gateway) == endpoints.len())));
    let (is_over, refused) = (AtomicBool::new(false), AtomicUsize::new(0));
    thread::scope(|scope| {
        for number in 0..GATEWAYS * CALLERS {
            let (deployment, is_over, refused) = (&deployment, &is_over, &refused);
            scope.spawn(move || {
                for it in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let id = format!("call-{number}-{it}");
                    match call(deployment, number % GATEWAYS, &id) {
                        Some((200, _)) => {}
                        Some((503, true)) => drop(refused.fetch_add(1, Ordering::SeqCst)),
                        other => panic!("{other:?}"),
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            });
        }
        for record in 1..COLD_MS / RECORD_MS {
            let at = Duration::from_millis(record * RECORD_MS);
            thread::sleep(at.saturating_sub(began.elapsed()));
            publish(COLD_MS - record * RECORD_MS);
        }
        // Before the last record says that they are warm.
        let end = Duration::from_millis(COLD_MS - 200);
        thread::sleep(end.saturating_sub(began.elapsed()));
        is_over.store(true, Ordering::SeqCst);
    });
    for endpoint in &endpoints {
        let most = most_per_s(endpoint, began);
        assert!((1..=MAX_PER_S).contains(&most), "{most}");
    }
    assert!(refused.load(Ordering::SeqCst) > 0, "there were too few callers");
    let log = deployment.log(0);
    assert!(log.iter().any(|line| line.contains("\"cold\"")), "{log:#?}");
    publish(0);
    assert!(wait_until(|| (0..GATEWAYS).all(|gateway| count(gateway) == 0)));
    for number in 0..2 * MAX_PER_S {
        let id = format!("warm-{number}");
        assert_eq!(
            call(&deployment, 0, &id).map(|it| it.0),
            Some(200),
            "a warm endpoint is limited"
        );
    }
    deployment.close();
}
