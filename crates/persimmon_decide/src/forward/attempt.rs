//! Retry decisions after failed attempts.

use super::Repeatable;

/// Outcome of an attempt without a successful answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Failure before any byte of the request was sent.
    NotSent,
    /// Report of the endpoint that it didn't run the request.
    NotRun,
    /// Error answer of an endpoint that ran the request.
    Failed,
    /// No complete answer to a request that was sent: it may have run.
    Unknown,
}

/// The kind of a request's failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// A request that hasn't run and never will.
    NotRun,
    /// A request that may have run.
    Unknown,
}

/// The step that follows an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another attempt, at another endpoint.
    Retry,
    /// Delivery of the endpoint's error to the caller.
    Deliver,
    /// Failure of the request.
    Fail(FailureKind),
}

/// Counts the attempts of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptLog {
    repeatable: Repeatable,
    max_runs: u32,
    runs: u32,
    sends: u32,
    tries: u32,
}

impl AttemptLog {
    /// Maximum number of attempts, including those at unreachable endpoints; more would only delay
    /// the caller's error.
    const MAX_TRIES: u32 = 6;
    /// Maximum number of attempts in which the request is sent. Refusals count, so that when a
    /// service is full, no request is sent to all of its endpoints.
    const MAX_SENDS: u32 = 4;

    /// Creates the log of a request that hasn't been sent. At most `max_attempts` endpoints may run
    /// it.
    pub fn new(repeatable: Repeatable, max_attempts: u32) -> Self {
        Self { repeatable, max_runs: max_attempts.max(1), runs: 0, sends: 0, tries: 0 }
    }

    /// Reports whether an endpoint may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Reports whether the request may run again if the next endpoint fails it.
    pub fn may_run_again(&self) -> bool {
        self.repeatable != Repeatable::Never && self.runs + 1 < self.max_runs
    }

    /// Records an attempt and returns the next step. `has_budget` says whether the fleet's retry
    /// limit allows another send, and `has_time` whether another endpoint can answer before the
    /// deadline.
    pub fn record(
        &mut self,
        outcome: AttemptOutcome,
        has_budget: bool,
        has_time: bool,
    ) -> NextStep {
        self.tries += 1;
        match outcome {
            AttemptOutcome::NotSent => {}
            AttemptOutcome::NotRun => self.sends += 1,
            AttemptOutcome::Failed | AttemptOutcome::Unknown => {
                self.sends += 1;
                self.runs += 1;
            }
        }
        let may_repeat =
            self.runs == 0 || (self.repeatable != Repeatable::Never && self.runs < self.max_runs);
        let may_send = self.tries < Self::MAX_TRIES && self.sends < Self::MAX_SENDS;
        let costs_budget = self.sends > 0;
        if may_repeat && may_send && has_time && (has_budget || !costs_budget) {
            return NextStep::Retry;
        }
        match outcome {
            AttemptOutcome::Failed => NextStep::Deliver,
            _ if self.runs == 0 => NextStep::Fail(FailureKind::NotRun),
            _ => NextStep::Fail(FailureKind::Unknown),
        }
    }
}
