//! How much cache a sidecar may import.

use crate::MonoMs;

/// Bounds the prompt tokens whose cache a sidecar imports from others, so that chats that move
/// don't crowd out the engine's own work.
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
    /// Seconds of the rate that may be spent at once.
    pub const BURST_S: u64 = 10;

    /// Starts with a whole burst.
    pub fn new(tokens_per_second: u64) -> Self {
        let available_milli = tokens_per_second * Self::BURST_S * 1_000;
        Self { tokens_per_second, available_milli, filled_at: MonoMs(0) }
    }

    /// Tokens that may be imported now.
    pub fn available(&self, now: MonoMs) -> u64 {
        self.filled_milli(now) / 1_000
    }

    /// Takes `tokens` for one import; false leaves the budget as it was, and the chat's prefix is
    /// rebuilt instead.
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
