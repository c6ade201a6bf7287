//! What one process knows of all others, and the digests it sends.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use persimmon_records::{RecordSet, SetVersion, UnixMs, ZoneName};

use super::mark::{Change, Mark};
use super::node_table::{Listed, NodeTable};
use super::peer_choice::{Peer, PeerChoice};
use super::send_budget::SendBudget;
use super::{
    Digest, DigestEntry, GroupId, NodeId, Standing, Trust, Vm, VmList, VmName, VmRole, VmState,
};
use crate::load::{EndpointHash, Work};
use crate::recovery::SuspectMark;
use crate::{Incarnation, MonoMs};

/// An incarnation for a process that starts now. Later lives of a VM have higher ones as long as
/// its clock isn't set back by more than its start takes.
pub fn incarnation_at(started_at: UnixMs, random: u32) -> Incarnation {
    const RANDOM_BITS: u32 = 22;
    let (seconds, ms) = (started_at.0 / 1_000, started_at.0 % 1_000);
    let random = u64::from(random >> (u32::BITS - RANDOM_BITS));
    Incarnation(seconds << u32::BITS | ms << RANDOM_BITS | random)
}

/// What a process says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OwnState {
    /// Outstanding work of its endpoint; none for routers.
    pub work: Work,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The record set in force.
    pub records: Option<SetVersion>,
    /// Age in milliseconds of the freshest platform contact it knows of.
    pub contact_age_ms: u64,
}

/// A digest and where to send it.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The digest.
    pub digest: Digest,
}

/// A load that a digest told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ToldLoad {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Its outstanding work.
    pub work: Work,
    /// When the work was measured, on this process's clock.
    pub measured_at: MonoMs,
}

/// What a received digest means for the rest of the process.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Received {
    /// Newer loads of endpoints.
    pub loads: Vec<ToldLoad>,
    /// Nodes that are leaving and weren't known to be.
    pub left: Vec<NodeId>,
    /// Nodes of which a later life than the one that left takes work.
    pub returned: Vec<NodeId>,
    /// Whether the sender holds a newer VM list, to be fetched from it.
    pub has_newer_vms: bool,
    /// The digest to send back, if the sender asked for one.
    pub reply: Option<Digest>,
}

/// What one process knows of all others: loads, leaving marks and suspicion, spread by one small
/// datagram a second to a random peer and one in return.
///
/// Everything here is a hint that saves hops. A sidecar that leaves refuses new work itself.
///
/// ```
/// use persimmon_decide::membership::{Membership, NodeId, OwnState, incarnation_at};
/// use persimmon_decide::{Incarnation, MonoMs};
/// use persimmon_records::UnixMs;
///
/// let incarnation = incarnation_at(UnixMs(1_700_000_000_000), 7);
/// let mut membership =
///     Membership::new(&"router-1".into(), "zone-a".into(), incarnation, MonoMs(0));
/// assert!(membership.tick(OwnState::default(), MonoMs(0), 42).is_none(), "no peers are listed yet");
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
    peers: PeerChoice,
    table: NodeTable,
    trust: BTreeMap<NodeId, Trust>,
    urgent: Vec<NodeId>,
    urgent_suspects: bool,
    urgent_records: bool,
    budget: SendBudget,
    suspects: Vec<SuspectMark>,
}

impl Membership {
    /// Receivers of one urgent digest.
    pub const URGENT_FANOUT: usize = 4;
    /// Nodes whose traffic is judged.
    pub const MAX_JUDGED: usize = 1_024;
    /// Changes that one urgent digest carries.
    const MAX_URGENT: usize = 4;
    /// Milliseconds for which a node that no list holds is remembered.
    const UNLISTED_MS: u64 = 60_000;

    /// A process that knows nobody yet.
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
            peers: PeerChoice::default(),
            table: NodeTable::default(),
            trust: BTreeMap::new(),
            urgent: Vec::new(),
            urgent_suspects: false,
            urgent_records: false,
            budget: SendBudget::new(now),
            suspects: Vec::new(),
        }
    }

    /// Takes in a VM list. One of a lower version than the one held is ignored.
    pub fn follow_vms(&mut self, vms: VmList, now: MonoMs) {
        if vms.version < self.vms.version {
            return;
        }
        self.vms = vms;
        self.rebuild(now);
    }

    /// Takes the groups of endpoints from records that came into force.
    pub fn follow_records(&mut self, records: &RecordSet, now: MonoMs) {
        let groups = records.endpoints.iter().map(|endpoint| {
            let name = VmName::from(endpoint.name.as_str());
            (NodeId::of(&name), GroupId::of(&endpoint.serves))
        });
        self.groups = groups.collect();
        self.rebuild(now);
    }

    /// Marks of requests to carry, from [`crate::recovery::Quarantine`]; the most important first.
    /// `has_news` sends them ahead of the regular digest.
    pub fn set_suspects(&mut self, suspects: Vec<SuspectMark>, has_news: bool) {
        self.suspects = suspects;
        self.suspects.truncate(Digest::MAX_SUSPECTS);
        self.urgent_suspects |= has_news;
    }

    /// Starts a digest interval: the digest to send, to a peer that `random` draws. Call it once a
    /// second.
    pub fn tick(&mut self, state: OwnState, now: MonoMs, random: u64) -> Option<Outgoing> {
        self.beat = self.beat.saturating_add(1);
        self.set_state(state, now);
        self.trust.retain(|_, trust| !trust.is_clean(now));
        let peer = self.peers.any(random)?;
        let (node, to) = (peer.node, peer.address);
        let digest = self.digest_for(node, true, now);
        self.budget.spend(digest.wire_bytes(), now);
        Some(Outgoing { to, digest })
    }

    /// Takes in what this process says of itself. A change that others should hear of at once is
    /// sent by [`Self::urgent`].
    pub fn set_state(&mut self, state: OwnState, now: MonoMs) {
        if state.leaving && !self.state.leaving {
            self.urgent.push(self.own);
        }
        self.urgent_records |= state.records > self.state.records && self.state.records.is_some();
        self.state = state;
        self.state_at = now;
    }

    /// Digests to send at once, ahead of the regular one: nodes that left and suspects to routers,
    /// new records to anyone. Each process passes a change on once, within a budget in bytes.
    pub fn urgent(&mut self, now: MonoMs, mut random: impl FnMut() -> u64) -> Vec<Outgoing> {
        if self.urgent.is_empty() && !self.urgent_suspects && !self.urgent_records {
            return Vec::new();
        }
        let digest = self.urgent_digest(now);
        let bytes = digest.wire_bytes() * Self::URGENT_FANOUT;
        let only_records = self.urgent.is_empty() && !self.urgent_suspects;
        self.urgent_suspects = false;
        self.urgent_records = false;
        self.urgent.clear();
        if !self.budget.try_spend(bytes, now) {
            return Vec::new();
        }
        let peers = &self.peers;
        let draw = || {
            let random = random();
            let peer = if only_records { peers.anywhere(random) } else { peers.router(random) };
            peer.map(|peer| peer.address)
        };
        let receivers = std::iter::repeat_with(draw).take(Self::URGENT_FANOUT).flatten();
        receivers.map(|to| Outgoing { to, digest: digest.clone() }).collect()
    }

    /// Takes in a digest from another process.
    pub fn receive(&mut self, digest: &Digest, now: MonoMs) -> Received {
        let mut received = Received {
            has_newer_vms: digest.vms_version > self.vms.version,
            ..Received::default()
        };
        for entry in digest.entries.iter().take(Digest::MAX_ENTRIES) {
            if entry.node != self.own {
                self.absorb(entry, now, &mut received);
            }
        }
        if digest.wants_reply && self.budget.try_spend(Digest::FULL_WIRE_BYTES, now) {
            received.reply = Some(self.digest_for(digest.from, false, now));
        }
        received
    }

    /// An endpoint's reply or refusal told its load and whether it is leaving.
    pub fn note_reply(&mut self, entry: &DigestEntry, now: MonoMs) -> Received {
        let mut received = Received::default();
        self.absorb(entry, now, &mut received);
        self.judge(entry.node, |trust| trust.record_success(now));
        received
    }

    /// An attempt at a node went unanswered. Its peers hear of it once it is suspected.
    pub fn note_failure(&mut self, node: NodeId, now: MonoMs) {
        self.judge(node, |trust| trust.record_failure(now));
        if self.standing_by_traffic(node, now) != Standing::Suspected {
            return;
        }
        let Some(mark) = self.table.get(node).and_then(|node| node.mark) else { return };
        self.table.absorb(node, Mark { suspected: true, ..mark }, now);
    }

    /// An entry that tells this process's own state, for replies.
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

    /// Whether a node is known to be leaving, from a digest, a reply or the VM list.
    pub fn is_leaving(&self, node: NodeId) -> bool {
        self.table.get(node).is_some_and(|node| {
            node.is_listed_leaving || node.mark.is_some_and(|mark| mark.leaving)
        })
    }

    /// How far traffic may go to a node: by this process's own traffic, else by what peers say.
    pub fn standing(&self, node: NodeId, now: MonoMs) -> Standing {
        let told = self.table.get(node).and_then(|node| node.mark);
        match self.standing_by_traffic(node, now) {
            Standing::Trusted if told.is_some_and(|mark| mark.suspected) => Standing::Suspected,
            standing => standing,
        }
    }

    /// The work of a node and when it was measured.
    pub fn load(&self, node: NodeId) -> Option<ToldLoad> {
        let mark = self.table.get(node)?.mark?;
        Some(told_load(node, &mark))
    }

    /// The VM list in force, to give to peers that lag.
    pub fn vms(&self) -> &VmList {
        &self.vms
    }

    /// Nodes that it remembers, at most 8,192.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether it remembers no nodes.
    pub fn is_empty(&self) -> bool {
        self.table.len() == 0
    }

    fn rebuild(&mut self, now: MonoMs) {
        let since = MonoMs(now.0.saturating_sub(Self::UNLISTED_MS));
        let mut peers: Vec<_> = self.vms.vms.iter().map(|vm| self.peer_of(vm)).collect();
        let listed = peers.iter().zip(&self.vms.vms).map(|(peer, vm)| Listed {
            id: peer.node,
            group: peer.group,
            is_leaving: vm.state == VmState::Leaving,
        });
        self.table.follow_list(listed, since, now);
        let group = peers.iter().find(|peer| peer.node == self.own).and_then(|peer| peer.group);
        peers.retain(|peer| peer.node != self.own);
        self.peers = PeerChoice::new(peers, &self.zone, group);
    }

    fn peer_of(&self, vm: &Vm) -> Peer {
        let node = NodeId::of(&vm.name);
        let group = match vm.role {
            VmRole::Router => Some(GroupId::ROUTERS),
            VmRole::Endpoint => self.groups.get(&node).copied(),
        };
        Peer { node, address: vm.peer, zone: vm.zone.clone(), group }
    }

    fn absorb(&mut self, entry: &DigestEntry, now: MonoMs, received: &mut Received) {
        let change = self.table.absorb(entry.node, Mark::of(entry, now), now);
        let Some(mark) = self.table.get(entry.node).and_then(|node| node.mark) else { return };
        match change {
            Change::Nothing => {}
            Change::Left => {
                received.left.push(entry.node);
                if self.urgent.len() < Self::MAX_URGENT {
                    self.urgent.push(entry.node);
                }
            }
            Change::Returned | Change::Refreshed | Change::Suspected => {
                if change == Change::Returned {
                    received.returned.push(entry.node);
                }
                received.loads.push(told_load(entry.node, &mark));
            }
        }
    }

    fn judge(&mut self, node: NodeId, record: impl FnOnce(&mut Trust)) {
        let is_full = self.trust.len() >= Self::MAX_JUDGED && !self.trust.contains_key(&node);
        if !is_full {
            record(self.trust.entry(node).or_default());
        }
    }

    fn standing_by_traffic(&self, node: NodeId, now: MonoMs) -> Standing {
        self.trust.get(&node).map_or(Standing::Trusted, |trust| trust.standing(now))
    }

    fn digest_for(&mut self, receiver: NodeId, wants_reply: bool, now: MonoMs) -> Digest {
        let group = self.table.get(receiver).and_then(|node| node.group);
        let mut digest = self.empty_digest(now);
        digest.wants_reply = wants_reply;
        digest.entries.extend(self.table.pick(group, Digest::MAX_ENTRIES - 1, now));
        digest
    }

    fn urgent_digest(&self, now: MonoMs) -> Digest {
        let mut digest = self.empty_digest(now);
        let told = self.urgent.iter().filter(|node| **node != self.own);
        let entry = |id: &NodeId| Some(self.table.get(*id)?.mark?.entry(*id, now));
        digest.entries.extend(told.filter_map(entry).take(Self::MAX_URGENT));
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

fn told_load(node: NodeId, mark: &Mark) -> ToldLoad {
    let work = Work(u64::from(mark.work));
    ToldLoad { endpoint: EndpointHash(node.0), work, measured_at: mark.measured_at }
}
