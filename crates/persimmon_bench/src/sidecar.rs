//! An endpoint with its sidecar, in memory.

use std::collections::HashMap;

use persimmon_decide::load::{
    Admission, AdmissionConfig, AdmittedKey, ChatKey, EndpointHash, ImportBudget, LoadReport, Work,
};
use persimmon_records::{EndpointName, Policy};

use crate::{PrefixCache, Scenario, Turn};

/// A request at a sidecar.
#[derive(Debug, Clone, Copy)]
pub struct Admitted {
    /// The turn's place in the workload.
    pub turn: usize,
    /// Prompt tokens cached, or imported.
    pub reused_tokens: u32,
    /// Prompt tokens imported, of those reused.
    pub imported_tokens: u32,
    /// When it was first sent, in milliseconds.
    pub sent_at: u64,
    /// When it started, if it runs.
    pub started_at: Option<u64>,
    work: Work,
    prefill_ms: u64,
}

impl Admitted {
    /// A request that reuses and imports these prompt tokens of `turn`.
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

    /// The work when it starts.
    pub fn work(&self) -> Work {
        self.work
    }

    /// How long it runs, in milliseconds.
    pub fn run_ms(&self, turn: &Turn) -> u64 {
        self.prefill_ms + u64::from(turn.generated_tokens) * Scenario::TOKEN_MS
    }

    fn left(&self, turn: &Turn, now: u64) -> Work {
        let Some(started) = self.started_at else { return self.work };
        let decoding_ms = now.saturating_sub(started + self.prefill_ms);
        if decoding_ms == 0 {
            return self.work;
        }
        let generated = decoding_ms / Scenario::TOKEN_MS;
        Work::of_request(0, u64::from(turn.max_tokens()).saturating_sub(generated))
    }
}

/// Prompt tokens whose rebuilding costs as much as importing these.
pub(crate) fn import_cost(imported: u32) -> u64 {
    u64::from(imported) / u64::from(persimmon_decide::load::Placement::IMPORTED_TOKENS_PER_REBUILT)
}

/// What keeps a sidecar from taking a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// The load bound, slots and the queue.
    Load,
    /// Slots and the queue.
    SlotsOnly,
    /// Nothing.
    None,
}

/// One endpoint and its sidecar.
#[derive(Debug)]
pub struct Sidecar {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The hash of the name.
    pub hash: EndpointHash,
    /// Number of the model.
    pub model: usize,
    /// Until when the endpoint exists, in milliseconds.
    pub gone_at: Option<u64>,
    /// From when it takes no new work, in milliseconds.
    pub leaving_at: Option<u64>,
    /// The decisions.
    pub admission: Admission,
    /// The engine's cache.
    pub cache: PrefixCache,
    /// What the sidecar may import.
    pub imports: ImportBudget,
    /// Requests that run or wait.
    pub admitted: HashMap<AdmittedKey, Admitted>,
}

impl Sidecar {
    /// An idle endpoint.
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

    /// Whether the endpoint exists.
    pub fn is_alive(&self, now: u64) -> bool {
        self.gone_at.is_none_or(|gone| now < gone)
    }

    /// Whether it takes new work.
    pub fn is_open(&self, now: u64) -> bool {
        self.is_alive(now) && self.leaving_at.is_none_or(|leaving| now < leaving)
    }

    /// Brings the work left up to date, as the tokens that flow through the sidecar do.
    pub fn progress(&mut self, turns: &[Turn], now: u64) {
        for (key, admitted) in &self.admitted {
            self.admission.progress(*key, admitted.left(&turns[admitted.turn], now));
        }
    }

    /// What the endpoint carries, for a digest.
    pub fn load(&mut self, turns: &[Turn], now: u64) -> LoadReport {
        self.progress(turns, now);
        self.admission.load()
    }

    /// Prompt tokens of a chat that it holds.
    pub fn held(&self, chat: ChatKey, now: u64) -> u32 {
        if self.is_alive(now) { self.cache.tokens(chat) } else { 0 }
    }
}
