//! The engine's prefix cache, with a limited capacity.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::answer::{Message, hash_message};

/// Maximum number of events kept for readers; the oldest are dropped first.
const MAX_EVENTS: usize = 4_096;

/// One message of a prompt: its tokens, and the hash of the prompt up to and including it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Link {
    #[serde(with = "hex")]
    pub(super) prefix: u64,
    pub(super) tokens: u32,
}

/// Kind of change to a cached prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EventKind {
    Added,
    Evicted,
}

/// A cache change that the engine publishes.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Event {
    pub(super) seq: u64,
    #[serde(with = "hex")]
    prefix: u64,
    tokens: u32,
    kind: EventKind,
    #[serde(skip)]
    visible_at: Instant,
}

#[derive(Debug)]
struct Entry {
    parent: Option<u64>,
    tokens: u32,
    used_at: u64,
}

/// A cache of prompt prefixes that evicts the least recently used first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: u64,
    event_delay: Duration,
    lost_event_interval: u64,
    total_tokens: u64,
    use_count: u64,
    entries: HashMap<u64, Entry>,
    by_last_use: BTreeMap<u64, u64>,
    next_seq: u64,
    events: VecDeque<Event>,
}

/// Returns the links of a prompt that consists of `messages`.
pub(super) fn chain(messages: &[Message]) -> Vec<Link> {
    let mut hasher = blake3::Hasher::new();
    let link = |message: &Message| {
        hash_message(&mut hasher, message);
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Link { prefix: u64::from_be_bytes(prefix), tokens: message.tokens() }
    };
    messages.iter().map(link).collect()
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` tokens. It drops every `lost_event_interval`th event,
    /// or none if that is 0, and readers see the others after `event_delay`.
    pub(super) fn new(capacity: u64, event_delay: Duration, lost_event_interval: u64) -> Self {
        Self {
            capacity,
            event_delay,
            lost_event_interval,
            total_tokens: 0,
            use_count: 0,
            entries: HashMap::new(),
            by_last_use: BTreeMap::new(),
            next_seq: 1,
            events: VecDeque::new(),
        }
    }

    /// Returns the number of tokens of the longest cached prefix of `chain`.
    pub(super) fn cached_tokens(&self, chain: &[Link]) -> u32 {
        let cached = chain.iter().take_while(|link| self.entries.contains_key(&link.prefix));
        cached.map(|link| link.tokens).sum()
    }

    /// Caches every prefix of `chain` and marks them as most recently used. Shorter prefixes count
    /// as used later, so that eviction removes longer ones first.
    pub(super) fn insert(&mut self, chain: &[Link]) {
        for (index, link) in chain.iter().enumerate().rev() {
            let parent = index.checked_sub(1).map(|index| chain[index].prefix);
            self.record_use(*link, parent);
        }
        while self.total_tokens > self.capacity {
            self.evict();
        }
    }

    /// Returns the links of the prompt that ends with `prefix`, if all of them are cached.
    pub(super) fn export(&self, prefix: u64) -> Option<Vec<Link>> {
        let mut links = VecDeque::new();
        let mut next = Some(prefix);
        while let Some(prefix) = next {
            let entry = self.entries.get(&prefix)?;
            links.push_front(Link { prefix, tokens: entry.tokens });
            next = entry.parent;
        }
        Some(links.into())
    }

    /// Clears the cache and its events without publishing evictions.
    pub(super) fn clear(&mut self) {
        self.total_tokens = 0;
        self.entries.clear();
        self.by_last_use.clear();
        self.events.clear();
    }

    /// Returns the events after `seq` that readers see at `now`.
    pub(super) fn events_after(&self, seq: u64, now: Instant) -> Vec<Event> {
        let visible = |event: &&Event| event.seq > seq && event.visible_at <= now;
        self.events.iter().filter(visible).cloned().collect()
    }

    fn record_use(&mut self, link: Link, parent: Option<u64>) {
        self.use_count += 1;
        let entry = Entry { parent, tokens: link.tokens, used_at: self.use_count };
        self.by_last_use.insert(self.use_count, link.prefix);
        match self.entries.insert(link.prefix, entry) {
            Some(known) => {
                self.by_last_use.remove(&known.used_at);
            }
            None => {
                self.total_tokens += u64::from(link.tokens);
                self.publish(link, EventKind::Added);
            }
        }
    }

    fn evict(&mut self) {
        let Some((_, prefix)) = self.by_last_use.pop_first() else {
            return;
        };
        if let Some(entry) = self.entries.remove(&prefix) {
            self.total_tokens -= u64::from(entry.tokens);
            self.publish(Link { prefix, tokens: entry.tokens }, EventKind::Evicted);
        }
    }

    fn publish(&mut self, link: Link, kind: EventKind) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.lost_event_interval > 0 && seq.is_multiple_of(self.lost_event_interval) {
            return;
        }
        let visible_at = Instant::now() + self.event_delay;
        let Link { prefix, tokens } = link;
        self.events.push_back(Event { seq, prefix, tokens, kind, visible_at });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Serialization of prefix hashes as 16 hexadecimal digits.
mod hex {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(prefix: &u64, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&format_args!("{prefix:016x}"))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
        let text = String::deserialize(from)?;
        u64::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}
