//! Settings of reads of the platform.

use crate::recovery::RetryPacer;

/// Numbers of readers, time-outs and delays of [`super::Watch`].
#[derive(Debug, Clone, Copy)]
pub struct WatchSettings {
    /// Number of processes in each zone that always have a read of the platform in progress.
    pub watchers_per_zone: usize,
    /// Number of processes in each zone, next in rank, that read when all watchers are silent.
    pub standbys_per_zone: usize,
    /// Long-poll time of one read, in milliseconds.
    pub wait_ms: u64,
    /// Age in milliseconds of the latest platform contact after which the first standby reads.
    pub silence_ms: u64,
    /// Additional milliseconds that each further standby waits.
    pub standby_step_ms: u64,
    /// Mean milliseconds between reads of any other process while no platform contact is reported.
    pub idle_interval_ms: u64,
    /// Delays between a failed read and its retry.
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
            idle_interval_ms: 60_000,
            pacer: RetryPacer::new(500, 10_000),
        }
    }
}

impl WatchSettings {
    /// Sets the number of watchers in each zone.
    #[must_use]
    pub fn with_watchers_per_zone(mut self, processes: usize) -> Self {
        self.watchers_per_zone = processes;
        self
    }

    /// Sets the number of standbys in each zone.
    #[must_use]
    pub fn with_standbys_per_zone(mut self, processes: usize) -> Self {
        self.standbys_per_zone = processes;
        self
    }

    /// Sets the long-poll time of one read.
    #[must_use]
    pub fn with_wait_ms(mut self, ms: u64) -> Self {
        self.wait_ms = ms;
        self
    }

    /// Sets the age of the latest platform contact after which the first standby reads.
    #[must_use]
    pub fn with_silence_ms(mut self, ms: u64) -> Self {
        self.silence_ms = ms;
        self
    }

    /// Sets the mean interval between reads of processes that are neither watcher nor standby.
    #[must_use]
    pub fn with_idle_interval_ms(mut self, ms: u64) -> Self {
        self.idle_interval_ms = ms;
        self
    }
}
