//! How an attempt at an endpoint ended, and what that says of the endpoint.

use super::{AttemptOutcome, HealthTracker};
use crate::MonoMs;

/// Why an attempt brought no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureReason {
    /// No connection could be opened.
    Unreachable,
    /// The connection closed before any byte of the request was sent.
    NotSent,
    /// The deadline passed before any byte of the request was sent.
    DeadlineBeforeSend,
    /// The endpoint says that it didn't run the request.
    Refused,
    /// Another process answers at the endpoint's address.
    Misdirected,
    /// The endpoint answered with an error of its own.
    Failed,
    /// Nothing came for so long that another endpoint is tried.
    Silent,
    /// The deadline passed.
    Deadline,
    /// The connection broke.
    Broken,
    /// The connection broke inside an answer's body.
    BodyBroken,
    /// A stream ended inside an event.
    PartialEvent,
    /// A stream ended without any event.
    NoEvent,
    /// A stream's event doesn't end.
    EventTooLong,
    /// A stream's event can't be read, or isn't the next one.
    BadEvent,
    /// The answer is a success, but not the next part of the stream that has begun.
    NotContinued,
    /// What came has a status that no answer has.
    InvalidStatus,
    /// The answer names another request.
    ForeignAnswer,
    /// The answer names no request.
    UnnamedAnswer,
    /// The answer lacks the endpoint's signature, or is encoded.
    Unsigned,
    /// The answer has a transfer coding that can't be decoded.
    UnsupportedCoding,
    /// The answer was given up for lack of memory.
    NoMemory,
}

impl FailureReason {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NotSent => "not_sent",
            Self::DeadlineBeforeSend => "deadline_before_send",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::Failed => "failed",
            Self::Silent => "silent",
            Self::Deadline => "deadline",
            Self::Broken => "broken",
            Self::BodyBroken => "body_broken",
            Self::PartialEvent => "partial_event",
            Self::NoEvent => "no_event",
            Self::EventTooLong => "event_too_long",
            Self::BadEvent => "bad_event",
            Self::NotContinued => "not_continued",
            Self::InvalidStatus => "invalid_status",
            Self::ForeignAnswer => "foreign_answer",
            Self::UnnamedAnswer => "unnamed_answer",
            Self::Unsigned => "unsigned",
            Self::UnsupportedCoding => "unsupported_coding",
            Self::NoMemory => "no_memory",
        }
    }

    /// Returns what the failure says of the request.
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Unreachable | Self::NotSent | Self::DeadlineBeforeSend => AttemptOutcome::NotSent,
            Self::Refused | Self::Misdirected => AttemptOutcome::NotRun,
            Self::Failed => AttemptOutcome::Failed,
            _ => AttemptOutcome::Unknown,
        }
    }

    /// Reports whether a crash of the endpoint ends an answer in this way.
    pub fn looks_like_crash(self) -> bool {
        matches!(self, Self::Broken | Self::BodyBroken | Self::PartialEvent | Self::NoEvent)
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a complete answer.
    Answered {
        /// Whether the answer's framing shows its end. Otherwise a crash may look the same.
        is_end_framed: bool,
    },
    /// Without a usable answer.
    Failed(FailureReason),
    /// The gateway stopped waiting, since the caller has left or the deadline has passed.
    Abandoned,
}

/// What an attempt's end says of the cause, if the endpoint turns out to have crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvidence {
    /// The request was answered, and doesn't crash endpoints.
    Answered,
    /// The request was answered if the endpoint outlives the answer.
    AnsweredUnlessEnded,
    /// The endpoint left the request without an answer.
    Unanswered,
    /// Nothing had come; the endpoint may have crashed if nothing came on other requests either.
    StayedAway,
    /// Nothing.
    None,
}

impl AttemptEnd {
    /// Returns what the end says if the endpoint turns out to have crashed.
    pub fn crash_evidence(self) -> CrashEvidence {
        match self {
            Self::Answered { is_end_framed: true } => CrashEvidence::Answered,
            Self::Answered { is_end_framed: false } => CrashEvidence::AnsweredUnlessEnded,
            Self::Abandoned => CrashEvidence::StayedAway,
            Self::Failed(FailureReason::Silent | FailureReason::Deadline) => {
                CrashEvidence::StayedAway
            }
            Self::Failed(FailureReason::NoMemory) => CrashEvidence::None,
            Self::Failed(reason) if reason.outcome() == AttemptOutcome::Unknown => {
                CrashEvidence::Unanswered
            }
            Self::Failed(_) => CrashEvidence::None,
        }
    }

    /// Returns what [`Self::crash_evidence`] does for a request sent at `sent_at` to an endpoint that has
    /// sent nothing since `silent_since`. An endpoint that was down before the request was sent has
    /// ended for another reason, and closes the connection when it starts again.
    pub fn crash_evidence_of(self, sent_at: MonoMs, silent_since: MonoMs) -> CrashEvidence {
        let was_down = sent_at.ms_since(silent_since) >= HealthTracker::SILENT_MS;
        match self.crash_evidence() {
            CrashEvidence::Unanswered if was_down => CrashEvidence::None,
            evidence => evidence,
        }
    }

    /// Returns whether the end counts for or against the endpoint's health; none if it says nothing
    /// of it.
    pub fn is_healthy(self) -> Option<bool> {
        match self {
            Self::Answered { .. } => Some(true),
            Self::Failed(reason) if reason.outcome() == AttemptOutcome::NotRun => None,
            // Which answer is given up depends on all the others.
            Self::Failed(FailureReason::NoMemory) | Self::Abandoned => None,
            Self::Failed(_) => Some(false),
        }
    }
}
