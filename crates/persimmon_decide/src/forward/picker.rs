//! Which endpoint a request goes to.

use std::sync::Arc;

use super::{
    Endpoint, EndpointDirectory, EndpointLoad, HealthTracker, LoadTracker, PrefixMap, PromptPart,
};
use crate::MonoMs;
use crate::load::{ChatKey, EndpointHash, rendezvous_score};

/// How far load may be uneven, and when a cache is worth moving.
#[derive(Debug, Clone, Copy)]
pub struct PickerSettings {
    /// Requests at an endpoint, as a multiple of the service's mean, up to which the endpoint that
    /// holds a prompt's start is preferred. Kept below the deployment's bound, since counts of
    /// other gateways are a moment old.
    pub max_load_factor: f64,
    /// Requests allowed besides; with few requests any single one exceeds a multiple of the mean.
    pub load_floor: f64,
    /// Cached tokens from which an endpoint is asked to copy a prompt's start from another, in
    /// tokens; fewer are read faster than they are fetched.
    pub min_fetch_tokens: u32,
    /// Tokens that an engine reads in a millisecond; engines don't publish it. Only the order of
    /// magnitude matters.
    pub tokens_per_ms: f64,
    /// Unread tokens up to which an endpoint counts as not waiting, so that gateways whose counts
    /// differ a little still agree.
    pub tolerated_unread_tokens: u32,
    /// Multiple of the mean load up to which an endpoint counts as not loaded.
    pub tolerated_load_factor: f64,
    /// What a sure failure costs a request that can't be sent again, in milliseconds; rates that
    /// every endpoint has cost nothing. It is worth reading a long prompt anew.
    pub failure_cost_ms: f64,
    /// What a load of one more mean costs, in milliseconds: about what the tokens of a request take
    /// longer there over its total_tokens answer.
    pub load_cost_ms: f64,
}

impl PickerSettings {
    /// Part of a deployment's bound up to which endpoints are filled; the rest covers the age of
    /// the other gateways' counts.
    const BOUND_FRACTION: f64 = 0.85;

    /// Settings for a bound on load, as a multiple of the service's mean.
    pub fn for_bound(bound: f64) -> Self {
        let max_load_factor = (bound * Self::BOUND_FRACTION).max(1.0);
        let defaults = Self::default();
        let tolerated_load_factor = defaults.tolerated_load_factor.min(max_load_factor);
        Self { max_load_factor, tolerated_load_factor, ..defaults }
    }
}

impl Default for PickerSettings {
    fn default() -> Self {
        Self {
            max_load_factor: 1.7,
            load_floor: 2.0,
            min_fetch_tokens: 64,
            tokens_per_ms: 80.0,
            tolerated_unread_tokens: 30_000,
            tolerated_load_factor: 1.15,
            failure_cost_ms: 1_000.0,
            load_cost_ms: 40.0,
        }
    }
}

/// What a gateway knows of the fleet when it places a request.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// The published endpoints.
    pub endpoints: &'a EndpointDirectory,
    /// Requests in progress.
    pub loads: &'a LoadTracker,
    /// Endpoints to avoid.
    pub health: &'a HealthTracker,
    /// Holders of prompts' parts.
    pub prefixes: &'a PrefixMap,
    /// The time.
    pub now: MonoMs,
}

/// A request to place.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The parts of its prompt; empty where nothing is gained from a cache.
    pub parts: &'a [PromptPart],
    /// Whether it may run once more after an endpoint failed it.
    pub may_repeat: bool,
    /// Fill up to which an endpoint may take it, as a multiple of the endpoint's slots; infinite if
    /// it is taken in any case.
    pub max_fill: f64,
    /// Endpoints that already failed it.
    pub tried: &'a [EndpointHash],
    /// The gateway's availability zone.
    pub zone: &'a str,
    /// Any number; decides between equals.
    pub draw: u64,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// An endpoint that holds more of the prompt's start.
    pub fetch_from: Option<Arc<Endpoint>>,
    /// Requests at the endpoint, over all gateways, when it was chosen.
    pub load: u32,
    /// Tokens of the prompt that the endpoint probably holds.
    pub cached_tokens: u32,
    /// Tokens of the prompt that it has to read, or to fetch.
    pub unread_tokens: u32,
}

/// Why no endpoint takes a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NoChoice {
    /// Every published endpoint was tried, or there is none.
    NoEndpoint,
    /// Each is too full for it.
    Full {
        /// The fill of the least full one, as a multiple of its slots.
        least_fill: f64,
    },
}

/// Picks an endpoint for each request: for prompts, the one that begins to answer first, within a
/// bound on load; otherwise the least loaded.
#[derive(Debug)]
pub struct Picker {
    settings: PickerSettings,
}

impl Picker {
    /// A picker.
    pub fn new(settings: PickerSettings) -> Self {
        Self { settings }
    }

    /// Picks an endpoint.
    ///
    /// # Errors
    ///
    /// None takes the request.
    pub fn pick(&self, req: &PickRequest<'_>, view: FleetView<'_>) -> Result<Choice, NoChoice> {
        let candidates = Candidates::new(req, view).with_room(req.max_fill)?;
        let choice = match req.parts.is_empty() {
            true => candidates.least_loaded(req, view).map(Candidate::to_choice),
            false => PromptPlacement::new(&self.settings, req, view, &candidates).pick(&candidates),
        };
        choice.ok_or(NoChoice::NoEndpoint)
    }
}

/// An endpoint with what it has to do.
#[derive(Debug, Clone)]
struct Candidate {
    endpoint: Arc<Endpoint>,
    load: EndpointLoad,
}

impl Candidate {
    /// Requests in progress for each that can run at once.
    fn fill(&self) -> f64 {
        f64::from(self.load.requests) / f64::from(self.endpoint.slots)
    }

    fn to_choice(&self) -> Choice {
        Choice {
            endpoint: self.endpoint.clone(),
            fetch_from: None,
            load: self.load.requests,
            cached_tokens: 0,
            unread_tokens: 0,
        }
    }
}

/// The endpoints of a service that may be picked, and their mean load.
#[derive(Debug)]
struct Candidates {
    usable: Vec<Candidate>,
    mean: f64,
}

impl Candidates {
    /// The endpoints that weren't tried and seem healthy. If there are none, or if that would leave
    /// out more than half of the service, those that are only suspected are used too.
    fn new(req: &PickRequest<'_>, view: FleetView<'_>) -> Self {
        let candidate = |endpoint: &Arc<Endpoint>| Candidate {
            endpoint: endpoint.clone(),
            load: view.loads.total(endpoint.hash),
        };
        let ready: Vec<_> = view.endpoints.ready(req.service).map(candidate).collect();
        let requests: u32 = ready.iter().map(|it| it.load.requests).sum();
        let mean = f64::from(requests) / ready.len().max(1) as f64;
        let failing = view.health.failing(ready.iter().map(|it| it.endpoint.hash), view.now);
        // A failed trial costs a caller its request, unless it can be sent again.
        let is_trial = req.may_repeat && view.health.is_trial(req.draw);
        let untried: Vec<_> =
            ready.into_iter().filter(|it| !req.tried.contains(&it.endpoint.hash)).collect();
        let is_reachable = |it: &Candidate| !view.health.is_ejected(it.endpoint.hash, view.now);
        let reachable: Vec<_> = untried.iter().filter(|it| is_reachable(it)).cloned().collect();
        let is_healthy = |it: &Candidate| is_trial || !failing.contains(&it.endpoint.hash);
        let healthy: Vec<_> = reachable.iter().filter(|it| is_healthy(it)).cloned().collect();
        let usable = if healthy.len() * 2 >= untried.len() && !healthy.is_empty() {
            healthy
        } else if reachable.is_empty() {
            untried
        } else {
            reachable
        };
        Self { usable, mean }
    }

    /// Those that may take one more request up to this fill.
    fn with_room(mut self, max_fill: f64) -> Result<Self, NoChoice> {
        let least_fill = self.usable.iter().map(Candidate::fill).min_by(f64::total_cmp);
        let least_fill = least_fill.ok_or(NoChoice::NoEndpoint)?;
        // Endpoints with few slots aren't left idle for a part of one.
        let max_requests = |slots: u32| (max_fill * f64::from(slots)).round().max(1.0);
        let has_room =
            |it: &Candidate| f64::from(it.load.requests + 1) <= max_requests(it.endpoint.slots);
        self.usable.retain(has_room);
        if self.usable.is_empty() { Err(NoChoice::Full { least_fill }) } else { Ok(self) }
    }

    /// The mean failure rate.
    fn failure_rate(&self, view: FleetView<'_>) -> f64 {
        let rates =
            self.usable.iter().map(|it| view.health.failure_rate(it.endpoint.hash, view.now));
        rates.sum::<f64>() / self.usable.len().max(1) as f64
    }

    /// The least loaded endpoint. Failures count as load, and of equals one in the own zone is
    /// taken.
    fn least_loaded(&self, req: &PickRequest<'_>, view: FleetView<'_>) -> Option<&Candidate> {
        let cost =
            |it: &Candidate| it.fill() + view.health.failure_rate(it.endpoint.hash, view.now);
        let is_other_zone = |it: &Candidate| *it.endpoint.zone != *req.zone;
        let score = |it: &Candidate| rendezvous_score(ChatKey(req.draw), it.endpoint.hash, 1);
        let costs = self.usable.iter().map(|it| (it, cost(it)));
        let least = costs.min_by(|(a, cost_a), (b, cost_b)| {
            let by_cost = cost_a.total_cmp(cost_b);
            by_cost
                .then(is_other_zone(a).cmp(&is_other_zone(b)))
                .then(score(a).total_cmp(&score(b)))
        });
        least.map(|(it, _)| it)
    }
}

/// The placement of one prompt.
#[derive(Debug)]
struct PromptPlacement<'a> {
    settings: &'a PickerSettings,
    view: FleetView<'a>,
    service: &'a str,
    /// By which prompts are kept together.
    key: ChatKey,
    /// Tokens in all.
    total_tokens: u32,
    /// Tokens that other prompts share.
    shared_tokens: u32,
    /// Tokens at the start that endpoints probably hold, longest first.
    cached: Vec<(EndpointHash, u32)>,
    mean: f64,
    /// Mean failure rate of the endpoints that may be picked; none if the request may be repeated, to
    /// which failures cost nothing.
    mean_failure_rate: Option<f64>,
}

impl<'a> PromptPlacement<'a> {
    fn new(
        settings: &'a PickerSettings,
        req: &PickRequest<'a>,
        view: FleetView<'a>,
        candidates: &Candidates,
    ) -> Self {
        Self {
            settings,
            view,
            service: req.service,
            key: ChatKey(placement_key(req.parts)),
            total_tokens: req.parts.iter().map(|part| part.tokens).sum(),
            shared_tokens: shared_tokens(req.parts),
            cached: view.prefixes.cached(req.parts, view.now),
            mean: candidates.mean,
            mean_failure_rate: (!req.may_repeat).then(|| candidates.failure_rate(view)),
        }
    }

    /// The endpoint under the bound at which the prompt costs least; by rank among equals. If all
    /// are over the bound, the least fill one.
    fn pick(&self, candidates: &Candidates) -> Option<Choice> {
        let bound = self.settings.max_load_factor * self.mean + self.settings.load_floor;
        let usable = &candidates.usable;
        let under = usable.iter().filter(|it| f64::from(it.load.requests + 1) <= bound);
        let costs = under.map(|it| (it, self.cost_ms(it)));
        let cheapest = costs.min_by(|(a, cost_a), (b, cost_b)| {
            let by_cost = cost_a.total_cmp(cost_b);
            by_cost.then_with(|| self.rank(&a.endpoint).total_cmp(&self.rank(&b.endpoint)))
        });
        let least_filled = || usable.iter().min_by(|a, b| a.fill().total_cmp(&b.fill()));
        let chosen = cheapest.map(|(it, _)| it).or_else(least_filled)?;
        let cached_tokens = self.cached_at(chosen.endpoint.hash);
        Some(Choice {
            endpoint: chosen.endpoint.clone(),
            fetch_from: self.fetch_source(&chosen.endpoint, cached_tokens),
            load: chosen.load.requests,
            cached_tokens,
            unread_tokens: self.total_tokens.saturating_sub(cached_tokens),
        })
    }

    /// What the prompt costs at an endpoint, in milliseconds: its own reading, the prompts that
    /// wait there, the load, and failures if it can't be sent again.
    ///
    /// Small waits and loads cost nothing, so that gateways whose counts differ a little still
    /// agree; and a short common start doesn't draw a prompt away from its rank, so that gateways
    /// that know no holders choose the endpoint that the others chose.
    fn cost_ms(&self, it: &Candidate) -> f64 {
        let cached = self.cached_at(it.endpoint.hash);
        let saved = if cached * 2 >= self.shared_tokens { cached } else { 0 };
        let unread = self.total_tokens.saturating_sub(saved);
        let waiting = it.load.unread_tokens.saturating_sub(self.settings.tolerated_unread_tokens);
        let reading_ms = f64::from(waiting + unread) / self.settings.tokens_per_ms;
        let tolerated = self.mean * self.settings.tolerated_load_factor + 1.0;
        let excess = (f64::from(it.load.requests) - tolerated).max(0.0);
        let load_ms = excess / self.mean.max(1.0) * self.settings.load_cost_ms;
        reading_ms + load_ms + self.failure_ms(it.endpoint.hash)
    }

    fn failure_ms(&self, endpoint: EndpointHash) -> f64 {
        let Some(mean_rate) = self.mean_failure_rate else { return 0.0 };
        let rate = self.view.health.failure_rate(endpoint, self.view.now);
        (rate - mean_rate).max(0.0) * self.settings.failure_cost_ms
    }

    fn rank(&self, endpoint: &Endpoint) -> f64 {
        rendezvous_score(self.key, endpoint.hash, endpoint.slots)
    }

    fn cached_at(&self, endpoint: EndpointHash) -> u32 {
        self.cached.iter().find(|(it, _)| *it == endpoint).map_or(0, |(_, tokens)| *tokens)
    }

    /// The endpoint that holds most of the prompt's start beyond what the chosen one holds. Where
    /// no holder is known, it is the one that ranks first among all others, since such prompts went
    /// there before the endpoints or the gateways changed. Asking one that holds nothing moves
    /// nothing.
    fn fetch_source(&self, chosen: &Endpoint, cached_tokens: u32) -> Option<Arc<Endpoint>> {
        let others = || {
            let of_service = self.view.endpoints.of_service(self.service).iter();
            of_service.filter(|it| {
                it.id != chosen.id && !self.view.health.is_ejected(it.hash, self.view.now)
            })
        };
        let known = self
            .cached
            .iter()
            .find_map(|(hash, tokens)| Some((others().find(|it| it.hash == *hash)?, *tokens)));
        let (source, tokens) = match known {
            Some((source, tokens)) if tokens * 2 >= self.shared_tokens => (source, tokens),
            _ => {
                let first = others().min_by(|a, b| self.rank(a).total_cmp(&self.rank(b)))?;
                (first, self.shared_tokens)
            }
        };
        let gain = tokens.saturating_sub(cached_tokens);
        (gain >= self.settings.min_fetch_tokens).then(|| source.clone())
    }
}

/// Tokens before the last part, which belongs to the request itself or to its session.
fn shared_tokens(parts: &[PromptPart]) -> u32 {
    parts.iter().rev().skip(1).map(|part| part.tokens).sum()
}

/// The part by which prompts are kept together: the deepest one that several requests share.
fn placement_key(parts: &[PromptPart]) -> u64 {
    let deepest_shared = parts.len().saturating_sub(2);
    parts.get(deepest_shared).map_or(0, |part| part.id)
}
