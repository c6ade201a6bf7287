//! How much of the store's history to read.

/// Searches for a part of the store's history that reaches back far enough.
///
/// The store keeps its history for an unknown number of changes, and each read returns all changes since a revision,
/// so that a read of more than is needed is costly in a large deployment.
#[derive(Debug)]
pub struct HistorySearch {
    latest: u64,
    /// Number of changes to read next.
    span: u64,
    /// Largest number of changes that was read and didn't reach back far enough.
    short: u64,
    /// Smallest number of changes that the store no longer had.
    gone: Option<u64>,
    reads: u32,
}

impl HistorySearch {
    /// Maximum number of reads.
    pub const MAX_READS: u32 = 5;

    /// Creates a search back from the revision `latest`, for the changes of `needed_ms`, while this many endpoints
    /// write their records every `heartbeat_ms`.
    pub fn new(latest: u64, endpoints: usize, needed_ms: u64, heartbeat_ms: u64) -> Self {
        // The first write of each endpoint shows its state, and time is counted from the second one on.
        let heartbeats = needed_ms.div_ceil(heartbeat_ms.max(1)) + 2;
        let span = (endpoints as u64).saturating_mul(heartbeats).max(1);
        Self { latest, span, short: 0, gone: None, reads: 0 }
    }

    /// Returns the revision after which to read; none if there is no use in a further read.
    pub fn next_revision(&mut self) -> Option<u64> {
        let has_read_all = self.short >= self.latest;
        let is_found = self.gone.is_some_and(|gone| gone <= self.short + 1);
        if self.reads == Self::MAX_READS || has_read_all || is_found {
            return None;
        }
        self.reads += 1;
        Some(self.latest.saturating_sub(self.span))
    }

    /// Records that the last read didn't reach back far enough.
    pub fn record_short(&mut self) {
        self.short = self.span;
        self.span = match self.gone {
            Some(gone) => self.short + (gone - self.short) / 2,
            None => self.span.saturating_mul(2),
        };
    }

    /// Records that the store no longer has the history since the revision of the last read.
    pub fn record_gone(&mut self) {
        self.gone = Some(self.span);
        self.span = self.short + (self.span - self.short) / 2;
    }
}
