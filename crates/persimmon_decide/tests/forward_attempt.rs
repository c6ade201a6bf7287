//! Retry decisions after failed attempts.

use persimmon_decide::forward::{AttemptLog, AttemptOutcome, FailureKind, NextStep, Repeatable};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use AttemptOutcome::{Failed, NotRun, NotSent, Unknown};

#[rstest]
#[case::once_unknown(Repeatable::Never, Unknown, NextStep::Fail(FailureKind::Unknown))]
#[case::once_failed(Repeatable::Never, Failed, NextStep::Deliver)]
#[case::once_not_run(Repeatable::Never, NotRun, NextStep::Retry)]
#[case::once_not_sent(Repeatable::Never, NotSent, NextStep::Retry)]
#[case::always_unknown(Repeatable::Always, Unknown, NextStep::Retry)]
#[case::always_failed(Repeatable::Always, Failed, NextStep::Retry)]
#[case::stream_unknown(Repeatable::FromLastEvent, Unknown, NextStep::Retry)]
fn record_first_outcome(
    #[case] repeatable: Repeatable,
    #[case] outcome: AttemptOutcome,
    #[case] expected: NextStep,
) {
    assert_eq!(AttemptLog::new(repeatable, 2).record(outcome, true, true), expected);
}

#[rstest]
#[case::once(Repeatable::Never, 3, [false, false])]
#[case::two_runs(Repeatable::Always, 2, [true, false])]
#[case::one_run(Repeatable::FromLastEvent, 1, [false, false])]
fn may_run_again_counts_runs(
    #[case] repeatable: Repeatable,
    #[case] max_attempts: u32,
    #[case] expected: [bool; 2],
) {
    let mut log = AttemptLog::new(repeatable, max_attempts);
    let before = log.may_run_again();
    log.record(Failed, true, true);
    assert_eq!([before, log.may_run_again()], expected);
}

#[test]
fn record_without_budget_retries_only_unsent_requests() {
    let mut log = AttemptLog::new(Repeatable::Always, 3);
    assert_eq!(log.record(NotSent, false, true), NextStep::Retry);
    assert_eq!(log.record(NotRun, false, true), NextStep::Fail(FailureKind::NotRun));
}

#[test]
fn record_not_run_after_run_stays_unknown() {
    let mut log = AttemptLog::new(Repeatable::Always, 2);
    log.record(Unknown, true, true);
    assert_eq!(log.record(NotRun, false, true), NextStep::Fail(FailureKind::Unknown));
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![Just(NotSent), Just(NotRun), Just(Failed), Just(Unknown)]
}

fn repeatable() -> impl Strategy<Value = Repeatable> {
    prop_oneof![Just(Repeatable::Always), Just(Repeatable::FromLastEvent), Just(Repeatable::Never)]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(13), ..ProptestConfig::default() })]

    /// A request never runs more often than allowed, and is never reported as not run if it may
    /// have run.
    #[test]
    fn record_never_exceeds_run_limit_or_misreports_not_run(
        repeatable in repeatable(),
        max_attempts in 1..4_u32,
        history in proptest::collection::vec((outcome(), any::<bool>(), any::<bool>()), 1..20),
    ) {
        let mut log = AttemptLog::new(repeatable, max_attempts);
        let mut runs = 0;
        for (outcome, has_budget, has_time) in history {
            runs += u32::from(matches!(outcome, Failed | Unknown));
            let most = if repeatable == Repeatable::Never { 1 } else { max_attempts };
            prop_assert!(runs <= most, "{runs} runs of {most}");
            match log.record(outcome, has_budget, has_time) {
                NextStep::Retry => {
                    prop_assert!(has_time);
                    continue;
                }
                NextStep::Deliver => prop_assert_eq!(outcome, Failed),
                NextStep::Fail(kind) => {
                    let expected = if runs == 0 { FailureKind::NotRun } else { FailureKind::Unknown };
                    prop_assert_eq!(kind, expected);
                }
            }
            break;
        }
    }
}
