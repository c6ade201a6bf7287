//! Settings of watching the platform.

use crate::recovery::RetryPacer;

/// Bounds that [`super::Watch`] applies.
#[derive(Debug, Clone, Copy)]
pub struct WatchSettings {
    /// Processes of each zone that always watch.
    pub watchers_per_zone: usize,
    /// Processes of each zone, next in rank, that watch when all watchers are silent.
    pub standbys_per_zone: usize,
    /// Milliseconds for which one watch waits at the platform.
    pub wait_ms: u64,
    /// Age in milliseconds of the freshest platform contact at which the first standby reads.
    pub silence_ms: u64,
    /// Milliseconds by which each further standby waits longer.
    pub standby_step_ms: u64,
    /// Mean milliseconds between reads of any other process while it hears of no platform contact.
    pub idle_ms: u64,
    /// Delays after a failed read.
    pub pacer: RetryPacer,
}

impl Default for WatchSettings {
    fn default() -> Self {
        Self {
            watchers_per_zone: 2,
            standbys_per_zone: 6,
            wait_ms: 5_000,
            silence_ms: 15_000,
            standby_step_ms: 1_000,
            idle_ms: 60_000,
            pacer: RetryPacer::new(500, 10_000),
        }
    }
}

impl WatchSettings {
    /// Sets how many processes of each zone watch.
    #[must_use]
    pub fn with_watchers_per_zone(mut self, processes: usize) -> Self {
        self.watchers_per_zone = processes;
        self
    }

    /// Sets how many processes of each zone stand by.
    #[must_use]
    pub fn with_standbys_per_zone(mut self, processes: usize) -> Self {
        self.standbys_per_zone = processes;
        self
    }

    /// Sets how long one watch waits.
    #[must_use]
    pub fn with_wait_ms(mut self, ms: u64) -> Self {
        self.wait_ms = ms;
        self
    }

    /// Sets the silence after which standbys read.
    #[must_use]
    pub fn with_silence_ms(mut self, ms: u64) -> Self {
        self.silence_ms = ms;
        self
    }

    /// Sets the spread of reads of processes that neither watch nor stand by.
    #[must_use]
    pub fn with_idle_ms(mut self, ms: u64) -> Self {
        self.idle_ms = ms;
        self
    }
}
