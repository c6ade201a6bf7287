//! Requests in progress at each endpoint, summed over all gateways.

use std::collections::HashMap;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use super::peer_sums::{Count, PeerSums};
use crate::load::EndpointHash;

/// The load of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens that the endpoint is expected to be reading or to have queued.
    pub unread_tokens: u32,
}

impl Count for EndpointLoad {
    fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
    }

    fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
    }

    fn is_zero(&self) -> bool {
        self.requests == 0
    }
}

/// Counts this gateway's requests in progress exactly, and adds the counts last reported by its
/// peers. Every request passes through one gateway, so the sum is exact apart from the age of the
/// digests.
#[derive(Debug, Default)]
pub struct LoadTracker {
    own: HashMap<EndpointHash, EndpointLoad>,
    peers: PeerSums<EndpointLoad>,
}

impl LoadTracker {
    /// Creates an empty tracker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request was sent to an endpoint that has `unread_tokens` of its prompt to
    /// read.
    pub fn begin(&mut self, endpoint: EndpointHash, unread_tokens: u32) {
        self.own.entry(endpoint).or_default().add(EndpointLoad { requests: 1, unread_tokens });
    }

    /// Records that the endpoint has read `unread_tokens` of a request's prompt.
    pub fn record_read(&mut self, endpoint: EndpointHash, unread_tokens: u32) {
        if let Some(load) = self.own.get_mut(&endpoint) {
            load.subtract(EndpointLoad { requests: 0, unread_tokens });
        }
    }

    /// Records the end of a request at an endpoint; `unread_tokens` of its prompt were still
    /// unread.
    pub fn end(&mut self, endpoint: EndpointHash, unread_tokens: u32) {
        if let Some(load) = self.own.get_mut(&endpoint) {
            load.subtract(EndpointLoad { requests: 1, unread_tokens });
            if load.requests == 0 {
                self.own.remove(&endpoint);
            }
        }
    }

    /// Replaces the loads reported by a peer.
    pub fn replace_peer(&mut self, peer: IpAddr, loads: Vec<(EndpointHash, EndpointLoad)>) {
        self.peers.replace(peer, loads);
    }

    /// Removes a peer that is gone.
    pub fn drop_peer(&mut self, peer: IpAddr) {
        self.peers.drop_peer(peer);
    }

    /// Returns the load of an endpoint from the requests of all gateways.
    pub fn total(&self, endpoint: EndpointHash) -> EndpointLoad {
        let mut total = self.own.get(&endpoint).copied().unwrap_or_default();
        total.add(self.peers.sum(endpoint));
        total
    }

    /// Returns the number of this gateway's requests at an endpoint.
    pub fn own(&self, endpoint: EndpointHash) -> u32 {
        self.own.get(&endpoint).map_or(0, |load| load.requests)
    }

    /// Returns the unread tokens of this gateway's requests at an endpoint.
    pub fn own_unread(&self, endpoint: EndpointHash) -> u32 {
        self.own.get(&endpoint).map_or(0, |load| load.unread_tokens)
    }

    /// Returns the load from this gateway's requests by endpoint, for its digest.
    pub fn own_loads(&self) -> impl Iterator<Item = (EndpointHash, EndpointLoad)> {
        self.own.iter().map(|(endpoint, load)| (*endpoint, *load))
    }
}
