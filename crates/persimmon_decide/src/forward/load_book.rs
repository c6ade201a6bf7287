//! Requests in progress at each endpoint, over all gateways.

use std::collections::HashMap;
use std::net::IpAddr;

use crate::load::EndpointHash;

/// Counts this gateway's requests in progress exactly, and adds what the others last told. Every
/// request passes one gateway, so the sum is exact but for the age of the digests.
#[derive(Debug, Default)]
pub struct LoadBook {
    own: HashMap<EndpointHash, u32>,
    peers: HashMap<IpAddr, Vec<(EndpointHash, u32)>>,
    peer_sum: HashMap<EndpointHash, u32>,
}

impl LoadBook {
    /// A book without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// A request was sent to an endpoint.
    pub fn begin(&mut self, endpoint: EndpointHash) {
        *self.own.entry(endpoint).or_default() += 1;
    }

    /// A request at an endpoint has ended.
    pub fn end(&mut self, endpoint: EndpointHash) {
        if let Some(count) = self.own.get_mut(&endpoint) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.own.remove(&endpoint);
            }
        }
    }

    /// Replaces what a peer told of its requests.
    pub fn replace_peer(&mut self, peer: IpAddr, counts: Vec<(EndpointHash, u32)>) {
        self.drop_peer(peer);
        for (endpoint, count) in &counts {
            *self.peer_sum.entry(*endpoint).or_default() += count;
        }
        self.peers.insert(peer, counts);
    }

    /// Forgets a peer that is gone.
    pub fn drop_peer(&mut self, peer: IpAddr) {
        for (endpoint, count) in self.peers.remove(&peer).unwrap_or_default() {
            if let Some(sum) = self.peer_sum.get_mut(&endpoint) {
                *sum = sum.saturating_sub(count);
                if *sum == 0 {
                    self.peer_sum.remove(&endpoint);
                }
            }
        }
    }

    /// Requests of all gateways at an endpoint.
    pub fn total(&self, endpoint: EndpointHash) -> u32 {
        self.own(endpoint) + self.peer_sum.get(&endpoint).copied().unwrap_or(0)
    }

    /// This gateway's requests at an endpoint.
    pub fn own(&self, endpoint: EndpointHash) -> u32 {
        self.own.get(&endpoint).copied().unwrap_or(0)
    }

    /// This gateway's requests by endpoint, for its digest.
    pub fn own_counts(&self) -> impl Iterator<Item = (EndpointHash, u32)> {
        self.own.iter().map(|(endpoint, count)| (*endpoint, *count))
    }
}
