//! Timeouts for the first byte of an answer.

use std::sync::Arc;

use persimmon_decide::forward::FirstByteTimeout;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Records `count` answers that take 40 to 120 ms, except for 2% that take 300 ms; all times are
/// multiplied by `factor`. Returns how many exceed the timeout.
fn simulate(
    timeout: &mut FirstByteTimeout,
    rng: &mut Pcg64Mcg,
    count: usize,
    factor: u64,
) -> usize {
    let route: Arc<str> = "draft".into();
    let mut timed_out = 0;
    for _ in 0..count {
        let typical_ms = rng.random_range(40..120);
        let ms = factor * if rng.random_bool(0.02) { 300 } else { typical_ms };
        timed_out += usize::from(ms > timeout.timeout_ms(&route));
        timeout.record(&route, ms);
    }
    timed_out
}

#[test]
fn timeout_ms_unknown_route_is_maximum() {
    assert_eq!(FirstByteTimeout::new().timeout_ms("draft"), 1_500);
}

#[test]
fn timeout_ms_leaves_time_for_retry_within_target() {
    let (mut timeout, mut rng) = (FirstByteTimeout::new(), Pcg64Mcg::seed_from_u64(1));
    simulate(&mut timeout, &mut rng, 2_000, 1);
    // The target is 800 ms, and another endpoint needs about 100 ms.
    let timeout_ms = timeout.timeout_ms("draft");
    assert!((150..=600).contains(&timeout_ms), "{timeout_ms}");
}

#[test]
fn timeout_ms_adapts_to_slow_service() {
    let (mut timeout, mut rng) = (FirstByteTimeout::new(), Pcg64Mcg::seed_from_u64(2));
    simulate(&mut timeout, &mut rng, 2_000, 1);
    let timed_out = simulate(&mut timeout, &mut rng, 500, 6);
    assert!(timed_out <= 25, "{timed_out} of 500 slow requests timed out");
    let timed_out = simulate(&mut timeout, &mut rng, 2_000, 1);
    assert!(timed_out <= 20, "{timed_out} of 2,000 typical requests timed out");
}
