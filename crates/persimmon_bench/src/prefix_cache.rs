//! Simulates an endpoint's prefix cache, which evicts the least recently used chat first.

use std::collections::{BTreeMap, HashMap};

use persimmon_decide::load::ChatKey;

#[derive(Debug, Clone, Copy)]
struct Entry {
    tokens: u32,
    used: u64,
}

/// An LRU cache of the number of prefix tokens of each chat, limited by their sum.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_tokens: u64,
    cached_tokens: u64,
    clock: u64,
    entries: HashMap<ChatKey, Entry>,
    by_use: BTreeMap<u64, ChatKey>,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            cached_tokens: 0,
            clock: 0,
            entries: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Returns the number of cached tokens of a chat's prefix.
    pub fn tokens(&self, chat: ChatKey) -> u32 {
        self.entries.get(&chat).map_or(0, |entry| entry.tokens)
    }

    /// Sets the number of cached tokens of a chat's prefix and marks the chat as most recently
    /// used.
    pub fn insert(&mut self, chat: ChatKey, tokens: u32) {
        self.remove(chat);
        self.clock += 1;
        self.entries.insert(chat, Entry { tokens, used: self.clock });
        self.by_use.insert(self.clock, chat);
        self.cached_tokens += u64::from(tokens);
        while self.cached_tokens > self.capacity_tokens {
            let Some((_, oldest)) = self.by_use.first_key_value() else { return };
            self.remove(*oldest);
        }
    }

    fn remove(&mut self, chat: ChatKey) {
        if let Some(entry) = self.entries.remove(&chat) {
            self.by_use.remove(&entry.used);
            self.cached_tokens -= u64::from(entry.tokens);
        }
    }
}
