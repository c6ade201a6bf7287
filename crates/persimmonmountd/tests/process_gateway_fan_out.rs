//! Tests of gateway processes that pass changes of a large configuration on.

use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{Deployment, GatewayFixture, RouteSpec, wait_until};

const GATEWAYS: u8 = 8;
const ROUTES: usize = 2_000;
/// Time from the first gateway that has a change to the last one.
const SPREAD_LIMIT: Duration = Duration::from_secs(1);
/// Time in which what follows a change, such as repeated notices, has ended.
const SETTLED: Duration = Duration::from_secs(2);
/// Minimum size of the configuration in bytes, as a multiple of what a gateway may send or receive for a
/// change of one route.
const MIN_SET_PER_CHANGE: u64 = 20;
/// Size of a route in the configuration, in bytes; a lower bound.
const ROUTE_BYTES: u64 = 150;

fn routes(changed_timeout_ms: u64) -> Vec<RouteSpec> {
    let route = |number: usize| RouteSpec::repeatable(&format!("route-{number}"));
    let mut routes: Vec<_> = (0..ROUTES).map(route).collect();
    routes[ROUTES / 2] = route(ROUTES / 2).with_timeout_ms(changed_timeout_ms);
    routes
}

/// Waits until all gateways have this version of the routes in force. Returns the time from the first one to
/// the last one.
fn wait_for_version(fixture: &GatewayFixture, version: u64) -> Duration {
    let in_force = format!("\"generation\":{version},");
    let has_it =
        |gateway| fixture.deployment.status(gateway).is_ok_and(|it| it.contains(&in_force));
    let mut first = None;
    let mut missing: Vec<_> = (0..fixture.deployment.len()).collect();
    let all_have_it = wait_until(|| {
        missing.retain(|gateway| !has_it(*gateway));
        if missing.len() < fixture.deployment.len() {
            first.get_or_insert_with(Instant::now);
        }
        missing.is_empty()
    });
    assert!(all_have_it, "gateways {missing:?} don't have version {version}");
    first.unwrap().elapsed()
}

/// Returns the bytes of records that each gateway has sent and received.
fn record_bytes(fixture: &GatewayFixture) -> Vec<u64> {
    let of_gateway = |gateway| {
        let metrics = fixture.deployment.metrics(gateway).unwrap();
        let lines =
            metrics.lines().filter(|it| it.starts_with("persimmon_gateway_record_bytes_total"));
        lines.map(|it| it.rsplit(' ').next().unwrap().parse::<u64>().unwrap()).sum()
    };
    (0..fixture.deployment.len()).map(of_gateway).collect()
}

#[test]
fn change_of_one_route_costs_the_bytes_of_the_change() {
    let deployment = Deployment::new(env!("CARGO_BIN_EXE_persimmonmountd"), GATEWAYS).unwrap();
    let mut fixture = GatewayFixture::start_on(deployment, &["one"]).unwrap();
    fixture.deployment.publish_routes(&routes(5_000), &[GatewayFixture::KEY]);
    wait_for_version(&fixture, 2);
    thread::sleep(SETTLED);
    let before = record_bytes(&fixture);
    fixture.deployment.publish_routes(&routes(6_000), &[GatewayFixture::KEY]);
    let spread = wait_for_version(&fixture, 3);
    thread::sleep(SETTLED);
    let after = record_bytes(&fixture);
    let spent: Vec<_> = after.iter().zip(&before).map(|(after, before)| after - before).collect();
    let max_bytes = ROUTES as u64 * ROUTE_BYTES / MIN_SET_PER_CHANGE;
    assert!(spent.iter().all(|it| *it < max_bytes), "{spent:?} bytes, at most {max_bytes}");
    assert!(spread < SPREAD_LIMIT, "{spread:?} from the first gateway to the last one");
    fixture.deployment.close();
}
