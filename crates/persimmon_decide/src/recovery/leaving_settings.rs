//! Settings of leaving.

/// Bounds that [`super::Leaving`] applies.
///
/// ```
/// use persimmon_decide::recovery::LeavingSettings;
///
/// let settings = LeavingSettings::default().with_clock_uncertainty_ms(500);
/// assert_eq!(settings.clock_uncertainty_ms, 500);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingSettings {
    /// How far the wall clock may be off, in milliseconds. A loan ends this much early.
    pub clock_uncertainty_ms: u64,
    /// Age in milliseconds past which a view of the records admits no new work.
    pub records_lease_ms: u64,
    /// Gap in milliseconds between two checks past which the process counts as having been stopped.
    pub max_gap_ms: u64,
    /// How long, in milliseconds, caches are offered for import after the last work is done.
    pub cache_offer_ms: u64,
}

impl Default for LeavingSettings {
    fn default() -> Self {
        Self {
            clock_uncertainty_ms: 1_000,
            records_lease_ms: 30_000,
            max_gap_ms: 1_000,
            cache_offer_ms: 2_000,
        }
    }
}

impl LeavingSettings {
    /// Sets how far the wall clock may be off.
    #[must_use]
    pub fn with_clock_uncertainty_ms(mut self, ms: u64) -> Self {
        self.clock_uncertainty_ms = ms;
        self
    }

    /// Sets the age past which a view of the records admits nothing.
    #[must_use]
    pub fn with_records_lease_ms(mut self, ms: u64) -> Self {
        self.records_lease_ms = ms;
        self
    }

    /// Sets the gap past which the process counts as having been stopped.
    #[must_use]
    pub fn with_max_gap_ms(mut self, ms: u64) -> Self {
        self.max_gap_ms = ms;
        self
    }

    /// Sets how long caches are offered after the last work.
    #[must_use]
    pub fn with_cache_offer_ms(mut self, ms: u64) -> Self {
        self.cache_offer_ms = ms;
        self
    }
}
