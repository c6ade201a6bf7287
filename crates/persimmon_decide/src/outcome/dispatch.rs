//! The state machine by which a router sends one request, retries it and ends it.

use super::{Action, Cause, Event, FinalResult, Outcome, Refusal, Repeatability, RetryHint};
use super::{Settled, StreamEnd};
use crate::Attempt;

/// Bounds of a [`Dispatch`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchLimits {
    /// The maximum number of endpoints that are tried.
    pub max_attempts: u32,
    /// The maximum number of new connections for one attempt between two delivered frames of the
    /// answer.
    pub max_reconnects: u32,
}

impl Default for DispatchLimits {
    fn default() -> Self {
        Self { max_attempts: 8, max_reconnects: 3 }
    }
}

/// The state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Not started.
    New,
    /// Sent; no reply was received yet.
    Submitted,
    /// Accepted by the sidecar, with a connection for the answer.
    Streaming,
    /// Accepted by the sidecar; the router opens a new connection to resume the answer.
    Resuming,
    /// Lost before the reply; the router asks the sidecar for the outcome.
    Settling,
    /// Lost; the router waits for the retry budget to permit another run.
    AwaitingBudget,
    /// Ended with a final result.
    Finished,
}

/// The state machine of one request, from its first candidate to exactly one [`Action::Finish`].
///
/// Each attempt is sent once. If the connection is lost before the reply, the router settles the
/// attempt: it asks the sidecar for the outcome, and treats the attempt as not run only if the
/// sidecar confirms that. Once part of an answer has reached the caller, the answer is resumed at
/// the same sidecar or fails, because another run may give a different answer.
///
/// A call that must not be repeated has its claim's owner as the only candidate. Other routers may
/// have sent it too, so only the owner can confirm that it didn't run.
///
/// ```
/// use persimmon_decide::Attempt;
/// use persimmon_decide::outcome::{Action, Dispatch, DispatchLimits, Repeatability};
///
/// let mut dispatch = Dispatch::new(Repeatability::Repeatable, 2, DispatchLimits::default());
/// assert_eq!(dispatch.start(), [Action::Submit { candidate: 0, attempt: Attempt(1) }]);
/// ```
#[derive(Debug)]
pub struct Dispatch {
    repeatability: Repeatability,
    candidates: usize,
    limits: DispatchLimits,
    state: State,
    /// The current or last attempt, from 1; its candidate has the index `attempt - 1`.
    attempt: u32,
    reconnects: u32,
    /// Whether the request may have run other than in the attempt in progress.
    may_have_run: bool,
    /// Whether part of the answer has reached the caller.
    delivered: bool,
    /// Whether sidecars attach an attempt that is sent again to the run in progress.
    sidecar_deduplicates: bool,
    last_refusal: Option<Refusal>,
    retry_after_ms: Option<u64>,
}

impl Dispatch {
    /// Creates a request with this many candidates, which are tried in the order of their ranking.
    pub fn new(repeatability: Repeatability, candidates: usize, limits: DispatchLimits) -> Self {
        Self {
            repeatability,
            candidates,
            limits,
            state: State::New,
            attempt: 0,
            reconnects: 0,
            // Another router may have sent the same claim before.
            may_have_run: repeatability == Repeatability::Once,
            delivered: false,
            sidecar_deduplicates: false,
            last_refusal: None,
            retry_after_ms: None,
        }
    }

    /// Declares that sidecars deduplicate the call: an attempt that is sent again attaches to the
    /// run in progress or gets the recorded answer. After a lost connection the router then doesn't
    /// settle or resume the attempt: it resends a call that must not be repeated to its owner, and
    /// abandons the attempt of any other call and tries another candidate.
    #[must_use]
    pub fn with_sidecar_deduplication(mut self) -> Self {
        self.sidecar_deduplicates = true;
        self
    }

    /// Reports whether [`Action::Finish`] has been returned.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Starts the request and returns the first actions.
    pub fn start(&mut self) -> Vec<Action> {
        if self.state == State::New { self.try_next() } else { Vec::new() }
    }

    /// Resumes an answer that began earlier, and of which the caller may have a part, at the first
    /// candidate, and returns the first actions. Never runs the request.
    pub fn start_resume(&mut self) -> Vec<Action> {
        if self.state != State::New {
            return Vec::new();
        }
        self.may_have_run = true;
        if self.candidates == 0 {
            return self.finish_exhausted();
        }
        self.delivered = true;
        self.attempt = 1;
        self.reconnect(State::Resuming)
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let is_stale = event.attempt().is_some_and(|attempt| attempt.0 != self.attempt);
        if is_stale || self.is_finished() {
            return Vec::new();
        }
        match event {
            Event::ConnectFailed { .. } => self.on_connect_failed(),
            Event::Refused { refusal, retry_after_ms, .. } => {
                self.on_refused(refusal, retry_after_ms)
            }
            Event::Accepted { .. } => self.enter_streaming(State::Submitted),
            Event::Resumed { .. } => self.enter_streaming(State::Resuming),
            Event::Delivered { .. } => self.on_delivered(),
            Event::Ended { end, .. } => self.on_ended(end),
            Event::Lost { .. } => self.on_lost(),
            Event::ResumeRefused { .. } => self.on_resume_refused(),
            Event::Settled { settled, .. } => self.on_settled(settled),
            Event::Budget { granted } => self.on_budget(granted),
            Event::DeadlinePassed => self.finish_early(Cause::DeadlinePassed),
            Event::CallerGone => self.finish_early(Cause::CallerGone),
        }
    }

    fn on_connect_failed(&mut self) -> Vec<Action> {
        match self.state {
            State::Submitted if self.is_once() => self.finish(Outcome::Unknown, Cause::Unreachable),
            State::Submitted => self.try_next(),
            _ => Vec::new(),
        }
    }

    fn on_refused(&mut self, refusal: Refusal, retry_after_ms: Option<u64>) -> Vec<Action> {
        if !self.accepts_refusal(refusal) {
            return Vec::new();
        }
        self.last_refusal = Some(refusal);
        self.retry_after_ms = earliest(self.retry_after_ms, retry_after_ms);
        if refusal.outcome() == Outcome::Unknown {
            self.may_have_run = true;
        }
        if !self.is_once() && allows_next_candidate(refusal) {
            return self.try_next();
        }
        match refusal.outcome() {
            Outcome::NotRun if !self.is_once() => {
                self.finish(self.unfinished_outcome(), Cause::Refused(refusal))
            }
            outcome => self.finish(outcome, Cause::Refused(refusal)),
        }
    }

    fn enter_streaming(&mut self, from: State) -> Vec<Action> {
        if self.state == from {
            self.state = State::Streaming;
        }
        Vec::new()
    }

    /// Records that part of the answer has reached the caller, which may happen before
    /// [`Event::Accepted`] arrives.
    fn on_delivered(&mut self) -> Vec<Action> {
        self.delivered = true;
        self.reconnects = 0;
        self.enter_streaming(State::Submitted)
    }

    fn on_ended(&mut self, end: StreamEnd) -> Vec<Action> {
        match end {
            StreamEnd::Whole => self.finish(Outcome::Done, Cause::Answered),
            StreamEnd::Cancelled => self.finish(Outcome::Unknown, Cause::Cancelled),
            StreamEnd::Withdrawn => self.finish(self.unfinished_outcome(), Cause::Withdrawn),
            StreamEnd::Cut => self.abandon_attempt(),
            // The request may be the cause: another run could crash another endpoint.
            StreamEnd::Crashed => self.finish(Outcome::Unknown, Cause::Crashed),
        }
    }

    fn on_lost(&mut self) -> Vec<Action> {
        match self.state {
            State::Submitted if self.sidecar_deduplicates && self.is_once() => {
                self.reconnect(State::Submitted)
            }
            State::Submitted if self.sidecar_deduplicates => self.abandon_attempt(),
            State::Submitted | State::Settling => self.reconnect(State::Settling),
            State::Streaming | State::Resuming => self.reconnect(State::Resuming),
            State::New | State::AwaitingBudget | State::Finished => Vec::new(),
        }
    }

    fn on_resume_refused(&mut self) -> Vec<Action> {
        if self.state == State::Resuming { self.abandon_attempt() } else { Vec::new() }
    }

    fn on_settled(&mut self, settled: Settled) -> Vec<Action> {
        if self.state != State::Settling {
            return Vec::new();
        }
        match settled {
            Settled::Started | Settled::Done => self.reconnect(State::Resuming),
            Settled::NotRun if self.is_once() => self.finish(Outcome::NotRun, Cause::Settled),
            Settled::NotRun => self.try_next(),
            Settled::Unknown => self.abandon_attempt(),
        }
    }

    fn on_budget(&mut self, granted: bool) -> Vec<Action> {
        match self.state {
            State::AwaitingBudget if granted => self.try_next(),
            State::AwaitingBudget => self.finish(Outcome::Unknown, Cause::BudgetSpent),
            _ => Vec::new(),
        }
    }

    /// Sends the request to the next candidate, or ends it if there is none.
    fn try_next(&mut self) -> Vec<Action> {
        if self.delivered {
            return self.finish(Outcome::Unknown, Cause::Broken);
        }
        let tried = self.attempt;
        if tried as usize >= self.candidates || tried >= self.limits.max_attempts {
            return self.finish_exhausted();
        }
        self.attempt += 1;
        self.reconnects = 0;
        self.state = State::Submitted;
        vec![Action::Submit { candidate: self.candidate(), attempt: Attempt(self.attempt) }]
    }

    /// Opens a new connection to the same candidate, or abandons the attempt at the limit.
    fn reconnect(&mut self, to: State) -> Vec<Action> {
        if self.reconnects >= self.limits.max_reconnects {
            return self.abandon_attempt();
        }
        self.reconnects += 1;
        self.state = to;
        let candidate = self.candidate();
        let attempt = Attempt(self.attempt);
        match to {
            State::Submitted => vec![Action::Submit { candidate, attempt }],
            State::Settling => vec![Action::Settle { candidate, attempt }],
            _ => vec![Action::Resume { candidate, attempt }],
        }
    }

    /// Abandons an attempt that may have run, and asks for another run where one is permitted.
    fn abandon_attempt(&mut self) -> Vec<Action> {
        self.may_have_run = true;
        if self.is_once() {
            let cause = if self.sidecar_deduplicates { Cause::Unreachable } else { Cause::Broken };
            return self.finish(Outcome::Unknown, cause);
        }
        let mut actions = vec![self.cancel()];
        if self.delivered {
            actions.extend(self.finish(Outcome::Unknown, Cause::Broken));
        } else {
            self.state = State::AwaitingBudget;
            actions.push(Action::AskBudget);
        }
        actions
    }

    /// Ends the request at once, because of its deadline or its caller.
    fn finish_early(&mut self, cause: Cause) -> Vec<Action> {
        let in_progress = self.is_in_progress();
        self.may_have_run |= in_progress;
        // A call that must not be repeated runs to its end, so that the caller can still get the
        // recorded answer.
        let cancels = in_progress && !self.is_once();
        let mut actions = Vec::from_iter(cancels.then(|| self.cancel()));
        actions.extend(self.finish(self.unfinished_outcome(), cause));
        actions
    }

    /// Ends a request that has no further candidate.
    fn finish_exhausted(&mut self) -> Vec<Action> {
        let cause = self.last_refusal.map_or(Cause::NoEndpoint, Cause::Refused);
        self.finish(self.unfinished_outcome(), cause)
    }

    fn finish(&mut self, outcome: Outcome, cause: Cause) -> Vec<Action> {
        self.state = State::Finished;
        vec![Action::Finish(FinalResult { outcome, cause, retry_after_ms: self.retry_after_ms })]
    }

    fn cancel(&self) -> Action {
        Action::Cancel { candidate: self.candidate(), attempt: Attempt(self.attempt) }
    }

    fn candidate(&self) -> usize {
        self.attempt as usize - 1
    }

    fn is_once(&self) -> bool {
        self.repeatability == Repeatability::Once
    }

    /// Reports whether a refusal applies in the current state: before any reply, or while the
    /// accepted request waits at the sidecar, which can still withdraw it with certainty.
    fn accepts_refusal(&self, refusal: Refusal) -> bool {
        let waits = self.state == State::Streaming && !self.delivered;
        self.state == State::Submitted || (waits && refusal.is_definite())
    }

    fn is_in_progress(&self) -> bool {
        let states = [State::Submitted, State::Streaming, State::Resuming, State::Settling];
        states.contains(&self.state)
    }

    /// Returns the outcome of a request that ends before its answer is complete.
    fn unfinished_outcome(&self) -> Outcome {
        if self.may_have_run { Outcome::Unknown } else { Outcome::NotRun }
    }
}

/// Reports whether a repeatable request tries the next candidate after this refusal.
fn allows_next_candidate(refusal: Refusal) -> bool {
    refusal.hint() == RetryHint::Elsewhere || refusal == Refusal::WrongIncarnation
}

fn earliest(one: Option<u64>, other: Option<u64>) -> Option<u64> {
    one.into_iter().chain(other).min()
}
