//! Random selection of the node that gets the next digest.

use std::net::SocketAddr;

use persimmon_records::ZoneName;

use super::{GroupId, NodeId};
use crate::recovery::scale;

/// A possible receiver of digests.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) node: NodeId,
    pub(super) address: SocketAddr,
    pub(super) zone: ZoneName,
    pub(super) group: Option<GroupId>,
}

/// Selects receivers of digests, with a preference for the own zone and group. Leaving, suspected
/// and silent nodes remain candidates, so that both sides of a partition find each other after it
/// heals.
#[derive(Debug, Default)]
pub(super) struct PeerSelector {
    peers: Vec<Peer>,
    in_zone: Vec<usize>,
    in_group: Vec<usize>,
    routers: Vec<usize>,
}

impl PeerSelector {
    /// Percentage of digests that go to the own zone.
    const ZONE_PERCENT: u64 = 35;
    /// Percentage of digests that go to the own group, in any zone.
    const GROUP_PERCENT: u64 = 45;

    pub(super) fn new(peers: Vec<Peer>, zone: &ZoneName, group: Option<GroupId>) -> Self {
        let indexes_where = |is_near: &dyn Fn(&Peer) -> bool| {
            (0..peers.len()).filter(|index| is_near(&peers[*index])).collect()
        };
        let in_zone = indexes_where(&|peer| peer.zone == *zone);
        let in_group = indexes_where(&|peer| group.is_some() && peer.group == group);
        let routers = indexes_where(&|peer| peer.group == Some(GroupId::ROUTERS));
        Self { peers, in_zone, in_group, routers }
    }

    /// Selects the receiver of a regular digest. Falls back to all nodes if the own zone or group
    /// has no other node.
    pub(super) fn select(&self, random: u64) -> Option<&Peer> {
        let percent = scale(random, 100);
        let near = if percent < Self::ZONE_PERCENT {
            &self.in_zone
        } else if percent < Self::ZONE_PERCENT + Self::GROUP_PERCENT {
            &self.in_group
        } else {
            return draw_from(&self.peers, random.rotate_left(32));
        };
        match draw_from(near, random.rotate_left(32)) {
            Some(index) => self.peers.get(*index),
            None => draw_from(&self.peers, random.rotate_left(32)),
        }
    }

    /// Selects a router.
    pub(super) fn select_router(&self, random: u64) -> Option<&Peer> {
        draw_from(&self.routers, random).map(|index| &self.peers[*index])
    }

    /// Selects any node with equal probability.
    pub(super) fn select_uniform(&self, random: u64) -> Option<&Peer> {
        draw_from(&self.peers, random)
    }
}

fn draw_from<T>(from: &[T], random: u64) -> Option<&T> {
    from.get(scale(random, from.len() as u64) as usize)
}
