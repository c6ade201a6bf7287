//! Checks the benchmark's targets on a small fleet. `cargo bench-decide --large` runs the large
//! one.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock};

use persimmon_bench::{
    Comparison, CreditWay, Deployment, Scenario, Strategy, Trouble, compare, credit_figures,
};
use rstest::rstest;

/// Length of a run with one surge and the start of the next, after the fleet has filled up.
const DURATION_S: u64 = 960;

/// Length of a run with three surges, and with chats that continue after up to half an hour.
const LONG_DURATION_S: u64 = 1_800;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RunKey {
    deployment: &'static str,
    seed: u64,
    duration_s: u64,
}

/// Returns the figures of the project's strategy. Tests with the same key share one run.
fn project(deployment: Deployment, seed: u64, duration_s: u64) -> Comparison {
    static RUNS: Mutex<BTreeMap<RunKey, Arc<OnceLock<Comparison>>>> = Mutex::new(BTreeMap::new());
    let key = RunKey { deployment: deployment.name, seed, duration_s };
    let run = RUNS.lock().unwrap().entry(key).or_default().clone();
    run.get_or_init(|| {
        let scenario = Scenario::new(deployment).with_duration_s(duration_s).with_seed(seed);
        compare(&scenario, &[Strategy::Project])
    })
    .clone()
}

#[rstest]
#[case::mwakilema(Deployment::mwakilema())]
#[case::kalahari(Deployment::kalahari())]
fn reuse_reaches_target(#[case] deployment: Deployment, #[values(1, 2, 3)] seed: u64) {
    let comparison = project(deployment, seed, DURATION_S);
    let figures = &comparison.figures[0];
    assert!(figures.reuse >= comparison.reuse_target, "{comparison}");
}

#[rstest]
#[case::mwakilema(Deployment::mwakilema())]
#[case::kalahari(Deployment::kalahari())]
fn skew_stays_within_multiple(#[case] deployment: Deployment, #[values(1, 2, 3)] seed: u64) {
    let comparison = project(deployment, seed, DURATION_S);
    let figures = &comparison.figures[0];
    assert!(figures.skew.samples > 0, "the mean never rose above the floor: {comparison}");
    assert!(figures.skew.max <= comparison.load_multiple, "{comparison}");
}

#[rstest]
#[case::mwakilema(Deployment::mwakilema())]
#[case::kalahari(Deployment::kalahari())]
fn quick_requests_dont_wait_behind_drafting(
    #[case] deployment: Deployment,
    #[values(1, 2, 3)] seed: u64,
) {
    let comparison = project(deployment, seed, DURATION_S);
    let figures = &comparison.figures[0];
    assert!(figures.quick_p95_ms <= 2 * comparison.calm_quick_p95_ms, "{comparison}");
}

#[rstest]
#[case::mwakilema(Deployment::mwakilema())]
#[case::kalahari(Deployment::kalahari())]
fn no_request_is_dropped(#[case] deployment: Deployment, #[values(1, 2, 3)] seed: u64) {
    let comparison = project(deployment, seed, DURATION_S);
    let figures = &comparison.figures[0];
    assert_eq!(figures.dropped, 0, "{comparison}");
}

#[rstest]
fn long_run_keeps_reuse(#[values(1, 2, 3)] seed: u64) {
    let comparison = long_run(seed);
    assert!(comparison.figures[0].reuse >= comparison.reuse_target, "{comparison}");
}

#[rstest]
fn long_run_keeps_skew(#[values(1, 2, 3)] seed: u64) {
    let comparison = long_run(seed);
    assert!(comparison.figures[0].skew.max <= comparison.load_multiple, "{comparison}");
}

fn long_run(seed: u64) -> Comparison {
    project(Deployment::mwakilema(), seed, LONG_DURATION_S)
}

#[test]
fn same_seed_gives_same_figures() {
    let scenario = Scenario::new(Deployment::kalahari()).with_duration_s(240);
    let text = || serde_json::to_string(&compare(&scenario, &Strategy::ALL)).unwrap();
    assert_eq!(text(), text());
}

#[rstest]
#[case::calm(Trouble::None)]
#[case::surge(Trouble::Surge)]
#[case::partition(Trouble::Partition)]
fn credit_batches_use_fewer_bytes_than_each_call(#[case] trouble: Trouble) {
    let batches = credit_figures(CreditWay::Batches, trouble, 1);
    let each_call = credit_figures(CreditWay::EachCall, trouble, 1);
    let split = credit_figures(CreditWay::FixedSplit, trouble, 1);
    assert!(batches.bytes_per_s < each_call.bytes_per_s / 2.0, "{batches:?} {each_call:?}");
    assert!(batches.served > split.served, "{batches:?} {split:?}");
}
