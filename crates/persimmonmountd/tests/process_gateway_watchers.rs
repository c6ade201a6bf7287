//! Tests of gateway processes that take over the watch of the store.

use std::time::{Duration, Instant};

use persimmon_platform::standin::{Deployment, GatewayFixture, StoreMode, wait_until};
use rstest::rstest;

/// Time after an endpoint's removal from which no gateway may use it: the bound of the first deployments.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time for which gateways are called after that.
const CALLED_FOR: Duration = Duration::from_secs(1);

/// Starts gateways before three endpoints, and waits until each knows all others and only the first two
/// watch the store.
fn start(gateways: u8) -> GatewayFixture {
    let deployment = Deployment::new(env!("CARGO_BIN_EXE_persimmonmountd"), gateways).unwrap();
    let fixture = GatewayFixture::start_on(deployment, &["one", "two", "three"]).unwrap();
    let all = usize::from(gateways);
    for gateway in 0..all {
        let known = format!("\"gateways\":{all}");
        let knows_all = || fixture.deployment.status(gateway).unwrap_or_default().contains(&known);
        assert!(wait_until(knows_all), "gateway {gateway} doesn't know all others");
    }
    for gateway in 2..all {
        fixture.wait_for_log(gateway, "other gateways watch the store").unwrap();
    }
    fixture
}

/// Cuts the first gateways off from the store, which is well for all others.
fn cut_off(fixture: &GatewayFixture, count: usize) {
    let ips = (0..count).map(|gateway| fixture.deployment.ip(gateway));
    fixture.deployment.store.set_mode(StoreMode::CutOff(ips.collect()));
}

/// The gateways that take over the watch must not take the loss of the others' path for an outage of the
/// store, after which removals are held back. No request shows meanwhile that the endpoint leaves.
#[rstest]
#[case::both_of_four(4, 2)]
#[case::three_of_five(5, 3)]
#[case::a_third_of_eighteen(18, 6)]
fn removed_endpoint_is_out_of_use_in_time_though_the_watchers_are_cut_off(
    #[case] gateways: u8,
    #[case] cut_off_count: usize,
) {
    let fixture = start(gateways);
    cut_off(&fixture, cut_off_count);
    // A removal just after the cut is the last to be noticed.
    std::thread::sleep(Duration::from_millis(50));
    let one = &fixture.endpoints[0];
    let removed_at = Instant::now();
    fixture.deployment.withdraw_endpoint(one);
    std::thread::sleep(DRAIN_LIMIT);
    let mut number = 0;
    while removed_at.elapsed() < DRAIN_LIMIT + CALLED_FOR {
        for gateway in cut_off_count..usize::from(gateways) {
            number += 1;
            fixture.call(gateway, "/lookup/x", &format!("request-{number}")).unwrap();
        }
    }
    let late = one.received().iter().filter(|it| it.at > removed_at + DRAIN_LIMIT).count();
    fixture.deployment.close();
    assert_eq!(late, 0, "of {number} requests, some reached an endpoint that had left");
}
