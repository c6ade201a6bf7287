//! Requests that crash the endpoints that run them.

use std::collections::{HashMap, HashSet};

use crate::load::EndpointHash;
use crate::{Fingerprint, MonoMs};

#[derive(Debug, Clone)]
struct Crashes {
    endpoints: Vec<EndpointHash>,
    expires_at: MonoMs,
}

/// Content that was answered whole lately, in two generations of which the older one is dropped.
#[derive(Debug, Default)]
struct Answered {
    newer: HashSet<u64>,
    older: HashSet<u64>,
    rotated_at: MonoMs,
}

impl Answered {
    /// Length of a generation, in milliseconds. Content that is asked for much is answered again
    /// within it, and content that has turned bad is known no longer than two of them.
    const GENERATION_MS: u64 = 30_000;
    /// Contents of a generation at most; with two of them some 150 KB.
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

/// Notices content under which several endpoints crashed, and refuses it from then on.
///
/// A broken connection alone is no crash: answers are also lost for other reasons. It counts as one
/// if the endpoint can't be reached shortly after. Gateways tell each other the crashes, so that a
/// caller that comes back elsewhere is refused there too.
///
/// Answers also the load of content that many callers ask for at the same time: some of it is always
/// in progress where an endpoint crashes for another reason. Each whole answer clears its crashes, and
/// for a while after one it takes more of them to refuse the content.
#[derive(Debug, Default)]
pub struct CrashTracker {
    crashes: HashMap<u64, Crashes>,
    answered: Answered,
    /// Requests whose connection broke lately, by endpoint.
    broken: HashMap<EndpointHash, Vec<(u64, MonoMs)>>,
}

impl CrashTracker {
    /// Endpoints that one content may crash.
    const MAX_CRASHES: usize = 2;
    /// Endpoints that may crash under content that was answered whole lately, without another such
    /// answer in between: more than fall at once by themselves, and still a bound.
    const MAX_CRASHES_ANSWERED: usize = 4;
    /// How long after a broken connection an unreachable endpoint counts as crashed by it, in
    /// milliseconds: a crashed process refuses connections at once, and stays away for seconds.
    const BLAME_WINDOW_MS: u64 = 1_000;
    /// How long a record_crash is kept, in milliseconds. Callers send such a request again within minutes.
    const CRASH_TTL_MS: u64 = 300_000;
    /// Contents remembered at most.
    const MAX_TRACKED: usize = 512;

    /// A watch that suspects nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// An endpoint answered this content whole, so it crashes no endpoint by itself.
    pub fn record_answered(&mut self, content: Fingerprint, now: MonoMs) {
        self.crashes.remove(&content.0);
        self.answered.record(content.0, now);
    }

    /// The connection to an endpoint broke while it worked on this content.
    pub fn record_broken(&mut self, content: Fingerprint, endpoint: EndpointHash, now: MonoMs) {
        let broken = self.broken.entry(endpoint).or_default();
        broken.retain(|(_, at)| now.ms_since(*at) <= Self::BLAME_WINDOW_MS);
        broken.push((content.0, now));
    }

    /// The endpoint refuses connections: what broke there just before may have crashed it. Returns
    /// whether any content is blamed, which the other gateways have to know at once.
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

    /// A peer's record_crash.
    pub fn record_peer_crash(&mut self, content: u64, endpoint: EndpointHash, now: MonoMs) {
        self.record_crash(content, endpoint, now);
    }

    /// Whether this content is refused.
    pub fn refuses(&self, content: Fingerprint, now: MonoMs) -> bool {
        let crashes = self.crashes.get(&content.0).filter(|crashes| crashes.expires_at > now);
        crashes.is_some_and(|crashes| crashes.endpoints.len() >= self.max_crashes(content.0, now))
    }

    /// Every content that is refused.
    pub fn refused(&self, now: MonoMs) -> impl Iterator<Item = u64> {
        let contents = self.crashes.keys().copied();
        contents.filter(move |content| self.refuses(Fingerprint(*content), now))
    }

    /// The newest crashes, for the digest.
    pub fn newest(&self, count: usize, now: MonoMs) -> Vec<(u64, EndpointHash)> {
        let mut live: Vec<_> =
            self.crashes.iter().filter(|(_, crashes)| crashes.expires_at > now).collect();
        live.sort_by_key(|(content, crashes)| (std::cmp::Reverse(crashes.expires_at), **content));
        let pairs = live
            .into_iter()
            .flat_map(|(content, crashes)| crashes.endpoints.iter().map(|it| (*content, *it)));
        pairs.take(count).collect()
    }

    /// Endpoints that may crash under a content before it is refused.
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
