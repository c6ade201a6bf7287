//! Entries of a ledger.

use super::{Answer, Repeatability};
use crate::{Fingerprint, MonoMs};

/// How the answer of a completed call is recorded.
#[derive(Debug, Clone)]
pub(super) enum RecordedAnswer {
    /// The complete answer is recorded here.
    Kept(Answer),
    /// The answer is a stream, whose frames [`super::OutputStore`] retains.
    Stream,
    /// The answer wasn't recorded for lack of space.
    NotKept,
}

/// The progress of a call.
#[derive(Debug, Clone)]
pub(super) enum Progress {
    /// The call hasn't begun; copies with stamps up to `refused_through` are refused.
    Refused,
    /// The call has begun and hasn't ended.
    Running,
    /// The complete answer was received.
    Done(RecordedAnswer),
    /// The call began, and its outcome is unknown.
    Unknown,
}

/// One call in a ledger.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) progress: Progress,
    pub(super) fingerprint: Fingerprint,
    pub(super) repeatability: Repeatability,
    /// Copies of the call are refused if their stamp was issued at or before this time.
    pub(super) refused_through: Option<MonoMs>,
    /// Whether an earlier run of the call had an unknown outcome.
    pub(super) ran_before: bool,
    /// The time until which the entry is retained; a running call is never evicted.
    pub(super) keep_until: MonoMs,
}

impl Entry {
    /// Returns the size of the recorded answer, in bytes.
    pub(super) fn answer_bytes(&self) -> usize {
        match &self.progress {
            Progress::Done(RecordedAnswer::Kept(answer)) => answer.body.len(),
            _ => 0,
        }
    }

    pub(super) fn is_running(&self) -> bool {
        matches!(self.progress, Progress::Running)
    }

    /// Reports whether a copy of the call stamped at `issued_at` is refused.
    pub(super) fn refuses(&self, issued_at: MonoMs) -> bool {
        self.refused_through.is_some_and(|through| issued_at <= through)
    }

    /// Reports whether the entry may be evicted at `now`.
    pub(super) fn may_evict(&self, now: MonoMs) -> bool {
        !self.is_running() && now > self.keep_until
    }
}
