//! Suspicion from traffic, and damping of nodes that flap.

use crate::MonoMs;
use crate::recovery::scale;

/// How far traffic may go to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// As far as its load permits.
    Trusted,
    /// Only a small share, to find out whether it is well again: its last attempts failed.
    Suspected,
    /// Only a small share, though its last attempt went well: it failed often of late.
    Probation,
}

/// What this process's own traffic says about one node.
///
/// ```
/// use persimmon_decide::MonoMs;
/// use persimmon_decide::membership::{Standing, Trust};
///
/// let mut trust = Trust::default();
/// trust.record_failure(MonoMs(0));
/// trust.record_failure(MonoMs(10));
/// assert_eq!(trust.standing(MonoMs(10)), Standing::Suspected);
/// trust.record_success(MonoMs(20));
/// assert_eq!(trust.standing(MonoMs(20)), Standing::Trusted);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Trust {
    failures_in_row: u32,
    penalty: f64,
    penalty_at: MonoMs,
    is_damped: bool,
}

impl Trust {
    /// Failures in a row after which a node is suspected.
    pub const SUSPECT_AFTER: u32 = 2;
    /// Penalty, in turns from trusted to suspected, at which a node is put on probation.
    pub const DAMP_ABOVE: f64 = 2.5;
    /// Penalty below which probation ends.
    pub const RELEASE_BELOW: f64 = 1.0;
    /// Milliseconds in which the penalty halves.
    pub const HALF_LIFE_MS: u64 = 30_000;
    /// Requests in a thousand that go to a node that isn't trusted.
    pub const PROBE_PER_MILLE: u64 = 50;

    /// An attempt failed without an answer from the node: refused connection, silence, cut stream.
    /// A refusal by its sidecar is an answer.
    pub fn record_failure(&mut self, now: MonoMs) {
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        if self.failures_in_row != Self::SUSPECT_AFTER {
            return;
        }
        self.penalty = self.penalty_now(now) + 1.0;
        self.penalty_at = now;
        self.is_damped |= self.penalty > Self::DAMP_ABOVE;
    }

    /// The node answered.
    pub fn record_success(&mut self, now: MonoMs) {
        self.failures_in_row = 0;
        self.is_damped &= self.penalty_now(now) >= Self::RELEASE_BELOW;
    }

    /// How far traffic may go to the node.
    pub fn standing(&self, now: MonoMs) -> Standing {
        if self.failures_in_row >= Self::SUSPECT_AFTER {
            return Standing::Suspected;
        }
        if self.is_damped && self.penalty_now(now) >= Self::RELEASE_BELOW {
            return Standing::Probation;
        }
        Standing::Trusted
    }

    /// Whether nothing is held against the node any more.
    pub fn is_clean(&self, now: MonoMs) -> bool {
        self.failures_in_row == 0 && self.penalty_now(now) < Self::RELEASE_BELOW / 10.0
    }

    fn penalty_now(&self, now: MonoMs) -> f64 {
        let half_lives = now.ms_since(self.penalty_at) as f64 / Self::HALF_LIFE_MS as f64;
        self.penalty * 0.5_f64.powf(half_lives)
    }
}

impl Standing {
    /// Whether one request may go there; `random` draws the share of those that probe.
    pub fn admits(self, random: u64) -> bool {
        self == Self::Trusted || scale(random, 1_000) < Trust::PROBE_PER_MILLE
    }
}
