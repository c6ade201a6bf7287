//! The router's course of action for one request.

use super::{Action, Cause, Event, FinalResult, Outcome, Refusal, Repeatability, RetryHint};
use super::{Settled, StreamEnd};
use crate::Attempt;

/// Bounds of a [`Dispatch`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchLimits {
    /// Endpoints tried.
    pub max_attempts: u32,
    /// New connections opened for one attempt between two pieces of the answer.
    pub max_reconnects: u32,
}

impl Default for DispatchLimits {
    fn default() -> Self {
        Self { max_attempts: 8, max_reconnects: 3 }
    }
}

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Nothing was done yet.
    New,
    /// Sent, without a reply so far.
    Submitted,
    /// Running, with a connection over which the answer comes.
    Streaming,
    /// Running, while a new connection is opened.
    Resuming,
    /// Sent and lost, while the sidecar is asked what became of it.
    Settling,
    /// Lost, while the retry budget is asked for another run.
    AwaitingBudget,
    /// Over.
    Finished,
}

/// Takes one request through its candidates to exactly one [`Action::Finish`].
///
/// Each attempt is sent once. One that is lost before its reply is settled at its sidecar, and
/// counts as not run only if the sidecar says so. An answer of which a piece has reached the caller
/// is resumed at the same sidecar or fails: another run may give another answer.
///
/// A call that may not be repeated has its claim's owner as the only candidate. Other routers may
/// have sent it too, so only the owner can say that it didn't run.
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
    /// The attempt in progress, or the last one; its candidate has the place before this number.
    attempt: u32,
    reconnects: u32,
    /// Whether the request may have run apart from the attempt in progress.
    may_have_run: bool,
    /// Whether a piece of the answer has reached the caller.
    delivered: bool,
    /// Whether a sidecar attaches the same attempt, sent again, to the earlier sending.
    sidecar_deduplicates: bool,
    last_refusal: Option<Refusal>,
    retry_after_ms: Option<u64>,
}

impl Dispatch {
    /// A request with this many candidates, tried in the order of their ranking.
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

    /// A call whose sidecar attaches the same attempt, sent again, to the run in progress or repeats
    /// its answer. A lost reply is then neither settled nor resumed: a call that may not be repeated
    /// is sent again to its owner, and any other is given up for another candidate.
    #[must_use]
    pub fn with_sidecar_deduplication(mut self) -> Self {
        self.sidecar_deduplicates = true;
        self
    }

    /// Whether the final answer has been given.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// The first actions.
    pub fn start(&mut self) -> Vec<Action> {
        if self.state == State::New { self.try_next() } else { Vec::new() }
    }

    /// The first actions for a caller that comes back for an answer begun earlier, of which it may
    /// have a piece: resumes it at the first candidate, and never runs it.
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

    /// The actions that an event asks for.
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
                self.finish(self.outcome_unfinished(), Cause::Refused(refusal))
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

    /// A piece may reach the caller before the reply that the request was taken on.
    fn on_delivered(&mut self) -> Vec<Action> {
        self.delivered = true;
        self.reconnects = 0;
        self.enter_streaming(State::Submitted)
    }

    fn on_ended(&mut self, end: StreamEnd) -> Vec<Action> {
        match end {
            StreamEnd::Whole => self.finish(Outcome::Done, Cause::Answered),
            StreamEnd::Cancelled => self.finish(Outcome::Unknown, Cause::Cancelled),
            StreamEnd::Withdrawn => self.finish(self.outcome_unfinished(), Cause::Withdrawn),
            StreamEnd::Cut => self.abandon_attempt(),
            // Another run might crash another endpoint.
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

    /// Sends the request to the next candidate, or gives up if none is left.
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

    /// Opens a new connection to the same candidate, or gives the attempt up.
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

    /// Leaves an attempt that may have run, for another run if that is permitted.
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

    /// Ends the request from outside, with the final answer at once.
    fn finish_early(&mut self, cause: Cause) -> Vec<Action> {
        let in_progress = self.is_in_progress();
        self.may_have_run |= in_progress;
        // A call that may not be repeated is left to end, so that its answer can be repeated.
        let cancels = in_progress && !self.is_once();
        let mut actions = Vec::from_iter(cancels.then(|| self.cancel()));
        actions.extend(self.finish(self.outcome_unfinished(), cause));
        actions
    }

    /// Ends a request that has no candidate left.
    fn finish_exhausted(&mut self) -> Vec<Action> {
        let cause = self.last_refusal.map_or(Cause::NoEndpoint, Cause::Refused);
        self.finish(self.outcome_unfinished(), cause)
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

    /// Whether a refusal still means anything: before the reply, or while the request waits at the
    /// sidecar, which can then withdraw it for certain.
    fn accepts_refusal(&self, refusal: Refusal) -> bool {
        let waits = self.state == State::Streaming && !self.delivered;
        self.state == State::Submitted || (waits && refusal.is_definite())
    }

    fn is_in_progress(&self) -> bool {
        let states = [State::Submitted, State::Streaming, State::Resuming, State::Settling];
        states.contains(&self.state)
    }

    /// The outcome of a request that isn't done and of which nothing is in progress.
    fn outcome_unfinished(&self) -> Outcome {
        if self.may_have_run { Outcome::Unknown } else { Outcome::NotRun }
    }
}

/// Whether an ordinary request goes on to the next candidate after this refusal.
fn allows_next_candidate(refusal: Refusal) -> bool {
    refusal.hint() == RetryHint::Elsewhere || refusal == Refusal::WrongIncarnation
}

fn earliest(one: Option<u64>, other: Option<u64>) -> Option<u64> {
    one.into_iter().chain(other).min()
}
