//! One process's view of all other nodes, and the digests that it sends.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use persimmon_records::{RecordSet, SetVersion, UnixMs, ZoneName};

use super::node_state::{Change, NodeState};
use super::node_table::{ListedNode, NodeTable};
use super::peer_selector::{Peer, PeerSelector};
use super::send_budget::SendBudget;
use super::{
    Digest, DigestEntry, GroupId, HealthState, NodeHealth, NodeId, Vm, VmList, VmName, VmRole,
    VmState,
};
use crate::load::{EndpointHash, Work};
use crate::recovery::SuspectMark;
use crate::{Incarnation, MonoMs};

/// Returns the incarnation of a process that starts at `started_at`. A VM's incarnation rises with
/// each restart unless its clock is set back by more than the restart takes.
pub fn incarnation_at(started_at: UnixMs, random: u32) -> Incarnation {
    const RANDOM_BITS: u32 = 22;
    let (seconds, ms) = (started_at.0 / 1_000, started_at.0 % 1_000);
    let random = u64::from(random >> (u32::BITS - RANDOM_BITS));
    Incarnation(seconds << u32::BITS | ms << RANDOM_BITS | random)
}

/// The state that a process reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OwnState {
    /// Outstanding work of its endpoint; zero for routers.
    pub work: Work,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The record set in force.
    pub records: Option<SetVersion>,
    /// Age in milliseconds of the latest successful contact between any process and the platform
    /// that it knows of.
    pub contact_age_ms: u64,
}

/// A digest with its destination.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingDigest {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The digest.
    pub digest: Digest,
}

/// An endpoint's load as a digest or reply reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Its outstanding work.
    pub work: Work,
    /// When the work was measured, on this process's clock.
    pub measured_at: MonoMs,
}

/// The changes from a received digest or reply that the rest of the process must handle.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ReceivedChanges {
    /// Newer loads of endpoints.
    pub loads: Vec<ReportedLoad>,
    /// Nodes that are leaving and weren't known to be.
    pub left: Vec<NodeId>,
    /// Nodes that restarted after leaving and accept work again.
    pub returned: Vec<NodeId>,
    /// Whether the sender has a newer VM list, which this process should fetch from it.
    pub has_newer_vms: bool,
    /// The digest to send back, if the sender requested one and the budget allows it.
    pub reply: Option<Digest>,
}

/// One process's view of all other nodes: their loads, whether they are leaving and whether they
/// are suspected. It spreads by gossip: each process sends one small datagram a second to a random
/// peer, which replies with one.
///
/// The view is only a hint that saves hops: a leaving sidecar itself refuses new work.
///
/// ```
/// use persimmon_decide::membership::{Membership, NodeId, OwnState, incarnation_at};
/// use persimmon_decide::{Incarnation, MonoMs};
/// use persimmon_records::UnixMs;
///
/// let incarnation = incarnation_at(UnixMs(1_700_000_000_000), 7);
/// let mut membership =
///     Membership::new(&"router-1".into(), "zone-a".into(), incarnation, MonoMs(0));
/// assert!(membership.tick(OwnState::default(), MonoMs(0), 42).is_none(), "no peers are known");
/// ```
#[derive(Debug)]
pub struct Membership {
    own: NodeId,
    zone: ZoneName,
    incarnation: Incarnation,
    beat: u32,
    state: OwnState,
    state_at: MonoMs,
    vms: VmList,
    groups: BTreeMap<NodeId, GroupId>,
    peers: PeerSelector,
    table: NodeTable,
    health: BTreeMap<NodeId, NodeHealth>,
    urgent_nodes: Vec<NodeId>,
    urgent_suspects: bool,
    urgent_records: bool,
    budget: SendBudget,
    suspects: Vec<SuspectMark>,
}

impl Membership {
    /// Number of nodes to which an urgent digest is sent.
    pub const URGENT_FANOUT: usize = 4;
    /// Maximum number of nodes for which results of requests are recorded.
    pub const MAX_HEALTH_ENTRIES: usize = 1_024;
    /// Maximum number of nodes in one urgent digest.
    const MAX_URGENT_NODES: usize = 4;
    /// Milliseconds after the last update of an unlisted node until its state expires.
    const UNLISTED_TTL_MS: u64 = 60_000;

    /// Creates the view of a process that has no state of any other node yet.
    pub fn new(name: &VmName, zone: ZoneName, incarnation: Incarnation, now: MonoMs) -> Self {
        Self {
            own: NodeId::of(name),
            zone,
            incarnation,
            beat: 0,
            state: OwnState::default(),
            state_at: now,
            vms: VmList::default(),
            groups: BTreeMap::new(),
            peers: PeerSelector::default(),
            table: NodeTable::default(),
            health: BTreeMap::new(),
            urgent_nodes: Vec::new(),
            urgent_suspects: false,
            urgent_records: false,
            budget: SendBudget::new(now),
            suspects: Vec::new(),
        }
    }

    /// Replaces the VM list, unless `vms` has a lower version than the current list.
    pub fn apply_vms(&mut self, vms: VmList, now: MonoMs) {
        if vms.version < self.vms.version {
            return;
        }
        self.vms = vms;
        self.rebuild(now);
    }

    /// Updates the groups of endpoints from the records that came into force.
    pub fn apply_records(&mut self, records: &RecordSet, now: MonoMs) {
        let groups = records.endpoints.iter().map(|endpoint| {
            let name = VmName::from(endpoint.name.as_str());
            (NodeId::of(&name), GroupId::of(&endpoint.serves))
        });
        self.groups = groups.collect();
        self.rebuild(now);
    }

    /// Sets the suspect marks that digests carry, the most important first; see
    /// [`crate::recovery::Quarantine::marks`]. If `is_urgent`, [`Self::urgent_digests`] returns
    /// digests with them.
    pub fn set_suspects(&mut self, suspects: Vec<SuspectMark>, is_urgent: bool) {
        self.suspects = suspects;
        self.suspects.truncate(Digest::MAX_SUSPECTS);
        self.urgent_suspects |= is_urgent;
    }

    /// Starts a digest interval and returns the digest to send, with a peer selected by `random` as
    /// its destination. Call it once a second.
    pub fn tick(&mut self, state: OwnState, now: MonoMs, random: u64) -> Option<OutgoingDigest> {
        self.beat = self.beat.saturating_add(1);
        self.set_state(state, now);
        self.health.retain(|_, health| !health.has_no_recent_failures(now));
        let peer = self.peers.select(random)?;
        let (node, to) = (peer.node, peer.address);
        let digest = self.digest_for(node, true, now);
        self.budget.spend(digest.wire_bytes(), now);
        Some(OutgoingDigest { to, digest })
    }

    /// Updates this process's own state. After it starts to leave or adopts newer records,
    /// [`Self::urgent_digests`] returns digests with the change.
    pub fn set_state(&mut self, state: OwnState, now: MonoMs) {
        if state.leaving && !self.state.leaving {
            self.urgent_nodes.push(self.own);
        }
        self.urgent_records |= state.records > self.state.records && self.state.records.is_some();
        self.state = state;
        self.state_at = now;
    }

    /// Returns digests to send now, without waiting for the next regular digest. Departures and
    /// suspect marks go to routers; a new version of the records goes to any nodes. Each process
    /// sends a change this way once, and not at all if the byte budget is exhausted.
    pub fn urgent_digests(
        &mut self,
        now: MonoMs,
        mut random: impl FnMut() -> u64,
    ) -> Vec<OutgoingDigest> {
        if self.urgent_nodes.is_empty() && !self.urgent_suspects && !self.urgent_records {
            return Vec::new();
        }
        let digest = self.urgent_digest(now);
        let bytes = digest.wire_bytes() * Self::URGENT_FANOUT;
        let only_records = self.urgent_nodes.is_empty() && !self.urgent_suspects;
        self.urgent_suspects = false;
        self.urgent_records = false;
        self.urgent_nodes.clear();
        if !self.budget.try_spend(bytes, now) {
            return Vec::new();
        }
        let peers = &self.peers;
        let draw = || {
            let random = random();
            let peer = if only_records {
                peers.select_uniform(random)
            } else {
                peers.select_router(random)
            };
            peer.map(|peer| peer.address)
        };
        let receivers = std::iter::repeat_with(draw).take(Self::URGENT_FANOUT).flatten();
        receivers.map(|to| OutgoingDigest { to, digest: digest.clone() }).collect()
    }

    /// Merges a digest from another process.
    pub fn receive(&mut self, digest: &Digest, now: MonoMs) -> ReceivedChanges {
        let mut received = ReceivedChanges {
            has_newer_vms: digest.vms_version > self.vms.version,
            ..ReceivedChanges::default()
        };
        for entry in digest.entries.iter().take(Digest::MAX_ENTRIES) {
            if entry.node != self.own {
                self.merge(entry, now, &mut received);
            }
        }
        if digest.wants_reply && self.budget.try_spend(Digest::FULL_WIRE_BYTES, now) {
            received.reply = Some(self.digest_for(digest.from, false, now));
        }
        received
    }

    /// Merges the state that an endpoint reported with a reply or refusal, and records that the
    /// endpoint answered.
    pub fn record_reply(&mut self, entry: &DigestEntry, now: MonoMs) -> ReceivedChanges {
        let mut received = ReceivedChanges::default();
        self.merge(entry, now, &mut received);
        self.update_health(entry.node, |health| health.record_success(now));
        received
    }

    /// Records that a node did not answer an attempt. Once that makes the node suspected, digests
    /// spread the suspicion.
    pub fn record_failure(&mut self, node: NodeId, now: MonoMs) {
        self.update_health(node, |health| health.record_failure(now));
        if self.health_from_own_requests(node, now) != HealthState::Suspected {
            return;
        }
        let Some(state) = self.table.get(node).and_then(|node| node.state) else { return };
        self.table.merge(node, NodeState { suspected: true, ..state }, now);
    }

    /// Returns the entry with this process's own state, for digests and replies.
    pub fn own_entry(&self, now: MonoMs) -> DigestEntry {
        DigestEntry {
            node: self.own,
            incarnation: self.incarnation,
            beat: self.beat,
            work: u32::try_from(self.state.work.0).unwrap_or(u32::MAX),
            age: DigestEntry::age_from_ms(now.ms_since(self.state_at)),
            leaving: self.state.leaving,
            suspected: false,
        }
    }

    /// Reports whether a digest, a reply or the VM list shows a node as leaving.
    pub fn is_leaving(&self, node: NodeId) -> bool {
        self.table.get(node).is_some_and(|node| {
            node.is_listed_leaving || node.state.is_some_and(|state| state.leaving)
        })
    }

    /// Returns a node's health state. The results of this process's own requests take precedence
    /// over reports from peers.
    pub fn health(&self, node: NodeId, now: MonoMs) -> HealthState {
        let reported = self.table.get(node).and_then(|node| node.state);
        match self.health_from_own_requests(node, now) {
            HealthState::Trusted if reported.is_some_and(|state| state.suspected) => {
                HealthState::Suspected
            }
            state => state,
        }
    }

    /// Returns the last known work of a node and when it was measured.
    pub fn load(&self, node: NodeId) -> Option<ReportedLoad> {
        let state = self.table.get(node)?.state?;
        Some(reported_load(node, &state))
    }

    /// Returns the current VM list, which peers with an older list fetch.
    pub fn vms(&self) -> &VmList {
        &self.vms
    }

    /// Returns the number of nodes in the table, at most 8,192.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Reports whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.table.len() == 0
    }

    fn rebuild(&mut self, now: MonoMs) {
        let since = MonoMs(now.0.saturating_sub(Self::UNLISTED_TTL_MS));
        let mut peers: Vec<_> = self.vms.vms.iter().map(|vm| self.peer_of(vm)).collect();
        let listed = peers.iter().zip(&self.vms.vms).map(|(peer, vm)| ListedNode {
            id: peer.node,
            group: peer.group,
            is_leaving: vm.state == VmState::Leaving,
        });
        self.table.apply_list(listed, since, now);
        let group = peers.iter().find(|peer| peer.node == self.own).and_then(|peer| peer.group);
        peers.retain(|peer| peer.node != self.own);
        self.peers = PeerSelector::new(peers, &self.zone, group);
    }

    fn peer_of(&self, vm: &Vm) -> Peer {
        let node = NodeId::of(&vm.name);
        let group = match vm.role {
            VmRole::Router => Some(GroupId::ROUTERS),
            VmRole::Endpoint => self.groups.get(&node).copied(),
        };
        Peer { node, address: vm.peer, zone: vm.zone.clone(), group }
    }

    fn merge(&mut self, entry: &DigestEntry, now: MonoMs, received: &mut ReceivedChanges) {
        let change = self.table.merge(entry.node, NodeState::of(entry, now), now);
        let Some(state) = self.table.get(entry.node).and_then(|node| node.state) else { return };
        match change {
            Change::Nothing => {}
            Change::Left => {
                received.left.push(entry.node);
                if self.urgent_nodes.len() < Self::MAX_URGENT_NODES {
                    self.urgent_nodes.push(entry.node);
                }
            }
            Change::Returned | Change::Refreshed | Change::Suspected => {
                if change == Change::Returned {
                    received.returned.push(entry.node);
                }
                received.loads.push(reported_load(entry.node, &state));
            }
        }
    }

    fn update_health(&mut self, node: NodeId, record: impl FnOnce(&mut NodeHealth)) {
        let is_full =
            self.health.len() >= Self::MAX_HEALTH_ENTRIES && !self.health.contains_key(&node);
        if !is_full {
            record(self.health.entry(node).or_default());
        }
    }

    fn health_from_own_requests(&self, node: NodeId, now: MonoMs) -> HealthState {
        self.health.get(&node).map_or(HealthState::Trusted, |health| health.state(now))
    }

    fn digest_for(&mut self, receiver: NodeId, wants_reply: bool, now: MonoMs) -> Digest {
        let group = self.table.get(receiver).and_then(|node| node.group);
        let mut digest = self.empty_digest(now);
        digest.wants_reply = wants_reply;
        digest.entries.extend(self.table.select_entries(group, Digest::MAX_ENTRIES - 1, now));
        digest
    }

    fn urgent_digest(&self, now: MonoMs) -> Digest {
        let mut digest = self.empty_digest(now);
        let nodes = self.urgent_nodes.iter().filter(|node| **node != self.own);
        let entry = |id: &NodeId| Some(self.table.get(*id)?.state?.entry(*id, now));
        digest.entries.extend(nodes.filter_map(entry).take(Self::MAX_URGENT_NODES));
        digest
    }

    fn empty_digest(&self, now: MonoMs) -> Digest {
        let contact_age_ms = self.state.contact_age_ms + now.ms_since(self.state_at);
        Digest {
            from: self.own,
            incarnation: self.incarnation,
            records: self.state.records,
            vms_version: self.vms.version,
            contact_age_ms: u32::try_from(contact_age_ms).unwrap_or(u32::MAX),
            wants_reply: false,
            entries: vec![self.own_entry(now)],
            suspects: self.suspects.clone(),
        }
    }
}

fn reported_load(node: NodeId, state: &NodeState) -> ReportedLoad {
    let work = Work(u64::from(state.work));
    ReportedLoad { endpoint: EndpointHash(node.0), work, measured_at: state.measured_at }
}
