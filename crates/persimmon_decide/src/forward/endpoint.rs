//! Endpoints as the platform's records describe them.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::load::EndpointHash;

/// The identity that the platform publishes for an endpoint.
pub type EndpointId = Arc<str>;

/// Whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It is leaving: it ends what it runs and takes nothing new.
    Draining,
}

/// A published endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Its identity.
    pub id: EndpointId,
    /// The hash of its identity and start, which tells its lives apart.
    pub hash: EndpointHash,
    /// The service that it serves.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: EndpointState,
}

impl Endpoint {
    /// A ready endpoint with one slot. `started_unix_ms` is the start of this life, if published.
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
            slots: 1,
            state: EndpointState::Ready,
        }
    }

    /// Sets the availability zone.
    #[must_use]
    pub fn with_zone(mut self, zone: &str) -> Self {
        self.zone = zone.into();
        self
    }

    /// Sets how many requests it runs at once.
    #[must_use]
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots.max(1);
        self
    }

    /// Sets whether it takes new requests.
    #[must_use]
    pub fn with_state(mut self, state: EndpointState) -> Self {
        self.state = state;
        self
    }
}
