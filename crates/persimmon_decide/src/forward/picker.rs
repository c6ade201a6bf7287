//! Which endpoint a request goes to.

use std::sync::Arc;

use super::{
    Endpoint, EndpointDirectory, EndpointLoad, HealthBook, LoadBook, PrefixMap, PromptPart,
};
use crate::MonoMs;
use crate::load::{ChatKey, EndpointHash, rendezvous_score};

/// How far load may be uneven, and when a cache is worth moving.
#[derive(Debug, Clone, Copy)]
pub struct PickerSettings {
    /// Requests at an endpoint, as a multiple of the service's mean, up to which the endpoint that
    /// holds a prompt's start is preferred. Kept below the deployment's bound, since counts of other
    /// gateways are a moment old.
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
    pub even_unread_tokens: u32,
    /// How much reading the prompt itself weighs against waiting for others to be read. Above one,
    /// since reading it again also holds up every request that runs there.
    pub reading_weight: f64,
    /// Multiple of the mean load up to which an endpoint counts as not loaded.
    pub even_load_factor: f64,
    /// What a load of one more mean costs, in milliseconds: about what the tokens of a request take
    /// longer there over its whole answer.
    pub load_cost_ms: f64,
}

impl Default for PickerSettings {
    fn default() -> Self {
        Self {
            max_load_factor: 1.7,
            load_floor: 2.0,
            min_fetch_tokens: 64,
            tokens_per_ms: 80.0,
            even_unread_tokens: 30_000,
            reading_weight: 1.0,
            even_load_factor: 1.15,
            load_cost_ms: 40.0,
        }
    }
}

/// A request to place.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The parts of its prompt; empty where nothing is gained from a cache.
    pub parts: &'a [PromptPart],
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

/// Picks an endpoint for each request: for prompts, one that holds the start of the prompt, within
/// a bound on load; otherwise the least loaded.
#[derive(Debug)]
pub struct Picker {
    settings: PickerSettings,
}

/// What a pick is made from.
#[derive(Debug)]
struct Candidate<'a> {
    endpoint: &'a Arc<Endpoint>,
    load: u32,
    unread_tokens: u32,
}

impl Picker {
    /// A picker.
    pub fn new(settings: PickerSettings) -> Self {
        Self { settings }
    }

    /// Picks an endpoint; none if every published one was tried.
    pub fn pick(
        &self,
        req: &PickRequest<'_>,
        endpoints: &EndpointDirectory,
        loads: &LoadBook,
        health: &HealthBook,
        prefixes: &PrefixMap,
        now: MonoMs,
    ) -> Option<Choice> {
        let ready: Vec<_> = endpoints
            .ready(req.service)
            .map(|endpoint| {
                let EndpointLoad { requests, unread_tokens } = loads.total(endpoint.hash);
                Candidate { endpoint, load: requests, unread_tokens }
            })
            .collect();
        let mean =
            ready.iter().map(|it| f64::from(it.load)).sum::<f64>() / ready.len().max(1) as f64;
        let usable = Self::usable(req, &ready, health, now);
        if req.parts.is_empty() {
            let least = Self::least_loaded(req, &usable, health, now)?;
            return Some(Choice {
                endpoint: least.endpoint.clone(),
                fetch_from: None,
                load: least.load,
                cached_tokens: 0,
                unread_tokens: 0,
            });
        }
        let bound = self.settings.max_load_factor * mean + self.settings.load_floor;
        self.by_prefix(req, &usable, endpoints, health, prefixes, (mean, bound), now)
    }

    /// What the load of an endpoint costs a request, in milliseconds. Endpoints near the mean cost
    /// nothing, so that gateways whose counts differ a little still agree.
    fn load_cost_ms(&self, load: u32, mean: f64) -> f64 {
        let even = mean * self.settings.even_load_factor + 1.0;
        let excess = (f64::from(load) - even).max(0.0);
        excess / mean.max(1.0) * self.settings.load_cost_ms
    }

    /// The endpoints that weren't tried and seem sound. If there are none, or if that would leave
    /// out more than half of the service, those that are only suspected are used too.
    fn usable<'a, 'b>(
        req: &PickRequest<'_>,
        ready: &'b [Candidate<'a>],
        health: &HealthBook,
        now: MonoMs,
    ) -> Vec<&'b Candidate<'a>> {
        let untried: Vec<_> =
            ready.iter().filter(|it| !req.tried.contains(&it.endpoint.hash)).collect();
        let failing = health.failing(ready.iter().map(|it| it.endpoint.hash), now);
        let is_trial = health.is_trial(req.draw);
        let reached: Vec<_> = untried
            .iter()
            .copied()
            .filter(|it| !health.is_ejected(it.endpoint.hash, now))
            .collect();
        let sound: Vec<_> = reached
            .iter()
            .copied()
            .filter(|it| is_trial || !failing.contains(&it.endpoint.hash))
            .collect();
        if sound.len() * 2 >= untried.len() && !sound.is_empty() {
            return sound;
        }
        if reached.is_empty() { untried } else { reached }
    }

    fn least_loaded<'a, 'b>(
        req: &PickRequest<'_>,
        usable: &[&'b Candidate<'a>],
        health: &HealthBook,
        now: MonoMs,
    ) -> Option<&'b Candidate<'a>> {
        let cost = |it: &Candidate<'_>| {
            let busy = f64::from(it.load) / f64::from(it.endpoint.slots);
            busy + health.failure_rate(it.endpoint.hash, now)
        };
        let tie = |it: &Candidate<'_>| {
            let is_far = *it.endpoint.zone != *req.zone;
            let score = rendezvous_score(ChatKey(req.draw), it.endpoint.hash, 1);
            (is_far, score)
        };
        usable.iter().copied().min_by(|a, b| {
            let by_cost = cost(a).total_cmp(&cost(b));
            by_cost.then_with(|| {
                let (a, b) = (tie(a), tie(b));
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
            })
        })
    }

    fn by_prefix(
        &self,
        req: &PickRequest<'_>,
        usable: &[&Candidate<'_>],
        endpoints: &EndpointDirectory,
        health: &HealthBook,
        prefixes: &PrefixMap,
        (mean, bound): (f64, f64),
        now: MonoMs,
    ) -> Option<Choice> {
        let cached = prefixes.cached(req.parts, now);
        let tokens_at = |endpoint: EndpointHash| {
            cached.iter().find(|(it, _)| *it == endpoint).map_or(0, |(_, tokens)| *tokens)
        };
        let key = ChatKey(placement_key(req.parts));
        let rank = |it: &Candidate<'_>| rendezvous_score(key, it.endpoint.hash, it.endpoint.slots);
        let whole: u32 = req.parts.iter().map(|part| part.tokens).sum();
        let shared = shared_tokens(req.parts);
        // A short common start doesn't draw a prompt away from its rank, so that gateways that know
        // no holders choose the endpoint that the others chose.
        let saved = |tokens: u32| if tokens * 2 >= shared { tokens } else { 0 };
        let cost = |it: &Candidate<'_>| {
            let unread = whole.saturating_sub(saved(tokens_at(it.endpoint.hash)));
            let waiting = it.unread_tokens.saturating_sub(self.settings.even_unread_tokens);
            let tokens = f64::from(waiting) + f64::from(unread) * self.settings.reading_weight;
            self.load_cost_ms(it.load, mean) + tokens / self.settings.tokens_per_ms
        };
        let relative = |it: &Candidate<'_>| f64::from(it.load) / f64::from(it.endpoint.slots);
        let under = usable.iter().filter(|it| f64::from(it.load + 1) <= bound);
        let cheapest = under
            .min_by(|a, b| cost(a).total_cmp(&cost(b)).then_with(|| rank(a).total_cmp(&rank(b))));
        let least = || usable.iter().min_by(|a, b| relative(a).total_cmp(&relative(b)));
        let chosen = cheapest.or_else(least)?;
        let own_tokens = tokens_at(chosen.endpoint.hash);
        let fetch_from =
            self.source(req, chosen.endpoint, own_tokens, &cached, endpoints, health, now);
        Some(Choice {
            endpoint: chosen.endpoint.clone(),
            fetch_from,
            load: chosen.load,
            cached_tokens: own_tokens,
            unread_tokens: whole.saturating_sub(own_tokens),
        })
    }

    /// The endpoint that holds most of the prompt's start beyond what the chosen one holds. Where no
    /// holder is known, it is the one that ranks first among all others, since such prompts went there
    /// before the endpoints or the gateways changed. Asking one that holds nothing moves nothing.
    fn source(
        &self,
        req: &PickRequest<'_>,
        chosen: &Arc<Endpoint>,
        own_tokens: u32,
        cached: &[(EndpointHash, u32)],
        endpoints: &EndpointDirectory,
        health: &HealthBook,
        now: MonoMs,
    ) -> Option<Arc<Endpoint>> {
        let others = || {
            let of_service = endpoints.of_service(req.service).iter();
            of_service.filter(|it| it.id != chosen.id && !health.is_ejected(it.hash, now))
        };
        let known = cached
            .iter()
            .find_map(|(hash, tokens)| Some((others().find(|it| it.hash == *hash)?, *tokens)));
        let shared = shared_tokens(req.parts);
        let (source, tokens) = match known {
            Some((source, tokens)) if tokens * 2 >= shared => (source, tokens),
            _ => {
                let key = ChatKey(placement_key(req.parts));
                let rank = |it: &Arc<Endpoint>| rendezvous_score(key, it.hash, it.slots);
                (others().min_by(|a, b| rank(a).total_cmp(&rank(b)))?, shared)
            }
        };
        let gain = tokens.saturating_sub(own_tokens);
        (gain >= self.settings.min_fetch_tokens).then(|| source.clone())
    }
}

/// Tokens before the last part, which belongs to the request itself or to its session.
fn shared_tokens(parts: &[PromptPart]) -> u32 {
    parts.iter().rev().skip(1).map(|part| part.tokens).sum()
}

/// The part by which prompts are kept together: the deepest one that several requests share.
fn placement_key(parts: &[PromptPart]) -> u64 {
    let shared = parts.len().saturating_sub(2);
    parts.get(shared).map_or(0, |part| part.id)
}
