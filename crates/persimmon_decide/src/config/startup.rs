//! What a new process asks before it is ready.

use std::collections::BTreeMap;

use persimmon_records::SetVersion;
use thiserror::Error;

use super::StartupSettings;
use crate::MonoMs;
use crate::membership::VmName;
use crate::recovery::scale;

/// One thing for a starting process to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartupStep {
    /// Read the records and the VM list from the platform.
    AskPlatform,
    /// Ask a peer which version it has in force.
    AskPeer(VmName),
    /// Fetch the set of this version from a peer that has it.
    Fetch {
        /// The peer.
        from: VmName,
        /// The version to fetch.
        version: SetVersion,
    },
}

/// Why a process isn't ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NotReady {
    /// Nobody has given it a record set.
    #[error("no record set yet; check the platform's address and that its service is up")]
    NoRecords,
    /// Somebody has a higher record set than the one in force.
    #[error("a peer has a higher record set, which is being fetched")]
    Fetching,
    /// The platform has neither answered nor failed.
    #[error("the platform hasn't answered yet")]
    PlatformPending,
    /// Too few peers have answered or failed.
    #[error("too few peers have answered yet")]
    PeersPending,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ask {
    Due(MonoMs),
    Asked(MonoMs),
    Answered(Option<SetVersion>),
    Failed,
}

impl Ask {
    fn is_settled(self) -> bool {
        matches!(self, Self::Answered(_) | Self::Failed)
    }
}

/// Decides whom a new process asks for its first records and when it has asked enough.
///
/// A single read of the platform may be stale, so the process also asks several peers and takes
/// the highest version that anybody knows. While the platform is down peers suffice; a process to
/// which nobody gives records is never ready and keeps asking.
///
/// Drive it by calling [`Self::next_step`] until it returns nothing, again after each answer and on
/// every tick.
#[derive(Debug)]
pub struct Startup {
    settings: StartupSettings,
    started_at: MonoMs,
    platform: Ask,
    platform_failures: u32,
    platform_answered: bool,
    peers: BTreeMap<VmName, Ask>,
    rounds: u32,
    in_force: Option<SetVersion>,
    refused: Option<SetVersion>,
    fetch: Option<Fetch>,
}

#[derive(Debug)]
struct Fetch {
    from: VmName,
    asked_at: MonoMs,
}

impl Startup {
    /// Peers that a starting process remembers.
    pub const MAX_PEERS: usize = 256;

    /// A process that starts now. `random` spreads its first platform read.
    pub fn new(settings: StartupSettings, now: MonoMs, random: u64) -> Self {
        let due = now.plus_ms(scale(random, settings.platform_spread_ms + 1));
        Self {
            settings,
            started_at: now,
            platform: Ask::Due(due),
            platform_failures: 0,
            platform_answered: false,
            peers: BTreeMap::new(),
            rounds: 0,
            in_force: None,
            refused: None,
            fetch: None,
        }
    }

    /// Adds peers to ask: from the settings, the VM list, or because one of them spoke first.
    pub fn add_peers(&mut self, names: impl IntoIterator<Item = VmName>) {
        for name in names {
            if self.peers.len() >= Self::MAX_PEERS {
                return;
            }
            self.peers.entry(name).or_insert(Ask::Due(self.started_at));
        }
    }

    /// The next thing to do now, if any. `random` chooses among peers.
    pub fn next_step(&mut self, now: MonoMs, random: u64) -> Option<StartupStep> {
        self.expire(now, random);
        if let Ask::Due(at) = self.platform
            && now >= at
        {
            self.platform = Ask::Asked(now);
            return Some(StartupStep::AskPlatform);
        }
        self.next_fetch(now).or_else(|| self.next_peer(now, random))
    }

    /// The platform answered. Offer its set to [`super::Adoption`] first.
    pub fn platform_answered(&mut self) {
        self.platform_answered = true;
        self.platform = Ask::Answered(None);
    }

    /// The platform failed or refused; it is asked again after a delay drawn from `random`.
    pub fn platform_failed(&mut self, now: MonoMs, random: u64) {
        let delay_ms = self.settings.pacer.delay_ms(self.platform_failures, random);
        self.platform_failures += 1;
        self.platform = Ask::Due(now.plus_ms(delay_ms));
    }

    /// A peer told which version it has in force, if any.
    pub fn peer_answered(&mut self, peer: &VmName, version: Option<SetVersion>) {
        if let Some(ask) = self.peers.get_mut(peer) {
            *ask = Ask::Answered(version);
        }
    }

    /// A peer failed to answer or to give the set that it has.
    pub fn peer_failed(&mut self, peer: &VmName) {
        if self.fetch.as_ref().is_some_and(|fetch| fetch.from == *peer) {
            self.fetch = None;
        }
        if let Some(ask) = self.peers.get_mut(peer) {
            *ask = Ask::Failed;
        }
    }

    /// A set came into force.
    pub fn adopted(&mut self, version: SetVersion) {
        self.fetch = None;
        self.in_force = self.in_force.max(Some(version));
    }

    /// A set was fetched and refused as faulty, so it isn't waited for.
    pub fn refused(&mut self, version: SetVersion) {
        self.fetch = None;
        self.refused = self.refused.max(Some(version));
    }

    /// Whether the process may serve.
    ///
    /// # Errors
    ///
    /// What it still waits for.
    pub fn check_ready(&self, now: MonoMs) -> Result<(), NotReady> {
        if self.in_force.is_none() {
            return Err(NotReady::NoRecords);
        }
        if self.missing().is_some() {
            return Err(NotReady::Fetching);
        }
        if !self.platform_answered && self.platform_failures == 0 {
            return Err(NotReady::PlatformPending);
        }
        if self.has_heard_enough_peers(now) { Ok(()) } else { Err(NotReady::PeersPending) }
    }

    /// Peers are waited for also while none is known: the VM list may come later than the records.
    fn has_heard_enough_peers(&self, now: MonoMs) -> bool {
        let answered = self.peers.values().filter(|ask| matches!(ask, Ask::Answered(_))).count();
        if answered >= self.settings.peers_wanted {
            return true;
        }
        if !self.peers.values().all(|ask| ask.is_settled()) && self.rounds == 0 {
            return false;
        }
        answered > 0 || now.ms_since(self.started_at) >= self.settings.alone_ms
    }

    /// The highest version that a peer has and this process lacks, with the peer.
    fn missing(&self) -> Option<(&VmName, SetVersion)> {
        let known = self.peers.iter().filter_map(|(name, ask)| match ask {
            Ask::Answered(Some(version)) => Some((name, *version)),
            _ => None,
        });
        known
            .filter(|(_, version)| Some(*version) > self.in_force)
            .filter(|(_, version)| Some(*version) > self.refused)
            .max_by_key(|(_, version)| *version)
    }

    fn next_fetch(&mut self, now: MonoMs) -> Option<StartupStep> {
        if self.fetch.is_some() {
            return None;
        }
        let (from, version) = self.missing()?;
        let from = from.clone();
        self.fetch = Some(Fetch { from: from.clone(), asked_at: now });
        Some(StartupStep::Fetch { from, version })
    }

    fn next_peer(&mut self, now: MonoMs, random: u64) -> Option<StartupStep> {
        let is_open = |ask: &&Ask| matches!(ask, Ask::Asked(_) | Ask::Answered(_));
        if self.peers.values().filter(is_open).count() >= self.settings.peers_wanted {
            return None;
        }
        let is_due = |ask: &Ask| matches!(ask, Ask::Due(at) if now >= *at);
        let due: Vec<_> = self.peers.iter().filter(|(_, ask)| is_due(ask)).collect();
        let (name, _) = due.get(scale(random, due.len() as u64) as usize)?;
        let name = (*name).clone();
        self.peers.insert(name.clone(), Ask::Asked(now));
        Some(StartupStep::AskPeer(name))
    }

    fn expire(&mut self, now: MonoMs, random: u64) {
        let peer_timeout_ms = self.settings.peer_timeout_ms;
        for ask in self.peers.values_mut() {
            if matches!(*ask, Ask::Asked(at) if now.ms_since(at) >= peer_timeout_ms) {
                *ask = Ask::Failed;
            }
        }
        if let Ask::Asked(at) = self.platform
            && now.ms_since(at) >= self.settings.platform_timeout_ms
        {
            self.platform_failed(now, random);
        }
        let fetch_timeout_ms = self.settings.platform_timeout_ms;
        let late = self.fetch.as_ref().filter(|f| now.ms_since(f.asked_at) >= fetch_timeout_ms);
        if let Some(from) = late.map(|fetch| fetch.from.clone()) {
            self.peer_failed(&from);
        }
        self.start_round_when_all_failed(now, random);
    }

    fn start_round_when_all_failed(&mut self, now: MonoMs, random: u64) {
        if self.peers.is_empty() || !self.peers.values().all(|ask| *ask == Ask::Failed) {
            return;
        }
        let delay_ms = self.settings.pacer.delay_ms(self.rounds, random);
        self.rounds += 1;
        let due = Ask::Due(now.plus_ms(delay_ms));
        self.peers.values_mut().for_each(|ask| *ask = due);
    }
}
