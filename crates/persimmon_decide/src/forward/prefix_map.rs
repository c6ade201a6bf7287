//! Which endpoints have read which parts of prompts.

use std::collections::HashMap;

use crate::MonoMs;
use crate::load::EndpointHash;

/// A part of a prompt, in the order of the prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Its identity; equal parts of different prompts share it.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    endpoint: EndpointHash,
    used_at: MonoMs,
}

/// Remembers the last few endpoints that read each part. What it says is a hint: engines drop the
/// least recently used parts without telling.
#[derive(Debug)]
pub struct PrefixMap {
    holders: HashMap<u64, Vec<Holder>>,
    swept_at: MonoMs,
}

impl Default for PrefixMap {
    fn default() -> Self {
        Self::new()
    }
}

impl PrefixMap {
    /// Holders remembered for one part.
    const MAX_HOLDERS: usize = 4;
    /// How long a holder is remembered, in milliseconds. Engines keep parts longer when they have
    /// room, but a part that was not asked for in a minute is most likely gone.
    const MEMORY_MS: u64 = 60_000;
    /// Parts remembered at most; bounds the memory of a gateway to a few megabytes.
    const MAX_PARTS: usize = 20_000;
    /// Time between sweeps, in milliseconds.
    const SWEEP_MS: u64 = 5_000;

    /// A map that knows nothing.
    pub fn new() -> Self {
        Self { holders: HashMap::new(), swept_at: MonoMs(0) }
    }

    /// An endpoint reads a prompt.
    pub fn record(&mut self, parts: &[PromptPart], endpoint: EndpointHash, now: MonoMs) {
        self.sweep(now);
        for part in parts {
            if self.holders.len() >= Self::MAX_PARTS && !self.holders.contains_key(&part.id) {
                return;
            }
            let holders = self.holders.entry(part.id).or_default();
            match holders.iter_mut().find(|holder| holder.endpoint == endpoint) {
                Some(holder) => holder.used_at = now,
                None => {
                    if holders.len() == Self::MAX_HOLDERS {
                        let oldest = (0..holders.len()).min_by_key(|at| holders[*at].used_at);
                        oldest.map(|at| holders.swap_remove(at));
                    }
                    holders.push(Holder { endpoint, used_at: now });
                }
            }
        }
    }

    /// Tokens at the start of a prompt that each endpoint probably holds, longest first.
    pub fn cached(&self, parts: &[PromptPart], now: MonoMs) -> Vec<(EndpointHash, u32)> {
        let mut cached: Vec<(EndpointHash, u32)> = Vec::new();
        let mut before = 0;
        for (depth, part) in parts.iter().enumerate() {
            let holders = self.holders.get(&part.id).map_or(&[][..], Vec::as_slice);
            let fresh =
                holders.iter().filter(|holder| now.ms_since(holder.used_at) < Self::MEMORY_MS);
            let mut is_held = false;
            for holder in fresh {
                match cached.iter_mut().find(|(endpoint, _)| *endpoint == holder.endpoint) {
                    Some((_, tokens)) if *tokens == before => *tokens += part.tokens,
                    None if depth == 0 => cached.push((holder.endpoint, part.tokens)),
                    _ => continue,
                }
                is_held = true;
            }
            if !is_held {
                break;
            }
            before += part.tokens;
        }
        cached.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
        cached
    }

    /// Forgets an endpoint that is gone or has started again.
    pub fn forget(&mut self, endpoint: EndpointHash) {
        self.holders.retain(|_, holders| {
            holders.retain(|holder| holder.endpoint != endpoint);
            !holders.is_empty()
        });
    }

    fn sweep(&mut self, now: MonoMs) {
        if now.ms_since(self.swept_at) < Self::SWEEP_MS {
            return;
        }
        self.swept_at = now;
        self.holders.retain(|_, holders| {
            holders.retain(|holder| now.ms_since(holder.used_at) < Self::MEMORY_MS);
            !holders.is_empty()
        });
    }
}
