//! Locations of cached prompt parts.

use std::collections::{HashMap, HashSet, VecDeque};

use super::PartHolder;
use crate::MonoMs;
use crate::load::EndpointHash;

/// One part of a prompt. Parts are listed in the order of the prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// ID of the part; equal parts of different prompts share it.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    endpoint: EndpointHash,
    used_at: MonoMs,
}

/// Maps each part of a prompt to the endpoints that have recently read it, by this gateway's
/// requests and by what peers announced. The entries are hints, since engines evict the least
/// recently used parts without notice.
#[derive(Debug)]
pub struct PrefixMap {
    holders: HashMap<u64, Vec<Holder>>,
    /// Holders that haven't been announced to the other gateways.
    unannounced: VecDeque<PartHolder>,
    /// Shared parts in the order in which their holders are announced again.
    rotation: VecDeque<u64>,
    /// The parts in `rotation`, for lookup.
    in_rotation: HashSet<u64>,
    swept_at: MonoMs,
}

impl Default for PrefixMap {
    fn default() -> Self {
        Self::new()
    }
}

impl PrefixMap {
    /// Maximum number of holders stored for one part. Parts at the start of every prompt reach it,
    /// since every endpoint caches them.
    const MAX_HOLDERS: usize = 64;
    /// Time for which a holder is stored, in milliseconds. Engines with free memory cache parts for
    /// longer, but a part that hasn't been requested for a minute has most likely been evicted.
    const HOLDER_TTL_MS: u64 = 60_000;
    /// Maximum number of parts; limits the memory of a gateway to a few megabytes.
    const MAX_PARTS: usize = 20_000;
    /// Maximum number of holders waiting for their first announcement; any others are announced
    /// later by rotation.
    const MAX_UNANNOUNCED: usize = 256;
    /// Interval between sweeps of expired holders, in milliseconds.
    const SWEEP_INTERVAL_MS: u64 = 5_000;

    /// Creates an empty map.
    pub fn new() -> Self {
        Self {
            holders: HashMap::new(),
            unannounced: VecDeque::new(),
            rotation: VecDeque::new(),
            in_rotation: HashSet::new(),
            swept_at: MonoMs(0),
        }
    }

    /// Records that an endpoint reads a prompt sent by this gateway.
    pub fn record(&mut self, parts: &[PromptPart], endpoint: EndpointHash, now: MonoMs) {
        self.sweep(now);
        for (at, part) in parts.iter().enumerate() {
            let is_new = self.insert_holder(part.id, endpoint, now);
            // The last part belongs to one request or session, whose caller returns to this
            // gateway.
            let is_shared = at + 1 < parts.len();
            if !is_shared {
                continue;
            }
            if is_new {
                if self.unannounced.len() == Self::MAX_UNANNOUNCED {
                    self.unannounced.pop_front();
                }
                self.unannounced.push_back(PartHolder { part: part.id, endpoint });
            }
            // Every gateway that uses a part repeats the announcement, whichever gateway made it
            // first.
            if self.in_rotation.insert(part.id) {
                self.rotation.push_back(part.id);
            }
        }
    }

    /// Records a holder announced by a peer.
    pub fn record_peer_holder(&mut self, holder: PartHolder, now: MonoMs) {
        self.insert_holder(holder.part, holder.endpoint, now);
    }

    /// Returns holders to announce to the peers: at most `max_new` new ones, and one holder for
    /// each of up to `max_repeated` parts that were announced before, for gateways that have
    /// started since.
    pub fn take_announcements(
        &mut self,
        max_new: usize,
        max_repeated: usize,
        now: MonoMs,
    ) -> Vec<PartHolder> {
        let count = max_new.min(self.unannounced.len());
        let mut announced: Vec<_> = self.unannounced.drain(..count).collect();
        for _ in 0..max_repeated.min(self.rotation.len()) {
            let Some(part) = self.rotation.pop_front() else { break };
            let Some(holder) = self.newest_holder(part, now) else {
                self.in_rotation.remove(&part);
                continue;
            };
            announced.push(holder);
            self.rotation.push_back(part);
        }
        announced
    }

    /// Returns one holder for each of up to `max` shared parts, those first that were used or announced
    /// last, for a gateway that has just started.
    pub fn known_holders(&self, max: usize, now: MonoMs) -> Vec<PartHolder> {
        let parts = self.rotation.iter().rev();
        parts.filter_map(|part| self.newest_holder(*part, now)).take(max).collect()
    }

    fn newest_holder(&self, part: u64, now: MonoMs) -> Option<PartHolder> {
        let holders = self.holders.get(&part)?.iter();
        let fresh = holders.filter(|it| now.ms_since(it.used_at) < Self::HOLDER_TTL_MS);
        let newest = fresh.max_by_key(|it| it.used_at)?;
        Some(PartHolder { part, endpoint: newest.endpoint })
    }

    /// Returns the length of the prompt's prefix that each endpoint has probably cached, in tokens,
    /// longest first.
    pub fn cached(&self, parts: &[PromptPart], now: MonoMs) -> Vec<(EndpointHash, u32)> {
        let mut cached: Vec<(EndpointHash, u32)> = Vec::new();
        let mut before = 0;
        for (depth, part) in parts.iter().enumerate() {
            let holders = self.holders.get(&part.id).map_or(&[][..], Vec::as_slice);
            let fresh =
                holders.iter().filter(|holder| now.ms_since(holder.used_at) < Self::HOLDER_TTL_MS);
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

    /// Removes an endpoint that is gone or has restarted.
    pub fn forget(&mut self, endpoint: EndpointHash) {
        self.holders.retain(|_, holders| {
            holders.retain(|holder| holder.endpoint != endpoint);
            !holders.is_empty()
        });
    }

    /// Stores a holder, and returns whether it is new.
    fn insert_holder(&mut self, part: u64, endpoint: EndpointHash, now: MonoMs) -> bool {
        if self.holders.len() >= Self::MAX_PARTS && !self.holders.contains_key(&part) {
            return false;
        }
        let holders = self.holders.entry(part).or_default();
        if let Some(holder) = holders.iter_mut().find(|holder| holder.endpoint == endpoint) {
            holder.used_at = now;
            return false;
        }
        if holders.len() == Self::MAX_HOLDERS {
            let oldest = (0..holders.len()).min_by_key(|at| holders[*at].used_at);
            oldest.map(|at| holders.swap_remove(at));
        }
        holders.push(Holder { endpoint, used_at: now });
        true
    }

    fn sweep(&mut self, now: MonoMs) {
        if now.ms_since(self.swept_at) < Self::SWEEP_INTERVAL_MS {
            return;
        }
        self.swept_at = now;
        self.holders.retain(|_, holders| {
            holders.retain(|holder| now.ms_since(holder.used_at) < Self::HOLDER_TTL_MS);
            !holders.is_empty()
        });
    }
}
