//! Decides which records and VM list are in force, whom to ask and what to tell peers.

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

use super::command::{KeeperChange, KeeperCommand, News, Offered, RecordsAnswer};
use super::gossip::Gossip;
use super::tasks::{Task, Tasks};
use crate::common::{Clock, random_u64};

/// Time between two regular digests, in milliseconds.
const DIGEST_INTERVAL_MS: u64 = 1_000;
/// Time between two looks at what a starting process still lacks, in milliseconds.
const STARTUP_INTERVAL_MS: u64 = 50;
/// Shortest time between two fetches of a VM list from peers, in milliseconds.
const VMS_FETCH_MS: u64 = 2_000;
/// Time after which a fetch of records from a peer is given up, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 4_000;

/// What a [`Keeper`] is built from.
pub(crate) struct KeeperParts {
    pub(crate) name: VmName,
    pub(crate) zone: ZoneName,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) tasks: Tasks,
    pub(crate) gossip: Gossip,
    /// Peers to ask before any list names some.
    pub(crate) seeds: Vec<SocketAddr>,
}

/// Keeps a process's records, VM list and membership.
pub(crate) struct Keeper {
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
    /// The platform's version of the records that it gave last.
    value_version: u64,
    digest_at: MonoMs,
    startup_at: MonoMs,
    /// When the fetch of records in progress was asked for.
    fetching_since: Option<MonoMs>,
    vms_asked_at: Option<MonoMs>,
    /// The peer that the last regular digest went to, and when.
    asked: Option<(SocketAddr, MonoMs)>,
}

impl Keeper {
    /// A process that has just started and knows nothing.
    pub(crate) fn new(parts: KeeperParts) -> Self {
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
            digest_at: now,
            startup_at: now,
            fetching_since: None,
            vms_asked_at: None,
            asked: None,
        }
    }

    /// Whether the process has asked enough to serve by its records.
    pub(crate) fn is_ready(&self) -> bool {
        self.watch.is_some()
    }

    /// The generation in force, zero before the first.
    pub(crate) fn generation(&self) -> Generation {
        self.adoption.version().map(|version| version.generation).unwrap_or_default()
    }

    /// Where the records in force were read.
    pub(crate) fn records_source(&self) -> &'static str {
        match self.adoption.in_force().map(|in_force| &in_force.read_from) {
            Some(Source::Platform) => "platform",
            Some(Source::Peer(_)) => "peer",
            None => "none",
        }
    }

    /// Why published records are not in force, if that is so.
    pub(crate) fn trouble(&self) -> Option<String> {
        let refused = self.adoption.refused().map(ToString::to_string);
        refused.or_else(|| self.adoption.conflict().map(|conflict| conflict.to_string()))
    }

    /// What is known of other processes.
    pub(crate) fn membership(&self) -> &Membership {
        &self.membership
    }

    /// What is known of other processes, to add what traffic tells.
    pub(crate) fn membership_mut(&mut self) -> &mut Membership {
        &mut self.membership
    }

    /// Requests that are suspected of crashing endpoints.
    pub(crate) fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// The same, to add what happened here.
    pub(crate) fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// The fingerprints that are refused, for status.
    pub(crate) fn quarantined(&self) -> Vec<String> {
        let quarantined = self.quarantine.quarantined();
        quarantined.map(|fingerprint| format!("{:016x}", fingerprint.0)).collect()
    }

    /// Routers in the VM list, at least one.
    pub(crate) fn routers(&self) -> u32 {
        let vms = &self.membership.vms().vms;
        let routers = vms.iter().filter(|vm| vm.role == VmRole::Router).count();
        u32::try_from(routers.max(1)).unwrap_or(u32::MAX)
    }

    /// Handles one message.
    pub(crate) fn handle(&mut self, command: KeeperCommand) -> Vec<KeeperChange> {
        match command {
            KeeperCommand::News(news) => self.on_news(news),
            KeeperCommand::RecordsFor { have, reply } => {
                let _gone = reply.try_send(self.answer_for(have));
                Vec::new()
            }
            KeeperCommand::VmsFor { version, reply } => {
                let list = self.membership.vms();
                let newer = (list.version > version).then(|| list.clone());
                let _gone = reply.try_send(newer);
                Vec::new()
            }
        }
    }

    /// Does what has become due. `state` is what the process says of itself.
    pub(crate) fn tick(&mut self, mut state: OwnState) {
        let now = self.clock.now();
        state.records = self.adoption.version();
        state.contact_age_ms =
            self.watch.as_ref().map_or(u64::from(u32::MAX), |watch| watch.contact_age_ms(now));
        if now.ms_since(self.startup_at) >= STARTUP_INTERVAL_MS {
            self.startup_at = now;
            self.drive_startup(now);
        }
        self.drive_watch(now);
        self.quarantine.expire(now);
        let has_news = self.quarantine.take_changed();
        let marks = self.quarantine.marks(Digest::MAX_SUSPECTS, now);
        self.membership.set_suspects(marks, has_news);
        if now.ms_since(self.digest_at) >= DIGEST_INTERVAL_MS {
            self.digest_at = now;
            self.send_regular(state, now);
        } else {
            self.membership.set_state(state, now);
        }
        for outgoing in self.membership.urgent_digests(now, random_u64) {
            self.gossip.send(&outgoing.digest, outgoing.to);
        }
    }

    fn send_regular(&mut self, state: OwnState, now: MonoMs) {
        if let Some(outgoing) = self.membership.tick(state, now, random_u64()) {
            self.asked = Some((outgoing.to, now));
            self.gossip.send(&outgoing.digest, outgoing.to);
        }
    }

    fn drive_startup(&mut self, now: MonoMs) {
        if self.watch.is_some() {
            return;
        }
        while let Some(step) = self.startup.next_step(now, random_u64()) {
            match step {
                StartupStep::AskPlatform => self.read_platform(0),
                StartupStep::AskPeer(peer) | StartupStep::Fetch { from: peer, .. } => {
                    self.ask_peer(peer);
                }
            }
        }
        if self.startup.check_ready(now).is_ok() {
            let mut watch = Watch::new(WatchSettings::default(), now);
            watch.set_rank(watch_rank(&self.membership.vms().vms, &self.name));
            self.watch = Some(watch);
            tracing::info!("records: the process is ready by generation {}.", self.generation());
        }
    }

    fn drive_watch(&mut self, now: MonoMs) {
        let Some(watch) = &mut self.watch else { return };
        if let Some(read) = watch.next_read(now, random_u64()) {
            self.read_platform(read.wait_ms);
        }
    }

    fn read_platform(&self, wait_ms: u64) {
        let have = self.in_force();
        let after = self.value_version;
        self.tasks.hand_over(Task::ReadRecords { after, wait_ms, have });
        let after = self.membership.vms().version;
        self.tasks.hand_over(Task::ReadVms { after, wait_ms });
    }

    fn ask_peer(&mut self, peer: VmName) {
        let Some(address) = self.address_of(&peer) else {
            self.startup.peer_failed(&peer);
            return;
        };
        self.tasks.hand_over(Task::AskPeer { peer, address, have: self.in_force() });
    }

    /// A peer's address by the VM list; a peer from the settings is named by its address.
    fn address_of(&self, peer: &VmName) -> Option<SocketAddr> {
        let listed = self.membership.vms().vms.iter().find(|vm| vm.name == *peer);
        listed.map(|vm| vm.peer).or_else(|| peer.as_str().parse().ok())
    }

    fn in_force(&self) -> Option<Arc<RecordIndex>> {
        self.adoption.in_force().map(|in_force| in_force.set.clone())
    }

    fn on_news(&mut self, news: News) -> Vec<KeeperChange> {
        let now = self.clock.now();
        match news {
            News::PlatformRecords { asked_at, result: Ok(records) } => {
                self.value_version = records.value_version;
                let mut changes = self.offer(Source::Platform, records.offered);
                if self.value_version == 0 {
                    // Nothing is published yet; a starting process asks again.
                    self.startup.platform_failed(now, random_u64());
                } else {
                    self.startup.platform_answered();
                }
                if let Some(watch) = &mut self.watch {
                    watch.answered(now);
                }
                changes.push(KeeperChange::Confirmed { asked_at, heard: self.generation() });
                changes
            }
            News::PlatformRecords { result: Err(err), .. } => {
                tracing::warn!("records: {err}.");
                self.startup.platform_failed(now, random_u64());
                if let Some(watch) = &mut self.watch {
                    watch.failed(now, random_u64());
                }
                Vec::new()
            }
            News::PlatformVms(list) => {
                list.map(|list| self.follow_vms(list, now)).unwrap_or_default()
            }
            News::PeerVms(list) => self.follow_vms(list, now),
            News::PeerRecords { peer, asked_at, answer: Some(answer) } => {
                self.fetching_since = None;
                self.startup.peer_answered(&peer, answer.in_force);
                let heard = answer.in_force.map(|version| version.generation).unwrap_or_default();
                let mut changes = self.offer(Source::Peer(peer), answer.offered);
                changes.push(KeeperChange::Confirmed { asked_at, heard });
                changes
            }
            News::PeerRecords { peer, answer: None, .. } => {
                self.fetching_since = None;
                self.startup.peer_failed(&peer);
                Vec::new()
            }
            News::Digest { digest, from } => self.on_digest(&digest, from, now),
        }
    }

    fn offer(&mut self, source: Source, offered: Option<Offered>) -> Vec<KeeperChange> {
        let Some(Offered { version, set, changes }) = offered else { return Vec::new() };
        let Some(version) = version else {
            if let Err(faults) = set {
                tracing::warn!("records: a published set is refused: {faults}.");
                self.adoption.refuse(source, None, faults);
            }
            return Vec::new();
        };
        match self.adoption.offer(source, version, || set) {
            OfferResult::Adopted => {
                self.startup.adopted(version);
                self.changes = changes;
                self.follow_records()
            }
            OfferResult::Refused => {
                self.startup.refused(version);
                if let Some(trouble) = self.trouble() {
                    tracing::warn!("records: {trouble}.");
                }
                Vec::new()
            }
            OfferResult::Known | OfferResult::Older => Vec::new(),
        }
    }

    fn follow_records(&mut self) -> Vec<KeeperChange> {
        let Some(set) = self.in_force() else { return Vec::new() };
        self.membership.follow_records(set.set(), self.clock.now());
        vec![KeeperChange::Adopted(set)]
    }

    fn follow_vms(&mut self, list: VmList, now: MonoMs) -> Vec<KeeperChange> {
        let others = list.vms.iter().map(|vm| vm.name.clone()).filter(|name| *name != self.name);
        self.startup.add_peers(others);
        self.membership.follow_vms(list, now);
        let rank = watch_rank(&self.membership.vms().vms, &self.name);
        if let Some(watch) = &mut self.watch {
            watch.set_rank(rank);
        }
        vec![KeeperChange::Listed]
    }

    fn on_digest(&mut self, digest: &Digest, from: SocketAddr, now: MonoMs) -> Vec<KeeperChange> {
        let received = self.membership.receive(digest, now);
        for mark in digest.suspects.iter().take(Digest::MAX_SUSPECTS) {
            self.quarantine.merge_mark(mark, now);
        }
        if let Some(watch) = &mut self.watch {
            watch.note_contact(u64::from(digest.contact_age_ms), now);
        }
        if let Some(version) = digest.records {
            self.on_version(version, from, now);
        }
        let mut changes = Vec::new();
        if let Some(confirmed) = self.confirmed_by(digest, from) {
            changes.push(confirmed);
        }
        self.after_digest(received, from, now, &mut changes);
        changes
    }

    /// A reply to this process's own digest tells what the peer knew after it was asked.
    fn confirmed_by(&self, digest: &Digest, from: SocketAddr) -> Option<KeeperChange> {
        let (to, asked_at) = self.asked?;
        let heard = digest.records?.generation;
        let is_reply = to == from && !digest.wants_reply;
        is_reply.then_some(KeeperChange::Confirmed { asked_at, heard })
    }

    fn on_version(&mut self, version: SetVersion, from: SocketAddr, now: MonoMs) {
        self.adoption.note_version(version);
        let is_fetching =
            self.fetching_since.is_some_and(|since| now.ms_since(since) < FETCH_TIMEOUT_MS);
        if is_fetching || !self.adoption.wants(version) {
            return;
        }
        self.fetching_since = Some(now);
        let peer = VmName::new(from.to_string());
        self.tasks.hand_over(Task::AskPeer { peer, address: from, have: self.in_force() });
    }

    fn after_digest(
        &mut self,
        received: ReceivedChanges,
        from: SocketAddr,
        now: MonoMs,
        changes: &mut Vec<KeeperChange>,
    ) {
        if let Some(reply) = &received.reply {
            self.gossip.send(reply, from);
        }
        let may_ask = self.vms_asked_at.is_none_or(|at| now.ms_since(at) >= VMS_FETCH_MS);
        if received.has_newer_vms && may_ask {
            self.vms_asked_at = Some(now);
            let version = self.membership.vms().version;
            self.tasks.hand_over(Task::AskPeerVms { address: from, version });
        }
        if !received.loads.is_empty() {
            changes.push(KeeperChange::Loads(received.loads));
        }
        if !received.left.is_empty() {
            changes.push(KeeperChange::Left(received.left));
        }
        if !received.returned.is_empty() {
            changes.push(KeeperChange::Returned(received.returned));
        }
    }

    fn answer_for(&self, have: Option<SetVersion>) -> RecordsAnswer {
        let set = self.in_force();
        let is_higher = self.adoption.version() > have;
        let changes = have.and_then(|have| self.changes.as_ref()?.since(have.generation));
        RecordsAnswer { set, changes, is_higher }
    }
}
