//! Decides which records and VM list are in force, which sources to read and which digests to send.

use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_decide::config::{
    Adoption, OfferResult, Source, Startup, StartupSettings, StartupStep, Watch, WatchSettings,
    watch_rank,
};
use persimmon_decide::membership::{
    Digest, Membership, OwnState, ReceivedChanges, VmList, VmName, VmRole,
};
use persimmon_decide::recovery::{Quarantine, QuarantineSettings};
use persimmon_decide::{Incarnation, MonoMs};
use persimmon_records::{ChangeSet, Generation, RecordIndex, SetVersion, ZoneName};

use super::command::{FleetChange, FleetCommand, FleetInput, Offered, RecordsAnswer};
use super::gossip::Gossip;
use super::tasks::{Task, Tasks};
use crate::common::{Clock, random_u64};

/// Interval between regular digests, in milliseconds.
const DIGEST_INTERVAL_MS: u64 = 1_000;
/// Interval between startup checks, in milliseconds.
const STARTUP_INTERVAL_MS: u64 = 50;
/// Minimum interval between fetches of a VM list from peers, in milliseconds.
const VMS_FETCH_INTERVAL_MS: u64 = 2_000;
/// Time after which a fetch of records from a peer counts as failed, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 4_000;

/// Arguments of [`FleetState::new`].
pub(crate) struct FleetStateParts {
    pub(crate) name: VmName,
    pub(crate) zone: ZoneName,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) tasks: Tasks,
    pub(crate) gossip: Gossip,
    /// Peers from the settings, used before a VM list is available.
    pub(crate) seeds: Vec<SocketAddr>,
}

/// A process's records, VM list and view of the membership.
pub(crate) struct FleetState {
    name: VmName,
    clock: Clock,
    tasks: Tasks,
    gossip: Gossip,
    adoption: Adoption<String>,
    changes: Option<ChangeSet>,
    startup: Startup,
    watch: Option<Watch>,
    membership: Membership,
    quarantine: Quarantine,
    /// Version of the records value last read from the platform.
    value_version: u64,
    digest_sent_at: MonoMs,
    startup_checked_at: MonoMs,
    /// When the fetch of records in progress started.
    fetching_since: Option<MonoMs>,
    vms_requested_at: Option<MonoMs>,
    /// The recipient of the last regular digest and the time at which it was sent.
    last_regular: Option<(SocketAddr, MonoMs)>,
}

impl FleetState {
    /// Creates the state of a process that has just started, without records.
    pub(crate) fn new(parts: FleetStateParts) -> Self {
        let now = parts.clock.now();
        let mut startup = Startup::new(StartupSettings::default(), now, random_u64());
        startup.add_peers(parts.seeds.iter().map(|seed| VmName::new(seed.to_string())));
        Self {
            membership: Membership::new(&parts.name, parts.zone, parts.incarnation, now),
            quarantine: Quarantine::new(QuarantineSettings::default()),
            name: parts.name,
            clock: parts.clock,
            tasks: parts.tasks,
            gossip: parts.gossip,
            adoption: Adoption::default(),
            changes: None,
            startup,
            watch: None,
            value_version: 0,
            digest_sent_at: now,
            startup_checked_at: now,
            fetching_since: None,
            vms_requested_at: None,
            last_regular: None,
        }
    }

    /// Reports whether startup is complete, so that the process may act on its records.
    pub(crate) fn is_ready(&self) -> bool {
        self.watch.is_some()
    }

    /// Returns the generation in force, or zero if no records are in force.
    pub(crate) fn generation(&self) -> Generation {
        self.adoption.version().map(|version| version.generation).unwrap_or_default()
    }

    /// Returns where the records in force were read from.
    pub(crate) fn records_source(&self) -> &'static str {
        match self.adoption.in_force().map(|in_force| &in_force.read_from) {
            Some(Source::Platform) => "platform",
            Some(Source::Peer(_)) => "peer",
            None => "none",
        }
    }

    /// Returns why a record set was refused, or how it conflicts with the one in force.
    pub(crate) fn records_error(&self) -> Option<String> {
        let refused = self.adoption.refused().map(ToString::to_string);
        refused.or_else(|| self.adoption.conflict().map(|conflict| conflict.to_string()))
    }

    /// Returns the membership.
    pub(crate) fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the membership for recording failures and replies of requests.
    pub(crate) fn membership_mut(&mut self) -> &mut Membership {
        &mut self.membership
    }

    /// Returns the quarantine of requests that are suspected of crashing endpoints.
    pub(crate) fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the quarantine for recording crashes and clean runs.
    pub(crate) fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Returns the quarantined fingerprints in hexadecimal.
    pub(crate) fn quarantined(&self) -> Vec<String> {
        let quarantined = self.quarantine.quarantined();
        quarantined.map(|fingerprint| format!("{:016x}", fingerprint.0)).collect()
    }

    /// Returns the number of routers in the VM list, at least 1.
    pub(crate) fn routers(&self) -> u32 {
        let vms = &self.membership.vms().vms;
        let routers = vms.iter().filter(|vm| vm.role == VmRole::Router).count();
        u32::try_from(routers.max(1)).unwrap_or(u32::MAX)
    }

    /// Handles a message and returns the changes that the role has to handle.
    pub(crate) fn handle(&mut self, command: FleetCommand) -> Vec<FleetChange> {
        match command {
            FleetCommand::Input(result) => self.on_input(result),
            FleetCommand::RecordsFor { have, reply } => {
                let _gone = reply.try_send(self.records_for(have));
                Vec::new()
            }
            FleetCommand::VmsFor { version, reply } => {
                let list = self.membership.vms();
                let newer = (list.version > version).then(|| list.clone());
                let _gone = reply.try_send(newer);
                Vec::new()
            }
        }
    }

    /// Starts due reads and sends due digests, which carry `state` as the process's own state.
    pub(crate) fn tick(&mut self, mut state: OwnState) {
        let now = self.clock.now();
        state.records = self.adoption.version();
        state.contact_age_ms =
            self.watch.as_ref().map_or(u64::from(u32::MAX), |watch| watch.contact_age_ms(now));
        if now.ms_since(self.startup_checked_at) >= STARTUP_INTERVAL_MS {
            self.startup_checked_at = now;
            self.advance_startup(now);
        }
        self.advance_watch(now);
        self.quarantine.expire(now);
        let has_changed = self.quarantine.take_changed();
        let marks = self.quarantine.marks(Digest::MAX_SUSPECTS, now);
        self.membership.set_suspects(marks, has_changed);
        if now.ms_since(self.digest_sent_at) >= DIGEST_INTERVAL_MS {
            self.digest_sent_at = now;
            self.send_regular_digest(state, now);
        } else {
            self.membership.set_state(state, now);
        }
        for outgoing in self.membership.urgent_digests(now, random_u64) {
            self.gossip.send(&outgoing.digest, outgoing.to);
        }
    }

    fn send_regular_digest(&mut self, state: OwnState, now: MonoMs) {
        if let Some(outgoing) = self.membership.tick(state, now, random_u64()) {
            self.last_regular = Some((outgoing.to, now));
            self.gossip.send(&outgoing.digest, outgoing.to);
        }
    }

    fn advance_startup(&mut self, now: MonoMs) {
        if self.watch.is_some() {
            return;
        }
        while let Some(step) = self.startup.next_step(now, random_u64()) {
            match step {
                StartupStep::AskPlatform => self.read_platform(0),
                StartupStep::AskPeer(peer) | StartupStep::Fetch { from: peer, .. } => {
                    self.fetch_peer_records(peer);
                }
            }
        }
        if self.startup.check_ready(now).is_ok() {
            let mut watch = Watch::new(WatchSettings::default(), now);
            watch.set_rank(watch_rank(&self.membership.vms().vms, &self.name));
            self.watch = Some(watch);
            tracing::info!("records: startup complete with generation {}.", self.generation());
        }
    }

    fn advance_watch(&mut self, now: MonoMs) {
        let Some(watch) = &mut self.watch else { return };
        if let Some(read) = watch.next_read(now, random_u64()) {
            self.read_platform(read.wait_ms);
        }
    }

    fn read_platform(&self, wait_ms: u64) {
        let have = self.in_force();
        let after = self.value_version;
        self.tasks.submit(Task::ReadRecords { after, wait_ms, have });
        let after = self.membership.vms().version;
        self.tasks.submit(Task::ReadVms { after, wait_ms });
    }

    fn fetch_peer_records(&mut self, peer: VmName) {
        let Some(address) = self.address_of(&peer) else {
            self.startup.peer_failed(&peer);
            return;
        };
        self.tasks.submit(Task::FetchPeerRecords { peer, address, have: self.in_force() });
    }

    /// Returns a peer's address from the VM list. A peer from the settings has its address as its
    /// name.
    fn address_of(&self, peer: &VmName) -> Option<SocketAddr> {
        let listed = self.membership.vms().vms.iter().find(|vm| vm.name == *peer);
        listed.map(|vm| vm.peer).or_else(|| peer.as_str().parse().ok())
    }

    fn in_force(&self) -> Option<Arc<RecordIndex>> {
        self.adoption.in_force().map(|in_force| in_force.set.clone())
    }

    fn on_input(&mut self, result: FleetInput) -> Vec<FleetChange> {
        let now = self.clock.now();
        match result {
            FleetInput::PlatformRecords { requested_at, result: Ok(records) } => {
                self.value_version = records.value_version;
                let mut changes = self.offer(Source::Platform, records.offered);
                if self.value_version == 0 {
                    // Nothing is published yet, so startup reads again later.
                    self.startup.platform_failed(now, random_u64());
                } else {
                    self.startup.platform_answered();
                }
                if let Some(watch) = &mut self.watch {
                    watch.answered(now);
                }
                changes
                    .push(FleetChange::Confirmed { requested_at, generation: self.generation() });
                changes
            }
            FleetInput::PlatformRecords { result: Err(err), .. } => {
                tracing::warn!("records: {err}.");
                self.startup.platform_failed(now, random_u64());
                if let Some(watch) = &mut self.watch {
                    watch.failed(now, random_u64());
                }
                Vec::new()
            }
            FleetInput::PlatformVms(list) => {
                list.map(|list| self.apply_vms(list, now)).unwrap_or_default()
            }
            FleetInput::PeerVms(list) => self.apply_vms(list, now),
            FleetInput::PeerRecords { peer, requested_at, answer: Some(answer) } => {
                self.fetching_since = None;
                self.startup.peer_answered(&peer, answer.in_force);
                let generation =
                    answer.in_force.map(|version| version.generation).unwrap_or_default();
                let mut changes = self.offer(Source::Peer(peer), answer.offered);
                changes.push(FleetChange::Confirmed { requested_at, generation });
                changes
            }
            FleetInput::PeerRecords { peer, answer: None, .. } => {
                self.fetching_since = None;
                self.startup.peer_failed(&peer);
                Vec::new()
            }
            FleetInput::Digest { digest, from } => self.on_digest(&digest, from, now),
        }
    }

    fn offer(&mut self, source: Source, offered: Option<Offered>) -> Vec<FleetChange> {
        let Some(Offered { version, set, changes }) = offered else { return Vec::new() };
        let Some(version) = version else {
            if let Err(faults) = set {
                tracing::warn!("records: published record set refused: {faults}.");
                self.adoption.refuse(source, None, faults);
            }
            return Vec::new();
        };
        match self.adoption.offer(source, version, || set) {
            OfferResult::Adopted => {
                self.startup.adopted(version);
                self.changes = changes;
                self.apply_records()
            }
            OfferResult::Refused => {
                self.startup.refused(version);
                if let Some(err) = self.records_error() {
                    tracing::warn!("records: {err}.");
                }
                Vec::new()
            }
            OfferResult::Known | OfferResult::Older => Vec::new(),
        }
    }

    fn apply_records(&mut self) -> Vec<FleetChange> {
        let Some(set) = self.in_force() else { return Vec::new() };
        self.membership.apply_records(set.set(), self.clock.now());
        vec![FleetChange::Adopted(set)]
    }

    fn apply_vms(&mut self, list: VmList, now: MonoMs) -> Vec<FleetChange> {
        let others = list.vms.iter().map(|vm| vm.name.clone()).filter(|name| *name != self.name);
        self.startup.add_peers(others);
        self.membership.apply_vms(list, now);
        let rank = watch_rank(&self.membership.vms().vms, &self.name);
        if let Some(watch) = &mut self.watch {
            watch.set_rank(rank);
        }
        vec![FleetChange::VmsChanged]
    }

    fn on_digest(&mut self, digest: &Digest, from: SocketAddr, now: MonoMs) -> Vec<FleetChange> {
        let received = self.membership.receive(digest, now);
        for mark in digest.suspects.iter().take(Digest::MAX_SUSPECTS) {
            self.quarantine.merge_mark(mark, now);
        }
        if let Some(watch) = &mut self.watch {
            watch.note_contact(u64::from(digest.contact_age_ms), now);
        }
        if let Some(version) = digest.records {
            self.fetch_newer_records(version, from, now);
        }
        let mut changes = Vec::new();
        if let Some(confirmed) = self.confirmation(digest, from) {
            changes.push(confirmed);
        }
        self.handle_received(received, from, now, &mut changes);
        changes
    }

    /// Returns a confirmation if the digest is the reply to the last regular digest, because it
    /// contains the generation that the peer had after that digest was sent.
    fn confirmation(&self, digest: &Digest, from: SocketAddr) -> Option<FleetChange> {
        let (to, requested_at) = self.last_regular?;
        let generation = digest.records?.generation;
        let is_reply = to == from && !digest.wants_reply;
        is_reply.then_some(FleetChange::Confirmed { requested_at, generation })
    }

    fn fetch_newer_records(&mut self, version: SetVersion, from: SocketAddr, now: MonoMs) {
        self.adoption.note_version(version);
        let is_fetching =
            self.fetching_since.is_some_and(|since| now.ms_since(since) < FETCH_TIMEOUT_MS);
        if is_fetching || !self.adoption.wants(version) {
            return;
        }
        self.fetching_since = Some(now);
        let peer = VmName::new(from.to_string());
        self.tasks.submit(Task::FetchPeerRecords { peer, address: from, have: self.in_force() });
    }

    fn handle_received(
        &mut self,
        received: ReceivedChanges,
        from: SocketAddr,
        now: MonoMs,
        changes: &mut Vec<FleetChange>,
    ) {
        if let Some(reply) = &received.reply {
            self.gossip.send(reply, from);
        }
        let may_fetch =
            self.vms_requested_at.is_none_or(|at| now.ms_since(at) >= VMS_FETCH_INTERVAL_MS);
        if received.has_newer_vms && may_fetch {
            self.vms_requested_at = Some(now);
            let version = self.membership.vms().version;
            self.tasks.submit(Task::FetchPeerVms { address: from, version });
        }
        if !received.loads.is_empty() {
            changes.push(FleetChange::Loads(received.loads));
        }
        if !received.left.is_empty() {
            changes.push(FleetChange::Left(received.left));
        }
        if !received.returned.is_empty() {
            changes.push(FleetChange::Returned(received.returned));
        }
    }

    fn records_for(&self, have: Option<SetVersion>) -> RecordsAnswer {
        let set = self.in_force();
        let is_higher = self.adoption.version() > have;
        let changes = have.and_then(|have| self.changes.as_ref()?.since(have.generation));
        RecordsAnswer { set, changes, is_higher }
    }
}
