//! Settings of the decision when a process leaves.

/// Time limits of [`super::Leaving`].
///
/// ```
/// use persimmon_decide::recovery::LeavingSettings;
///
/// let settings = LeavingSettings::default().with_clock_uncertainty_ms(500);
/// assert_eq!(settings.clock_uncertainty_ms, 500);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingSettings {
    /// Maximum error of the wall clock, in milliseconds. A loan ends this much earlier.
    pub clock_uncertainty_ms: u64,
    /// Lease of the records in milliseconds: without a confirmation within this time, the process
    /// admits no new work.
    pub records_lease_ms: u64,
    /// Gap in milliseconds between two observations above which the process counts as stopped in
    /// between.
    pub max_gap_ms: u64,
    /// Milliseconds for which other endpoints may import the caches after the last work is done.
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
    /// Sets the maximum error of the wall clock.
    #[must_use]
    pub fn with_clock_uncertainty_ms(mut self, ms: u64) -> Self {
        self.clock_uncertainty_ms = ms;
        self
    }

    /// Sets the lease of the records.
    #[must_use]
    pub fn with_records_lease_ms(mut self, ms: u64) -> Self {
        self.records_lease_ms = ms;
        self
    }

    /// Sets the gap between observations above which the process counts as stopped in between.
    #[must_use]
    pub fn with_max_gap_ms(mut self, ms: u64) -> Self {
        self.max_gap_ms = ms;
        self
    }

    /// Sets how long other endpoints may import the caches after the last work is done.
    #[must_use]
    pub fn with_cache_offer_ms(mut self, ms: u64) -> Self {
        self.cache_offer_ms = ms;
        self
    }
}
