//! When a process stops admitting work and when it may close.

use persimmon_records::Generation;

use super::{Clocks, Hold, LeavingCause, LeavingSettings, NotServing, RecordsWord};
use crate::MonoMs;

/// Work that a process still holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Work {
    /// Requests running, waiting or being read.
    pub requests: usize,
    /// Answers whose output the other end hasn't acknowledged.
    pub unacknowledged: usize,
}

impl Work {
    fn is_done(self) -> bool {
        self.requests == 0 && self.unacknowledged == 0
    }
}

/// How far a process is on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It isn't leaving.
    Staying,
    /// It finishes what is in progress.
    Draining,
    /// Nothing is in progress; other endpoints may still import its caches.
    OfferingCaches,
    /// The process may close.
    Done,
}

/// Decides whether one incarnation of a process admits new work.
///
/// The first reason to leave that is seen wins and stays: an operator who undoes a drain, or
/// extends a loan after its end, gets the endpoint back with its next incarnation. A reason that
/// stood before the process ever admitted work only holds it, and clears when the reason does.
///
/// Call [`Self::observe`] on every tick and [`Self::check`] before each admission and again just
/// before the request is sent to the endpoint.
///
/// ```
/// use persimmon_decide::MonoMs;
/// use persimmon_decide::recovery::{Clocks, Leaving, LeavingSettings, RecordsWord, Work};
/// use persimmon_records::{Generation, UnixMs};
///
/// let now = Clocks { mono: MonoMs(0), wall: UnixMs(1_000_000) };
/// let mut leaving = Leaving::new(LeavingSettings::default(), now);
/// leaving.set_records(RecordsWord::of_router(), Generation(1), now);
/// leaving.confirm_records(MonoMs(0), Generation(1));
/// leaving.observe(Work::default(), now);
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
    woke_at: Option<MonoMs>,
    listed_leaving: bool,
    opened: bool,
    cause: Option<LeavingCause>,
    drained_at: Option<MonoMs>,
}

/// The records' word, with the loan's end carried over to the monotonic clock as well, so that a
/// wall clock that is set back doesn't lengthen a loan.
#[derive(Debug, Clone, Copy)]
struct RecordsView {
    word: RecordsWord,
    generation: Generation,
    ends_at_mono: Option<MonoMs>,
}

impl Leaving {
    /// A process that has just started and knows no records.
    pub fn new(settings: LeavingSettings, now: Clocks) -> Self {
        Self {
            settings,
            last_observed: now,
            records: None,
            confirmed_at: None,
            woke_at: None,
            listed_leaving: false,
            opened: false,
            cause: None,
            drained_at: None,
        }
    }

    /// The process was asked to end.
    pub fn signal(&mut self, now: Clocks) {
        self.note_gap(now);
        self.cause.get_or_insert(LeavingCause::Signal);
    }

    /// The platform's list shows this VM as leaving or not. A list that lacks the VM says neither.
    pub fn set_listed(&mut self, leaving: bool, now: Clocks) {
        self.listed_leaving = leaving;
        self.settle(now);
    }

    /// Records came into force. An older generation than the one held is ignored.
    pub fn set_records(&mut self, word: RecordsWord, generation: Generation, now: Clocks) {
        self.settle(now);
        let held = self.records;
        if held.is_some_and(|held| held.generation > generation) {
            return;
        }
        let ends_at_mono = self.ends_at_mono(word, now);
        let same_word = held.filter(|held| held.word == word);
        let ends_at_mono = same_word.map_or(ends_at_mono, |held| held.ends_at_mono);
        self.records = Some(RecordsView { word, generation, ends_at_mono });
        self.settle(now);
    }

    /// The platform or a peer answered that it knows `heard`, to a question asked at `asked_at`.
    ///
    /// An answer that shows a higher generation than the one in force confirms nothing: the
    /// records must be fetched first.
    pub fn confirm_records(&mut self, asked_at: MonoMs, heard: Generation) {
        let in_force = self.records.map(|records| records.generation);
        if in_force.is_none_or(|in_force| heard > in_force) {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        if self.woke_at.is_some_and(|at| asked_at >= at) {
            self.woke_at = None;
        }
    }

    /// Notes that the process runs, and how much work it holds. Call it several times within
    /// `max_gap_ms`.
    pub fn observe(&mut self, work: Work, now: Clocks) {
        self.note_gap(now);
        self.settle(now);
        if self.cause.is_none() && self.hold(now).is_none() {
            self.opened = true;
        }
        let drained = self.cause.is_some() && work.is_done();
        self.drained_at = if drained { self.drained_at.or(Some(now.mono)) } else { None };
    }

    /// Whether new work may be admitted now.
    ///
    /// # Errors
    ///
    /// A definite refusal; the request wasn't run.
    pub fn check(&self, now: Clocks) -> Result<(), NotServing> {
        if let Some(cause) = self.cause {
            return Err(NotServing::Leaving(cause));
        }
        if let Some(hold) = self.hold(now) {
            return Err(NotServing::Held(hold));
        }
        match self.reason(now) {
            Some(cause) => Err(NotServing::Leaving(cause)),
            None if self.opened => Ok(()),
            None => Err(NotServing::Held(Hold::Unchecked)),
        }
    }

    /// What made this incarnation leave. Carried in digests and replies once set.
    pub fn cause(&self) -> Option<LeavingCause> {
        self.cause
    }

    /// How far the process is on its way out.
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

    fn ends_at_mono(&self, word: RecordsWord, now: Clocks) -> Option<MonoMs> {
        let RecordsWord::Serve { until } = word else { return None };
        let left_ms = until?.ms_since(now.wall);
        Some(now.mono.plus_ms(left_ms.saturating_sub(self.settings.clock_uncertainty_ms)))
    }

    fn note_gap(&mut self, now: Clocks) {
        if now.ms_since(self.last_observed) > self.settings.max_gap_ms {
            self.woke_at = Some(now.mono);
        }
        self.last_observed = now;
    }

    fn settle(&mut self, now: Clocks) {
        if self.opened && self.cause.is_none() {
            self.cause = self.reason(now);
        }
    }

    fn reason(&self, now: Clocks) -> Option<LeavingCause> {
        if self.listed_leaving {
            return Some(LeavingCause::Listed);
        }
        let records = self.records?;
        match records.word {
            RecordsWord::Drain => Some(LeavingCause::Drained),
            RecordsWord::Absent => Some(LeavingCause::Withdrawn),
            RecordsWord::Serve { until } => {
                let ends_at = until?;
                let latest = now.wall.plus_ms(self.settings.clock_uncertainty_ms);
                let over =
                    latest >= ends_at || records.ends_at_mono.is_some_and(|at| now.mono >= at);
                over.then_some(LeavingCause::LoanEnded)
            }
        }
    }

    fn hold(&self, now: Clocks) -> Option<Hold> {
        if self.records.is_none() {
            return Some(Hold::NoRecords);
        }
        if !self.opened
            && let Some(cause) = self.reason(now)
        {
            return Some(Hold::NotOpened(cause));
        }
        let stopped = now.ms_since(self.last_observed) > self.settings.max_gap_ms;
        if stopped || self.woke_at.is_some() {
            return Some(Hold::Unchecked);
        }
        let fresh = self
            .confirmed_at
            .is_some_and(|at| now.mono.ms_since(at) <= self.settings.records_lease_ms);
        (!fresh).then_some(Hold::StaleRecords)
    }
}
