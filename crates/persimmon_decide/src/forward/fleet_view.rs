//! What a gateway knows of the fleet when it picks an endpoint.

use super::{
    ColdEndpoints, Endpoint, EndpointDirectory, EndpointLimits, EndpointPauses, EndpointSpeeds,
    HealthTracker, LoadTracker, PrefixMap,
};
use crate::MonoMs;

/// A gateway's view of the fleet when it picks an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// Published endpoints.
    pub endpoints: &'a EndpointDirectory,
    /// Requests in progress at each endpoint.
    pub loads: &'a LoadTracker,
    /// Time between the digests in which a peer reports its requests, in milliseconds.
    pub load_interval_ms: u64,
    /// Health of each endpoint.
    pub health: &'a HealthTracker,
    /// Endpoints that want no requests for a while.
    pub pauses: &'a EndpointPauses,
    /// Limits that endpoints name on the rate of requests.
    pub limits: &'a EndpointLimits,
    /// Speeds that endpoints state.
    pub speeds: &'a EndpointSpeeds,
    /// Endpoints that are cold, and how much of them this gateway may use.
    pub cold: &'a ColdEndpoints,
    /// Time since the store last confirmed the records in force, in milliseconds.
    pub records_age_ms: Option<u64>,
    /// Endpoints that have cached parts of prompts.
    pub prefixes: &'a PrefixMap,
    /// Current time.
    pub now: MonoMs,
}

impl FleetView<'_> {
    /// Reports whether an endpoint takes a request now: it hasn't paused, the limit that it names isn't
    /// reached, and neither is what it bears while it is cold.
    pub fn is_open(&self, endpoint: &Endpoint) -> bool {
        self.closed(endpoint).is_none()
    }

    /// Returns why an endpoint takes no request now and for how long; none if it does.
    pub(super) fn closed(&self, endpoint: &Endpoint) -> Option<(u64, Closed)> {
        let paused_ms = self.pauses.left_ms(endpoint.hash, self.now);
        let limited_ms = self.limits.wait_ms(endpoint.hash, self.now);
        let cold_ms = self.cold.wait_ms(endpoint, self.records_age_ms, self.now);
        let left_ms = paused_ms.max(limited_ms).max(cold_ms)?;
        let why = match (limited_ms, cold_ms) {
            (Some(_), _) => Closed::Limited,
            (None, Some(_)) => Closed::Cold,
            (None, None) => Closed::Paused,
        };
        Some((left_ms, why))
    }
}

/// Why an endpoint takes no request for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Closed {
    /// It wants none.
    Paused,
    /// It is cold, and has got what it bears.
    Cold,
    /// The limit that it names is reached.
    Limited,
}
