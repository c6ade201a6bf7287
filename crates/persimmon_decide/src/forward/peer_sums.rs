//! Counts by endpoint that other gateways tell, summed.

use std::collections::HashMap;
use std::net::IpAddr;

use crate::load::EndpointHash;

/// A count that can be summed over gateways. What others tell is never trusted to be small, so both
/// operations saturate.
pub(super) trait Count: Copy + Default {
    /// Adds another count.
    fn add(&mut self, other: Self);

    /// Takes another count away again.
    fn subtract(&mut self, other: Self);

    /// Whether nothing is left.
    fn is_zero(&self) -> bool;
}

/// The latest counts of each peer, and their sums.
#[derive(Debug, Default)]
pub(super) struct PeerSums<T> {
    reported: HashMap<IpAddr, Vec<(EndpointHash, T)>>,
    sums: HashMap<EndpointHash, T>,
}

impl<T: Count> PeerSums<T> {
    /// Replaces what a peer reported before.
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

    /// Forgets a peer that is gone.
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

    /// The sum over all peers for one endpoint.
    pub(super) fn sum(&self, endpoint: EndpointHash) -> T {
        self.sums.get(&endpoint).copied().unwrap_or_default()
    }
}
