//! Waiting for the start of an answer.

use std::sync::Arc;

use persimmon_decide::forward::FirstByteTimeout;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Records `count` answers of 40 to 120 ms, of which a share of 2% takes 300 ms, times `factor`.
fn play(patience: &mut FirstByteTimeout, rng: &mut Pcg64Mcg, count: usize, factor: u64) -> usize {
    let route: Arc<str> = "draft".into();
    let mut given_up = 0;
    for _ in 0..count {
        let usual = rng.random_range(40..120);
        let ms = factor * if rng.random_bool(0.02) { 300 } else { usual };
        given_up += usize::from(ms > patience.timeout_ms(&route));
        patience.record(&route, ms);
    }
    given_up
}

#[test]
fn timeout_ms_unknown_route_waits_long() {
    assert_eq!(FirstByteTimeout::new().timeout_ms("draft"), 1_500);
}

#[test]
fn timeout_ms_lost_answers_are_noticed_within_the_target() {
    let (mut patience, mut rng) = (FirstByteTimeout::new(), Pcg64Mcg::seed_from_u64(1));
    play(&mut patience, &mut rng, 2_000, 1);
    // The target is 800 ms, and another endpoint takes some 100 ms.
    let timeout_ms = patience.timeout_ms("draft");
    assert!((150..=600).contains(&timeout_ms), "{timeout_ms}");
}

#[test]
fn timeout_ms_slow_service_is_not_sent_twice_for_long() {
    let (mut patience, mut rng) = (FirstByteTimeout::new(), Pcg64Mcg::seed_from_u64(2));
    play(&mut patience, &mut rng, 2_000, 1);
    let given_up = play(&mut patience, &mut rng, 500, 6);
    assert!(given_up <= 25, "{given_up} of 500 slow requests were given up");
    let given_up = play(&mut patience, &mut rng, 2_000, 1);
    assert!(given_up <= 20, "{given_up} of 2,000 usual requests were given up");
}
