//! A limit on the control traffic that a node sends.

use crate::MonoMs;

/// A token bucket in bytes. Regular digests always go out and are counted; replies and urgent
/// digests go out only if enough bytes remain.
#[derive(Debug)]
pub(super) struct SendBudget {
    /// Remaining bytes; negative after a regular digest that exceeded them.
    bytes: i64,
    filled_at: MonoMs,
}

impl SendBudget {
    /// Refill rate in bytes per second. The rest of a node's 3 KB/s is reserved for the records
    /// that it forwards.
    const BYTES_PER_S: u64 = 2_500;
    /// Capacity of the bucket, in bytes.
    const MAX_BYTES: i64 = 3_000;

    pub(super) fn new(now: MonoMs) -> Self {
        Self { bytes: Self::MAX_BYTES, filled_at: now }
    }

    /// Counts bytes that are sent regardless of the budget.
    pub(super) fn spend(&mut self, bytes: usize, now: MonoMs) {
        self.refill(now);
        self.bytes -= bytes as i64;
    }

    /// Spends `bytes` and returns true if enough bytes remain.
    pub(super) fn try_spend(&mut self, bytes: usize, now: MonoMs) -> bool {
        self.refill(now);
        let is_enough = self.bytes >= bytes as i64;
        if is_enough {
            self.bytes -= bytes as i64;
        }
        is_enough
    }

    fn refill(&mut self, now: MonoMs) {
        let earned = now.ms_since(self.filled_at) * Self::BYTES_PER_S / 1_000;
        if earned > 0 {
            self.bytes = self.bytes.saturating_add_unsigned(earned).min(Self::MAX_BYTES);
            self.filled_at = now;
        }
    }
}
