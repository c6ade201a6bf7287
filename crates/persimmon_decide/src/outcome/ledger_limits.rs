//! Settings of a ledger, and what it holds.

use super::Repeatability;

/// Bounds of a [`super::Ledger`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Calls remembered at once.
    pub max_entries: usize,
    /// Bytes of recorded answers kept at once.
    pub max_answer_bytes: usize,
    /// How long a claim can be presented after it was issued, in milliseconds.
    pub claim_ttl_ms: u64,
    /// How long an ordinary request can be presented after its stamp was made, in milliseconds.
    pub request_ttl_ms: u64,
}

impl LedgerLimits {
    /// Sets how many calls are remembered at once.
    #[must_use]
    pub fn with_max_entries(mut self, entries: usize) -> Self {
        self.max_entries = entries;
        self
    }

    /// Sets how many bytes of recorded answers are kept.
    #[must_use]
    pub fn with_max_answer_bytes(mut self, bytes: usize) -> Self {
        self.max_answer_bytes = bytes;
        self
    }

    /// Sets how long a claim can be presented, in milliseconds.
    #[must_use]
    pub fn with_claim_ttl_ms(mut self, ms: u64) -> Self {
        self.claim_ttl_ms = ms;
        self
    }

    /// Sets how long an ordinary request can be presented, in milliseconds.
    #[must_use]
    pub fn with_request_ttl_ms(mut self, ms: u64) -> Self {
        self.request_ttl_ms = ms;
        self
    }

    /// How long a call of this kind can be presented after its stamp was made, in milliseconds.
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

/// What a ledger holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerCounts {
    /// Calls remembered.
    pub entries: usize,
    /// Bytes of recorded answers.
    pub answer_bytes: usize,
}
