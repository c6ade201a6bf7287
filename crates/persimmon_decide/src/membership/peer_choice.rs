//! Which node gets the next digest.

use std::net::SocketAddr;

use persimmon_records::ZoneName;

use super::{GroupId, NodeId};
use crate::recovery::scale;

/// A node that digests may be sent to.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) node: NodeId,
    pub(super) address: SocketAddr,
    pub(super) zone: ZoneName,
    pub(super) group: Option<GroupId>,
}

/// Nodes to choose from, by how near they are. Leaving, suspected and silent nodes stay in, so that
/// both sides of a partition find each other when it heals.
#[derive(Debug, Default)]
pub(super) struct PeerChoice {
    peers: Vec<Peer>,
    in_zone: Vec<usize>,
    in_group: Vec<usize>,
    routers: Vec<usize>,
}

impl PeerChoice {
    /// Digests of a hundred that go to the own zone.
    const ZONE_PERCENT: u64 = 35;
    /// Digests of a hundred that go to the own group, whichever zone that is in.
    const GROUP_PERCENT: u64 = 45;

    pub(super) fn new(peers: Vec<Peer>, zone: &ZoneName, group: Option<GroupId>) -> Self {
        let where_true = |is_near: &dyn Fn(&Peer) -> bool| {
            (0..peers.len()).filter(|index| is_near(&peers[*index])).collect()
        };
        let in_zone = where_true(&|peer| peer.zone == *zone);
        let in_group = where_true(&|peer| group.is_some() && peer.group == group);
        let routers = where_true(&|peer| peer.group == Some(GroupId::ROUTERS));
        Self { peers, in_zone, in_group, routers }
    }

    /// Draws a peer for a digest.
    pub(super) fn any(&self, random: u64) -> Option<&Peer> {
        let percent = scale(random, 100);
        let near = if percent < Self::ZONE_PERCENT {
            &self.in_zone
        } else if percent < Self::ZONE_PERCENT + Self::GROUP_PERCENT {
            &self.in_group
        } else {
            return draw(&self.peers, random.rotate_left(32));
        };
        match draw(near, random.rotate_left(32)) {
            Some(index) => self.peers.get(*index),
            None => draw(&self.peers, random.rotate_left(32)),
        }
    }

    /// Draws a router.
    pub(super) fn router(&self, random: u64) -> Option<&Peer> {
        draw(&self.routers, random).map(|index| &self.peers[*index])
    }

    /// Draws from all nodes.
    pub(super) fn anywhere(&self, random: u64) -> Option<&Peer> {
        draw(&self.peers, random)
    }
}

fn draw<T>(from: &[T], random: u64) -> Option<&T> {
    from.get(scale(random, from.len() as u64) as usize)
}
