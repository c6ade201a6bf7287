//! How many bytes a node may send for control.

use crate::MonoMs;

/// A token bucket in bytes. Regular digests are always sent and counted; replies and urgent digests
/// are sent only from what is left.
#[derive(Debug)]
pub(super) struct SendBudget {
    /// Below zero after a regular digest that went beyond what was left.
    bytes: i64,
    filled_at: MonoMs,
}

impl SendBudget {
    /// Bytes a second. The rest of the 3 KB/s that a node may send passes on records.
    const BYTES_PER_S: u64 = 2_500;
    /// Bytes that may be saved up.
    const MAX_BYTES: i64 = 3_000;

    pub(super) fn new(now: MonoMs) -> Self {
        Self { bytes: Self::MAX_BYTES, filled_at: now }
    }

    /// Counts bytes that are sent in any case.
    pub(super) fn spend(&mut self, bytes: usize, now: MonoMs) {
        self.refill(now);
        self.bytes -= bytes as i64;
    }

    /// Takes bytes if they are left.
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
