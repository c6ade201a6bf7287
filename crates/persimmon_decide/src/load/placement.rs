//! Placement: which endpoints a router tries for a request, and in which order.

use persimmon_records::Serves;

use super::{ChatKey, Directory, EndpointHash, EndpointView, Holder, Work, rendezvous_score};
use crate::MonoMs;

/// A request to be placed.
#[derive(Debug, Clone)]
pub struct PlaceRequest<'a> {
    /// The chat.
    pub chat: ChatKey,
    /// The model or service that is asked for.
    pub target: &'a Serves,
    /// Holders of the chat's prefix by its token; none if the caller sent no valid token.
    pub holders: &'a [Holder],
    /// The only endpoints that the workspace may use; every endpoint if empty.
    pub allowed: &'a [EndpointHash],
    /// Prompt tokens, cached or not.
    pub prompt_tokens: u32,
    /// Tokens to be generated.
    pub tokens_to_generate: u32,
}

/// An endpoint to try.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Prompt tokens that it is expected to have cached.
    pub cached_tokens: u32,
    /// The holder whose cache it may import, if another holds more of the prefix.
    pub import_from: Option<Holder>,
    /// Work that the request is expected to be there.
    pub work: Work,
    /// Expected cost in work units: load per slot and the part of the prompt to be rebuilt or
    /// imported.
    pub cost: f64,
}

impl Candidate {
    /// An endpoint of which nothing is expected.
    pub fn new(endpoint: EndpointHash) -> Self {
        Self { endpoint, cached_tokens: 0, import_from: None, work: Work::ZERO, cost: 0.0 }
    }
}

/// Orders endpoints for a request: holders of the chat's prefix that seem to be under their bound,
/// then the first few in rank by expected cost, then the others in rank. Endpoints that seem to be
/// over their bound, and those that are suspect, come after all others; leaving ones are left out.
///
/// ```
/// use persimmon_decide::MonoMs;
/// use persimmon_decide::load::{ChatKey, Directory, PlaceRequest, Placement};
/// use persimmon_records::{EndpointBuilder, RecordSet, Serves};
///
/// let target = Serves::Model("chat-large".into());
/// let mut records = RecordSet::empty();
/// for name in ["engine-1", "engine-2"] {
///     let endpoint = EndpointBuilder::new(name, "127.0.0.1:7000".parse().unwrap());
///     records.endpoints.push(endpoint.with_serves(target.clone()).build());
/// }
/// let mut directory = Directory::default();
/// directory.apply_records(&records).unwrap();
/// let req = PlaceRequest {
///     chat: ChatKey(1),
///     target: &target,
///     holders: &[],
///     allowed: &[],
///     prompt_tokens: 800,
///     tokens_to_generate: 200,
/// };
/// let candidates = Placement::default().place(&req, &directory, MonoMs(0));
/// assert_eq!(candidates.len(), 2);
/// ```
#[derive(Debug, Clone)]
pub struct Placement {
    max_candidates: usize,
}

impl Default for Placement {
    fn default() -> Self {
        Self { max_candidates: 8 }
    }
}

impl Placement {
    /// Prompt tokens whose import costs as much as rebuilding one.
    pub const IMPORTED_TOKENS_PER_REBUILT: u32 = 4;

    /// Endpoints in rank of which the cheapest is tried first.
    pub const COST_ORDERED: usize = 8;

    /// Sets how many endpoints are tried for one request, at least one.
    #[must_use]
    pub fn with_max_candidates(mut self, max_candidates: usize) -> Self {
        self.max_candidates = max_candidates.max(1);
        self
    }

    /// The endpoints to try, in order.
    pub fn place(
        &self,
        req: &PlaceRequest<'_>,
        directory: &Directory,
        now: MonoMs,
    ) -> Vec<Candidate> {
        let mut ranked: Vec<_> = directory
            .serving(req.target)
            .filter(|view| !view.is_leaving())
            .filter(|view| req.allowed.is_empty() || req.allowed.contains(&view.hash))
            .map(|view| ranked(req, view, now))
            .collect();
        if ranked.len() > self.max_candidates {
            ranked.select_nth_unstable_by(self.max_candidates - 1, Ranked::compare);
            ranked.truncate(self.max_candidates);
        }
        ranked.sort_unstable_by(Ranked::compare);
        promote_cheapest(&mut ranked);
        ranked.into_iter().map(|ranked| ranked.candidate).collect()
    }
}

fn ranked(req: &PlaceRequest<'_>, view: &EndpointView, now: MonoMs) -> Ranked {
    let candidate = candidate(req, view, now);
    let tier = if view.is_suspect(now) {
        Tier::Suspect
    } else if view.is_over_bound(candidate.work, now) {
        Tier::OverBound
    } else if candidate.cached_tokens > 0 {
        Tier::Holder
    } else {
        Tier::Ranked
    };
    let score = rendezvous_score(req.chat, view.hash, view.slots);
    Ranked { tier, score, candidate }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Holder,
    Ranked,
    OverBound,
    Suspect,
}

#[derive(Debug, Clone, Copy)]
struct Ranked {
    tier: Tier,
    score: f64,
    candidate: Candidate,
}

impl Ranked {
    /// Holders and endpoints over their bound go by cost, the others by rank.
    fn compare(a: &Self, b: &Self) -> std::cmp::Ordering {
        let by_cost = || a.candidate.cost.total_cmp(&b.candidate.cost);
        let by_rank = || a.score.total_cmp(&b.score);
        a.tier.cmp(&b.tier).then_with(|| match a.tier {
            Tier::Ranked | Tier::Suspect => by_rank(),
            Tier::Holder | Tier::OverBound => by_cost().then_with(by_rank),
        })
    }
}

/// Orders the first few in rank, which stand after the holders, by cost.
fn promote_cheapest(ranked: &mut [Ranked]) {
    let start = ranked.partition_point(|ranked| ranked.tier < Tier::Ranked);
    let end = ranked.partition_point(|ranked| ranked.tier <= Tier::Ranked);
    let spread = end.min(start + Placement::COST_ORDERED);
    ranked[start..spread].sort_unstable_by(|a, b| a.candidate.cost.total_cmp(&b.candidate.cost));
}
fn candidate(req: &PlaceRequest<'_>, view: &EndpointView, now: MonoMs) -> Candidate {
    let held = |holder: &&Holder| holder.endpoint == view.hash;
    let cached_tokens = req.holders.iter().find(held).map_or(0, |holder| holder.tokens);
    let cached_tokens = cached_tokens.min(req.prompt_tokens);
    let best = req.holders.iter().max_by_key(|holder| holder.tokens);
    let import_from = best.filter(|best| best.tokens > cached_tokens).copied();
    let reachable = import_from.map_or(cached_tokens, |best| best.tokens.min(req.prompt_tokens));
    let imported = reachable - cached_tokens;
    let rebuilt = req.prompt_tokens - reachable + imported / Placement::IMPORTED_TOKENS_PER_REBUILT;
    let work = Work::of_request(u64::from(rebuilt), u64::from(req.tokens_to_generate));
    let cost = view.expected_per_slot(now) + Work::of_prompt(u64::from(rebuilt)).0 as f64;
    Candidate { endpoint: view.hash, cached_tokens, import_from, work, cost }
}
