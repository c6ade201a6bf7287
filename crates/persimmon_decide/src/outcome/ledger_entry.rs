//! One call in a ledger.

use super::{Answer, Repeatability};
use crate::{Fingerprint, MonoMs};

/// What is kept of the answer to a call that is done.
#[derive(Debug, Clone)]
pub(super) enum Recorded {
    /// The whole answer.
    Kept(Answer),
    /// Nothing here: the answer is a stream, whose frames are kept elsewhere.
    Stream,
    /// Nothing, for want of room.
    NotKept,
}

/// How far a call has come.
#[derive(Debug, Clone)]
pub(super) enum Progress {
    /// It hasn't begun, and some presentations of it are refused.
    Refused,
    /// It has begun and hasn't ended.
    Running,
    /// Its whole answer was seen.
    Done(Recorded),
    /// It began, and its end wasn't seen.
    Unknown,
}

/// One call in a ledger.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) progress: Progress,
    pub(super) fingerprint: Fingerprint,
    pub(super) repeatability: Repeatability,
    /// Presentations whose stamp isn't later than this are refused.
    pub(super) refused_through: Option<MonoMs>,
    /// Whether an earlier run of the call ended as unknown.
    pub(super) ran_before: bool,
    /// When the entry may be forgotten, unless it is running.
    pub(super) keep_until: MonoMs,
}

impl Entry {
    /// Bytes of the recorded answer.
    pub(super) fn answer_bytes(&self) -> usize {
        match &self.progress {
            Progress::Done(Recorded::Kept(answer)) => answer.body.len(),
            _ => 0,
        }
    }

    pub(super) fn is_running(&self) -> bool {
        matches!(self.progress, Progress::Running)
    }

    /// Whether a presentation stamped at `issued_at` is refused.
    pub(super) fn refuses(&self, issued_at: MonoMs) -> bool {
        self.refused_through.is_some_and(|through| issued_at <= through)
    }

    /// Whether the entry may be forgotten at `now`.
    pub(super) fn may_evict(&self, now: MonoMs) -> bool {
        !self.is_running() && now > self.keep_until
    }
}
