//! The decisions when a process stops admitting work and when it may exit.

use persimmon_records::Generation;

use super::{Clocks, HoldReason, LeavingCause, LeavingSettings, NotServing, RecordStatus};
use crate::MonoMs;

/// The work that a process must finish before it may exit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RemainingWork {
    /// Requests that are running, queued or being received.
    pub requests: usize,
    /// Answers whose output the receiver hasn't acknowledged in full.
    pub unacknowledged: usize,
}

impl RemainingWork {
    fn is_done(self) -> bool {
        self.requests == 0 && self.unacknowledged == 0
    }
}

/// The stages of leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The process isn't leaving.
    Staying,
    /// The process finishes the work in progress.
    Draining,
    /// No work is in progress; other endpoints may still import the caches.
    OfferingCaches,
    /// The process may exit.
    Done,
}

/// Decides whether one incarnation of a process admits new work.
///
/// The first cause to leave is final: if an operator undoes a drain, or extends a loan after its
/// end, the endpoint returns only as a new incarnation. A cause from the records or the VM list
/// that exists before the process is first ready to admit work isn't final: it only prevents
/// admission until it clears.
///
/// Call [`Self::observe`] on every tick, and [`Self::check`] before each admission and again just
/// before the request is sent to the endpoint.
///
/// ```
/// use persimmon_decide::MonoMs;
/// use persimmon_decide::recovery::{Clocks, Leaving, LeavingSettings, RecordStatus, RemainingWork};
/// use persimmon_records::{Generation, UnixMs};
///
/// let now = Clocks { mono: MonoMs(0), wall: UnixMs(1_000_000) };
/// let mut leaving = Leaving::new(LeavingSettings::default(), now);
/// leaving.set_records(RecordStatus::of_router(), Generation(1), now);
/// leaving.confirm_records(MonoMs(0), Generation(1));
/// leaving.observe(RemainingWork::default(), now);
/// assert!(leaving.check(now).is_ok());
///
/// leaving.signal(now);
/// assert!(leaving.check(now).is_err());
/// ```
#[derive(Debug)]
pub struct Leaving {
    settings: LeavingSettings,
    last_observed: Clocks,
    records: Option<RecordsView>,
    confirmed_at: Option<MonoMs>,
    resumed_at: Option<MonoMs>,
    listed_leaving: bool,
    was_ready: bool,
    cause: Option<LeavingCause>,
    drained_at: Option<MonoMs>,
}

/// The process's status in the records, with the loan's end also on the monotonic clock, so that
/// setting the wall clock back doesn't extend a loan.
#[derive(Debug, Clone, Copy)]
struct RecordsView {
    status: RecordStatus,
    generation: Generation,
    ends_at_mono: Option<MonoMs>,
}

impl Leaving {
    /// Creates the state of a process that has just started and has no records.
    pub fn new(settings: LeavingSettings, now: Clocks) -> Self {
        Self {
            settings,
            last_observed: now,
            records: None,
            confirmed_at: None,
            resumed_at: None,
            listed_leaving: false,
            was_ready: false,
            cause: None,
            drained_at: None,
        }
    }

    /// Records that the process was asked to exit, for example by a signal.
    pub fn signal(&mut self, now: Clocks) {
        self.detect_gap(now);
        self.cause.get_or_insert(LeavingCause::Signal);
    }

    /// Records whether the platform's list shows this VM as leaving. Don't call it for a list that
    /// lacks the VM.
    pub fn set_listed(&mut self, leaving: bool, now: Clocks) {
        self.listed_leaving = leaving;
        self.update_cause(now);
    }

    /// Records that a record set came into force. Ignores a generation older than the current one.
    pub fn set_records(&mut self, status: RecordStatus, generation: Generation, now: Clocks) {
        self.update_cause(now);
        let current = self.records;
        if current.is_some_and(|current| current.generation > generation) {
            return;
        }
        let ends_at_mono = self.ends_at_mono(status, now);
        let unchanged = current.filter(|current| current.status == status);
        let ends_at_mono = unchanged.map_or(ends_at_mono, |current| current.ends_at_mono);
        self.records = Some(RecordsView { status, generation, ends_at_mono });
        self.update_cause(now);
    }

    /// Renews the lease of the records after the platform or a peer reported its newest generation
    /// in answer to a request sent at `requested_at`.
    ///
    /// A generation higher than the one in force doesn't renew the lease: the newer records must be
    /// fetched first.
    pub fn confirm_records(&mut self, requested_at: MonoMs, reported: Generation) {
        let in_force = self.records.map(|records| records.generation);
        if in_force.is_none_or(|in_force| reported > in_force) {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
        if self.resumed_at.is_some_and(|at| requested_at >= at) {
            self.resumed_at = None;
        }
    }

    /// Records that the process is running, and its remaining work. Call it several times within
    /// [`LeavingSettings::max_gap_ms`].
    pub fn observe(&mut self, work: RemainingWork, now: Clocks) {
        self.detect_gap(now);
        self.update_cause(now);
        if self.cause.is_none() && self.hold_reason(now).is_none() {
            self.was_ready = true;
        }
        let drained = self.cause.is_some() && work.is_done();
        self.drained_at = if drained { self.drained_at.or(Some(now.mono)) } else { None };
    }

    /// Checks whether the process may admit new work now.
    ///
    /// # Errors
    ///
    /// Returns a definite refusal: the request was not run.
    pub fn check(&self, now: Clocks) -> Result<(), NotServing> {
        if let Some(cause) = self.cause {
            return Err(NotServing::Leaving(cause));
        }
        if let Some(hold) = self.hold_reason(now) {
            return Err(NotServing::OnHold(hold));
        }
        match self.current_cause(now) {
            Some(cause) => Err(NotServing::Leaving(cause)),
            None if self.was_ready => Ok(()),
            None => Err(NotServing::OnHold(HoldReason::Unchecked)),
        }
    }

    /// Returns what made this incarnation leave. Once it is set, digests and replies show the
    /// endpoint as leaving.
    pub fn cause(&self) -> Option<LeavingCause> {
        self.cause
    }

    /// Returns the stage of leaving.
    pub fn phase(&self, now: Clocks) -> Phase {
        if self.cause.is_none() {
            return Phase::Staying;
        }
        match self.drained_at {
            None => Phase::Draining,
            Some(at) if now.mono.ms_since(at) < self.settings.cache_offer_ms => {
                Phase::OfferingCaches
            }
            Some(_) => Phase::Done,
        }
    }

    fn ends_at_mono(&self, status: RecordStatus, now: Clocks) -> Option<MonoMs> {
        let RecordStatus::Serve { until } = status else { return None };
        let left_ms = until?.ms_since(now.wall);
        Some(now.mono.plus_ms(left_ms.saturating_sub(self.settings.clock_uncertainty_ms)))
    }

    fn detect_gap(&mut self, now: Clocks) {
        if now.ms_since(self.last_observed) > self.settings.max_gap_ms {
            self.resumed_at = Some(now.mono);
        }
        self.last_observed = now;
    }

    fn update_cause(&mut self, now: Clocks) {
        if self.was_ready && self.cause.is_none() {
            self.cause = self.current_cause(now);
        }
    }

    fn current_cause(&self, now: Clocks) -> Option<LeavingCause> {
        if self.listed_leaving {
            return Some(LeavingCause::Listed);
        }
        let records = self.records?;
        match records.status {
            RecordStatus::Drain => Some(LeavingCause::Drained),
            RecordStatus::Absent => Some(LeavingCause::Withdrawn),
            RecordStatus::Serve { until } => {
                let ends_at = until?;
                let latest = now.wall.plus_ms(self.settings.clock_uncertainty_ms);
                let has_ended =
                    latest >= ends_at || records.ends_at_mono.is_some_and(|at| now.mono >= at);
                has_ended.then_some(LeavingCause::LoanEnded)
            }
        }
    }

    fn hold_reason(&self, now: Clocks) -> Option<HoldReason> {
        if self.records.is_none() {
            return Some(HoldReason::NoRecords);
        }
        if !self.was_ready
            && let Some(cause) = self.current_cause(now)
        {
            return Some(HoldReason::LeavingBeforeReady(cause));
        }
        let stopped = now.ms_since(self.last_observed) > self.settings.max_gap_ms;
        if stopped || self.resumed_at.is_some() {
            return Some(HoldReason::Unchecked);
        }
        let fresh = self
            .confirmed_at
            .is_some_and(|at| now.mono.ms_since(at) <= self.settings.records_lease_ms);
        (!fresh).then_some(HoldReason::StaleRecords)
    }
}
