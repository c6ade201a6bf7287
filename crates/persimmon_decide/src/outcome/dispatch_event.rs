//! Input events and output actions of a dispatch.

use thiserror::Error;

use super::{Outcome, Refusal, Settled, StreamEnd};
use crate::Attempt;

/// An event of a request. [`super::Dispatch`] ignores events of earlier attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The router couldn't connect, and no part of the request was sent.
    ConnectFailed {
        /// The attempt.
        attempt: Attempt,
    },
    /// The sidecar refused the request.
    Refused {
        /// The attempt.
        attempt: Attempt,
        /// The reason.
        refusal: Refusal,
        /// The delay before a retry, in milliseconds, if the sidecar gave one.
        retry_after_ms: Option<u64>,
    },
    /// The sidecar accepted the request, or attached it to a run in progress.
    Accepted {
        /// The attempt.
        attempt: Attempt,
    },
    /// The router wrote part of the answer to the caller.
    Delivered {
        /// The attempt.
        attempt: Attempt,
    },
    /// The assembly returned the answer's end, after all frames before it.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// How the answer ended.
        end: StreamEnd,
    },
    /// The connection broke or fell silent, or the router couldn't open a new one to resume or
    /// settle the attempt.
    Lost {
        /// The attempt.
        attempt: Attempt,
    },
    /// The sidecar resumed the answer on a new connection.
    Resumed {
        /// The attempt.
        attempt: Attempt,
    },
    /// The sidecar can't resume the answer: it has restarted or dropped the frames.
    ResumeRefused {
        /// The attempt.
        attempt: Attempt,
    },
    /// The sidecar replied to [`Action::Settle`].
    Settled {
        /// The attempt.
        attempt: Attempt,
        /// The status of the request.
        settled: Settled,
    },
    /// The retry budget's reply to [`Action::AskBudget`].
    Budget {
        /// Whether the budget permits another run.
        granted: bool,
    },
    /// The request's deadline has passed.
    DeadlinePassed,
    /// The caller closed its connection.
    CallerGone,
}

impl Event {
    /// Returns the attempt that the event belongs to, if any.
    pub fn attempt(&self) -> Option<Attempt> {
        match self {
            Self::ConnectFailed { attempt }
            | Self::Refused { attempt, .. }
            | Self::Accepted { attempt }
            | Self::Delivered { attempt }
            | Self::Ended { attempt, .. }
            | Self::Lost { attempt }
            | Self::Resumed { attempt }
            | Self::ResumeRefused { attempt }
            | Self::Settled { attempt, .. } => Some(*attempt),
            Self::Budget { .. } | Self::DeadlinePassed | Self::CallerGone => None,
        }
    }
}

/// An action that the router must perform for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the request to a candidate once.
    Submit {
        /// The candidate's index in the ranking.
        candidate: usize,
        /// The number of the attempt.
        attempt: Attempt,
    },
    /// Open a new connection to the candidate and resume from the assembly's next offset.
    Resume {
        /// The candidate's index in the ranking.
        candidate: usize,
        /// The attempt to resume.
        attempt: Attempt,
    },
    /// Open a new connection to the candidate and ask for the status of the request.
    Settle {
        /// The candidate's index in the ranking.
        candidate: usize,
        /// The attempt to settle.
        attempt: Attempt,
    },
    /// Ask the candidate to cancel the request, without waiting for a reply.
    Cancel {
        /// The candidate's index in the ranking.
        candidate: usize,
        /// The attempt to cancel.
        attempt: Attempt,
    },
    /// Ask the retry budget whether the request may be run again.
    AskBudget,
    /// End the request and report the result to the caller at once.
    Finish(FinalResult),
}

/// The reason why a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Cause {
    /// The router passed on the complete answer.
    #[error("the answer is complete")]
    Answered,
    /// All endpoints that were tried refused the request; this is the last refusal.
    #[error("{0}")]
    Refused(Refusal),
    /// No endpoint could be tried.
    #[error("no endpoint could be tried; retry after the given delay")]
    NoEndpoint,
    /// The router can't reach the claim's owner.
    #[error("the claim's owner can't be reached; present the same claim again")]
    Unreachable,
    /// The request was lost on its way, and the sidecar confirmed that it won't run.
    #[error("the request was lost before it ran; send it again, with a new claim if it had one")]
    Settled,
    /// The answer broke off and can't be resumed.
    #[error("the answer broke off; resume it by its request id, or send the request again")]
    Broken,
    /// The sidecar cancelled the request because the reader was too slow or silent.
    #[error("the request was cancelled because its reader was too slow; read faster and retry")]
    Cancelled,
    /// The request waited too long at its endpoint and was withdrawn before it ran.
    #[error("the request waited too long and wasn't run; retry after the given delay")]
    Withdrawn,
    /// The endpoint crashed while it ran the request.
    #[error("the endpoint crashed while it ran the request; retry after the given delay")]
    Crashed,
    /// Another run would exceed the retry budget.
    #[error("the retry budget is spent; retry after the given delay")]
    BudgetSpent,
    /// The request's deadline passed.
    #[error("the deadline passed; allow more time or retry after the given delay")]
    DeadlinePassed,
    /// The caller closed its connection.
    #[error("the caller closed its connection; resume the answer by its id")]
    CallerGone,
}

impl Cause {
    /// Returns the stable name for failure bodies and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused(refusal) => refusal.as_str(),
            Self::NoEndpoint => "no-endpoint",
            Self::Unreachable => "unreachable",
            Self::Settled => "settled",
            Self::Broken => "broken",
            Self::Cancelled => "cancelled",
            Self::Withdrawn => "withdrawn",
            Self::Crashed => "crashed",
            Self::BudgetSpent => "budget-spent",
            Self::DeadlinePassed => "deadline-passed",
            Self::CallerGone => "caller-gone",
        }
    }
}

/// The final result of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalResult {
    /// The outcome of the request.
    pub outcome: Outcome,
    /// Why the request ended.
    pub cause: Cause,
    /// The delay before a retry, in milliseconds: the shortest that a sidecar gave.
    pub retry_after_ms: Option<u64>,
}
