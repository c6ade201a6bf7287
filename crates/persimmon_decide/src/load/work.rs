//! Work and load: what the bound counts.

use std::iter::Sum;
use std::ops::{Add, AddAssign};

use serde::{Deserialize, Serialize};

/// Estimated outstanding work. One unit is one token that is still to be generated, or
/// [`Work::PROMPT_TOKENS_PER_UNIT`] prompt tokens that aren't cached.
///
/// ```
/// use persimmon_decide::load::Work;
///
/// assert_eq!(Work::of_request(800, 250), Work(350));
/// assert_eq!(Work::of_request(0, 100_000), Work::MAX_PER_REQUEST);
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Work(pub u64);

impl Work {
    /// No work.
    pub const ZERO: Self = Self(0);

    /// Uncached prompt tokens that cost an engine as much as one generated token. Engines process
    /// a prompt in parallel but generate one token at a time.
    pub const PROMPT_TOKENS_PER_UNIT: u64 = 8;

    /// The most that one request counts for, about 23 s of one stream at 30 ms a token. A stream
    /// that runs for longer burdens its engine for longer, not more, and without this cap one long
    /// draft alone would exceed every multiple of an ordinary mean.
    pub const MAX_PER_REQUEST: Self = Self(768);

    /// Work that one request of `policy.load_floor` stands for while no peer's report is held.
    pub const PER_FLOOR_REQUEST: Self = Self(256);

    /// The least work that one request of `policy.load_floor` stands for.
    pub const MIN_PER_FLOOR_REQUEST: Self = Self(64);

    /// The work of a request with these uncached prompt tokens and tokens still to generate.
    pub fn of_request(uncached_prompt_tokens: u64, tokens_to_generate: u64) -> Self {
        let units = Self::of_prompt(uncached_prompt_tokens).0.saturating_add(tokens_to_generate);
        Self(units.min(Self::MAX_PER_REQUEST.0))
    }

    /// The work of processing prompt tokens, without a cap.
    pub fn of_prompt(tokens: u64) -> Self {
        Self(tokens.div_ceil(Self::PROMPT_TOKENS_PER_UNIT))
    }

    /// This work less `other`, or none if `other` is more.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Work {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sum for Work {
    fn sum<I: Iterator<Item = Self>>(works: I) -> Self {
        works.fold(Self::ZERO, Add::add)
    }
}

/// What an endpoint carries, as its sidecar reports it in replies, refusals and digests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Outstanding work of requests that run or wait.
    pub work: Work,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots of the endpoint.
    pub slots: u32,
    /// The most work that it takes now.
    pub bound: Work,
}

impl LoadReport {
    /// Requests that run or wait.
    pub fn requests(&self) -> u64 {
        u64::from(self.running) + u64::from(self.waiting)
    }

    /// Outstanding work for each slot.
    pub fn work_per_slot(&self) -> f64 {
        self.work.0 as f64 / f64::from(self.slots.max(1))
    }
}
