//! What the end of an attempt says of its request and of its endpoint.

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{AttemptEnd, AttemptOutcome, CrashEvidence, FailureReason};
use rstest::rstest;

#[rstest]
#[case::unreachable(FailureReason::Unreachable, AttemptOutcome::NotSent, CrashEvidence::None)]
#[case::not_sent(FailureReason::NotSent, AttemptOutcome::NotSent, CrashEvidence::None)]
#[case::too_late(FailureReason::DeadlineBeforeSend, AttemptOutcome::NotSent, CrashEvidence::None)]
#[case::refused(FailureReason::Refused, AttemptOutcome::NotRun, CrashEvidence::None)]
#[case::misdirected(FailureReason::Misdirected, AttemptOutcome::NotRun, CrashEvidence::None)]
#[case::failed(FailureReason::Failed, AttemptOutcome::Failed, CrashEvidence::None)]
#[case::silent(FailureReason::Silent, AttemptOutcome::Unknown, CrashEvidence::StayedAway)]
#[case::deadline(FailureReason::Deadline, AttemptOutcome::Unknown, CrashEvidence::StayedAway)]
#[case::broken(FailureReason::Broken, AttemptOutcome::Unknown, CrashEvidence::Unanswered)]
#[case::body_broken(FailureReason::BodyBroken, AttemptOutcome::Unknown, CrashEvidence::Unanswered)]
#[case::partial_event(
    FailureReason::PartialEvent,
    AttemptOutcome::Unknown,
    CrashEvidence::Unanswered
)]
#[case::no_event(FailureReason::NoEvent, AttemptOutcome::Unknown, CrashEvidence::Unanswered)]
#[case::bad_event(FailureReason::BadEvent, AttemptOutcome::Unknown, CrashEvidence::Unanswered)]
#[case::invalid_status(
    FailureReason::InvalidStatus,
    AttemptOutcome::Unknown,
    CrashEvidence::Unanswered
)]
#[case::foreign(FailureReason::ForeignAnswer, AttemptOutcome::Unknown, CrashEvidence::Unanswered)]
fn failure_reason_says(
    #[case] reason: FailureReason,
    #[case] outcome: AttemptOutcome,
    #[case] evidence: CrashEvidence,
) {
    let end = AttemptEnd::Failed(reason);
    assert_eq!((reason.outcome(), end.crash_evidence()), (outcome, evidence));
    // A refusal is a healthy endpoint's answer, but no success either.
    let is_healthy = (outcome != AttemptOutcome::NotRun).then_some(false);
    assert_eq!(end.is_healthy(), is_healthy);
}

#[rstest]
#[case::framed(true, CrashEvidence::Answered)]
#[case::until_close(false, CrashEvidence::AnsweredUnlessEnded)]
fn answer_clears_its_request(#[case] is_end_framed: bool, #[case] evidence: CrashEvidence) {
    let end = AttemptEnd::Answered { is_end_framed };
    assert_eq!((end.crash_evidence(), end.is_healthy()), (evidence, Some(true)));
}

/// A caller that leaves says nothing of the endpoint's health, but its request may have silenced it.
#[test]
fn abandoned_attempt_may_have_silenced_its_endpoint() {
    let end = AttemptEnd::Abandoned;
    assert_eq!((end.crash_evidence(), end.is_healthy()), (CrashEvidence::StayedAway, None));
}

/// A process that starts again closes the connections of the one before, also those on which requests
/// came when that one was down already.
#[rstest]
#[case::sent_before_the_silence(1_000, 1_000, CrashEvidence::Unanswered)]
#[case::sent_while_slow(1_000, 1_590, CrashEvidence::Unanswered)]
#[case::sent_to_a_dead_endpoint(1_000, 1_600, CrashEvidence::None)]
#[case::alive_until_its_end(2_000, 1_500, CrashEvidence::Unanswered)]
fn broken_request(
    #[case] silent_since: u64,
    #[case] sent_at: u64,
    #[case] evidence: CrashEvidence,
) {
    let end = AttemptEnd::Failed(FailureReason::Broken);
    assert_eq!(end.crash_evidence_of(MonoMs(sent_at), MonoMs(silent_since)), evidence);
}

/// Only what a crash looks like is worth a connection to see whether the endpoint has crashed.
#[rstest]
#[case::broken(FailureReason::Broken, true)]
#[case::partial_event(FailureReason::PartialEvent, true)]
#[case::silent(FailureReason::Silent, false)]
#[case::bad_event(FailureReason::BadEvent, false)]
#[case::invalid_status(FailureReason::InvalidStatus, false)]
#[case::refused(FailureReason::Refused, false)]
fn looks_like_crash(#[case] reason: FailureReason, #[case] expected: bool) {
    assert_eq!(reason.looks_like_crash(), expected);
}

#[test]
fn failure_reason_no_memory_says_nothing_of_the_endpoint() {
    let end = AttemptEnd::Failed(FailureReason::NoMemory);
    assert_eq!(FailureReason::NoMemory.outcome(), AttemptOutcome::Unknown);
    assert_eq!((end.crash_evidence(), end.is_healthy()), (CrashEvidence::None, None));
}
