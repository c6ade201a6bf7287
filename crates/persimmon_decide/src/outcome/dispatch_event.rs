//! What a dispatch is told, and what it asks for.

use thiserror::Error;

use super::{Outcome, Refusal, Settled, StreamEnd};
use crate::Attempt;

/// What happened to a request. Events of an attempt that is over are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// No connection could be had, and nothing of the request was sent.
    ConnectFailed {
        /// The attempt.
        attempt: Attempt,
    },
    /// The sidecar refused the request.
    Refused {
        /// The attempt.
        attempt: Attempt,
        /// Why.
        refusal: Refusal,
        /// When to come back, in milliseconds, if the sidecar said so.
        retry_after_ms: Option<u64>,
    },
    /// The sidecar took the request on, or let it attach to one in progress.
    Accepted {
        /// The attempt.
        attempt: Attempt,
    },
    /// A piece of the answer has been written to the caller.
    Delivered {
        /// The attempt.
        attempt: Attempt,
    },
    /// The answer's end has been given out by the assembly, after everything before it.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        end: StreamEnd,
    },
    /// The connection was cut or has gone silent, or a new one couldn't be had to resume or settle.
    Lost {
        /// The attempt.
        attempt: Attempt,
    },
    /// The answer goes on over a new connection.
    Resumed {
        /// The attempt.
        attempt: Attempt,
    },
    /// The sidecar can't resume the answer: it restarted, or the frames are gone.
    ResumeRefused {
        /// The attempt.
        attempt: Attempt,
    },
    /// The sidecar said what became of the request.
    Settled {
        /// The attempt.
        attempt: Attempt,
        /// What became of it.
        settled: Settled,
    },
    /// The retry budget's answer to [`Action::AskBudget`].
    Budget {
        /// Whether another run is within the budget.
        granted: bool,
    },
    /// The request's deadline has passed.
    DeadlinePassed,
    /// The caller has closed its connection.
    CallerGone,
}

impl Event {
    /// The attempt that the event is about, if it is about one.
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

/// What the router has to do for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the request to a candidate, once.
    Submit {
        /// The candidate's place in the ranking.
        candidate: usize,
        /// The attempt to send it as.
        attempt: Attempt,
    },
    /// Open a new connection to the candidate and resume from the assembly's next offset.
    Resume {
        /// The candidate's place in the ranking.
        candidate: usize,
        /// The attempt to resume.
        attempt: Attempt,
    },
    /// Open a new connection to the candidate and ask what became of the request.
    Settle {
        /// The candidate's place in the ranking.
        candidate: usize,
        /// The attempt to settle.
        attempt: Attempt,
    },
    /// Tell the candidate to stop the request, without waiting for a reply.
    Cancel {
        /// The candidate's place in the ranking.
        candidate: usize,
        /// The attempt to cancel.
        attempt: Attempt,
    },
    /// Ask the retry budget whether the request may be run again.
    AskBudget,
    /// Give the caller its final answer, at once.
    Finish(FinalResult),
}

/// Why a request is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Cause {
    /// The whole answer was given out.
    #[error("the answer is whole")]
    Answered,
    /// Every endpoint tried refused it; this is the last refusal.
    #[error("{0}")]
    Refused(Refusal),
    /// No endpoint could be tried.
    #[error("no endpoint could be tried; retry after the given delay")]
    NoEndpoint,
    /// The owner of the claim can't be reached.
    #[error("the claim's owner can't be reached; present the same claim again")]
    Unreachable,
    /// The sidecar has made sure that the request doesn't run.
    #[error("the request was lost before it ran; send it again, with a new claim if it had one")]
    Settled,
    /// The answer stopped and can't be resumed.
    #[error("the answer stopped and couldn't be resumed; resume it by its id, or ask again")]
    Broken,
    /// The request was cancelled because its reader was too slow or silent.
    #[error("the request was cancelled because its answer wasn't read; read faster and ask again")]
    Cancelled,
    /// The request waited too long at its endpoint and was given up before it ran.
    #[error("the request waited too long and wasn't run; retry after the given delay")]
    Withdrawn,
    /// The endpoint crashed while it ran the request.
    #[error("the endpoint crashed while it ran the request; retry after the given delay")]
    Crashed,
    /// Another run would exceed the retry budget.
    #[error("the retry budget is spent; retry after the given delay")]
    BudgetSpent,
    /// The deadline passed.
    #[error("the deadline passed; allow more time or retry after the given delay")]
    DeadlinePassed,
    /// The caller has gone.
    #[error("the caller closed its connection; resume the answer by its id")]
    CallerGone,
}

impl Cause {
    /// The stable kind that failure bodies and metrics use.
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

/// The final answer about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalResult {
    /// What became of the request.
    pub outcome: Outcome,
    /// Why it is over.
    pub cause: Cause,
    /// When to come back, in milliseconds: the soonest of what the sidecars said.
    pub retry_after_ms: Option<u64>,
}
