//! Limits and counts of a ledger.

use super::Repeatability;

/// Bounds of a [`super::Ledger`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerLimits {
    /// The maximum number of entries.
    pub max_entries: usize,
    /// The maximum total size of recorded answers, in bytes.
    pub max_answer_bytes: usize,
    /// How long a claim is valid after it was issued, in milliseconds.
    pub claim_ttl_ms: u64,
    /// How long the stamp of an ordinary request is valid after it was issued, in milliseconds.
    pub request_ttl_ms: u64,
}

impl LedgerLimits {
    /// Sets the maximum number of entries.
    #[must_use]
    pub fn with_max_entries(mut self, entries: usize) -> Self {
        self.max_entries = entries;
        self
    }

    /// Sets the maximum number of bytes of recorded answers.
    #[must_use]
    pub fn with_max_answer_bytes(mut self, bytes: usize) -> Self {
        self.max_answer_bytes = bytes;
        self
    }

    /// Sets how long a claim is valid, in milliseconds.
    #[must_use]
    pub fn with_claim_ttl_ms(mut self, ms: u64) -> Self {
        self.claim_ttl_ms = ms;
        self
    }

    /// Sets how long the stamp of an ordinary request is valid, in milliseconds.
    #[must_use]
    pub fn with_request_ttl_ms(mut self, ms: u64) -> Self {
        self.request_ttl_ms = ms;
        self
    }

    /// Returns how long the stamp of a call of this kind is valid, in milliseconds.
    pub fn ttl_ms(&self, repeatability: Repeatability) -> u64 {
        match repeatability {
            Repeatability::Once => self.claim_ttl_ms,
            Repeatability::Repeatable => self.request_ttl_ms,
        }
    }
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            max_entries: 16_384,
            max_answer_bytes: 4 << 20,
            claim_ttl_ms: 10 * 60 * 1_000,
            request_ttl_ms: 30 * 1_000,
        }
    }
}

/// The current size of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerCounts {
    /// Number of entries.
    pub entries: usize,
    /// Number of bytes of recorded answers.
    pub answer_bytes: usize,
}
