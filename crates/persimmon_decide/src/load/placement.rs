//! Selects and orders the endpoints that a router tries for a request.

use persimmon_records::Serves;

use super::{ChatKey, Directory, EndpointHash, EndpointView, Holder, Work, rendezvous_score};
use crate::MonoMs;

/// The input of [`Placement::place`]: the properties of one request that determine its endpoints.
#[derive(Debug, Clone)]
pub struct PlacementRequest<'a> {
    /// Key of the request's chat.
    pub chat: ChatKey,
    /// The requested model or service.
    pub target: &'a Serves,
    /// Endpoints that have cached part of the chat's prefix, from its token. Empty if the caller
    /// sent no valid token.
    pub holders: &'a [Holder],
    /// Endpoints that the workspace may use. Empty if it may use all.
    pub allowed: &'a [EndpointHash],
    /// Prompt tokens, cached or not.
    pub prompt_tokens: u32,
    /// Tokens to be generated.
    pub tokens_to_generate: u32,
}

/// An endpoint to which the router can offer the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Prompt tokens that the endpoint is expected to have cached.
    pub cached_tokens: u32,
    /// Endpoint from which this one can import cached tokens, if that endpoint has cached more of
    /// the prefix.
    pub import_from: Option<Holder>,
    /// Expected work of the request at this endpoint.
    pub work: Work,
    /// Expected cost in work units: the load per slot plus the work of processing or importing the
    /// rest of the prompt.
    pub cost: f64,
}

impl Candidate {
    /// Creates a candidate with no cached tokens, work or cost.
    pub fn new(endpoint: EndpointHash) -> Self {
        Self { endpoint, cached_tokens: 0, import_from: None, work: Work::ZERO, cost: 0.0 }
    }
}

/// Orders endpoints for a request. Holders of the chat's prefix come first, then the first
/// endpoints in rendezvous rank by expected cost, then the remaining ones in rank. Endpoints that
/// seem to be over their bound come after these, and suspect ones last. Draining and leaving
/// endpoints are left out.
///
/// ```
/// use persimmon_decide::MonoMs;
/// use persimmon_decide::load::{ChatKey, Directory, PlacementRequest, Placement};
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
/// let req = PlacementRequest {
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
    /// Number of prompt tokens that can be imported at the cost of processing one.
    pub const IMPORTED_TOKENS_PER_REBUILT: u32 = 4;

    /// Number of top-ranked endpoints that are reordered by cost.
    pub const COST_ORDERED: usize = 8;

    /// Sets how many endpoints are tried for one request, at least one.
    #[must_use]
    pub fn with_max_candidates(mut self, max_candidates: usize) -> Self {
        self.max_candidates = max_candidates.max(1);
        self
    }

    /// Returns the endpoints to try, in order.
    pub fn place(
        &self,
        req: &PlacementRequest<'_>,
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
            ranked.select_nth_unstable_by(self.max_candidates - 1, RankedCandidate::compare);
            ranked.truncate(self.max_candidates);
        }
        ranked.sort_unstable_by(RankedCandidate::compare);
        promote_cheapest(&mut ranked);
        ranked.into_iter().map(|ranked| ranked.candidate).collect()
    }
}

fn ranked(req: &PlacementRequest<'_>, view: &EndpointView, now: MonoMs) -> RankedCandidate {
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
    RankedCandidate { tier, score, candidate }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Holder,
    Ranked,
    OverBound,
    Suspect,
}

#[derive(Debug, Clone, Copy)]
struct RankedCandidate {
    tier: Tier,
    score: f64,
    candidate: Candidate,
}

impl RankedCandidate {
    /// Orders by tier. Within a tier, holders and endpoints over their bound are ordered by cost,
    /// the others by rendezvous rank.
    fn compare(a: &Self, b: &Self) -> std::cmp::Ordering {
        let by_cost = || a.candidate.cost.total_cmp(&b.candidate.cost);
        let by_rank = || a.score.total_cmp(&b.score);
        a.tier.cmp(&b.tier).then_with(|| match a.tier {
            Tier::Ranked | Tier::Suspect => by_rank(),
            Tier::Holder | Tier::OverBound => by_cost().then_with(by_rank),
        })
    }
}

/// Reorders the top-ranked endpoints, which follow the holders, by cost.
fn promote_cheapest(ranked: &mut [RankedCandidate]) {
    let start = ranked.partition_point(|ranked| ranked.tier < Tier::Ranked);
    let end = ranked.partition_point(|ranked| ranked.tier <= Tier::Ranked);
    let cost_ordered = end.min(start + Placement::COST_ORDERED);
    ranked[start..cost_ordered]
        .sort_unstable_by(|a, b| a.candidate.cost.total_cmp(&b.candidate.cost));
}

fn candidate(req: &PlacementRequest<'_>, view: &EndpointView, now: MonoMs) -> Candidate {
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
