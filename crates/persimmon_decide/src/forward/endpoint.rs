//! Endpoints as published in the platform's records.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::load::EndpointHash;

/// ID of an endpoint, as the platform publishes it.
pub type EndpointId = Arc<str>;

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// An endpoint that accepts requests.
    Ready,
    /// An endpoint that is shutting down: it finishes its requests and accepts no new ones.
    Draining,
}

/// A published endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// ID of the endpoint.
    pub id: EndpointId,
    /// Hash of the ID and start time, which differs after each restart.
    pub hash: EndpointHash,
    /// Service that the endpoint belongs to.
    pub service: Arc<str>,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: Arc<str>,
    /// Version of the endpoint's software; empty if it isn't published.
    pub version: Arc<str>,
    /// Number of requests that the endpoint runs at once.
    pub slots: u32,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointState,
    /// Time for which the endpoint stayed cold when it wrote its record, in milliseconds.
    pub cold_ms: u64,
    /// Unix time of the endpoint's start, in milliseconds, if published.
    started_unix_ms: Option<u64>,
    /// Number of the endpoint's record since its start, if published.
    sequence: Option<u64>,
}

impl Endpoint {
    /// Creates a ready endpoint with one slot. `started_unix_ms` is the time of its last start, if
    /// published.
    pub fn new(
        id: &str,
        started_unix_ms: Option<u64>,
        service: Arc<str>,
        address: SocketAddr,
    ) -> Self {
        let life = match started_unix_ms {
            Some(start) => format!("{id}@{start}"),
            None => id.to_owned(),
        };
        Self {
            id: id.into(),
            hash: EndpointHash::of(&life.as_str().into()),
            service,
            address,
            zone: "".into(),
            version: "".into(),
            slots: 1,
            state: EndpointState::Ready,
            cold_ms: 0,
            started_unix_ms,
            sequence: None,
        }
    }

    /// Returns the Unix time of the endpoint's start in milliseconds, if published.
    pub fn started_unix_ms(&self) -> Option<u64> {
        self.started_unix_ms
    }

    /// Returns the Unix time of the endpoint's start in milliseconds, and the number of its record since then, if
    /// published.
    pub fn write(&self) -> Option<(u64, u64)> {
        self.started_unix_ms.zip(self.sequence)
    }

    /// Reports whether an endpoint published this record before the other one.
    pub fn is_older_than(&self, other: &Self) -> bool {
        let starts = self.started_unix_ms.zip(other.started_unix_ms);
        starts.is_some_and(|(own, other_start)| {
            let sequences = self.sequence.zip(other.sequence);
            own < other_start
                || (own == other_start && sequences.is_some_and(|(own, other)| own < other))
        })
    }

    /// Sets the number of the endpoint's record since its start.
    #[must_use]
    pub fn with_sequence(mut self, sequence: Option<u64>) -> Self {
        self.sequence = sequence;
        self
    }

    /// Sets the availability zone.
    #[must_use]
    pub fn with_zone(mut self, zone: &str) -> Self {
        self.zone = zone.into();
        self
    }

    /// Sets the version of the endpoint's software.
    #[must_use]
    pub fn with_version(mut self, version: &str) -> Self {
        self.version = version.into();
        self
    }

    /// Sets the number of requests that the endpoint runs at once, at least one.
    #[must_use]
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots.max(1);
        self
    }

    /// Sets the time for which the endpoint stays cold, in milliseconds.
    #[must_use]
    pub fn with_cold_ms(mut self, ms: u64) -> Self {
        self.cold_ms = ms;
        self
    }

    /// Sets whether the endpoint accepts new requests.
    #[must_use]
    pub fn with_state(mut self, state: EndpointState) -> Self {
        self.state = state;
        self
    }
}
