//! A simulated endpoint and its sidecar.

use std::collections::HashMap;

use persimmon_decide::load::{
    Admission, AdmissionConfig, AdmittedKey, ChatKey, EndpointHash, ImportBudget, LoadReport, Work,
};
use persimmon_records::{EndpointName, Policy};

use crate::{PrefixCache, Scenario, Turn};

/// A request as a sidecar admits it.
#[derive(Debug, Clone, Copy)]
pub struct Admitted {
    /// Index of the turn in the workload.
    pub turn: usize,
    /// Prompt tokens that were cached or imported.
    pub reused_tokens: u32,
    /// Prompt tokens that were imported, included in `reused_tokens`.
    pub imported_tokens: u32,
    /// Time at which the caller first sent the request, in milliseconds.
    pub sent_at: u64,
    /// Time at which the request started, in milliseconds, or `None` if it is queued.
    pub started_at: Option<u64>,
    work: Work,
    prefill_ms: u64,
}

impl Admitted {
    /// Creates a request for `turn` that hasn't started. It reuses `reused` of the prompt tokens,
    /// `imported` of which come from another endpoint.
    pub fn new(index: usize, turn: &Turn, reused: u32, imported: u32, sent_at: u64) -> Self {
        let rebuilt = u64::from(turn.prompt_tokens - reused) + import_cost(imported);
        Self {
            turn: index,
            reused_tokens: reused,
            imported_tokens: imported,
            sent_at,
            started_at: None,
            work: Work::of_request(rebuilt, u64::from(turn.max_tokens())),
            prefill_ms: rebuilt / Scenario::PROMPT_TOKENS_PER_MS,
        }
    }

    /// Returns the request's work before it starts.
    pub fn work(&self) -> Work {
        self.work
    }

    /// Returns how long the request runs, in milliseconds.
    pub fn run_ms(&self, turn: &Turn) -> u64 {
        self.prefill_ms + u64::from(turn.generated_tokens) * Scenario::TOKEN_MS
    }

    fn remaining_work(&self, turn: &Turn, now: u64) -> Work {
        let Some(started) = self.started_at else { return self.work };
        let decoding_ms = now.saturating_sub(started + self.prefill_ms);
        if decoding_ms == 0 {
            return self.work;
        }
        let generated = decoding_ms / Scenario::TOKEN_MS;
        Work::of_request(0, u64::from(turn.max_tokens()).saturating_sub(generated))
    }
}

/// Returns the number of prompt tokens that can be processed at the cost of these imports.
pub(crate) fn import_cost(imported: u32) -> u64 {
    u64::from(imported) / u64::from(persimmon_decide::load::Placement::IMPORTED_TOKENS_PER_REBUILT)
}

/// Limits that a sidecar applies to admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// Load bound, slots and queue length.
    Load,
    /// Slots and queue length.
    SlotsOnly,
    /// No limit.
    None,
}

/// A simulated endpoint and its sidecar.
#[derive(Debug)]
pub struct Sidecar {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Hash of the name.
    pub hash: EndpointHash,
    /// Index of the model.
    pub model: usize,
    /// Time from which the endpoint no longer runs, in milliseconds.
    pub gone_at: Option<u64>,
    /// Time from which the endpoint refuses new work, in milliseconds.
    pub leaving_at: Option<u64>,
    /// Admission control of the endpoint.
    pub admission: Admission,
    /// Prefix cache of the engine.
    pub cache: PrefixCache,
    /// Rate limit of cache imports.
    pub imports: ImportBudget,
    /// Running and queued requests.
    pub admitted: HashMap<AdmittedKey, Admitted>,
}

impl Sidecar {
    /// Creates an idle endpoint.
    pub fn new(name: EndpointName, model: usize, policy: &Policy, bound: Bound) -> Self {
        let (slots, peers) = match bound {
            Bound::Load => (Scenario::SLOTS, 1),
            Bound::SlotsOnly => (Scenario::SLOTS, 0),
            Bound::None => (u32::MAX, 0),
        };
        let cfg = AdmissionConfig::default()
            .with_policy(policy)
            .with_slots(slots)
            .with_unit_ms(Scenario::TOKEN_MS)
            .with_peers(peers);
        Self {
            hash: EndpointHash::of(&name),
            name,
            model,
            gone_at: None,
            leaving_at: None,
            admission: Admission::new(cfg),
            cache: PrefixCache::new(Scenario::CACHE_TOKENS),
            imports: ImportBudget::new(Scenario::IMPORT_TOKENS_PER_S),
            admitted: HashMap::new(),
        }
    }

    /// Reports whether the endpoint is running.
    pub fn is_alive(&self, now: u64) -> bool {
        self.gone_at.is_none_or(|gone| now < gone)
    }

    /// Reports whether the endpoint accepts new work.
    pub fn is_open(&self, now: u64) -> bool {
        self.is_alive(now) && self.leaving_at.is_none_or(|leaving| now < leaving)
    }

    /// Updates the remaining work of each request. A real sidecar does this as tokens pass through
    /// it.
    pub fn progress(&mut self, turns: &[Turn], now: u64) {
        for (key, admitted) in &self.admitted {
            self.admission.progress(*key, admitted.remaining_work(&turns[admitted.turn], now));
        }
    }

    /// Returns the current load of the endpoint, for a digest.
    pub fn load(&mut self, turns: &[Turn], now: u64) -> LoadReport {
        self.progress(turns, now);
        self.admission.load()
    }

    /// Returns the number of cached prompt tokens of a chat, or zero if the endpoint isn't running.
    pub fn cached_tokens(&self, chat: ChatKey, now: u64) -> u32 {
        if self.is_alive(now) { self.cache.tokens(chat) } else { 0 }
    }
}
