//! Detection of requests that crash the endpoints that run them.

use std::collections::{HashMap, HashSet};

use crate::load::EndpointHash;
use crate::{Fingerprint, MonoMs};

#[derive(Debug, Clone)]
struct Crashes {
    endpoints: Vec<EndpointHash>,
    expires_at: MonoMs,
}

/// Fingerprints of content with a recent complete answer, in two generations. When a new generation
/// starts, the older one is dropped.
#[derive(Debug, Default)]
struct AnsweredContent {
    newer: HashSet<u64>,
    older: HashSet<u64>,
    rotated_at: MonoMs,
}

impl AnsweredContent {
    /// Length of a generation, in milliseconds. Frequently requested content is answered again
    /// within it, and content that starts to cause crashes remains in the set for at most two
    /// generations.
    const GENERATION_MS: u64 = 30_000;
    /// Maximum number of fingerprints in a generation; two generations use about 150 KB.
    const MAX_FINGERPRINTS: usize = 4_096;

    fn record(&mut self, fingerprint: u64, now: MonoMs) {
        self.rotate(now);
        if self.newer.len() < Self::MAX_FINGERPRINTS {
            self.newer.insert(fingerprint);
        }
    }

    fn rotate(&mut self, now: MonoMs) {
        let age_ms = now.ms_since(self.rotated_at);
        if age_ms < Self::GENERATION_MS {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age_ms >= 2 * Self::GENERATION_MS {
            self.older.clear();
        }
        self.rotated_at = now;
    }

    fn contains(&self, fingerprint: u64, now: MonoMs) -> bool {
        let age_ms = now.ms_since(self.rotated_at);
        let is_newer = age_ms < 2 * Self::GENERATION_MS && self.newer.contains(&fingerprint);
        is_newer || (age_ms < Self::GENERATION_MS && self.older.contains(&fingerprint))
    }
}

/// A request that an endpoint didn't answer, as far as the gateway can tell.
#[derive(Debug, Clone, Copy)]
struct UnansweredRequest {
    fingerprint: u64,
    at: MonoMs,
    /// Whether its answer ended in order, but in a way that a crash can look like.
    looks_answered: bool,
}

/// Detects content that crashes several endpoints, and refuses it from then on.
///
/// An answer that breaks off or stays away isn't a crash, since answers are also lost for other
/// reasons. It counts as one if the endpoint has ended: it refuses connections shortly afterwards,
/// another process answers at its address, or the platform removes or replaces its record. This
/// holds on every route, before and after the head of an answer. Gateways exchange the recorded
/// crashes, so that a caller that retries at another gateway is refused there too.
///
/// Content that many callers request at the same time is usually in progress at an endpoint that
/// crashes for another reason. A complete answer therefore clears the crashes of its content, and
/// for a while after one it takes more crashes to refuse the content; those of endpoints that other,
/// never answered content crashed don't count.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Recorded crashes, by fingerprint of the content.
    crashes: HashMap<u64, Crashes>,
    answered: AnsweredContent,
    /// Fingerprints of requests in progress, by endpoint.
    running: HashMap<EndpointHash, Vec<u64>>,
    /// Recent requests without an answer, by endpoint.
    unanswered: HashMap<EndpointHash, Vec<UnansweredRequest>>,
    /// Endpoints that have ended, with the time.
    ended: HashMap<EndpointHash, MonoMs>,
    /// Content refused since the last call of [`Self::take_newly_refused`].
    newly_refused: Vec<Fingerprint>,
}

impl CrashTracker {
    /// Number of crashed endpoints at which the tracker refuses content.
    const MAX_CRASHES: usize = 2;
    /// Number of crashed endpoints at which the tracker refuses content with a recent complete
    /// answer, if no other such answer follows. It is larger than the number of endpoints that
    /// crash at once for other reasons, but still limits the damage.
    const MAX_CRASHES_ANSWERED: usize = 4;
    /// Time after a broken connection in which an endpoint that refuses connections counts as
    /// crashed by the request, in milliseconds. A crashed process refuses connections immediately
    /// and doesn't restart for several seconds.
    const REFUSAL_WINDOW_MS: u64 = 1_000;
    /// Time between a missing answer and the platform's word that the endpoint has ended, in either
    /// order, in which it counts as crashed by the request, in milliseconds. The platform removes
    /// an endpoint's record after a few missed heartbeats.
    const END_WINDOW_MS: u64 = 10_000;
    /// Time after which an answer that only looks complete counts as complete if its endpoint hasn't
    /// ended, in milliseconds.
    const CONFIRM_MS: u64 = 5_000;
    /// Time for which crashes are stored, in milliseconds. Callers repeat a request that
    /// crashed an endpoint within minutes.
    const CRASH_TTL_MS: u64 = 300_000;
    /// Age up to which crashes go first in digests, in milliseconds: all gateways receive several
    /// digests within it.
    const RECENT_MS: u64 = 10_000;
    /// Maximum number of crashed endpoints stored for one fingerprint.
    const MAX_STORED: usize = 16;
    /// Maximum number of fingerprints with recorded crashes.
    const MAX_TRACKED: usize = 512;
    /// Maximum number of stored requests without an answer of one endpoint.
    const MAX_UNANSWERED: usize = 256;

    /// Creates a tracker without crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that content with this fingerprint was sent to an endpoint.
    pub fn begin(&mut self, fingerprint: Fingerprint, endpoint: EndpointHash) {
        self.running.entry(endpoint).or_default().push(fingerprint.0);
    }

    /// Records that the gateway no longer waits for an answer to content with this fingerprint.
    /// `is_silent` says whether the endpoint had stopped sending data.
    pub fn end(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: EndpointHash,
        is_silent: bool,
        now: MonoMs,
    ) {
        if let Some(running) = self.running.get_mut(&endpoint) {
            if let Some(index) = running.iter().position(|it| *it == fingerprint.0) {
                running.swap_remove(index);
            }
            if running.is_empty() {
                self.running.remove(&endpoint);
            }
        }
        if is_silent {
            self.record_unanswered(fingerprint, endpoint, now);
        }
    }

    /// Records a complete answer to the content with this fingerprint, which shows that the content
    /// alone doesn't crash an endpoint.
    pub fn record_answered(&mut self, fingerprint: Fingerprint, now: MonoMs) {
        self.crashes.remove(&fingerprint.0);
        self.answered.record(fingerprint.0, now);
    }

    /// Records an answer that ended with its connection, and would have looked the same if the
    /// endpoint had crashed. It counts as complete once the endpoint has outlived it.
    pub fn record_closed(&mut self, fingerprint: Fingerprint, endpoint: EndpointHash, now: MonoMs) {
        self.push_unanswered(fingerprint, endpoint, true, now);
    }

    /// Records that an endpoint's answer to content with this fingerprint broke off or stayed away.
    /// Returns whether the content is blamed for the endpoint's end; the caller must then notify the
    /// other gateways immediately.
    pub fn record_unanswered(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: EndpointHash,
        now: MonoMs,
    ) -> bool {
        let ended = self.ended.get(&endpoint);
        if ended.is_some_and(|at| now.ms_since(*at) <= Self::END_WINDOW_MS) {
            self.record_crash(fingerprint.0, endpoint, now);
            return true;
        }
        self.push_unanswered(fingerprint, endpoint, false, now);
        false
    }

    fn push_unanswered(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: EndpointHash,
        looks_answered: bool,
        now: MonoMs,
    ) {
        let requests = self.unanswered.entry(endpoint).or_default();
        requests.retain(|it| now.ms_since(it.at) <= Self::END_WINDOW_MS);
        requests.retain(|it| it.fingerprint != fingerprint.0);
        if requests.len() >= Self::MAX_UNANSWERED {
            requests.remove(0);
        }
        let fingerprint = fingerprint.0;
        requests.push(UnansweredRequest { fingerprint, at: now, looks_answered });
    }

    /// Records that an endpoint refuses connections, and blames the requests that it left without
    /// an answer just before. Returns whether any content is blamed; the caller must then notify
    /// the other gateways immediately.
    pub fn record_refused(&mut self, endpoint: EndpointHash, now: MonoMs) -> bool {
        self.blame_unanswered(endpoint, Self::REFUSAL_WINDOW_MS, now)
    }

    /// Records that an endpoint has ended without having said that it leaves: another process
    /// answers at its address, or the platform has removed or replaced its record. Blames the
    /// requests that it left without an answer, and if it `is_silent`, those that still wait for
    /// one. Returns whether any content is blamed, as [`Self::record_refused`] does.
    pub fn record_ended(&mut self, endpoint: EndpointHash, is_silent: bool, now: MonoMs) -> bool {
        self.ended.insert(endpoint, now);
        let mut is_blamed = self.blame_unanswered(endpoint, Self::END_WINDOW_MS, now);
        if is_silent {
            for fingerprint in self.running.get(&endpoint).cloned().unwrap_or_default() {
                self.record_crash(fingerprint, endpoint, now);
                is_blamed = true;
            }
        }
        is_blamed
    }

    /// Blames the requests that an endpoint left without an answer within `window_ms`.
    fn blame_unanswered(&mut self, endpoint: EndpointHash, window_ms: u64, now: MonoMs) -> bool {
        let Some(requests) = self.unanswered.remove(&endpoint) else { return false };
        let (blamed, kept): (Vec<_>, Vec<_>) =
            requests.into_iter().partition(|it| now.ms_since(it.at) <= window_ms);
        if !kept.is_empty() {
            self.unanswered.insert(endpoint, kept);
        }
        for request in &blamed {
            self.record_crash(request.fingerprint, endpoint, now);
        }
        !blamed.is_empty()
    }

    /// Accepts the answers whose endpoints have outlived them, and removes old entries.
    pub fn expire(&mut self, now: MonoMs) {
        let mut answered = Vec::new();
        for requests in self.unanswered.values_mut() {
            requests.retain(|it| {
                let age_ms = now.ms_since(it.at);
                let is_answered = it.looks_answered && age_ms > Self::CONFIRM_MS;
                if is_answered {
                    answered.push(Fingerprint(it.fingerprint));
                }
                !is_answered && age_ms <= Self::END_WINDOW_MS
            });
        }
        self.unanswered.retain(|_, requests| !requests.is_empty());
        self.ended.retain(|_, at| now.ms_since(*at) <= Self::END_WINDOW_MS);
        for fingerprint in answered {
            self.record_answered(fingerprint, now);
        }
    }

    /// Records a crash reported by a peer.
    pub fn record_peer_crash(&mut self, fingerprint: u64, endpoint: EndpointHash, now: MonoMs) {
        self.record_crash(fingerprint, endpoint, now);
    }

    /// Reports whether content with this fingerprint is refused.
    pub fn refuses(&self, fingerprint: Fingerprint, now: MonoMs) -> bool {
        let Some(crashes) = self.crashes.get(&fingerprint.0) else { return false };
        if !self.answered.contains(fingerprint.0, now) {
            return Self::suffices(crashes, now);
        }
        let max_crashes = Self::MAX_CRASHES_ANSWERED;
        if crashes.expires_at <= now || crashes.endpoints.len() < max_crashes {
            return false;
        }
        let explained = self.explained(now);
        crashes.endpoints.iter().filter(|it| !explained.contains(it)).count() >= max_crashes
    }

    /// Reports whether these crashes suffice to refuse content without a recent complete answer.
    fn suffices(crashes: &Crashes, now: MonoMs) -> bool {
        crashes.expires_at > now && crashes.endpoints.len() >= Self::MAX_CRASHES
    }

    /// Returns the endpoints that crashed while they ran refused content without a complete answer.
    /// Content with such answers that was in progress there isn't blamed.
    fn explained(&self, now: MonoMs) -> HashSet<EndpointHash> {
        let is_cause = |fingerprint: u64, crashes: &Crashes| {
            Self::suffices(crashes, now) && !self.answered.contains(fingerprint, now)
        };
        let causes = self.crashes.iter().filter(|(it, crashes)| is_cause(**it, crashes));
        causes.flat_map(|(_, crashes)| crashes.endpoints.iter().copied()).collect()
    }

    /// Returns the fingerprints of all refused content.
    pub fn refused(&self, now: MonoMs) -> impl Iterator<Item = u64> {
        let fingerprints = self.crashes.keys().copied();
        fingerprints.filter(move |fingerprint| self.refuses(Fingerprint(*fingerprint), now))
    }

    /// Returns the content that is refused since the last call, for the log.
    pub fn take_newly_refused(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.newly_refused)
    }

    /// Returns the crashes that the other gateways need first, for the digest: among the recent ones
    /// those of the content with most of them, then the newest. An endpoint that crashes under many
    /// requests thus doesn't crowd out the one request that crashed the others too.
    pub fn most_urgent(&self, count: usize, now: MonoMs) -> Vec<(u64, EndpointHash)> {
        let mut live: Vec<_> =
            self.crashes.iter().filter(|(_, crashes)| crashes.expires_at > now).collect();
        live.sort_by_key(|(fingerprint, crashes)| {
            let age_ms = Self::CRASH_TTL_MS - crashes.expires_at.ms_since(now);
            let recent = if age_ms <= Self::RECENT_MS { crashes.endpoints.len() } else { 0 };
            (std::cmp::Reverse((recent, crashes.expires_at)), **fingerprint)
        });
        let pairs = live.into_iter().flat_map(|(fingerprint, crashes)| {
            crashes.endpoints.iter().map(|it| (*fingerprint, *it))
        });
        pairs.take(count).collect()
    }

    fn record_crash(&mut self, fingerprint: u64, endpoint: EndpointHash, now: MonoMs) {
        if self.crashes.len() >= Self::MAX_TRACKED && !self.crashes.contains_key(&fingerprint) {
            self.crashes.retain(|_, crashes| crashes.expires_at > now);
            if self.crashes.len() >= Self::MAX_TRACKED {
                return;
            }
        }
        let was_refused = self.refuses(Fingerprint(fingerprint), now);
        let expires_at = now.plus_ms(Self::CRASH_TTL_MS);
        let crashes = self
            .crashes
            .entry(fingerprint)
            .or_insert(Crashes { endpoints: Vec::new(), expires_at });
        if crashes.endpoints.contains(&endpoint) || crashes.endpoints.len() >= Self::MAX_STORED {
            return;
        }
        crashes.endpoints.push(endpoint);
        crashes.expires_at = expires_at;
        if !was_refused && self.refuses(Fingerprint(fingerprint), now) {
            self.newly_refused.push(Fingerprint(fingerprint));
        }
    }
}
