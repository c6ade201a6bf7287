//! The retry budget, and the random delays that spread retries.

use persimmon_decide::recovery::{RetryBudget, RetryPacer};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const TARGET_SHARE: f64 = 0.1;

#[rstest]
#[case::target(0.1, 1_000, 100)]
#[case::none(0.0, 1_000, 0)]
#[case::over_one_is_capped(7.0, 50, 50)]
fn budget_allows_share(#[case] share: f64, #[case] requests: u32, #[case] allowed: u32) {
    let mut budget = RetryBudget::new(share);
    let mut retries = 0;
    for _ in 0..requests {
        budget.record_request();
        retries += u32::from(budget.try_retry());
    }
    assert_eq!(retries, allowed);
}

#[test]
fn saved_retries_are_capped() {
    let mut budget = RetryBudget::new(TARGET_SHARE);
    (0..100_000).for_each(|_| budget.record_request());
    let retries = (0..1_000).filter(|_| budget.try_retry()).count();
    assert_eq!(retries, RetryBudget::DEFAULT_MAX_SAVED as usize);
}

/// An outage of 60 s at 100 requests per second, followed by 60 s without failures. Each failed
/// attempt is retried up to 5 times if the budget allows.
#[test]
fn outage_adds_bounded_work_and_ends_without_storm() {
    let mut rng = Pcg64::seed_from_u64(8);
    let mut budget = RetryBudget::new(TARGET_SHARE);
    let pacer = RetryPacer::new(100, 10_000);
    let mut due = vec![Vec::new(); 120_000];
    let (mut requests, mut retries) = (0_u32, 0_u32);
    let mut after_outage = vec![0_u32; 60];
    for ms in 0..120_000_usize {
        let is_down = ms < 60_000;
        let mut attempts = std::mem::take(&mut due[ms]);
        retries += attempts.len() as u32;
        if !is_down {
            after_outage[(ms - 60_000) / 1_000] += attempts.len() as u32;
        }
        if ms % 10 == 0 {
            requests += 1;
            budget.record_request();
            attempts.push(0);
        }
        for attempt in attempts.into_iter().filter(|attempt| is_down && *attempt < 5) {
            if budget.try_retry() {
                let at = ms + 1 + pacer.delay_ms(attempt, rng.random()) as usize;
                due[at].push(attempt + 1);
            }
        }
    }
    assert!(f64::from(retries) <= TARGET_SHARE * f64::from(requests), "{retries} of {requests}");
    let requests_per_second = 100.0;
    let most = after_outage.into_iter().max().unwrap();
    assert!(f64::from(most) <= 2.0 * TARGET_SHARE * requests_per_second, "{most} in one second");
}

#[test]
fn retry_after_spreads_callers() {
    let mut rng = Pcg64::seed_from_u64(8);
    let mut counts = [0_u32; 21];
    for _ in 0..1_000 {
        let after_s = RetryPacer::retry_after_s(10, rng.random()) as usize;
        assert!((10..=20).contains(&after_s));
        counts[after_s] += 1;
    }
    assert!(counts.into_iter().all(|count| count < 200), "{counts:?}");
}

#[test]
fn delay_spreads_over_its_bound() {
    let mut rng = Pcg64::seed_from_u64(8);
    let pacer = RetryPacer::new(100, 1_000);
    let mut counts = [0_u32; 10];
    for _ in 0..1_000 {
        counts[pacer.delay_ms(9, rng.random()) as usize * 10 / 1_001] += 1;
    }
    assert!(counts.into_iter().all(|count| (50..200).contains(&count)), "{counts:?}");
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(8), cases: 500, ..Config::default() })]

    #[test]
    fn budget_never_exceeds_share(steps in prop::collection::vec(any::<bool>(), 1..2_000)) {
        let mut budget = RetryBudget::new(TARGET_SHARE);
        let (mut requests, mut retries) = (0_u32, 0_u32);
        for is_request in steps {
            if is_request {
                requests += 1;
                budget.record_request();
            } else {
                retries += u32::from(budget.try_retry());
            }
            prop_assert!(f64::from(retries) <= TARGET_SHARE * f64::from(requests));
        }
    }

    #[test]
    fn delay_stays_in_bound(attempt in 0..200_u32, random in any::<u64>()) {
        let pacer = RetryPacer::new(100, 10_000);
        let bound = 100_u64.saturating_mul(1 << attempt.min(40)).min(10_000);
        prop_assert!(pacer.delay_ms(attempt, random) <= bound);
    }
}
