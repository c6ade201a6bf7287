//! Settings of the quarantine.

/// Bounds that [`super::Quarantine`] applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Seconds for which a suspect is remembered.
    pub suspect_s: u16,
    /// Seconds for which a quarantined fingerprint is refused.
    pub quarantine_s: u16,
    /// Seconds for which a new suspect is refused everywhere, so that every router hears of it
    /// before it is tried again.
    pub spread_s: u16,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self { suspect_s: 600, quarantine_s: 3_600, spread_s: 15 }
    }
}

impl QuarantineSettings {
    /// Sets how long a suspect is remembered.
    #[must_use]
    pub fn with_suspect_s(mut self, seconds: u16) -> Self {
        self.suspect_s = seconds;
        self
    }

    /// Sets how long a quarantined fingerprint is refused.
    #[must_use]
    pub fn with_quarantine_s(mut self, seconds: u16) -> Self {
        self.quarantine_s = seconds;
        self
    }

    /// Sets how long a new suspect is refused.
    #[must_use]
    pub fn with_spread_s(mut self, seconds: u16) -> Self {
        self.spread_s = seconds;
        self
    }
}
