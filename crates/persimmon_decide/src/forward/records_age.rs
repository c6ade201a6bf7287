//! How old the records in force at a gateway are.

use std::collections::VecDeque;

use crate::MonoMs;

/// The reason for the age of the records in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgeReason {
    /// The store has confirmed them a moment ago.
    Current,
    /// No gateway that watches the store has been heard lately.
    Unheard,
    /// The store answers none of the gateways that watch it.
    StoreLost,
    /// A later change is known, and is being fetched.
    Fetching,
    /// A later change is known, and isn't being fetched.
    Waiting,
}

impl AgeReason {
    /// All reasons.
    pub const ALL: [Self; 5] =
        [Self::Current, Self::Unheard, Self::StoreLost, Self::Fetching, Self::Waiting];

    /// Returns the name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Unheard => "unheard",
            Self::StoreLost => "store_lost",
            Self::Fetching => "fetching",
            Self::Waiting => "waiting",
        }
    }
}

/// Tracks the time at which the store last confirmed the records in force: it answered a gateway that had
/// no later ones then.
///
/// The age of the last change says little, as nothing may have changed since. The records of a gateway that is
/// cut off age although it has received no sign of later ones.
#[derive(Debug, Default)]
pub struct RecordsAge {
    confirmed_at: Option<MonoMs>,
    /// Last report of a gateway that watches the store.
    heard_at: Option<MonoMs>,
    /// Positions that this gateway doesn't have yet, each with the time at which the store confirmed them, in
    /// their order.
    unreached: VecDeque<(u64, MonoMs)>,
}

impl RecordsAge {
    /// Age up to which records count as current, in milliseconds: a watch that returns after 600 ms, a slow
    /// answer and the age of a digest.
    pub const CURRENT_MS: u64 = 1_500;
    /// Maximum number of positions stored that this gateway doesn't have.
    const MAX_UNREACHED: usize = 64;

    /// Creates the state of a gateway without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a gateway that watches the store was heard.
    pub fn record_watcher(&mut self, now: MonoMs) {
        self.heard_at = self.heard_at.max(Some(now));
    }

    /// Records that the store confirmed at `at` that a gateway had every change up to `position`; this gateway
    /// has them up to `own`.
    pub fn record_confirmed(&mut self, position: u64, at: MonoMs, own: u64) {
        if position <= own {
            self.confirmed_at = self.confirmed_at.max(Some(at));
            return;
        }
        match self.unreached.binary_search_by_key(&position, |it| it.0) {
            Ok(index) => self.unreached[index].1 = self.unreached[index].1.max(at),
            Err(index) => self.unreached.insert(index, (position, at)),
        }
        if self.unreached.len() > Self::MAX_UNREACHED {
            // The one before the last says the least: the first is reached first, the last is the latest.
            self.unreached.remove(Self::MAX_UNREACHED - 1);
        }
    }

    /// Records that this gateway has every change up to `own`.
    pub fn record_position(&mut self, own: u64) {
        while let Some((_, at)) = self.unreached.front().filter(|it| it.0 <= own).copied() {
            self.unreached.pop_front();
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Returns the latest position that another gateway has and this one hasn't.
    pub fn latest(&self) -> Option<u64> {
        self.unreached.back().map(|it| it.0)
    }

    /// Returns the age of the records in force, in milliseconds; none if the store has never confirmed
    /// them.
    pub fn age_ms(&self, now: MonoMs) -> Option<u64> {
        self.confirmed_at.map(|at| now.ms_since(at))
    }

    /// Returns the reason for the age; `is_fetching` says whether later records are being fetched.
    pub fn reason(&self, is_fetching: bool, now: MonoMs) -> AgeReason {
        let is_recent =
            |at: Option<MonoMs>| at.is_some_and(|at| now.ms_since(at) <= Self::CURRENT_MS);
        match () {
            () if !self.unreached.is_empty() && is_fetching => AgeReason::Fetching,
            () if !self.unreached.is_empty() => AgeReason::Waiting,
            () if is_recent(self.confirmed_at) => AgeReason::Current,
            () if is_recent(self.heard_at) => AgeReason::StoreLost,
            () => AgeReason::Unheard,
        }
    }
}
