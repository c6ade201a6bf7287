//! The targets of the measures, on a small fleet. The large one runs by `cargo bench-decide --large`.

use persimmon_bench::{
    Comparison, CreditWay, Deployment, Figures, Scenario, Strategy, Trouble, compare,
    credit_figures,
};
use rstest::rstest;

/// Long enough for one surge and the start of the next, after the fleet has filled.
const DURATION_S: u64 = 960;

fn project(deployment: Deployment, seed: u64) -> (Comparison, Figures) {
    let scenario = Scenario::new(deployment).with_duration_s(DURATION_S).with_seed(seed);
    let comparison = compare(&scenario, &[Strategy::Project]);
    let figures = comparison.figures[0].clone();
    (comparison, figures)
}

#[rstest]
#[case::mwakilema(Deployment::mwakilema())]
#[case::kalahari(Deployment::kalahari())]
fn reuse_reaches_target(#[case] deployment: Deployment, #[values(1, 2, 3)] seed: u64) {
    let (comparison, figures) = project(deployment, seed);
    assert!(figures.reuse >= comparison.reuse_target, "{comparison}");
}

#[rstest]
#[case::mwakilema(Deployment::mwakilema())]
#[case::kalahari(Deployment::kalahari())]
fn skew_stays_within_multiple(#[case] deployment: Deployment, #[values(1, 2, 3)] seed: u64) {
    let (comparison, figures) = project(deployment, seed);
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
    let (comparison, figures) = project(deployment, seed);
    assert!(figures.quick_p95_ms <= 2 * comparison.calm_quick_p95_ms, "{comparison}");
}

#[rstest]
#[case::mwakilema(Deployment::mwakilema())]
#[case::kalahari(Deployment::kalahari())]
fn no_request_is_refused_for_good(#[case] deployment: Deployment, #[values(1, 2, 3)] seed: u64) {
    let (comparison, figures) = project(deployment, seed);
    assert_eq!(figures.dropped, 0, "{comparison}");
}

#[test]
fn same_seed_gives_same_figures() {
    let text = || serde_json::to_string(&project(Deployment::kalahari(), 1).0).unwrap();
    assert_eq!(text(), text());
}

#[rstest]
#[case::calm(Trouble::None)]
#[case::surge(Trouble::Surge)]
#[case::partition(Trouble::Partition)]
fn credits_take_fewer_bytes_than_a_message_for_each_call(#[case] trouble: Trouble) {
    let batches = credit_figures(CreditWay::Batches, trouble, 1);
    let each_call = credit_figures(CreditWay::EachCall, trouble, 1);
    let split = credit_figures(CreditWay::FixedSplit, trouble, 1);
    assert!(batches.bytes_per_s < each_call.bytes_per_s / 2.0, "{batches:?} {each_call:?}");
    assert!(batches.served > split.served, "{batches:?} {split:?}");
}
