//! Settings of a starting process.

use crate::recovery::RetryPacer;

/// Bounds that [`super::Startup`] applies.
#[derive(Debug, Clone, Copy)]
pub struct StartupSettings {
    /// Peers that must have answered, if there are as many.
    pub peers_wanted: usize,
    /// Milliseconds after which a peer that hasn't answered counts as failed.
    pub peer_timeout_ms: u64,
    /// Milliseconds after which the platform counts as failed.
    pub platform_timeout_ms: u64,
    /// Milliseconds over which processes that start together spread their first platform read.
    pub platform_spread_ms: u64,
    /// Milliseconds for which a process waits for a first answer of any peer, before it relies on
    /// the platform alone.
    pub alone_ms: u64,
    /// Delays before asking again.
    pub pacer: RetryPacer,
}

impl Default for StartupSettings {
    fn default() -> Self {
        Self {
            peers_wanted: 3,
            peer_timeout_ms: 500,
            platform_timeout_ms: 2_000,
            platform_spread_ms: 1_000,
            alone_ms: 5_000,
            pacer: RetryPacer::new(1_000, 30_000),
        }
    }
}

impl StartupSettings {
    /// Sets how many peers must answer.
    #[must_use]
    pub fn with_peers_wanted(mut self, peers: usize) -> Self {
        self.peers_wanted = peers;
        self
    }

    /// Sets when a peer counts as failed.
    #[must_use]
    pub fn with_peer_timeout_ms(mut self, ms: u64) -> Self {
        self.peer_timeout_ms = ms;
        self
    }

    /// Sets when the platform counts as failed.
    #[must_use]
    pub fn with_platform_timeout_ms(mut self, ms: u64) -> Self {
        self.platform_timeout_ms = ms;
        self
    }

    /// Sets the spread of first platform reads.
    #[must_use]
    pub fn with_platform_spread_ms(mut self, ms: u64) -> Self {
        self.platform_spread_ms = ms;
        self
    }

    /// Sets how long to wait for peers of which none answers.
    #[must_use]
    pub fn with_alone_ms(mut self, ms: u64) -> Self {
        self.alone_ms = ms;
        self
    }

    /// Sets the delays before asking again.
    #[must_use]
    pub fn with_pacer(mut self, pacer: RetryPacer) -> Self {
        self.pacer = pacer;
        self
    }
}
