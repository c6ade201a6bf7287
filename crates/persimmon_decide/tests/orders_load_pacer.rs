//! Pacing of loads from the rate-limited weight store, without communication between sidecars.

use std::collections::BTreeMap;

use persimmon_decide::membership::VmName;
use persimmon_decide::orders::{LoadPacer, LoadRate, WaitReason};
use persimmon_records::UnixMs;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const MINUTE_MS: u64 = 60_000;
const START_MS: u64 = 1_700_000_000_000;

fn names(count: usize) -> Vec<VmName> {
    (0..count).map(|number| format!("engine-{number}").as_str().into()).collect()
}

/// Returns when the sidecars start their loads if all need one within `spread_ms` and each has its
/// own clock skew.
fn starts(count: usize, rate: LoadRate, spread_ms: u64, seed: u64) -> Vec<u64> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let names = names(count);
    let mut starts: Vec<_> = names
        .iter()
        .map(|name| {
            let wanted_at = START_MS + rng.random_range(0..=spread_ms);
            let skew = rng.random_range(0..=rate.clock_uncertainty_ms);
            let pacer = LoadPacer::new(rate, name, &names, UnixMs(wanted_at + skew)).unwrap();
            let wait = pacer.wait(UnixMs(wanted_at + skew));
            wanted_at + wait.map_or(0, |wait| wait.starts_in_ms)
        })
        .collect();
    starts.sort_unstable();
    starts
}

fn most_in_a_minute(starts: &[u64]) -> usize {
    let starts_from = |first: usize| {
        let end = starts[first] + MINUTE_MS;
        starts[first..].iter().take_while(|at| **at < end).count()
    };
    (0..starts.len()).map(starts_from).max().unwrap_or(0)
}

#[test]
fn new_returns_none_for_unlisted_sidecar() {
    let rate = LoadRate { per_minute: 60, clock_uncertainty_ms: 1_000 };
    assert!(LoadPacer::new(rate, &"other".into(), &names(3), UnixMs(0)).is_none());
}

#[test]
fn wait_reports_delay_until_slot() {
    let rate = LoadRate { per_minute: 1, clock_uncertainty_ms: 1_000 };
    let names = names(10);
    let waits = names.iter().filter_map(|name| {
        LoadPacer::new(rate, name, &names, UnixMs(START_MS)).unwrap().wait(UnixMs(START_MS))
    });
    let waits: Vec<_> = waits.collect();
    assert!(waits.len() >= names.len() - 1);
    assert!(waits.iter().all(|wait| wait.reason == WaitReason::Slot));
    assert!(waits.iter().all(|wait| wait.starts_in_ms <= 10 * MINUTE_MS));
}

/// The store refuses loads beyond its rate. Sidecars with different lists choose the same slot, are
/// refused and back off.
#[test]
fn throttled_loads_back_off_spread_out() {
    let rate = LoadRate { per_minute: 60, clock_uncertainty_ms: 1_000 };
    let mut rng = Pcg64::seed_from_u64(9);
    let mut pacers: Vec<_> = (0..100)
        .map(|number: usize| {
            let own = names(number + 1).pop().unwrap();
            LoadPacer::new(rate, &own, std::slice::from_ref(&own), UnixMs(START_MS)).unwrap()
        })
        .collect();
    let mut accepted: BTreeMap<u64, u32> = BTreeMap::new();
    let mut refused: BTreeMap<u64, u32> = BTreeMap::new();
    let mut attempts: BTreeMap<u64, u32> = BTreeMap::new();
    for ms in (0..20 * MINUTE_MS).step_by(100) {
        let now = UnixMs(START_MS + ms);
        let mut waiting = Vec::new();
        for mut pacer in pacers {
            if pacer.wait(now).is_some() {
                waiting.push(pacer);
                continue;
            }
            *attempts.entry(ms / 1_000).or_default() += 1;
            let in_minute = accepted.entry(ms / MINUTE_MS).or_default();
            if *in_minute < rate.per_minute {
                *in_minute += 1;
                continue;
            }
            *refused.entry(ms / MINUTE_MS).or_default() += 1;
            pacer.throttled(1_000, rng.random(), now);
            assert_eq!(pacer.wait(now).unwrap().reason, WaitReason::Throttled);
            waiting.push(pacer);
        }
        pacers = waiting;
    }
    assert!(pacers.is_empty(), "{} never loaded", pacers.len());
    let most = attempts.range(30..).map(|(_, count)| *count).max().unwrap_or(0);
    assert!(most <= 20, "{most} attempts in one second, not spread out after 30 s");
    let last = refused.keys().max().copied().unwrap_or(0);
    assert!(last <= 3, "still refused after {last} minutes: {refused:?}");
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(9), cases: 60, ..Config::default() })]

    /// Sidecars that need a load seconds apart all start one, within the rate.
    #[test]
    fn loads_stay_within_rate(
        count in 1..400_usize,
        per_minute in 1..600_u32,
        spread_ms in 0..5_000_u64,
        clock_uncertainty_ms in 0..3_000_u64,
        seed in any::<u64>(),
    ) {
        let rate = LoadRate { per_minute, clock_uncertainty_ms };
        let starts = starts(count, rate, spread_ms, seed);
        let most = most_in_a_minute(&starts);
        prop_assert!(most <= per_minute as usize, "{most} of {per_minute} a minute");
        let cycle_ms = count as u64 * rate.slot_ms();
        let last = starts.last().unwrap() - START_MS;
        prop_assert!(last <= cycle_ms + spread_ms + rate.slot_ms());
    }
}
