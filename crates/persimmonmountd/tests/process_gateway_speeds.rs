//! Tests of gateway processes with endpoints that state their load and speed.

use persimmon_platform::standin::{Deployment, GatewayFixture, wait_until};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_persimmonmountd");
const CALLS: usize = 40;

fn start() -> GatewayFixture {
    GatewayFixture::start_on(Deployment::new(PROGRAM, 2).unwrap(), &["one", "two"]).unwrap()
}

fn call_all(fixture: &GatewayFixture, round: usize) {
    for number in 0..CALLS {
        let answer = fixture.call(0, "/lookup/x", &format!("call-{round}-{number}")).unwrap();
        assert_eq!(answer.status, 200);
    }
}

/// Returns a gateway's long-term slowdown of an endpoint; none if it doesn't know it.
fn lasting(fixture: &GatewayFixture, gateway: usize, endpoint: &str) -> Option<f64> {
    let status: Value = serde_json::from_str(&fixture.deployment.status(gateway).ok()?).ok()?;
    let endpoints = status["endpoints"].as_array()?;
    endpoints.iter().find(|it| it["id"] == endpoint)?["lasting_slowdown"].as_f64()
}

/// Each gateway gets few answers of an endpoint: it must learn of its speed from the others too.
#[test]
fn stated_speeds_reach_all_gateways() {
    let fixture = start();
    fixture.endpoints[0].set_stated_load(Some("1,0,64,250"));
    fixture.endpoints[1].set_stated_load(Some("1,0,64"));
    let one = fixture.endpoints[0].id();
    let knows = |gateway| lasting(&fixture, gateway, one).is_some();
    assert!(!knows(0) && !knows(1));
    // A digest may be lost, and values are reported only for a while.
    let mut rounds = 0..;
    assert!(wait_until(|| {
        call_all(&fixture, rounds.next().unwrap_or_default());
        knows(0) && knows(1)
    }));
    assert!(lasting(&fixture, 0, one).unwrap() >= 1.0);
    assert_eq!(lasting(&fixture, 0, fixture.endpoints[1].id()), None);
    let metrics = fixture.deployment.metrics(0).unwrap();
    assert!(metrics.contains("persimmon_gateway_endpoint_slowdown_bucket"), "{metrics}");
    fixture.deployment.close();
}

/// An endpoint that states nonsense must serve its callers as before.
#[test]
fn unreadable_loads_are_ignored_and_counted() {
    let fixture = start();
    fixture.endpoints[0].set_stated_load(Some("busy"));
    fixture.endpoints[1].set_stated_load(Some("1,0,64,999999"));
    call_all(&fixture, 0);
    let received = fixture.endpoints.iter().map(|it| it.received().len());
    assert!(received.into_iter().all(|it| it > CALLS / 5));
    let metrics = fixture.deployment.metrics(0).unwrap();
    let counted =
        metrics.lines().find(|it| it.starts_with("persimmon_gateway_invalid_loads_total"));
    let expected = format!(" {CALLS}");
    assert!(counted.is_some_and(|it| it.ends_with(&expected)), "{counted:?}");
    assert_eq!(lasting(&fixture, 0, fixture.endpoints[0].id()), None);
    fixture.deployment.close();
}
