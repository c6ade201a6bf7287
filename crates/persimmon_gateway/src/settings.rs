//! Settings of a gateway.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use persimmon_decide::forward::{PickerSettings, RetryWindowSettings};

/// Settings of a gateway, as the adapter of a platform reads them.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The process's name in logs.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub readiness: SocketAddr,
    /// Where gateways exchange digests (UDP) and records (TCP).
    pub peers: SocketAddr,
    /// Addresses of a few other gateways, which may be out of date.
    pub seeds: Vec<IpAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Where metrics are served; nowhere if absent.
    pub metrics: Option<SocketAddr>,
    /// Time from the signal to stop until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// The fleet's bound on repeated sends.
    pub retries: RetryWindowSettings,
    /// Placement.
    pub picker: PickerSettings,
    /// Descriptors that the process may open.
    pub max_descriptors: usize,
}

impl GatewaySettings {
    /// Settings with the defaults of everything that isn't an address.
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
            retries: RetryWindowSettings { window_ms: 10_000, ratio: 0.1, slack: 10.0 },
            picker: PickerSettings::default(),
            max_descriptors: 1_024,
        }
    }

    /// Sets where the balancer asks whether the gateway is ready.
    #[must_use]
    pub fn with_readiness(mut self, address: SocketAddr) -> Self {
        self.readiness = address;
        self
    }

    /// Sets where other gateways reach this one, and some of their addresses.
    #[must_use]
    pub fn with_peers(mut self, address: SocketAddr, seeds: Vec<IpAddr>) -> Self {
        self.peers = address;
        self.seeds = seeds;
        self
    }

    /// Sets where metrics are served.
    #[must_use]
    pub fn with_metrics(mut self, address: Option<SocketAddr>) -> Self {
        self.metrics = address;
        self
    }

    /// Sets the time from the signal to stop until the process is killed, in milliseconds.
    #[must_use]
    pub fn with_grace_ms(mut self, grace_ms: u64) -> Self {
        self.grace_ms = grace_ms;
        self
    }

    /// Sets the fleet's bound on repeated sends.
    #[must_use]
    pub fn with_retries(mut self, retries: RetryWindowSettings) -> Self {
        self.retries = retries;
        self
    }

    /// Sets the bound on an endpoint's load, as a multiple of the mean of its service.
    #[must_use]
    pub fn with_load_bound(mut self, bound: f64) -> Self {
        self.picker = PickerSettings::for_bound(bound);
        self
    }

    /// Sets how many descriptors the process may open.
    #[must_use]
    pub fn with_max_descriptors(mut self, max_descriptors: usize) -> Self {
        self.max_descriptors = max_descriptors;
        self
    }
}
