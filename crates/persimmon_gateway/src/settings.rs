//! Settings of a gateway.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use persimmon_decide::forward::{ColdBound, PickerSettings, RetryWindowSettings};

/// Settings of a gateway, provided by the adapter of a platform.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Name of the process in logs.
    pub name: Arc<str>,
    /// Availability zone of the gateway.
    pub zone: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Address for digests (UDP) and records (TCP) between gateways.
    pub peers: SocketAddr,
    /// Addresses of a few other gateways, possibly outdated.
    pub seeds: Vec<IpAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address for metrics; none if they aren't served.
    pub metrics: Option<SocketAddr>,
    /// Time from the termination signal until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// Interval at which endpoints write their records again, in milliseconds.
    pub heartbeat_ms: u64,
    /// Retry limit of the fleet.
    pub retries: RetryWindowSettings,
    /// Settings for picking an endpoint for each request.
    pub picker: PickerSettings,
    /// Bound on the requests to a cold endpoint; none if there is no such bound.
    pub cold: Option<ColdBound>,
    /// Maximum number of file descriptors that the process may open.
    pub max_descriptors: usize,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
}

impl GatewaySettings {
    /// Memory that the process may use unless it is stated, in bytes: that of the smallest VM.
    const DEFAULT_MEMORY_BYTES: u64 = 160 * 1024 * 1024;

    /// Creates settings with default values and with free ports for the other addresses.
    pub fn new(name: &str, zone: &str, callers: SocketAddr, store: SocketAddr) -> Self {
        let any_port = SocketAddr::new(callers.ip(), 0);
        Self {
            name: name.into(),
            zone: zone.into(),
            callers,
            readiness: any_port,
            peers: any_port,
            seeds: Vec::new(),
            store,
            metrics: None,
            grace_ms: 8_000,
            heartbeat_ms: 1_200,
            retries: RetryWindowSettings { window_ms: 10_000, ratio: 0.1, slack: 10.0 },
            picker: PickerSettings::default(),
            cold: None,
            max_descriptors: 1_024,
            memory_bytes: Self::DEFAULT_MEMORY_BYTES,
        }
    }

    /// Sets the address for the load balancer's readiness checks.
    #[must_use]
    pub fn with_readiness(mut self, address: SocketAddr) -> Self {
        self.readiness = address;
        self
    }

    /// Sets the address for other gateways, and the addresses of a few of them.
    #[must_use]
    pub fn with_peers(mut self, address: SocketAddr, seeds: Vec<IpAddr>) -> Self {
        self.peers = address;
        self.seeds = seeds;
        self
    }

    /// Sets the address for metrics.
    #[must_use]
    pub fn with_metrics(mut self, address: Option<SocketAddr>) -> Self {
        self.metrics = address;
        self
    }

    /// Sets the interval at which endpoints write their records again, in milliseconds.
    #[must_use]
    pub fn with_heartbeat_ms(mut self, ms: u64) -> Self {
        self.heartbeat_ms = ms;
        self
    }

    /// Sets the time from the termination signal until the process is killed, in milliseconds.
    #[must_use]
    pub fn with_grace_ms(mut self, grace_ms: u64) -> Self {
        self.grace_ms = grace_ms;
        self
    }

    /// Sets the retry limit of the fleet.
    #[must_use]
    pub fn with_retries(mut self, retries: RetryWindowSettings) -> Self {
        self.retries = retries;
        self
    }

    /// Sets the limit on an endpoint's load, as a multiple of the mean load of its service.
    #[must_use]
    pub fn with_load_bound(mut self, bound: f64) -> Self {
        self.picker = PickerSettings::for_bound(bound);
        self
    }

    /// Sets the bound on the requests to a cold endpoint.
    #[must_use]
    pub fn with_cold(mut self, bound: ColdBound) -> Self {
        self.cold = Some(bound);
        self
    }

    /// Sets the memory that the process may use, in bytes.
    #[must_use]
    pub fn with_memory_bytes(mut self, bytes: u64) -> Self {
        self.memory_bytes = bytes;
        self
    }

    /// Sets the maximum number of file descriptors that the process may open.
    #[must_use]
    pub fn with_max_descriptors(mut self, max_descriptors: usize) -> Self {
        self.max_descriptors = max_descriptors;
        self
    }
}
