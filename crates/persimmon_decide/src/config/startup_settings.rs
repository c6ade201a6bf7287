//! Settings of a starting process.

use crate::recovery::RetryPacer;

/// Time-outs and limits of [`super::Startup`].
#[derive(Debug, Clone, Copy)]
pub struct StartupSettings {
    /// Number of peers that must answer, if the process has at least that many.
    pub required_peers: usize,
    /// Time-out of a request to a peer, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Time-out of a read of the platform and of a fetch from a peer, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Maximum random delay of the first read of the platform, in milliseconds, which spreads the
    /// reads of processes that start together.
    pub platform_spread_ms: u64,
    /// Milliseconds for which a process waits for a first answer from any peer before it relies on
    /// the platform alone.
    pub no_peer_timeout_ms: u64,
    /// Delays between retries.
    pub pacer: RetryPacer,
}

impl Default for StartupSettings {
    fn default() -> Self {
        Self {
            required_peers: 3,
            peer_timeout_ms: 500,
            platform_timeout_ms: 2_000,
            platform_spread_ms: 1_000,
            no_peer_timeout_ms: 5_000,
            pacer: RetryPacer::new(1_000, 30_000),
        }
    }
}

impl StartupSettings {
    /// Sets the number of peers that must answer.
    #[must_use]
    pub fn with_required_peers(mut self, peers: usize) -> Self {
        self.required_peers = peers;
        self
    }

    /// Sets the time-out of a request to a peer.
    #[must_use]
    pub fn with_peer_timeout_ms(mut self, ms: u64) -> Self {
        self.peer_timeout_ms = ms;
        self
    }

    /// Sets the time-out of a read of the platform and of a fetch from a peer.
    #[must_use]
    pub fn with_platform_timeout_ms(mut self, ms: u64) -> Self {
        self.platform_timeout_ms = ms;
        self
    }

    /// Sets the maximum random delay of the first read of the platform.
    #[must_use]
    pub fn with_platform_spread_ms(mut self, ms: u64) -> Self {
        self.platform_spread_ms = ms;
        self
    }

    /// Sets how long to wait for a first answer from any peer.
    #[must_use]
    pub fn with_no_peer_timeout_ms(mut self, ms: u64) -> Self {
        self.no_peer_timeout_ms = ms;
        self
    }

    /// Sets the delays between retries.
    #[must_use]
    pub fn with_pacer(mut self, pacer: RetryPacer) -> Self {
        self.pacer = pacer;
        self
    }
}
