//! Estimates of work and load in abstract units.

use std::iter::Sum;
use std::ops::{Add, AddAssign};

use serde::{Deserialize, Serialize};

/// Estimated outstanding work. One unit is one token still to be generated, or
/// [`Work::PROMPT_TOKENS_PER_UNIT`] uncached prompt tokens.
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

    /// Uncached prompt tokens that cost an engine as much as one generated token. Engines process a
    /// prompt in parallel but generate one token at a time.
    pub const PROMPT_TOKENS_PER_UNIT: u64 = 8;

    /// Largest estimate for one request, about 23 s of one stream at 30 ms per token. A longer
    /// stream occupies its engine for longer but adds no more load. Without this cap, one long
    /// draft would exceed every multiple of an ordinary mean load.
    pub const MAX_PER_REQUEST: Self = Self(768);

    /// Work counted for each request of `policy.load_floor` while peers report no requests.
    pub const PER_FLOOR_REQUEST: Self = Self(256);

    /// Minimum work counted for each request of `policy.load_floor`.
    pub const MIN_PER_FLOOR_REQUEST: Self = Self(64);

    /// Estimates the work of a request from its uncached prompt tokens and the tokens still to be
    /// generated.
    pub fn of_request(uncached_prompt_tokens: u64, tokens_to_generate: u64) -> Self {
        let units = Self::of_prompt(uncached_prompt_tokens).0.saturating_add(tokens_to_generate);
        Self(units.min(Self::MAX_PER_REQUEST.0))
    }

    /// Estimates the work of processing prompt tokens, without a cap.
    pub fn of_prompt(tokens: u64) -> Self {
        Self(tokens.div_ceil(Self::PROMPT_TOKENS_PER_UNIT))
    }

    /// Subtracts `other`, with zero as the minimum.
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

/// Load of an endpoint, as its sidecar reports it in replies, refusals and digests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Outstanding work of running and queued requests.
    pub work: Work,
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Slots of the endpoint.
    pub slots: u32,
    /// Load bound: the maximum outstanding work that the endpoint accepts at present.
    pub bound: Work,
}

impl LoadReport {
    /// Returns the number of running and queued requests.
    pub fn requests(&self) -> u64 {
        u64::from(self.running) + u64::from(self.waiting)
    }

    /// Returns the outstanding work per slot.
    pub fn work_per_slot(&self) -> f64 {
        self.work.0 as f64 / f64::from(self.slots.max(1))
    }
}
