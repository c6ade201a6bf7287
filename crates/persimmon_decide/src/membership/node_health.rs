//! Passive health checks from the results of requests, with damping of nodes that flap.

use crate::MonoMs;
use crate::recovery::scale;

/// The health of a node, which determines the share of requests that it gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// The node gets all requests that its load permits.
    Trusted,
    /// The node gets only a small share, as probes, because it did not answer its last attempts.
    Suspected,
    /// The node answered its last attempt, but gets only a small share because it was suspected
    /// often recently.
    Probation,
}

/// The health of one node as this process's own requests show it.
///
/// ```
/// use persimmon_decide::MonoMs;
/// use persimmon_decide::membership::{HealthState, NodeHealth};
///
/// let mut health = NodeHealth::default();
/// health.record_failure(MonoMs(0));
/// health.record_failure(MonoMs(10));
/// assert_eq!(health.state(MonoMs(10)), HealthState::Suspected);
/// health.record_success(MonoMs(20));
/// assert_eq!(health.state(MonoMs(20)), HealthState::Trusted);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct NodeHealth {
    failures_in_row: u32,
    penalty: f64,
    penalty_at: MonoMs,
    is_damped: bool,
}

impl NodeHealth {
    /// Consecutive failures after which a node is suspected.
    pub const SUSPECT_AFTER: u32 = 2;
    /// Penalty above which a node is put on probation. Each change to suspected adds 1.
    pub const DAMPING_THRESHOLD: f64 = 2.5;
    /// Penalty below which probation ends.
    pub const RELEASE_THRESHOLD: f64 = 1.0;
    /// Half-life of the penalty in milliseconds.
    pub const HALF_LIFE_MS: u64 = 30_000;
    /// Share of requests, in thousandths, that a node gets while it isn't trusted.
    pub const PROBE_PER_MILLE: u64 = 50;

    /// Records an attempt without an answer from the node: a refused connection, a time-out or a
    /// cut stream. A refusal by its sidecar counts as an answer.
    pub fn record_failure(&mut self, now: MonoMs) {
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        if self.failures_in_row != Self::SUSPECT_AFTER {
            return;
        }
        self.penalty = self.penalty_now(now) + 1.0;
        self.penalty_at = now;
        self.is_damped |= self.penalty > Self::DAMPING_THRESHOLD;
    }

    /// Records that the node answered.
    pub fn record_success(&mut self, now: MonoMs) {
        self.failures_in_row = 0;
        self.is_damped &= self.penalty_now(now) >= Self::RELEASE_THRESHOLD;
    }

    /// Returns the node's health state.
    pub fn state(&self, now: MonoMs) -> HealthState {
        if self.failures_in_row >= Self::SUSPECT_AFTER {
            return HealthState::Suspected;
        }
        if self.is_damped && self.penalty_now(now) >= Self::RELEASE_THRESHOLD {
            return HealthState::Probation;
        }
        HealthState::Trusted
    }

    /// Reports whether the node has no recent failures, so that its entry can be dropped.
    pub fn has_no_recent_failures(&self, now: MonoMs) -> bool {
        self.failures_in_row == 0 && self.penalty_now(now) < Self::RELEASE_THRESHOLD / 10.0
    }

    fn penalty_now(&self, now: MonoMs) -> f64 {
        let half_lives = now.ms_since(self.penalty_at) as f64 / Self::HALF_LIFE_MS as f64;
        self.penalty * 0.5_f64.powf(half_lives)
    }
}

impl HealthState {
    /// Reports whether one request may go to the node. `random` selects the requests that serve as
    /// probes of a node that isn't trusted.
    pub fn admits(self, random: u64) -> bool {
        self == Self::Trusted || scale(random, 1_000) < NodeHealth::PROBE_PER_MILLE
    }
}
