//! Searches generated schedules for calls that run twice and for wrongly reported outcomes.

mod outcome_model;

use std::cell::RefCell;
use std::collections::BTreeSet;

use outcome_model::{Defect, Model, Op, Violation, schedule};
use persimmon_decide::outcome::Repeatability;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};
use rstest::rstest;

const SEED: u64 = 4_021;
const CASES: u32 = 20_000;

/// The result of a search.
struct SearchResult {
    /// The shrunk schedule that leads to the violation, if any does.
    schedule: Option<Vec<Op>>,
    reached: BTreeSet<String>,
}

/// Searches for one violation, or for any if `wanted` is `None`.
fn search(kind: Repeatability, defect: Defect, wanted: Option<Violation>) -> SearchResult {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let reached = RefCell::new(BTreeSet::new());
    let play = |ops: Vec<Op>| {
        let report = Model::new(kind, defect).play(&ops);
        reached.borrow_mut().extend(report.reached);
        let is_wanted = |found: &Violation| wanted.is_none_or(|wanted| wanted == *found);
        match report.violations.into_iter().find(is_wanted) {
            Some(violation) => Err(TestCaseError::fail(format!("{violation:?}"))),
            None => Ok(()),
        }
    };
    let schedule = match TestRunner::new(config).run(&schedule(), play) {
        Ok(()) => None,
        Err(TestError::Fail(_, ops)) => Some(ops),
        Err(abort) => panic!("the search ended early: {abort}"),
    };
    SearchResult { schedule, reached: reached.into_inner() }
}

#[rstest]
#[case::claims(Repeatability::Once, &["wrong-incarnation", "expired-claim", "body-mismatch"])]
#[case::ordinary(Repeatability::Repeatable, &["wrong-incarnation", "stale-stamp", "over-bound"])]
fn search_without_defect(#[case] kind: Repeatability, #[case] refusals: &[&str]) {
    let found = search(kind, Defect::None, None);
    assert_eq!(found.schedule.map(|ops| format!("{ops:?}")), None);
    // The schedules must reach all kinds of refusals and statuses, so that each is tested.
    let common = ["ledger-full", "tombstoned", "Started", "Done", "NotRun", "Unknown"];
    for name in refusals.iter().chain(&common) {
        assert!(found.reached.contains(*name), "{name} isn't in {:?}", found.reached);
    }
}

#[rstest]
#[case::incarnation_unchecked(Defect::IncarnationUnchecked, Violation::DoubleRun)]
#[case::settle_without_tombstone(Defect::SettleWithoutTombstone, Violation::FalseNotRun)]
#[case::refusal_without_tombstone(Defect::RefusalWithoutTombstone, Violation::FalseNotRun)]
#[case::ledger_forgets_when_full(Defect::ForgetsWhenFull, Violation::DoubleRun)]
#[case::unreachable_is_not_run(Defect::UnreachableIsNotRun, Violation::FalseNotRun)]
#[case::deadline_is_not_run(Defect::DeadlineIsNotRun, Violation::FalseNotRun)]
#[case::key_without_claim(Defect::KeyWithoutClaim { wait_ms: 0 }, Violation::DoubleRun)]
#[case::key_without_claim_after_wait(
    Defect::KeyWithoutClaim { wait_ms: 600 },
    Violation::DoubleRun
)]
fn search_defect(#[case] defect: Defect, #[case] wanted: Violation) {
    let schedule = search(Repeatability::Once, defect, Some(wanted)).schedule;
    println!("{defect:?}: {wanted:?} by {schedule:?}");
    assert!(schedule.is_some());
}
