//! The requests that a new process sends to the platform and to peers before it is ready.

use std::collections::BTreeMap;

use persimmon_records::SetVersion;
use thiserror::Error;

use super::StartupSettings;
use crate::MonoMs;
use crate::membership::VmName;
use crate::recovery::scale;

/// The next request that a starting process sends.
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
    /// Neither the platform nor a peer has supplied a record set.
    #[error("no record set yet; check the platform's address and that its service is up")]
    NoRecords,
    /// A peer has a record set with a higher version than the one in force.
    #[error("a peer has a record set of a higher version, which is being fetched")]
    Fetching,
    /// The platform has neither answered nor failed.
    #[error("the platform hasn't answered yet")]
    PlatformPending,
    /// Too few peers have answered, and the wait for the others isn't over.
    #[error("too few peers have answered so far")]
    PeersPending,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Due(MonoMs),
    Sent(MonoMs),
    Answered(Option<SetVersion>),
    Failed,
}

impl RequestState {
    fn is_settled(self) -> bool {
        matches!(self, Self::Answered(_) | Self::Failed)
    }
}

/// Decides where a new process reads its first records and when it is ready.
///
/// A single read of the platform may be stale, so the process also asks several peers and adopts
/// the highest version among all answers. While the platform is down, the answers of peers are
/// sufficient. A process that gets no records is never ready and retries.
///
/// Call [`Self::next_step`] until it returns `None`, after each answer and on every tick.
#[derive(Debug)]
pub struct Startup {
    settings: StartupSettings,
    started_at: MonoMs,
    platform: RequestState,
    platform_failures: u32,
    platform_answered: bool,
    peers: BTreeMap<VmName, RequestState>,
    rounds: u32,
    in_force: Option<SetVersion>,
    refused: Option<SetVersion>,
    fetch: Option<Fetch>,
}

#[derive(Debug)]
struct Fetch {
    from: VmName,
    requested_at: MonoMs,
}

impl Startup {
    /// Maximum number of peers of a starting process.
    pub const MAX_PEERS: usize = 256;

    /// Creates the state of a process that starts now. `random` delays its first read of the
    /// platform, so that processes that start together don't read at once.
    pub fn new(settings: StartupSettings, now: MonoMs, random: u64) -> Self {
        let due = now.plus_ms(scale(random, settings.platform_spread_ms + 1));
        Self {
            settings,
            started_at: now,
            platform: RequestState::Due(due),
            platform_failures: 0,
            platform_answered: false,
            peers: BTreeMap::new(),
            rounds: 0,
            in_force: None,
            refused: None,
            fetch: None,
        }
    }

    /// Adds peers to ask. They come from the settings, the VM list or received digests.
    pub fn add_peers(&mut self, names: impl IntoIterator<Item = VmName>) {
        for name in names {
            if self.peers.len() >= Self::MAX_PEERS {
                return;
            }
            self.peers.entry(name).or_insert(RequestState::Due(self.started_at));
        }
    }

    /// Returns the next request to send now, if any. `random` selects the peer.
    pub fn next_step(&mut self, now: MonoMs, random: u64) -> Option<StartupStep> {
        self.expire(now, random);
        if let RequestState::Due(at) = self.platform
            && now >= at
        {
            self.platform = RequestState::Sent(now);
            return Some(StartupStep::AskPlatform);
        }
        self.next_fetch(now).or_else(|| self.next_peer(now, random))
    }

    /// Records that the platform answered. Offer its set to [`super::Adoption`] first.
    pub fn platform_answered(&mut self) {
        self.platform_answered = true;
        self.platform = RequestState::Answered(None);
    }

    /// Records that a read of the platform failed or was refused, and schedules the next one with
    /// a back-off drawn from `random`.
    pub fn platform_failed(&mut self, now: MonoMs, random: u64) {
        let delay_ms = self.settings.pacer.delay_ms(self.platform_failures, random);
        self.platform_failures += 1;
        self.platform = RequestState::Due(now.plus_ms(delay_ms));
    }

    /// Records the version that a peer has in force, if any.
    pub fn peer_answered(&mut self, peer: &VmName, version: Option<SetVersion>) {
        if let Some(request) = self.peers.get_mut(peer) {
            *request = RequestState::Answered(version);
        }
    }

    /// Records that a peer did not answer, or did not deliver its record set.
    pub fn peer_failed(&mut self, peer: &VmName) {
        if self.fetch.as_ref().is_some_and(|fetch| fetch.from == *peer) {
            self.fetch = None;
        }
        if let Some(request) = self.peers.get_mut(peer) {
            *request = RequestState::Failed;
        }
    }

    /// Records that a set came into force.
    pub fn adopted(&mut self, version: SetVersion) {
        self.fetch = None;
        self.in_force = self.in_force.max(Some(version));
    }

    /// Records that a fetched set was refused as faulty, so that start-up no longer waits for it.
    pub fn refused(&mut self, version: SetVersion) {
        self.fetch = None;
        self.refused = self.refused.max(Some(version));
    }

    /// Checks whether the process may serve.
    ///
    /// # Errors
    ///
    /// Returns what the process still waits for.
    pub fn check_ready(&self, now: MonoMs) -> Result<(), NotReady> {
        if self.in_force.is_none() {
            return Err(NotReady::NoRecords);
        }
        if self.highest_missing().is_some() {
            return Err(NotReady::Fetching);
        }
        if !self.platform_answered && self.platform_failures == 0 {
            return Err(NotReady::PlatformPending);
        }
        if self.is_peer_wait_over(now) { Ok(()) } else { Err(NotReady::PeersPending) }
    }

    /// Reports whether the wait for peers is over. Waits even if no peer is known yet, because the
    /// VM list may arrive after the records.
    fn is_peer_wait_over(&self, now: MonoMs) -> bool {
        let answered = self
            .peers
            .values()
            .filter(|request| matches!(request, RequestState::Answered(_)))
            .count();
        if answered >= self.settings.required_peers {
            return true;
        }
        if !self.peers.values().all(|request| request.is_settled()) && self.rounds == 0 {
            return false;
        }
        answered > 0 || now.ms_since(self.started_at) >= self.settings.no_peer_timeout_ms
    }

    /// Returns the highest version that a peer has and this process lacks, with the peer.
    fn highest_missing(&self) -> Option<(&VmName, SetVersion)> {
        let answered = self.peers.iter().filter_map(|(name, request)| match request {
            RequestState::Answered(Some(version)) => Some((name, *version)),
            _ => None,
        });
        answered
            .filter(|(_, version)| Some(*version) > self.in_force)
            .filter(|(_, version)| Some(*version) > self.refused)
            .max_by_key(|(_, version)| *version)
    }

    fn next_fetch(&mut self, now: MonoMs) -> Option<StartupStep> {
        if self.fetch.is_some() {
            return None;
        }
        let (from, version) = self.highest_missing()?;
        let from = from.clone();
        self.fetch = Some(Fetch { from: from.clone(), requested_at: now });
        Some(StartupStep::Fetch { from, version })
    }

    fn next_peer(&mut self, now: MonoMs, random: u64) -> Option<StartupStep> {
        let is_sent_or_answered = |request: &&RequestState| {
            matches!(request, RequestState::Sent(_) | RequestState::Answered(_))
        };
        if self.peers.values().filter(is_sent_or_answered).count() >= self.settings.required_peers {
            return None;
        }
        let is_due =
            |request: &RequestState| matches!(request, RequestState::Due(at) if now >= *at);
        let due: Vec<_> = self.peers.iter().filter(|(_, request)| is_due(request)).collect();
        let (name, _) = due.get(scale(random, due.len() as u64) as usize)?;
        let name = (*name).clone();
        self.peers.insert(name.clone(), RequestState::Sent(now));
        Some(StartupStep::AskPeer(name))
    }

    fn expire(&mut self, now: MonoMs, random: u64) {
        let peer_timeout_ms = self.settings.peer_timeout_ms;
        for request in self.peers.values_mut() {
            if matches!(*request, RequestState::Sent(at) if now.ms_since(at) >= peer_timeout_ms) {
                *request = RequestState::Failed;
            }
        }
        if let RequestState::Sent(at) = self.platform
            && now.ms_since(at) >= self.settings.platform_timeout_ms
        {
            self.platform_failed(now, random);
        }
        let fetch_timeout_ms = self.settings.platform_timeout_ms;
        let timed_out =
            self.fetch.as_ref().filter(|f| now.ms_since(f.requested_at) >= fetch_timeout_ms);
        if let Some(from) = timed_out.map(|fetch| fetch.from.clone()) {
            self.peer_failed(&from);
        }
        self.start_round_when_all_failed(now, random);
    }

    fn start_round_when_all_failed(&mut self, now: MonoMs, random: u64) {
        if self.peers.is_empty()
            || !self.peers.values().all(|request| *request == RequestState::Failed)
        {
            return;
        }
        let delay_ms = self.settings.pacer.delay_ms(self.rounds, random);
        self.rounds += 1;
        let due = RequestState::Due(now.plus_ms(delay_ms));
        self.peers.values_mut().for_each(|request| *request = due);
    }
}
