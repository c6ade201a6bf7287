//! Sums over the counts that other gateways report for each endpoint.

use std::collections::HashMap;
use std::net::IpAddr;

use crate::load::EndpointHash;

/// A count that can be summed over gateways. Reported counts may be arbitrarily large, so both
/// operations saturate.
pub(super) trait Count: Copy + Default {
    /// Adds another count.
    fn add(&mut self, other: Self);

    /// Subtracts another count.
    fn subtract(&mut self, other: Self);

    /// Reports whether the count is zero.
    fn is_zero(&self) -> bool;
}

/// The latest counts of each peer, and their sums.
#[derive(Debug, Default)]
pub(super) struct PeerSums<T> {
    reported: HashMap<IpAddr, Vec<(EndpointHash, T)>>,
    sums: HashMap<EndpointHash, T>,
}

impl<T: Count> PeerSums<T> {
    /// Replaces the counts of a peer.
    pub(super) fn replace(&mut self, peer: IpAddr, counts: Vec<(EndpointHash, T)>) {
        self.drop_peer(peer);
        if counts.is_empty() {
            return;
        }
        for (endpoint, count) in &counts {
            self.sums.entry(*endpoint).or_default().add(*count);
        }
        self.reported.insert(peer, counts);
    }

    /// Removes a peer that is gone.
    pub(super) fn drop_peer(&mut self, peer: IpAddr) {
        for (endpoint, count) in self.reported.remove(&peer).unwrap_or_default() {
            if let Some(sum) = self.sums.get_mut(&endpoint) {
                sum.subtract(count);
                if sum.is_zero() {
                    self.sums.remove(&endpoint);
                }
            }
        }
    }

    /// Returns the sum over all peers for one endpoint.
    pub(super) fn sum(&self, endpoint: EndpointHash) -> T {
        self.sums.get(&endpoint).copied().unwrap_or_default()
    }
}
