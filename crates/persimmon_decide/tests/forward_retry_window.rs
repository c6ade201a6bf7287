//! The fleet's limit on retries.

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{RetryWindow, RetryWindowSettings, ServiceRetries};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SETTINGS: RetryWindowSettings =
    RetryWindowSettings { window_ms: 10_000, ratio: 0.2, slack: 58.0 };
/// Maximum age of digests in the simulated fleet, in milliseconds.
const DIGEST_MS: u64 = 200;

#[test]
fn allows_alone_uses_ratio_and_slack() {
    let mut window = RetryWindow::new(SETTINGS);
    for _ in 0..100 {
        window.record_request(MonoMs(1_000));
    }
    let mut repeated = 0;
    while window.allows(ServiceRetries::default(), 1, MonoMs(1_100)) {
        window.record_retry(MonoMs(1_100));
        repeated += 1;
    }
    // The limit is 0.2 x 100 + 58; part of it is reserved for decisions between digests.
    assert!((50..=78).contains(&repeated), "{repeated}");
}

#[test]
fn allows_again_after_window() {
    let mut window = RetryWindow::new(SETTINGS);
    while window.allows(ServiceRetries::default(), 1, MonoMs(0)) {
        window.record_retry(MonoMs(0));
    }
    assert!(!window.allows(ServiceRetries::default(), 1, MonoMs(9_000)));
    assert!(window.allows(ServiceRetries::default(), 1, MonoMs(11_000)));
}

/// Simulates a fleet in which a share of the requests needs a retry. Returns the highest excess
/// over the limit in any window.
fn highest_excess(seed: u64, gateways: usize, per_s: u64, failing: f64) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut windows: Vec<_> = (0..gateways).map(|_| RetryWindow::new(SETTINGS)).collect();
    let mut reported = vec![ServiceRetries::default(); gateways];
    let (mut fresh, mut repeated) = (Vec::new(), Vec::new());
    for ms in (0..30_000).step_by(10) {
        let now = MonoMs(ms);
        if ms % DIGEST_MS == 0 {
            reported = windows.iter().map(|it| it.counts(now)).collect();
        }
        let mean = per_s as f64 * 0.01;
        let arrivals = (0..2 * per_s / 100 + 2)
            .filter(|_| rng.random_bool((mean / (2 * per_s / 100 + 2) as f64).min(1.0)));
        for _ in 0..arrivals.count() {
            let own = rng.random_range(0..gateways);
            windows[own].record_request(now);
            fresh.push(ms);
            let others = reported.iter().enumerate().filter(|(at, _)| *at != own);
            let others = others.fold(ServiceRetries::default(), |sum, (_, it)| ServiceRetries {
                fresh: sum.fresh + it.fresh,
                repeated: sum.repeated + it.repeated,
            });
            if rng.random_bool(failing) && windows[own].allows(others, gateways, now) {
                windows[own].record_retry(now);
                repeated.push(ms);
            }
        }
    }
    let within = |times: &[u64], end: u64| {
        times.iter().filter(|at| **at <= end && **at + SETTINGS.window_ms > end).count() as f64
    };
    let excess =
        |end: u64| within(&repeated, end) - SETTINGS.ratio * within(&fresh, end) - SETTINGS.slack;
    (0..30_000).step_by(250).map(excess).fold(f64::MIN, f64::max)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), cases: 24, ..ProptestConfig::default() })]

    /// A complete outage doesn't make the fleet exceed its limit.
    #[test]
    fn allows_any_fleet_stays_within_limit(
        seed in any::<u64>(),
        gateways in 1..30_usize,
        per_s in 20..400_u64,
        failing in 0.1..1.0_f64,
    ) {
        prop_assert!(highest_excess(seed, gateways, per_s, failing) <= 0.0);
    }
}
