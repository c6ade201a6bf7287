//! How much a node may send at once, ahead of its regular digests.

use crate::MonoMs;

/// A token bucket in bytes.
#[derive(Debug)]
pub(super) struct UrgentBudget {
    bytes: u64,
    filled_at: MonoMs,
}

impl UrgentBudget {
    /// Bytes a second for urgent digests, which with two regular digests a second and the passing on
    /// of records stay within 3 KB/s.
    const BYTES_PER_S: u64 = 300;
    /// Bytes that may be saved up.
    const MAX_BYTES: u64 = 3_000;

    pub(super) fn new(now: MonoMs) -> Self {
        Self { bytes: Self::MAX_BYTES, filled_at: now }
    }

    pub(super) fn try_take(&mut self, bytes: usize, now: MonoMs) -> bool {
        let earned = now.ms_since(self.filled_at) * Self::BYTES_PER_S / 1_000;
        if earned > 0 {
            self.bytes = (self.bytes + earned).min(Self::MAX_BYTES);
            self.filled_at = now;
        }
        let bytes = bytes as u64;
        let is_enough = self.bytes >= bytes;
        if is_enough {
            self.bytes -= bytes;
        }
        is_enough
    }
}
