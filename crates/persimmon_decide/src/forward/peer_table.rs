//! The other gateways of the fleet.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

use super::{Digest, PeerAddress, ServiceRetries};
use crate::MonoMs;

/// What a digest is to its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestFreshness {
    /// It was overtaken by a later one.
    Stale,
    /// It is the latest of a known gateway.
    Newer,
    /// Its sender has just started, or wasn't known.
    NewIncarnation,
}

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    sequence: u64,
    heard_at: MonoMs,
    revision: u64,
    /// When its first digest of this life came that said that it is leaving.
    leaving_since: Option<MonoMs>,
    store_age_ms: Option<u32>,
    retries: Vec<(Arc<str>, ServiceRetries)>,
}

/// Finds the other gateways from a few seeds, and remembers their latest digests.
#[derive(Debug)]
pub struct PeerTable {
    own: IpAddr,
    seeds: Vec<IpAddr>,
    peers: BTreeMap<IpAddr, Peer>,
    /// Addresses that others told of, with the time at which they were last heard of.
    reported: BTreeMap<IpAddr, MonoMs>,
}

impl Peer {
    /// Whether the peer watches the store and said that it hasn't been answered for a while. One that
    /// doesn't watch is taken for able to.
    fn is_cut_off_from_store(&self) -> bool {
        self.store_age_ms.is_some_and(|age_ms| u64::from(age_ms) > PeerTable::STORE_LOST_MS)
    }
}

impl PeerTable {
    /// Gateways that watch the platform's store. The others learn of changes from them.
    const WATCHERS: usize = 2;
    /// Time without an answer after which a watcher doesn't reach the store, in milliseconds: a watch
    /// that returns after 600 ms, a slow answer and a digest's age fit in.
    const STORE_LOST_MS: u64 = 1_100;
    /// How long a silent peer's counts are used at least, in milliseconds: several digests, so that a
    /// lost datagram doesn't make its requests vanish.
    pub const SILENT_MS: u64 = 1_500;
    /// Digests of a peer that may be missing before it counts as silent.
    const MAX_MISSED_DIGESTS: u64 = 4;
    /// Time between two digests of a gateway with few peers, in milliseconds. Counts of requests are
    /// at most that old.
    const MIN_INTERVAL_MS: u64 = 100;
    /// Digests that a gateway receives in a second at most, which bounds the processor time of a
    /// large fleet.
    const MAX_RECEIVED_PER_S: u64 = 80;
    /// Other gateways named in one digest. A fleet of hundreds finds itself within seconds by that.
    const LISTED_PEERS: usize = 8;
    /// Time from a gateway's start until new connections reach it, in milliseconds: it reads the
    /// records within some tens, and the balancer asks every second whether it is ready.
    const STARTUP_MS: u64 = 1_500;
    /// How long a silent peer is still sent digests, in milliseconds. A restarted process is restart
    /// within seconds; a replaced one has another address.
    const RETENTION_MS: u64 = 30_000;

    /// A table that knows only its seeds.
    pub fn new(own: IpAddr, seeds: Vec<IpAddr>) -> Self {
        Self { own, seeds, peers: BTreeMap::new(), reported: BTreeMap::new() }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<IpAddr>) {
        self.seeds = seeds;
    }

    /// Takes in a digest.
    pub fn record_digest(&mut self, from: IpAddr, digest: &Digest, now: MonoMs) -> DigestFreshness {
        if from == self.own {
            return DigestFreshness::Stale;
        }
        let known = self.peers.get(&from).filter(|it| it.incarnation == digest.incarnation);
        if known.is_some_and(|peer| digest.sequence <= peer.sequence) {
            return DigestFreshness::Stale;
        }
        let leaving_since = known.and_then(|peer| peer.leaving_since).unwrap_or(now);
        let freshness =
            if known.is_some() { DigestFreshness::Newer } else { DigestFreshness::NewIncarnation };
        let peer = Peer {
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            heard_at: now,
            revision: digest.revision,
            leaving_since: digest.is_leaving.then_some(leaving_since),
            store_age_ms: digest.store_age_ms,
            retries: digest.retries.clone(),
        };
        self.peers.insert(from, peer);
        for listed in digest.peers.iter().filter(|it| it.ip != self.own) {
            let heard_at = MonoMs(now.0.saturating_sub(u64::from(listed.age_ms)));
            let known = self.reported.entry(listed.ip).or_insert(heard_at);
            *known = (*known).max(heard_at);
        }
        freshness
    }

    /// Forgets peers that have been silent for long; returns those whose counts no longer hold.
    pub fn expire(&mut self, now: MonoMs) -> Vec<IpAddr> {
        let is_old = |at: MonoMs| now.ms_since(at) > Self::RETENTION_MS;
        self.reported.retain(|_, at| !is_old(*at));
        let silent: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.ms_since(peer.heard_at) > self.silent_ms())
            .map(|(ip, _)| *ip)
            .collect();
        self.peers.retain(|_, peer| !is_old(peer.heard_at));
        silent
    }

    /// Where to send digests: seeds, peers and whom peers told of.
    pub fn targets(&self) -> Vec<IpAddr> {
        let known = self.seeds.iter().chain(self.peers.keys()).chain(self.reported.keys());
        let mut targets: Vec<_> = known.copied().filter(|ip| *ip != self.own).collect();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// A few peers to tell others of; `draw` chooses where the list starts.
    pub fn addresses(&self, draw: u64, now: MonoMs) -> Vec<PeerAddress> {
        let age = |at| u32::try_from(now.ms_since(at)).unwrap_or(u32::MAX);
        let start = draw.checked_rem(self.peers.len() as u64).unwrap_or(0) as usize;
        self.peers
            .iter()
            .cycle()
            .skip(start)
            .take(self.peers.len().min(Self::LISTED_PEERS))
            .map(|(ip, peer)| PeerAddress { ip: *ip, age_ms: age(peer.heard_at) })
            .filter(|it| u64::from(it.age_ms) < Self::RETENTION_MS)
            .collect()
    }

    /// Time between two digests, in milliseconds. It grows with the fleet, so that nobody receives
    /// too many.
    pub fn interval_ms(&self) -> u64 {
        let peers = self.targets().len() as u64;
        (peers * 1_000 / Self::MAX_RECEIVED_PER_S).max(Self::MIN_INTERVAL_MS)
    }

    /// Time without a digest after which a peer counts as gone, in milliseconds.
    fn silent_ms(&self) -> u64 {
        let known = self.peers.len() as u64;
        let interval_ms = known * 1_000 / Self::MAX_RECEIVED_PER_S;
        (interval_ms * Self::MAX_MISSED_DIGESTS).max(Self::SILENT_MS)
    }

    /// Gateways that live, with this one.
    pub fn gateways(&self, now: MonoMs) -> usize {
        1 + self.live(now).count()
    }

    /// Sums over the others for the retry bound of a service.
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

    /// A peer that knows a change after `revision`; `draw` chooses among several.
    pub fn ahead_of(&self, revision: u64, draw: u64, now: MonoMs) -> Option<IpAddr> {
        let ahead: Vec<_> = self
            .live(now)
            .filter(|(_, peer)| peer.revision > revision)
            .map(|(ip, _)| *ip)
            .collect();
        let at = draw.checked_rem(ahead.len() as u64)?;
        ahead.get(usize::try_from(at).ok()?).copied()
    }

    /// Whether this gateway watches the platform's store. The first few in the order of their
    /// addresses do; each that doesn't reach the store, or is leaving, is replaced by the next.
    pub fn should_watch(&self, now: MonoMs) -> bool {
        let stays = |peer: &Peer| peer.leaving_since.is_none() && !peer.is_cut_off_from_store();
        let before = self.live(now).filter(|(ip, peer)| **ip < self.own && stays(peer));
        before.count() < Self::WATCHERS
    }

    /// Milliseconds until a gateway may be restart, where every one is leaving, this one since
    /// `own_since`; none while another one stays. A process is started again once the time that the
    /// platform gives it to end, `grace_ms`, is over.
    pub fn return_ms(&self, own_since: MonoMs, grace_ms: u64, now: MonoMs) -> Option<u64> {
        if self.live(now).any(|(_, peer)| peer.leaving_since.is_none()) {
            return None;
        }
        let first = self.peers.values().filter_map(|peer| peer.leaving_since).min();
        let restart = first.map_or(own_since, |since| since.min(own_since)).plus_ms(grace_ms);
        Some(restart.ms_since(now) + Self::STARTUP_MS)
    }

    /// Whether a peer that watches the store doesn't reach it.
    pub fn is_store_lost(&self, now: MonoMs) -> bool {
        self.live(now).any(|(_, peer)| peer.is_cut_off_from_store())
    }

    fn live(&self, now: MonoMs) -> impl Iterator<Item = (&IpAddr, &Peer)> {
        let silent_ms = self.silent_ms();
        self.peers.iter().filter(move |(_, peer)| now.ms_since(peer.heard_at) <= silent_ms)
    }
}
