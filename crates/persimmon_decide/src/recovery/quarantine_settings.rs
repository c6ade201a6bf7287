//! Settings of the quarantine.

/// Time limits of [`super::Quarantine`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Seconds after which a suspicion expires.
    pub suspect_s: u16,
    /// Seconds after which a quarantine expires.
    pub quarantine_s: u16,
    /// Seconds for which every process refuses a new suspect, so that its mark reaches all
    /// routers before it runs again.
    pub spread_s: u16,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self { suspect_s: 600, quarantine_s: 3_600, spread_s: 15 }
    }
}

impl QuarantineSettings {
    /// Sets when a suspicion expires.
    #[must_use]
    pub fn with_suspect_s(mut self, seconds: u16) -> Self {
        self.suspect_s = seconds;
        self
    }

    /// Sets when a quarantine expires.
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
