//! Detection of requests that crash the endpoints that run them.

use std::collections::{HashMap, HashSet};

use crate::load::EndpointHash;
use crate::{Fingerprint, MonoMs};

#[derive(Debug, Clone)]
struct Crashes {
    endpoints: Vec<EndpointHash>,
    expires_at: MonoMs,
}

/// Contents with a recent complete answer, in two generations, of which the older one is dropped.
#[derive(Debug, Default)]
struct Answered {
    newer: HashSet<u64>,
    older: HashSet<u64>,
    rotated_at: MonoMs,
}

impl Answered {
    /// Length of a generation, in milliseconds. Frequently requested content is answered again
    /// within it, and content that starts to cause crashes remains in the set for at most two
    /// generations.
    const GENERATION_MS: u64 = 30_000;
    /// Maximum number of contents in a generation; two generations use about 150 KB.
    const MAX_CONTENTS: usize = 4_096;

    fn record(&mut self, content: u64, now: MonoMs) {
        self.rotate(now);
        if self.newer.len() < Self::MAX_CONTENTS {
            self.newer.insert(content);
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

    fn contains(&self, content: u64, now: MonoMs) -> bool {
        let age_ms = now.ms_since(self.rotated_at);
        let is_newer = age_ms < 2 * Self::GENERATION_MS && self.newer.contains(&content);
        is_newer || (age_ms < Self::GENERATION_MS && self.older.contains(&content))
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
    crashes: HashMap<u64, Crashes>,
    answered: Answered,
    /// Requests whose connection broke recently, by endpoint.
    broken: HashMap<EndpointHash, Vec<(u64, MonoMs)>>,
}

impl CrashTracker {
    /// Number of crashed endpoints that makes the tracker refuse content.
    const MAX_CRASHES: usize = 2;
    /// Number of crashed endpoints that makes the tracker refuse content with a recent complete
    /// answer, if no other such answer follows. It is larger than the number of endpoints that
    /// crash at once for other reasons, but still limits the damage.
    const MAX_CRASHES_ANSWERED: usize = 4;
    /// Time after a broken connection in which an unreachable endpoint counts as crashed by the
    /// request, in milliseconds. A crashed process refuses connections immediately and doesn't
    /// restart for several seconds.
    const BLAME_WINDOW_MS: u64 = 1_000;
    /// Time for which crashes are stored, in milliseconds. Callers send such a request again within
    /// minutes.
    const CRASH_TTL_MS: u64 = 300_000;
    /// Maximum number of contents with recorded crashes.
    const MAX_TRACKED: usize = 512;

    /// Creates a tracker without crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a complete answer to this content, which shows that the content alone doesn't crash
    /// an endpoint.
    pub fn record_answered(&mut self, content: Fingerprint, now: MonoMs) {
        self.crashes.remove(&content.0);
        self.answered.record(content.0, now);
    }

    /// Records that the connection to an endpoint broke while the endpoint was processing this
    /// content.
    pub fn record_broken(&mut self, content: Fingerprint, endpoint: EndpointHash, now: MonoMs) {
        let broken = self.broken.entry(endpoint).or_default();
        broken.retain(|(_, at)| now.ms_since(*at) <= Self::BLAME_WINDOW_MS);
        broken.push((content.0, now));
    }

    /// Records that an endpoint refuses connections: the requests whose connections broke there
    /// just before may have crashed it. Returns whether any content is blamed, which the other
    /// gateways must learn immediately.
    pub fn record_refused(&mut self, endpoint: EndpointHash, now: MonoMs) -> bool {
        let mut is_blamed = false;
        for (content, at) in self.broken.remove(&endpoint).unwrap_or_default() {
            if now.ms_since(at) <= Self::BLAME_WINDOW_MS {
                self.record_crash(content, endpoint, now);
                is_blamed = true;
            }
        }
        is_blamed
    }

    /// Records a crash reported by a peer.
    pub fn record_peer_crash(&mut self, content: u64, endpoint: EndpointHash, now: MonoMs) {
        self.record_crash(content, endpoint, now);
    }

    /// Reports whether this content is refused.
    pub fn refuses(&self, content: Fingerprint, now: MonoMs) -> bool {
        let crashes = self.crashes.get(&content.0).filter(|crashes| crashes.expires_at > now);
        crashes.is_some_and(|crashes| crashes.endpoints.len() >= self.max_crashes(content.0, now))
    }

    /// Returns all refused contents.
    pub fn refused(&self, now: MonoMs) -> impl Iterator<Item = u64> {
        let contents = self.crashes.keys().copied();
        contents.filter(move |content| self.refuses(Fingerprint(*content), now))
    }

    /// Returns the most recent crashes, for the digest.
    pub fn newest(&self, count: usize, now: MonoMs) -> Vec<(u64, EndpointHash)> {
        let mut live: Vec<_> =
            self.crashes.iter().filter(|(_, crashes)| crashes.expires_at > now).collect();
        live.sort_by_key(|(content, crashes)| (std::cmp::Reverse(crashes.expires_at), **content));
        let pairs = live
            .into_iter()
            .flat_map(|(content, crashes)| crashes.endpoints.iter().map(|it| (*content, *it)));
        pairs.take(count).collect()
    }

    /// Returns the number of crashed endpoints that makes the tracker refuse the content.
    fn max_crashes(&self, content: u64, now: MonoMs) -> usize {
        match self.answered.contains(content, now) {
            true => Self::MAX_CRASHES_ANSWERED,
            false => Self::MAX_CRASHES,
        }
    }

    fn record_crash(&mut self, content: u64, endpoint: EndpointHash, now: MonoMs) {
        if self.crashes.len() >= Self::MAX_TRACKED && !self.crashes.contains_key(&content) {
            self.crashes.retain(|_, crashes| crashes.expires_at > now);
            if self.crashes.len() >= Self::MAX_TRACKED {
                return;
            }
        }
        let expires_at = now.plus_ms(Self::CRASH_TTL_MS);
        let max_crashes = self.max_crashes(content, now);
        let crashes =
            self.crashes.entry(content).or_insert(Crashes { endpoints: Vec::new(), expires_at });
        if !crashes.endpoints.contains(&endpoint) && crashes.endpoints.len() < max_crashes {
            crashes.endpoints.push(endpoint);
            crashes.expires_at = expires_at;
        }
    }
}
