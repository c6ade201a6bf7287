//! Runs short soak tests in which gateways are stopped as planned while callers use them.

use std::time::Duration;

use persimmon_soak::{Soak, StopSettings};
use rstest::rstest;

const GRACE_S: u64 = 6;

#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
fn planned_stops_lose_no_requests(#[case] seed: u64) {
    let soak = Soak::new(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_gateways(3)
        .with_endpoints(12)
        .with_callers(72)
        .with_length(Duration::from_secs(18))
        .with_stops(StopSettings { grace_s: GRACE_S, warm: Duration::from_millis(500) });
    let report = soak.run(seed).unwrap();
    assert!(report.findings.is_empty(), "{report:#?}");
    // Long answers that the rest of a grace period doesn't hold are refused.
    assert!(report.served * 2 > report.calls, "{report:#?}");
}
