//! Tests of gateway processes that list many records again.

use std::time::{Duration, Instant};

use persimmon_platform::standin::{
    Behaviour, Deployment, EndpointStandin, GatewayFixture, RouteSpec, StoreMode, wait_until,
};

const GATEWAYS: u8 = 3;
/// Number of endpoints of a service that no route uses. With them, a list has more pages than a gateway reads at
/// full speed at its start.
const UNRELATED: usize = 20;
/// Time in which gateways must have caught up with the store: the shortest bound of the deployments.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(4);

/// Guards against lists of many pages that are given up because the gateway can route by its old records, so that
/// no change comes into force any more.
#[test]
fn change_is_applied_though_the_store_dropped_the_history_of_many_records() {
    let deployment = Deployment::new(env!("CARGO_BIN_EXE_persimmonmountd"), GATEWAYS).unwrap();
    let mut fixture = GatewayFixture::start_on(deployment, &["one", "two"]).unwrap();
    let unrelated: Vec<_> = (0..UNRELATED)
        .map(|it| EndpointStandin::start(&format!("unrelated-{it}"), Behaviour::ok()).unwrap())
        .collect();
    unrelated.iter().for_each(|it| fixture.deployment.publish_unrelated_endpoint(it));
    let all = 0..usize::from(GATEWAYS);
    let last = unrelated.last().unwrap().id();
    let knows_last = |gateway| fixture.deployment.knows(gateway, last);
    assert!(wait_until(|| all.clone().all(knows_last)));

    let ips = all.clone().map(|it| fixture.deployment.ip(it)).collect();
    fixture.deployment.store.set_mode(StoreMode::Refusing(ips));
    let routes = [RouteSpec::once("commit"), RouteSpec::repeatable("added")];
    fixture.deployment.publish_routes(&routes, &[GatewayFixture::KEY]);
    fixture.deployment.store.compact_history();
    fixture.deployment.store.set_mode(StoreMode::Serving);
    let reached_at = Instant::now();
    let is_in_force =
        |it| fixture.deployment.status(it).is_ok_and(|text| text.contains("\"generation\":2"));
    let log = || fixture.deployment.log(0);
    assert!(wait_until(|| all.clone().all(is_in_force)), "{:#?}", log());
    let took = reached_at.elapsed();
    fixture.deployment.close();
    assert!(took < CATCH_UP_LIMIT, "in force after {took:?}");
}
