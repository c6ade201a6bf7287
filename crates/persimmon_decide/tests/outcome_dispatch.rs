//! The actions of a dispatch for sequences of events.

use Repeatability::{Once, Repeatable};
use persimmon_decide::Attempt;
use persimmon_decide::outcome::{
    Action, Cause, Dispatch, DispatchLimits, Event, FinalResult, Outcome, Refusal, Repeatability,
    Settled, StreamEnd,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rstest::rstest;

const A1: Attempt = Attempt(1);
const A2: Attempt = Attempt(2);
const SEED: u64 = 4_023;
const CASES: u32 = 20_000;

fn limits() -> DispatchLimits {
    DispatchLimits { max_attempts: 2, max_reconnects: 2 }
}

/// Returns all actions for a request with three candidates and these events.
fn play(kind: Repeatability, events: &[Event]) -> Vec<Action> {
    let mut dispatch = Dispatch::new(kind, 3, limits());
    let first = dispatch.start();
    first.into_iter().chain(events.iter().flat_map(|event| dispatch.handle(*event))).collect()
}

/// Returns all actions for a call with three candidates and these events, where the sidecars
/// deduplicate an attempt that is sent again.
fn play_deduplicated(kind: Repeatability, events: &[Event]) -> Vec<Action> {
    let mut dispatch = Dispatch::new(kind, 3, limits()).with_sidecar_deduplication();
    let first = dispatch.start();
    first.into_iter().chain(events.iter().flat_map(|event| dispatch.handle(*event))).collect()
}

/// After a lost connection, a non-repeatable call is resent to its owner only; any other call is
/// sent to the next candidate, within the retry budget.
#[rstest]
#[case::once_is_sent_again(Once, &[Event::Lost { attempt: A1 }, ended(StreamEnd::Whole)], &[
    submit(A1), submit(A1), finish(Outcome::Done, Cause::Answered),
])]
#[case::once_is_abandoned(Once, &[Event::Lost { attempt: A1 }; 3], &[
    submit(A1), submit(A1), submit(A1), finish(Outcome::Unknown, Cause::Unreachable),
])]
#[case::once_is_refused_again(
    Once,
    &[Event::Lost { attempt: A1 }, refused(A1, Refusal::EarlierRunUnknown)],
    &[
        submit(A1),
        submit(A1),
        finish(Outcome::Unknown, Cause::Refused(Refusal::EarlierRunUnknown)),
    ],
)]
#[case::repeatable_tries_next_candidate(Repeatable, &[Event::Lost { attempt: A1 }, Event::Budget { granted: true }], &[
    submit(A1), cancel(A1), Action::AskBudget, submit(A2),
])]
#[case::repeatable_is_out_of_budget(
    Repeatable,
    &[Event::Lost { attempt: A1 }, Event::Budget { granted: false }],
    &[
        submit(A1),
        cancel(A1),
        Action::AskBudget,
        finish(Outcome::Unknown, Cause::BudgetSpent),
    ],
)]
#[case::repeatable_at_its_deadline(Repeatable, &[Event::DeadlinePassed], &[
    submit(A1), cancel(A1), finish(Outcome::Unknown, Cause::DeadlinePassed),
])]
fn dispatch_with_sidecar_deduplication(
    #[case] kind: Repeatability,
    #[case] events: &[Event],
    #[case] expected: &[Action],
) {
    assert_eq!(play_deduplicated(kind, events), expected);
}

fn submit(attempt: Attempt) -> Action {
    Action::Submit { candidate: attempt.0 as usize - 1, attempt }
}

fn resume(attempt: Attempt) -> Action {
    Action::Resume { candidate: attempt.0 as usize - 1, attempt }
}

fn settle(attempt: Attempt) -> Action {
    Action::Settle { candidate: attempt.0 as usize - 1, attempt }
}

fn cancel(attempt: Attempt) -> Action {
    Action::Cancel { candidate: attempt.0 as usize - 1, attempt }
}

fn finish(outcome: Outcome, cause: Cause) -> Action {
    Action::Finish(FinalResult { outcome, cause, retry_after_ms: None })
}

fn refused(attempt: Attempt, refusal: Refusal) -> Event {
    Event::Refused { attempt, refusal, retry_after_ms: None }
}

fn ended(end: StreamEnd) -> Event {
    Event::Ended { attempt: A1, end }
}

fn settled(settled: Settled) -> Event {
    Event::Settled { attempt: A1, settled }
}

const FAILED: Event = Event::ConnectFailed { attempt: A1 };
const ACCEPTED: Event = Event::Accepted { attempt: A1 };
const DELIVERED: Event = Event::Delivered { attempt: A1 };
const LOST: Event = Event::Lost { attempt: A1 };
const RESUMED: Event = Event::Resumed { attempt: A1 };
const RESUME_REFUSED: Event = Event::ResumeRefused { attempt: A1 };
const GRANTED: Event = Event::Budget { granted: true };
const SPENT: Event = Event::Budget { granted: false };

#[rstest]
#[case::whole(&[ACCEPTED, DELIVERED, ended(StreamEnd::Whole)],
    &[finish(Outcome::Done, Cause::Answered)])]
#[case::never_sent(&[FAILED, Event::ConnectFailed { attempt: A2 }],
    &[submit(A2), finish(Outcome::NotRun, Cause::NoEndpoint)])]
#[case::refused_everywhere(&[refused(A1, Refusal::Leaving), refused(A2, Refusal::OverBound)],
    &[submit(A2), finish(Outcome::NotRun, Cause::Refused(Refusal::OverBound))])]
#[case::refused_by_new_incarnation(&[refused(A1, Refusal::WrongIncarnation),
        refused(A2, Refusal::OverBound)],
    &[submit(A2), finish(Outcome::Unknown, Cause::Refused(Refusal::OverBound))])]
#[case::quarantined(&[refused(A1, Refusal::Quarantined)],
    &[finish(Outcome::NotRun, Cause::Refused(Refusal::Quarantined))])]
#[case::withdrawn_while_waiting(&[ACCEPTED, refused(A1, Refusal::DeadlineUnmeetable)],
    &[submit(A2)])]
#[case::lost_and_not_run(&[LOST, settled(Settled::NotRun)], &[settle(A1), submit(A2)])]
#[case::lost_and_started(&[LOST, settled(Settled::Started), RESUMED, ended(StreamEnd::Whole)],
    &[settle(A1), resume(A1), finish(Outcome::Done, Cause::Answered)])]
#[case::lost_and_unreachable(&[LOST, LOST, LOST, SPENT],
    &[settle(A1), settle(A1), cancel(A1), Action::AskBudget,
        finish(Outcome::Unknown, Cause::BudgetSpent)])]
#[case::cut_before_a_token(&[ACCEPTED, ended(StreamEnd::Cut), GRANTED],
    &[cancel(A1), Action::AskBudget, submit(A2)])]
#[case::cut_after_a_token(&[ACCEPTED, DELIVERED, ended(StreamEnd::Cut)],
    &[cancel(A1), finish(Outcome::Unknown, Cause::Broken)])]
#[case::silent_and_resumed(&[ACCEPTED, DELIVERED, LOST, RESUMED, ended(StreamEnd::Whole)],
    &[resume(A1), finish(Outcome::Done, Cause::Answered)])]
#[case::progress_between_silences(&[ACCEPTED, LOST, LOST, RESUMED, DELIVERED, LOST],
    &[resume(A1), resume(A1), resume(A1)])]
#[case::resume_refused_after_a_token(&[ACCEPTED, DELIVERED, LOST, RESUME_REFUSED],
    &[resume(A1), cancel(A1), finish(Outcome::Unknown, Cause::Broken)])]
#[case::resume_refused_before_a_token(&[ACCEPTED, LOST, RESUME_REFUSED, GRANTED],
    &[resume(A1), cancel(A1), Action::AskBudget, submit(A2)])]
#[case::slow_reader(&[ACCEPTED, DELIVERED, ended(StreamEnd::Cancelled)],
    &[finish(Outcome::Unknown, Cause::Cancelled)])]
#[case::deadline_in_progress(&[ACCEPTED, Event::DeadlinePassed],
    &[cancel(A1), finish(Outcome::Unknown, Cause::DeadlinePassed)])]
#[case::caller_gone(&[Event::CallerGone, ended(StreamEnd::Whole)],
    &[cancel(A1), finish(Outcome::Unknown, Cause::CallerGone)])]
#[case::late_event_of_an_earlier_attempt(&[refused(A1, Refusal::Leaving), ACCEPTED, LOST],
    &[submit(A2)])]
fn dispatch_repeatable(#[case] events: &[Event], #[case] expected: &[Action]) {
    assert_eq!(play(Repeatable, events)[1..], *expected);
}

#[rstest]
#[case::unreachable(&[FAILED], &[finish(Outcome::Unknown, Cause::Unreachable)])]
#[case::refused(&[refused(A1, Refusal::OverBound)],
    &[finish(Outcome::NotRun, Cause::Refused(Refusal::OverBound))])]
#[case::earlier_incarnation(&[refused(A1, Refusal::WrongIncarnation)],
    &[finish(Outcome::Unknown, Cause::Refused(Refusal::WrongIncarnation))])]
#[case::answer_not_kept(&[refused(A1, Refusal::AnswerNotKept)],
    &[finish(Outcome::Done, Cause::Refused(Refusal::AnswerNotKept))])]
#[case::not_run(&[LOST, settled(Settled::NotRun)],
    &[settle(A1), finish(Outcome::NotRun, Cause::Settled)])]
#[case::unknown(&[LOST, settled(Settled::Unknown)],
    &[settle(A1), finish(Outcome::Unknown, Cause::Broken)])]
#[case::cut(&[ACCEPTED, ended(StreamEnd::Cut)], &[finish(Outcome::Unknown, Cause::Broken)])]
#[case::deadline(&[Event::DeadlinePassed],
    &[finish(Outcome::Unknown, Cause::DeadlinePassed)])]
#[case::caller_gone(&[ACCEPTED, Event::CallerGone],
    &[finish(Outcome::Unknown, Cause::CallerGone)])]
fn dispatch_once(#[case] events: &[Event], #[case] expected: &[Action]) {
    assert_eq!(play(Once, events)[1..], *expected);
}

#[test]
fn dispatch_retry_after() {
    let mut dispatch = Dispatch::new(Repeatable, 2, limits());
    dispatch.start();
    let refused = |attempt, ms| Event::Refused {
        attempt,
        refusal: Refusal::OverBound,
        retry_after_ms: Some(ms),
    };
    dispatch.handle(refused(A1, 700));
    let cause = Cause::Refused(Refusal::OverBound);
    let end = FinalResult { outcome: Outcome::NotRun, cause, retry_after_ms: Some(700) };
    assert_eq!(dispatch.handle(refused(A2, 900)), [Action::Finish(end)]);
}

#[test]
fn dispatch_resume() {
    let mut dispatch = Dispatch::new(Repeatable, 3, limits());
    assert_eq!(dispatch.start_resume(), [resume(A1)]);
    let actions = dispatch.handle(RESUME_REFUSED);
    assert_eq!(actions, [cancel(A1), finish(Outcome::Unknown, Cause::Broken)]);
}

fn any_event() -> impl Strategy<Value = Event> {
    let attempt = (1..3_u32).prop_map(Attempt);
    let refusals = [Refusal::OverBound, Refusal::WrongIncarnation, Refusal::BodyMismatch];
    let ends = [StreamEnd::Whole, StreamEnd::Cancelled, StreamEnd::Cut];
    let answers = [Settled::Started, Settled::Done, Settled::NotRun, Settled::Unknown];
    prop_oneof![
        1 => attempt.clone().prop_map(|attempt| Event::ConnectFailed { attempt }),
        1 => (attempt.clone(), prop::sample::select(refusals.to_vec()))
            .prop_map(|(attempt, refusal)| refused(attempt, refusal)),
        3 => attempt.clone().prop_map(|attempt| Event::Accepted { attempt }),
        3 => attempt.clone().prop_map(|attempt| Event::Delivered { attempt }),
        1 => (attempt.clone(), prop::sample::select(ends.to_vec()))
            .prop_map(|(attempt, end)| Event::Ended { attempt, end }),
        4 => attempt.clone().prop_map(|attempt| Event::Lost { attempt }),
        2 => attempt.clone().prop_map(|attempt| Event::Resumed { attempt }),
        1 => attempt.clone().prop_map(|attempt| Event::ResumeRefused { attempt }),
        2 => (attempt, prop::sample::select(answers.to_vec()))
            .prop_map(|(attempt, settled)| Event::Settled { attempt, settled }),
        2 => any::<bool>().prop_map(|granted| Event::Budget { granted }),
        1 => Just(Event::DeadlinePassed),
    ]
}

/// For any sequence of events, a request ends exactly once, runs again only if permitted, and
/// reconnects at most `max_reconnects` times without progress.
#[test]
fn dispatch_any_events() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let kind = prop_oneof![Just(Once), Just(Repeatable)];
    let events = prop::collection::vec(any_event(), 0..40);
    let run = TestRunner::new(config).run(&(kind, events), |(kind, events)| {
        let mut dispatch = Dispatch::new(kind, 3, limits());
        let mut submits = dispatch.start().len();
        let (mut delivered, mut reconnects) = (false, 0);
        for event in events.into_iter().chain([Event::DeadlinePassed]) {
            let was_finished = dispatch.is_finished();
            for action in dispatch.handle(event) {
                prop_assert!(!was_finished, "no action follows the final result");
                match action {
                    Action::Submit { .. } => {
                        prop_assert!(!delivered && kind == Repeatable);
                        submits += 1;
                        reconnects = 0;
                    }
                    Action::Resume { .. } | Action::Settle { .. } => reconnects += 1,
                    Action::Cancel { .. } => prop_assert_eq!(kind, Repeatable),
                    Action::AskBudget | Action::Finish(_) => {}
                }
            }
            if matches!(event, Event::Delivered { attempt } if attempt.0 as usize == submits) {
                delivered = true;
                reconnects = 0;
            }
            prop_assert!(reconnects <= limits().max_reconnects);
        }
        prop_assert!(dispatch.is_finished());
        prop_assert!(submits <= limits().max_attempts as usize);
        Ok(())
    });
    assert_eq!(run, Ok(()));
}
