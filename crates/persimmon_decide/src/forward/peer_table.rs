//! The other gateways of the fleet.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

use super::gateway_rank::{GatewayKey, gateway_score};
use super::{Digest, PeerAddress, RecordsVersion, ServiceRetries, StoreView};
use crate::MonoMs;

/// How a received digest relates to the last one of the same sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestFreshness {
    /// A digest that isn't newer than the sender's last one, or one of this gateway's own.
    Stale,
    /// The newest digest of a known gateway.
    Newer,
    /// The first digest of a gateway that has just started or wasn't known.
    NewIncarnation,
}

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    sequence: u64,
    contact_at: MonoMs,
    revision: u64,
    /// Version of the routes in force.
    routes: u64,
    /// Whether the peer's build reads notices of changes.
    reads_notices: bool,
    /// Arrival time of the first digest of this incarnation that announced its shutdown.
    leaving_since: Option<MonoMs>,
    store_age_ms: Option<u32>,
    retries: Vec<(Arc<str>, ServiceRetries)>,
    /// Time at which fetching records from it last failed.
    failed_at: Option<MonoMs>,
}

/// Another gateway that reads notices of changes.
#[derive(Debug, Clone, Copy)]
pub struct NotifiedPeer {
    /// Address of the gateway.
    pub ip: IpAddr,
    /// Position up to which it is known to have every change.
    pub position: u64,
    /// Whether it may have ended, or is shutting down.
    pub is_doubtful: bool,
}

/// Discovers the other gateways from a few seeds, and stores the content of their latest digests.
#[derive(Debug)]
pub struct PeerTable {
    own: IpAddr,
    seeds: Vec<IpAddr>,
    peers: BTreeMap<IpAddr, Peer>,
    /// Times of the latest digests of all peers that count as part of the fleet.
    contacts: BTreeMap<IpAddr, MonoMs>,
    /// Addresses that peers have reported, with the time of the latest contact.
    reported: BTreeMap<IpAddr, MonoMs>,
    /// Time of the last digest of a gateway that watches the store, or else of the first digest.
    watched_at: MonoMs,
    /// Time of the store's last answer to any gateway of the fleet.
    store_contact: Option<MonoMs>,
    store_gap: Option<StoreGap>,
}

/// The last time for which the store answered no gateway of the fleet.
#[derive(Debug, Clone, Copy)]
struct StoreGap {
    lost_since: MonoMs,
    reached_at: MonoMs,
}

impl Peer {
    /// Reports whether the peer watches the store but has had no answer for longer than
    /// [`PeerTable::STORE_LOST_MS`]. A peer that doesn't watch the store is assumed to be able to
    /// reach it.
    fn is_cut_off_from_store(&self) -> bool {
        self.store_age_ms.is_some_and(|age_ms| u64::from(age_ms) > PeerTable::STORE_LOST_MS)
    }

    /// Reports whether the peer watches the store, and can reach it.
    fn reaches_store(&self) -> bool {
        self.store_age_ms.is_some() && !self.is_cut_off_from_store()
    }

    /// Reports whether the peer stays, and can reach the store as far as it is known.
    fn may_watch(&self) -> bool {
        self.leaving_since.is_none() && !self.is_cut_off_from_store()
    }

    /// Reports whether the peer watches the store and was heard a short while ago.
    fn is_watching(&self, now: MonoMs) -> bool {
        let is_heard = now.ms_since(self.contact_at) <= PeerTable::WATCHER_SILENT_MS;
        self.store_age_ms.is_some() && is_heard
    }

    /// Reports whether the peer may have ended, or is shutting down.
    fn is_doubtful(&self, max_silent_ms: u64, now: MonoMs) -> bool {
        now.ms_since(self.contact_at) > max_silent_ms || self.leaving_since.is_some()
    }

    /// Reports whether records later than `revision` can be fetched from the peer, as far as it is known.
    fn is_ahead_of(&self, revision: u64) -> bool {
        self.revision > revision && !self.has_failed()
    }

    /// Reports whether the peer hasn't been heard since records couldn't be fetched from it.
    fn has_failed(&self) -> bool {
        self.failed_at.is_some_and(|at| at >= self.contact_at)
    }
}

impl PeerTable {
    /// Number of gateways that watch the platform's store; the others get changes from them.
    const WATCHERS: usize = 2;
    /// Time without an answer after which a watcher counts as cut off from the store, in
    /// milliseconds. It covers a watch that returns after 600 ms, a slow answer and the age of a
    /// digest.
    pub const STORE_LOST_MS: u64 = 1_100;
    /// Maximum interval between the digests of a gateway that watches the store, in milliseconds. It
    /// bounds the time until the others notice that it has ended.
    const WATCHER_INTERVAL_MS: u64 = 500;
    /// Time without a digest after which a watcher counts as gone, in milliseconds: three of its
    /// digests.
    const WATCHER_SILENT_MS: u64 = 1_500;
    /// Mean number of gateways that begin to watch the store in one check, once no watcher is heard.
    const VOLUNTEERS: u64 = 8;
    /// Number of gateways that take over at once from watchers that are cut off from the store. They are
    /// spread over the fleet, since what cuts one off often does so to its neighbours.
    const STAND_INS: usize = 8;
    /// Number of gateways cut off from the store from which its outage is more probable than that of
    /// single paths, so that each watcher is replaced by one other at a time.
    const MAX_CUT_OFF: usize = 2 * Self::STAND_INS;
    /// Subject by which gateways are ranked as stand-ins.
    const STAND_IN_SUBJECT: u64 = 0x0073_746f_7265;
    /// Maximum time by which a peer may have been heard earlier than another one to be asked for records as
    /// probably, in milliseconds.
    const FETCH_SPREAD_MS: u64 = 500;
    /// Maximum number of peers up to which a gateway that has fetched changes announces them itself.
    const MAX_ECHO_PEERS: usize = 40;
    /// Minimum time for which the counts of a silent peer are used, in milliseconds. It spans
    /// several digests, so that the peer's requests stay counted when a datagram is lost.
    pub const SILENT_MS: u64 = 1_500;
    /// Number of digests that may be missing before a peer counts as silent.
    const MAX_MISSED_DIGESTS: u64 = 4;
    /// Number of intervals between digests after which a peer that sent none may have ended.
    const MAX_EXPECTED_DIGESTS: u64 = 2;
    /// Interval between the digests of a gateway with few peers, in milliseconds. It bounds the age
    /// of request counts.
    const MIN_INTERVAL_MS: u64 = 100;
    /// Maximum rate of received digests, per second. It bounds the CPU time in a large fleet.
    const MAX_RECEIVED_PER_S: u64 = 80;
    /// Number of other gateways listed in one digest. With this many, all gateways of a fleet of
    /// hundreds discover each other within seconds.
    const LISTED_PEERS: usize = 8;
    /// Time from the start of a gateway until it gets new connections, in milliseconds: it reads
    /// the records within some tens of milliseconds, and the load balancer checks its readiness
    /// every second.
    const STARTUP_MS: u64 = 1_500;
    /// Time for which digests are still sent to a silent peer, in milliseconds. A restarted process
    /// is back within seconds; a replaced one has another address.
    const RETENTION_MS: u64 = 30_000;
    /// Time for which a silent peer counts as part of the fleet while at most half of the fleet is
    /// heard, in milliseconds. This gateway is then more probably cut off than the others are gone.
    const CUT_OFF_RETENTION_MS: u64 = 600_000;

    /// Creates a table that contains only the seeds.
    pub fn new(own: IpAddr, seeds: Vec<IpAddr>) -> Self {
        let (peers, contacts, reported) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (watched_at, store_contact, store_gap) = (MonoMs(0), None, None);
        Self { own, seeds, peers, contacts, reported, watched_at, store_contact, store_gap }
    }

    /// Returns the address of this gateway.
    pub fn own(&self) -> IpAddr {
        self.own
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<IpAddr>) {
        self.seeds = seeds;
    }

    /// Records a peer's digest.
    pub fn record_digest(&mut self, from: IpAddr, digest: &Digest, now: MonoMs) -> DigestFreshness {
        if from == self.own {
            return DigestFreshness::Stale;
        }
        let known = self.peers.get(&from).filter(|it| it.incarnation == digest.incarnation);
        if known.is_some_and(|peer| digest.sequence <= peer.sequence) {
            return DigestFreshness::Stale;
        }
        if digest.store_age_ms.is_some() || self.peers.is_empty() {
            self.watched_at = now;
        }
        let leaving_since = known.and_then(|peer| peer.leaving_since).unwrap_or(now);
        let freshness =
            if known.is_some() { DigestFreshness::Newer } else { DigestFreshness::NewIncarnation };
        let peer = Peer {
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            contact_at: now,
            revision: digest.revision,
            routes: digest.routes_version,
            reads_notices: digest.reads_notices,
            leaving_since: digest.is_leaving.then_some(leaving_since),
            store_age_ms: digest.store_age_ms,
            retries: digest.retries.clone(),
            failed_at: None,
        };
        self.peers.insert(from, peer);
        self.contacts.insert(from, now);
        // None if the store has never answered the peer.
        let store_contact = digest.store_age_ms.and_then(|ms| now.0.checked_sub(u64::from(ms)));
        if let Some(at) = store_contact {
            self.record_store_contact(MonoMs(at));
        }
        for listed in digest.peers.iter().filter(|it| it.ip != self.own) {
            let contact_at = MonoMs(now.0.saturating_sub(u64::from(listed.age_ms)));
            let known = self.reported.entry(listed.ip).or_insert(contact_at);
            *known = (*known).max(contact_at);
        }
        freshness
    }

    /// Removes peers whose retention time has passed, and returns all silent peers, whose counts
    /// are no longer valid.
    pub fn expire(&mut self, now: MonoMs) -> Vec<IpAddr> {
        let retention_ms =
            if self.hears_most(now) { Self::RETENTION_MS } else { Self::CUT_OFF_RETENTION_MS };
        self.contacts.retain(|_, at| now.ms_since(*at) <= retention_ms);
        let is_old = |at: MonoMs| now.ms_since(at) > Self::RETENTION_MS;
        self.reported.retain(|_, at| !is_old(*at));
        let silent: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.ms_since(peer.contact_at) > self.silent_ms())
            .map(|(ip, _)| *ip)
            .collect();
        self.peers.retain(|_, peer| !is_old(peer.contact_at));
        silent
    }

    /// Returns the addresses to send digests to: the seeds, the peers, and the addresses that peers
    /// have reported.
    pub fn targets(&self) -> Vec<IpAddr> {
        let known = self.seeds.iter().chain(self.peers.keys()).chain(self.reported.keys());
        let mut targets: Vec<_> = known.copied().filter(|ip| *ip != self.own).collect();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns all gateways that may be running, including this one, in order of their addresses.
    pub fn fleet(&self) -> Vec<IpAddr> {
        let mut fleet = self.targets();
        fleet.extend(self.contacts.keys().chain([&self.own]));
        fleet.sort_unstable();
        fleet.dedup();
        fleet
    }

    /// Returns a few peers to list in a digest; the random number `draw` selects the first of them.
    pub fn addresses(&self, draw: u64, now: MonoMs) -> Vec<PeerAddress> {
        let age = |at| u32::try_from(now.ms_since(at)).unwrap_or(u32::MAX);
        let start = draw.checked_rem(self.peers.len() as u64).unwrap_or(0) as usize;
        self.peers
            .iter()
            .cycle()
            .skip(start)
            .take(self.peers.len().min(Self::LISTED_PEERS))
            .map(|(ip, peer)| PeerAddress { ip: *ip, age_ms: age(peer.contact_at) })
            .filter(|it| u64::from(it.age_ms) < Self::RETENTION_MS)
            .collect()
    }

    /// Returns the interval between two digests, in milliseconds. It grows with the fleet, to limit
    /// the rate of digests that each gateway receives.
    pub fn interval_ms(&self, is_watching: bool) -> u64 {
        let peers = self.targets().len() as u64;
        let interval_ms = (peers * 1_000 / Self::MAX_RECEIVED_PER_S).max(Self::MIN_INTERVAL_MS);
        if is_watching { interval_ms.min(Self::WATCHER_INTERVAL_MS) } else { interval_ms }
    }

    /// Reports whether a gateway that has new records sends a digest at once, since a peer's build doesn't
    /// read notices. In a large fleet, only those that read them from the store do: every gateway hears
    /// these, and announcements by all to all would grow with the square of their number.
    pub fn announces_changes(&self, is_watching: bool, now: MonoMs) -> bool {
        let has_earlier_builds = self.live(now).any(|(_, peer)| !peer.reads_notices);
        has_earlier_builds && (is_watching || self.peers.len() <= Self::MAX_ECHO_PEERS)
    }

    /// Returns the gateways that are heard and read notices.
    pub fn notified(&self, now: MonoMs) -> impl Iterator<Item = NotifiedPeer> {
        let readers = self.live(now).filter(|(_, peer)| peer.reads_notices);
        let max_silent_ms = self.interval_ms(false) * Self::MAX_EXPECTED_DIGESTS;
        readers.map(move |(ip, peer)| {
            let is_doubtful = peer.is_doubtful(max_silent_ms, now);
            NotifiedPeer { ip: *ip, position: peer.revision, is_doubtful }
        })
    }

    /// Reports whether a gateway may have ended, is shutting down, or isn't known.
    pub fn is_doubtful(&self, ip: IpAddr, now: MonoMs) -> bool {
        let max_silent_ms = self.interval_ms(false) * Self::MAX_EXPECTED_DIGESTS;
        self.peers.get(&ip).is_none_or(|peer| peer.is_doubtful(max_silent_ms, now))
    }

    /// Returns the position up to which a peer is known to have every change.
    pub fn position(&self, ip: IpAddr) -> Option<u64> {
        self.peers.get(&ip).map(|peer| peer.revision)
    }

    /// Reports whether a peer's build reads notices of changes, and serves updates with patches.
    pub fn reads_notices(&self, ip: IpAddr) -> bool {
        self.peers.get(&ip).is_some_and(|peer| peer.reads_notices)
    }

    /// Records a peer's notice that it has every change up to `position`.
    pub fn record_notice(&mut self, from: IpAddr, position: u64, now: MonoMs) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.revision = peer.revision.max(position);
            peer.contact_at = peer.contact_at.max(now);
            peer.reads_notices = true;
        }
    }

    /// Returns the time without a digest after which a peer counts as silent, in milliseconds.
    fn silent_ms(&self) -> u64 {
        let known = self.peers.len() as u64;
        let interval_ms = known * 1_000 / Self::MAX_RECEIVED_PER_S;
        (interval_ms * Self::MAX_MISSED_DIGESTS).max(Self::SILENT_MS)
    }

    /// Returns the number of live gateways, including this one.
    pub fn gateways(&self, now: MonoMs) -> usize {
        1 + self.live(now).count()
    }

    /// Returns the addresses of the other gateways that are heard.
    pub fn heard(&self, now: MonoMs) -> impl Iterator<Item = IpAddr> + Clone {
        self.live(now).map(|(ip, _)| *ip)
    }

    /// Reports whether this gateway hears more than half of the fleet, itself included. Otherwise it
    /// is probably cut off.
    pub fn hears_most(&self, now: MonoMs) -> bool {
        2 * self.gateways(now) > 1 + self.contacts.len()
    }

    /// Returns the sums over the live peers for the retry limit of a service.
    pub fn retries(&self, service: &str, now: MonoMs) -> ServiceRetries {
        let of_service = self
            .live(now)
            .flat_map(|(_, peer)| peer.retries.iter())
            .filter(|(name, _)| &**name == service);
        of_service.fold(ServiceRetries::default(), |sum, (_, it)| ServiceRetries {
            fresh: sum.fresh + it.fresh,
            repeated: sum.repeated + it.repeated,
        })
    }

    /// Returns the highest of what the peers that are heard have of the records; none if none is heard.
    pub fn latest_records(&self, now: MonoMs) -> Option<RecordsVersion> {
        let latest = |a: RecordsVersion, b: RecordsVersion| RecordsVersion {
            position: a.position.max(b.position),
            routes: a.routes.max(b.routes),
        };
        let of_peer = |peer: &Peer| RecordsVersion { position: peer.revision, routes: peer.routes };
        self.live(now).map(|(_, peer)| of_peer(peer)).reduce(latest)
    }

    /// Returns a peer with the latest version of the routes, if that is later than the version in `own` though
    /// the peer's position isn't: it has kept routes that the store has lost. The random number `draw` chooses
    /// among several.
    pub fn ahead_in_routes(&self, own: RecordsVersion, draw: u64, now: MonoMs) -> Option<IpAddr> {
        let is_ahead = |peer: &Peer| {
            peer.routes > own.routes && peer.revision <= own.position && !peer.has_failed()
        };
        let ahead = self.live(now).filter(|(_, peer)| is_ahead(peer));
        let latest = ahead.clone().map(|(_, peer)| peer.routes).max()?;
        let ahead: Vec<_> = ahead.filter(|(_, peer)| peer.routes == latest).collect();
        let at = draw.checked_rem(ahead.len() as u64)?;
        ahead.get(usize::try_from(at).ok()?).map(|(ip, _)| **ip)
    }

    /// Reports whether a peer is known to have later records than `revision`.
    pub fn is_ahead_of(&self, revision: u64, now: MonoMs) -> bool {
        self.live(now).any(|(_, peer)| peer.is_ahead_of(revision))
    }

    /// Returns a peer whose revision is later than `revision`, unless it is excluded. The random number `draw`
    /// chooses among those that were heard last, since others may have ended: the more peers have a change,
    /// the more of them share the load of those that lack it.
    pub fn ahead_of(
        &self,
        revision: u64,
        draw: u64,
        is_excluded: impl Fn(&IpAddr) -> bool,
        now: MonoMs,
    ) -> Option<IpAddr> {
        let ahead = self.live(now).filter(|(_, peer)| peer.is_ahead_of(revision));
        let mut ahead: Vec<_> = ahead.filter(|(ip, _)| !is_excluded(ip)).collect();
        ahead.sort_by_key(|(_, peer)| std::cmp::Reverse(peer.contact_at));
        let last = ahead.first()?.1.contact_at;
        ahead.retain(|(_, peer)| last.ms_since(peer.contact_at) < Self::FETCH_SPREAD_MS);
        let at = draw.checked_rem(ahead.len() as u64)?;
        ahead.get(usize::try_from(at).ok()?).map(|(ip, _)| **ip)
    }

    /// Records that records couldn't be fetched from a peer. It isn't asked again until it is heard.
    pub fn record_fetch_failed(&mut self, ip: IpAddr, now: MonoMs) {
        if let Some(peer) = self.peers.get_mut(&ip) {
            peer.failed_at = Some(now);
        }
    }

    /// Reports whether this gateway should watch the platform's store; `is_watching` says whether it
    /// does now.
    ///
    /// The first few gateways in address order do; one that can't reach the store or is shutting down
    /// is replaced by the next. Handles most gateways of a large fleet that end at one moment: it takes
    /// seconds until all of them count as gone, among them those that are next in order. So while no
    /// watcher is heard, any gateway may begin, by the random number `draw`, and those that are first
    /// in order among the actual watchers go on. Handles neighbours that are cut off from the store
    /// together, too: if each were replaced by the next, one time-out after the other would pass.
    pub fn should_watch(&self, is_watching: bool, draw: u64, now: MonoMs) -> bool {
        let before = self.live(now).filter(|(ip, peer)| **ip < self.own && peer.may_watch());
        if is_watching {
            return before.filter(|(_, peer)| peer.is_watching(now)).count() < Self::WATCHERS;
        }
        if before.count() < Self::WATCHERS || self.is_stand_in(now) {
            return true;
        }
        let is_watched = now.ms_since(self.watched_at) <= Self::WATCHER_SILENT_MS;
        !is_watched && draw % (self.contacts.len() as u64).max(1) < Self::VOLUNTEERS
    }

    /// Reports whether this gateway is among those that take over if no watcher reaches the store.
    fn is_stand_in(&self, now: MonoMs) -> bool {
        let cut_off = self.live(now).filter(|(_, peer)| peer.is_cut_off_from_store()).count();
        let is_reached = self.live(now).any(|(_, peer)| peer.reaches_store());
        if is_reached || !(Self::WATCHERS..Self::MAX_CUT_OFF).contains(&cut_off) {
            return false;
        }
        let score = |ip| gateway_score(Self::STAND_IN_SUBJECT, GatewayKey::of(ip));
        let own = score(self.own);
        let others = self.live(now).filter(|(_, peer)| peer.may_watch());
        others.filter(|(ip, _)| score(**ip) < own).count() < Self::STAND_INS
    }

    /// Returns the milliseconds until a gateway may be available again if every gateway is shutting
    /// down, this one since `own_since`; none if another gateway stays. The platform restarts a
    /// process once its termination grace period, `grace_ms`, has passed.
    pub fn return_ms(&self, own_since: MonoMs, grace_ms: u64, now: MonoMs) -> Option<u64> {
        if self.live(now).any(|(_, peer)| peer.leaving_since.is_none()) {
            return None;
        }
        let first = self.peers.values().filter_map(|peer| peer.leaving_since).min();
        let restart = first.map_or(own_since, |since| since.min(own_since)).plus_ms(grace_ms);
        Some(restart.ms_since(now) + Self::STARTUP_MS)
    }

    /// Records that the store answered a gateway of the fleet at `at`.
    pub fn record_store_contact(&mut self, at: MonoMs) {
        let Some(last) = self.store_contact else {
            self.store_contact = Some(at);
            return;
        };
        if at.ms_since(last) > Self::STORE_LOST_MS {
            self.store_gap = Some(StoreGap { lost_since: last, reached_at: at });
        }
        self.store_contact = Some(last.max(at));
    }

    /// Returns the time of the last answer before which the store was lost to the whole fleet, or else of its
    /// last answer to any gateway; none if none is known. Handles gateways that notice the end of an
    /// outage a little later than others.
    pub fn store_lost_since(&self, now: MonoMs) -> Option<MonoMs> {
        let is_recent =
            |it: &StoreGap| now.ms_since(it.reached_at) <= StoreView::RECONNECT_GRACE_MS;
        self.store_gap.filter(is_recent).map(|it| it.lost_since).or(self.store_contact)
    }

    /// Reports whether a peer that watches the store can't reach it.
    pub fn is_store_lost(&self, now: MonoMs) -> bool {
        self.live(now).any(|(_, peer)| peer.is_cut_off_from_store())
    }

    fn live(&self, now: MonoMs) -> impl Iterator<Item = (&IpAddr, &Peer)> + Clone {
        let silent_ms = self.silent_ms();
        self.peers.iter().filter(move |(_, peer)| now.ms_since(peer.contact_at) <= silent_ms)
    }
}
