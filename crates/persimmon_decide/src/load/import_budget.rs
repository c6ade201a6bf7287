//! A rate limit for importing cache from other endpoints.

use crate::MonoMs;

/// Limits the prompt tokens whose cache a sidecar imports from other endpoints, so that imports for
/// chats that moved don't displace the engine's own work.
///
/// ```
/// use persimmon_decide::MonoMs;
/// use persimmon_decide::load::ImportBudget;
///
/// let mut budget = ImportBudget::new(1_000);
/// assert!(budget.take(6_000, MonoMs(0)));
/// assert!(!budget.take(6_000, MonoMs(0)));
/// assert!(budget.take(6_000, MonoMs(6_000)));
/// ```
#[derive(Debug, Clone)]
pub struct ImportBudget {
    tokens_per_second: u64,
    available_milli: u64,
    filled_at: MonoMs,
}

impl ImportBudget {
    /// Burst size in seconds of the rate.
    pub const BURST_S: u64 = 10;

    /// Creates a budget with a full burst available.
    pub fn new(tokens_per_second: u64) -> Self {
        let available_milli = tokens_per_second * Self::BURST_S * 1_000;
        Self { tokens_per_second, available_milli, filled_at: MonoMs(0) }
    }

    /// Returns the number of tokens that may be imported now.
    pub fn available(&self, now: MonoMs) -> u64 {
        self.filled_milli(now) / 1_000
    }

    /// Consumes `tokens` for one import. Returns false and consumes nothing if fewer are available;
    /// the engine then processes the chat's prefix again instead.
    pub fn take(&mut self, tokens: u64, now: MonoMs) -> bool {
        if tokens > self.available(now) {
            return false;
        }
        self.available_milli = self.filled_milli(now) - tokens * 1_000;
        self.filled_at = self.filled_at.max(now);
        true
    }

    fn filled_milli(&self, now: MonoMs) -> u64 {
        let burst = self.tokens_per_second * Self::BURST_S * 1_000;
        let earned = self.tokens_per_second.saturating_mul(now.ms_since(self.filled_at));
        self.available_milli.saturating_add(earned).min(burst)
    }
}
