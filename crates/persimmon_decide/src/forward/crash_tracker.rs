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

/// Detects content that crashes several endpoints, and refuses it from then on.
///
/// A broken connection alone isn't a crash, since answers are also lost for other reasons. It
/// counts as a crash if the endpoint is unreachable shortly afterwards. Gateways exchange the
/// recorded crashes, so that a caller that retries at another gateway is refused there too.
///
/// Content that many callers request at the same time is usually in progress at an endpoint that
/// crashes for another reason. A complete answer therefore clears the crashes of its content, and
/// for a while after one it takes more crashes to refuse the content.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Recorded crashes, by fingerprint of the content.
    crashes: HashMap<u64, Crashes>,
    answered: AnsweredContent,
    /// Fingerprints of requests whose connection broke recently, with the time, by endpoint.
    broken: HashMap<EndpointHash, Vec<(u64, MonoMs)>>,
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
    /// Time after a broken connection in which an unreachable endpoint counts as crashed by the
    /// request, in milliseconds. A crashed process refuses connections immediately and doesn't
    /// restart for several seconds.
    const BLAME_WINDOW_MS: u64 = 1_000;
    /// Time for which crashes are stored, in milliseconds. Callers repeat a request that
    /// crashed an endpoint within minutes.
    const CRASH_TTL_MS: u64 = 300_000;
    /// Maximum number of fingerprints with recorded crashes.
    const MAX_TRACKED: usize = 512;

    /// Creates a tracker without crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a complete answer to the content with this fingerprint, which shows that the content
    /// alone doesn't crash an endpoint.
    pub fn record_answered(&mut self, fingerprint: Fingerprint, now: MonoMs) {
        self.crashes.remove(&fingerprint.0);
        self.answered.record(fingerprint.0, now);
    }

    /// Records that the connection to an endpoint broke while the endpoint was processing content
    /// with this fingerprint.
    pub fn record_broken(&mut self, fingerprint: Fingerprint, endpoint: EndpointHash, now: MonoMs) {
        let broken = self.broken.entry(endpoint).or_default();
        broken.retain(|(_, at)| now.ms_since(*at) <= Self::BLAME_WINDOW_MS);
        broken.push((fingerprint.0, now));
    }

    /// Records that an endpoint refuses connections, and blames the requests whose connections to
    /// it broke just before. Returns whether any content is blamed; the caller must then notify
    /// the other gateways immediately.
    pub fn record_refused(&mut self, endpoint: EndpointHash, now: MonoMs) -> bool {
        let mut is_blamed = false;
        for (fingerprint, at) in self.broken.remove(&endpoint).unwrap_or_default() {
            if now.ms_since(at) <= Self::BLAME_WINDOW_MS {
                self.record_crash(fingerprint, endpoint, now);
                is_blamed = true;
            }
        }
        is_blamed
    }

    /// Records a crash reported by a peer.
    pub fn record_peer_crash(&mut self, fingerprint: u64, endpoint: EndpointHash, now: MonoMs) {
        self.record_crash(fingerprint, endpoint, now);
    }

    /// Reports whether content with this fingerprint is refused.
    pub fn refuses(&self, fingerprint: Fingerprint, now: MonoMs) -> bool {
        let crashes = self.crashes.get(&fingerprint.0).filter(|crashes| crashes.expires_at > now);
        crashes
            .is_some_and(|crashes| crashes.endpoints.len() >= self.max_crashes(fingerprint.0, now))
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

    /// Returns the most recent crashes, for the digest.
    pub fn newest(&self, count: usize, now: MonoMs) -> Vec<(u64, EndpointHash)> {
        let mut live: Vec<_> =
            self.crashes.iter().filter(|(_, crashes)| crashes.expires_at > now).collect();
        live.sort_by_key(|(fingerprint, crashes)| {
            (std::cmp::Reverse(crashes.expires_at), **fingerprint)
        });
        let pairs = live.into_iter().flat_map(|(fingerprint, crashes)| {
            crashes.endpoints.iter().map(|it| (*fingerprint, *it))
        });
        pairs.take(count).collect()
    }

    /// Returns the number of crashed endpoints at which the tracker refuses the content.
    fn max_crashes(&self, fingerprint: u64, now: MonoMs) -> usize {
        match self.answered.contains(fingerprint, now) {
            true => Self::MAX_CRASHES_ANSWERED,
            false => Self::MAX_CRASHES,
        }
    }

    fn record_crash(&mut self, fingerprint: u64, endpoint: EndpointHash, now: MonoMs) {
        if self.crashes.len() >= Self::MAX_TRACKED && !self.crashes.contains_key(&fingerprint) {
            self.crashes.retain(|_, crashes| crashes.expires_at > now);
            if self.crashes.len() >= Self::MAX_TRACKED {
                return;
            }
        }
        let expires_at = now.plus_ms(Self::CRASH_TTL_MS);
        let max_crashes = self.max_crashes(fingerprint, now);
        let crashes = self
            .crashes
            .entry(fingerprint)
            .or_insert(Crashes { endpoints: Vec::new(), expires_at });
        if !crashes.endpoints.contains(&endpoint) && crashes.endpoints.len() < max_crashes {
            crashes.endpoints.push(endpoint);
            crashes.expires_at = expires_at;
            if crashes.endpoints.len() == max_crashes {
                self.newly_refused.push(Fingerprint(fingerprint));
            }
        }
    }
}
