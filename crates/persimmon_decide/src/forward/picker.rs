//! Selection of the endpoint for a request.

use std::sync::Arc;

use super::fleet_view::Closed;
use super::service_speeds::ServiceSpeeds;
use super::{Endpoint, EndpointLoad, FleetView, LoadTracker, PickerSettings, PromptPart};
use crate::load::{ChatKey, EndpointHash, rendezvous_score};

/// The request for which [`Picker::pick`] chooses an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Parts of the prompt; empty if the request doesn't profit from a cache.
    pub parts: &'a [PromptPart],
    /// Whether the request may run again after an endpoint fails it.
    pub may_repeat: bool,
    /// Maximum fill of an endpoint that can be chosen, as a multiple of the endpoint's slots;
    /// infinite if there is no limit.
    pub max_fill: f64,
    /// Software version of the endpoint; none if any will do.
    pub version: Option<&'a str>,
    /// Endpoints that have already failed the request.
    pub tried: &'a [EndpointHash],
    /// Availability zone of the gateway.
    pub zone: &'a str,
    /// Weight of what peers report of one endpoint's load, against the mean of what they report; see
    /// [`count_weight`]. One for requests with a prompt, which are placed by the counts as they are.
    pub count_weight: f64,
    /// Random number that breaks ties.
    pub draw: u64,
}

/// Returns the weight of peers' counts that are up to `age_ms` old, for requests that take `answer_ms`.
///
/// Handles short calls in large fleets: when a count arrives, the requests that it counted have long
/// ended, and all gateways that go by it send theirs to the same endpoint until the next one. The
/// weight is never zero, so that lasting differences still count.
pub fn count_weight(answer_ms: u64, age_ms: u64) -> f64 {
    const MIN_WEIGHT: f64 = 0.02;
    (answer_ms as f64 / age_ms.max(1) as f64).clamp(MIN_WEIGHT, 1.0)
}

impl PickRequest<'_> {
    /// Reports whether the request may go to an endpoint: it hasn't failed the request, and has the
    /// right version.
    fn allows(&self, endpoint: &Endpoint) -> bool {
        !self.tried.contains(&endpoint.hash)
            && self.version.is_none_or(|version| *endpoint.version == *version)
    }
}

/// The endpoint chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Endpoint that gets the request.
    pub endpoint: Arc<Endpoint>,
    /// Endpoint from which the chosen one can fetch a longer part of the prompt's prefix.
    pub fetch_from: Option<Arc<Endpoint>>,
    /// Requests at the endpoint, summed over all gateways, at the time of the choice.
    pub load: u32,
    /// Tokens of the prompt that the endpoint has probably cached.
    pub cached_tokens: u32,
    /// Tokens of the prompt that the endpoint has to read or fetch.
    pub unread_tokens: u32,
}

/// Reason why no endpoint can be picked for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NoChoice {
    /// No endpoint that the request hasn't tried.
    NoEndpoint,
    /// Every endpoint that the request hasn't tried wants no requests for a while.
    Paused {
        /// Time until the first of them is back, in milliseconds.
        left_ms: u64,
    },
    /// Every endpoint that the request hasn't tried names a limit that is reached, or has paused.
    Limited {
        /// Time until the first of them takes a request, in milliseconds.
        left_ms: u64,
    },
    /// Every endpoint that the request hasn't tried is cold and has got what it bears, or has paused.
    Cold {
        /// Time until the first of them takes a request, in milliseconds.
        left_ms: u64,
    },
    /// No endpoint with room for the request.
    Full {
        /// Fill of the least full endpoint, as a multiple of its slots.
        least_fill: f64,
    },
}

/// Picks an endpoint for each request.
///
/// A request with a prompt goes to the endpoint expected to start answering first, within a bound
/// on load. Any other request goes to the least loaded endpoint. Where endpoints state their speed,
/// those that are always slower get less load, and long prompts avoid those that are slow now.
#[derive(Debug)]
pub struct Picker {
    settings: PickerSettings,
}

impl Picker {
    /// Creates a picker.
    pub fn new(settings: PickerSettings) -> Self {
        Self { settings }
    }

    /// Picks an endpoint.
    ///
    /// # Errors
    ///
    /// Returns [`NoChoice`] if no endpoint can be picked for the request.
    pub fn pick(&self, req: &PickRequest<'_>, view: FleetView<'_>) -> Result<Choice, NoChoice> {
        let candidates = Candidates::new(&self.settings, req, view)?.with_room(req.max_fill)?;
        let choice = match req.parts.is_empty() {
            true => candidates.least_loaded(req, view).map(Candidate::to_choice),
            false => PromptPlacement::new(&self.settings, req, view, &candidates).pick(&candidates),
        };
        choice.ok_or(NoChoice::NoEndpoint)
    }
}

/// An endpoint and its load.
#[derive(Debug, Clone)]
struct Candidate {
    endpoint: Arc<Endpoint>,
    load: EndpointLoad,
    /// Requests that are probably in progress now, given the age of the peers' counts.
    expected: f64,
    /// Factor by which work there usually takes longer; none if the endpoint doesn't state its speed.
    lasting: Option<f64>,
    /// Load that the endpoint should get for its speed, as a multiple of the mean.
    share: f64,
}

impl Candidate {
    /// Returns the slots, weighted by the endpoint's speed.
    fn capacity(&self) -> f64 {
        f64::from(self.endpoint.slots) * self.share
    }

    /// Returns the requests in progress as a multiple of the endpoint's capacity.
    fn fill(&self) -> f64 {
        self.expected / self.capacity()
    }

    /// Reports whether one more request stays within `max_fill`. The slots of a slow endpoint are filled as
    /// those of any other, since an idle one serves nobody; what waits there takes longer.
    fn has_room(&self, max_fill: f64) -> bool {
        let max_fill = match self.share < 1.0 && max_fill > 1.0 {
            true => 1.0 + (max_fill - 1.0) * self.share,
            false => max_fill,
        };
        // Rounds so that a fractional limit doesn't leave slots of small endpoints idle.
        let max_requests = (max_fill * f64::from(self.endpoint.slots)).round().max(1.0);
        self.expected + 1.0 <= max_requests
    }

    fn to_choice(&self) -> Choice {
        Choice {
            endpoint: self.endpoint.clone(),
            fetch_from: None,
            load: self.expected.round() as u32,
            cached_tokens: 0,
            unread_tokens: 0,
        }
    }
}

/// The endpoints of a service that may be picked, and the mean load of the service.
#[derive(Debug)]
struct Candidates<'a> {
    usable: Vec<Candidate>,
    mean: f64,
    speeds: ServiceSpeeds<'a>,
}

impl<'a> Candidates<'a> {
    /// Collects the healthy endpoints that the request hasn't tried. If these are less than half of
    /// the untried ones, endpoints with a high failure rate are included; if every untried endpoint
    /// is ejected, all untried ones are. Endpoints at whose addresses other processes have answered
    /// are included only if no other is left. Endpoints that want no requests now are never included, and
    /// the mean is that of the others.
    fn new(
        settings: &'a PickerSettings,
        req: &PickRequest<'_>,
        view: FleetView<'a>,
    ) -> Result<Self, NoChoice> {
        let candidate = |endpoint: &Arc<Endpoint>| {
            let load = view.loads.total(endpoint.hash);
            let expected = f64::from(load.requests);
            let lasting = view.speeds.lasting(endpoint.hash);
            Candidate { endpoint: endpoint.clone(), load, expected, lasting, share: 1.0 }
        };
        let is_open = |it: &&Arc<Endpoint>| view.is_open(it);
        let open = view.endpoints.ready(req.service).filter(is_open);
        let mut ready: Vec<_> = open.map(candidate).collect();
        if !ready.iter().any(|it| req.allows(&it.endpoint)) {
            let replaced = view.endpoints.replaced(req.service).filter(is_open);
            ready.extend(replaced.map(candidate));
        }
        let lasting = ready.iter().filter_map(|it| it.lasting);
        let speeds = ServiceSpeeds::new(view.speeds, settings, lasting, req.draw, view.now);
        for it in &mut ready {
            it.share = speeds.share(it.lasting);
        }
        let requests: u32 = ready.iter().map(|it| it.load.requests).sum();
        let mean = f64::from(requests) / ready.len().max(1) as f64;
        if req.count_weight < 1.0 {
            weigh_peers(&mut ready, req.count_weight, view.loads);
        }
        let failing = view.health.failing(ready.iter().map(|it| it.endpoint.hash), view.now);
        // A failed trial costs the caller its request unless the request can be repeated.
        let is_trial = req.may_repeat && view.health.is_trial(req.draw);
        let untried: Vec<_> = ready.into_iter().filter(|it| req.allows(&it.endpoint)).collect();
        if untried.is_empty() {
            return Err(Self::none_left(req, view));
        }
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
        Ok(Self { usable, mean, speeds })
    }

    /// Returns why no untried endpoint can be picked.
    fn none_left(req: &PickRequest<'_>, view: FleetView<'_>) -> NoChoice {
        let untried = view.endpoints.ready(req.service).filter(|it| req.allows(it));
        match untried.filter_map(|it| view.closed(it)).min() {
            None => NoChoice::NoEndpoint,
            Some((left_ms, Closed::Paused)) => NoChoice::Paused { left_ms },
            Some((left_ms, Closed::Limited)) => NoChoice::Limited { left_ms },
            Some((left_ms, Closed::Cold)) => NoChoice::Cold { left_ms },
        }
    }

    /// Removes the endpoints that one more request would fill beyond `max_fill`.
    fn with_room(mut self, max_fill: f64) -> Result<Self, NoChoice> {
        let least_fill = self.usable.iter().map(Candidate::fill).min_by(f64::total_cmp);
        let least_fill = least_fill.ok_or(NoChoice::NoEndpoint)?;
        self.usable.retain(|it| it.has_room(max_fill));
        if self.usable.is_empty() { Err(NoChoice::Full { least_fill }) } else { Ok(self) }
    }

    /// Returns the mean failure rate of the candidates.
    fn failure_rate(&self, view: FleetView<'_>) -> f64 {
        let rates =
            self.usable.iter().map(|it| view.health.failure_rate(it.endpoint.hash, view.now));
        rates.sum::<f64>() / self.usable.len().max(1) as f64
    }

    /// Returns the least loaded endpoint, where the failure rate counts as load. Among equals, an
    /// endpoint in the gateway's own zone is preferred.
    ///
    /// The less the peers' counts say, the larger is the step to which loads are rounded, from a random
    /// start for each request: otherwise every gateway would follow the same small differences.
    fn least_loaded(&self, req: &PickRequest<'_>, view: FleetView<'_>) -> Option<&Candidate> {
        const MAX_STEP: f64 = 0.5;
        let step = MAX_STEP * (1.0 - req.count_weight);
        let start = req.draw as f64 / u64::MAX as f64;
        let rounded = |it: &Candidate| match step {
            0.0 => it.expected,
            step => (it.expected / step + start).floor() * step,
        };
        let cost = |it: &Candidate| {
            let fill = rounded(it) / it.capacity();
            fill + view.health.failure_rate(it.endpoint.hash, view.now)
        };
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

/// Weighs what peers report of each endpoint's load against the mean of what they report. This gateway's
/// own requests count as they are.
fn weigh_peers(candidates: &mut [Candidate], weight: f64, loads: &LoadTracker) {
    let own: Vec<_> = candidates.iter().map(|it| f64::from(loads.own(it.endpoint.hash))).collect();
    let of_peers = |(it, own): (&Candidate, &f64)| it.expected - own;
    let mean = candidates.iter().zip(&own).map(of_peers).sum::<f64>() / own.len().max(1) as f64;
    for (it, own) in candidates.iter_mut().zip(own) {
        it.expected = own + weight * (it.expected - own) + (1.0 - weight) * mean;
    }
}

/// Chooses the endpoint for one request with a prompt.
#[derive(Debug)]
struct PromptPlacement<'a> {
    settings: &'a PickerSettings,
    view: FleetView<'a>,
    speeds: ServiceSpeeds<'a>,
    service: &'a str,
    /// Key of the rendezvous hash, which places prompts with the same prefix at the same endpoint.
    key: ChatKey,
    /// Tokens of the whole prompt.
    total_tokens: u32,
    /// Tokens of the prefix that other prompts may share.
    shared_tokens: u32,
    /// Length of the prefix that each endpoint has probably cached, in tokens, longest first.
    cached: Vec<(EndpointHash, u32)>,
    mean: f64,
    /// Mean failure rate of the candidates; none if the request may be repeated, since failures
    /// then cost nothing.
    mean_failure_rate: Option<f64>,
}

impl<'a> PromptPlacement<'a> {
    fn new(
        settings: &'a PickerSettings,
        req: &PickRequest<'a>,
        view: FleetView<'a>,
        candidates: &Candidates<'a>,
    ) -> Self {
        Self {
            settings,
            view,
            speeds: candidates.speeds,
            service: req.service,
            key: ChatKey(placement_key(req.parts)),
            total_tokens: req.parts.iter().map(|part| part.tokens).sum(),
            shared_tokens: shared_tokens(req.parts),
            cached: view.prefixes.cached(req.parts, view.now),
            mean: candidates.mean,
            mean_failure_rate: (!req.may_repeat).then(|| candidates.failure_rate(view)),
        }
    }

    /// Returns the cheapest endpoint within the load bound; rendezvous rank breaks ties. If every
    /// endpoint exceeds the bound, returns the one with the lowest fill.
    fn pick(&self, candidates: &Candidates<'_>) -> Option<Choice> {
        let factor = self.settings.max_load_factor * self.mean;
        let bound = |it: &Candidate| factor * it.share + self.settings.load_floor;
        let usable = &candidates.usable;
        let under = usable.iter().filter(|it| f64::from(it.load.requests + 1) <= bound(it));
        let costs = under.map(|it| (it, self.cost_ms(it)));
        let cheapest = costs.min_by(|(a, cost_a), (b, cost_b)| {
            let by_cost = cost_a.total_cmp(cost_b);
            by_cost.then_with(|| self.rank(a).total_cmp(&self.rank(b)))
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

    /// Returns the cost of the prompt at an endpoint, in milliseconds: the time to read this prompt
    /// and those queued before it, the load, and the risk of failure if the request can't be
    /// repeated.
    ///
    /// Low load and short queues cost nothing, so that gateways with slightly different counts
    /// choose the same endpoint. A cached prefix counts only if it covers at least half of the
    /// shared tokens, so that a short common prefix doesn't move a prompt away from its rendezvous
    /// rank. A gateway that knows of no cached prefix then still chooses the same endpoint as the
    /// others.
    fn cost_ms(&self, it: &Candidate) -> f64 {
        let cached = self.cached_at(it.endpoint.hash);
        let saved = if cached * 2 >= self.shared_tokens { cached } else { 0 };
        let unread = self.total_tokens.saturating_sub(saved);
        let reading_ms = self.reading_ms(it, unread);
        let tolerated = self.mean * it.share * self.settings.tolerated_load_factor + 1.0;
        let excess = (f64::from(it.load.requests) - tolerated).max(0.0);
        let load_ms = excess / self.mean.max(1.0) * self.settings.load_cost_ms;
        reading_ms + load_ms + self.failure_ms(it.endpoint.hash)
    }

    /// Returns the time to read `unread` tokens of this prompt, and what is queued before them.
    ///
    /// Handles long prompts beside running streams, where endpoints state their speed: engines read
    /// prompts between the events of streams, so that these pause for as long as the endpoint is slow and
    /// has much to read. Short prompts stay where their prefix is cached.
    fn reading_ms(&self, it: &Candidate, unread: u32) -> f64 {
        let settings = self.settings;
        let is_long = self.speeds.is_stated() && unread >= settings.long_unread_tokens;
        let waiting = match is_long {
            true => self.waiting_now(it),
            false => f64::from(it.load.unread_tokens),
        };
        let waiting = (waiting - f64::from(settings.tolerated_unread_tokens)).max(0.0);
        let needs_delay = self.speeds.is_stated() && (is_long || waiting > 0.0);
        let delay = if needs_delay { self.speeds.delay(it.endpoint.hash) } else { 1.0 };
        let own_delay = if is_long { delay } else { 1.0 };
        let tokens = waiting * delay + f64::from(unread) * own_delay;
        tokens / settings.tokens_per_ms
    }

    /// Returns the tokens that an endpoint probably still has to read, given the age of the peers' counts.
    /// When a digest of a large fleet arrives, most of the prompts that it counted have been read.
    fn waiting_now(&self, it: &Candidate) -> f64 {
        let own = f64::from(self.view.loads.own_unread(it.endpoint.hash));
        let of_peers = f64::from(it.load.unread_tokens) - own;
        let weight = count_weight(self.settings.long_reading_ms, self.view.load_interval_ms);
        own + of_peers * weight
    }

    fn failure_ms(&self, endpoint: EndpointHash) -> f64 {
        let Some(mean_rate) = self.mean_failure_rate else { return 0.0 };
        let rate = self.view.health.failure_rate(endpoint, self.view.now);
        (rate - mean_rate).max(0.0) * self.settings.failure_cost_ms
    }

    fn rank(&self, it: &Candidate) -> f64 {
        self.rank_with(&it.endpoint, it.share)
    }

    fn rank_with(&self, endpoint: &Endpoint, share: f64) -> f64 {
        rendezvous_score(self.key, endpoint.hash, endpoint.slots) / share
    }

    fn cached_at(&self, endpoint: EndpointHash) -> u32 {
        self.cached.iter().find(|(it, _)| *it == endpoint).map_or(0, |(_, tokens)| *tokens)
    }

    /// Returns the endpoint from which the chosen one should fetch the prompt's prefix: the one
    /// that has cached most of it. If none is known, returns the other endpoint that ranks first,
    /// since prompts with this prefix went there before the set of endpoints or gateways changed.
    /// If that endpoint has cached nothing, the request to it transfers nothing. Endpoints in evacuated zones
    /// are the last choice.
    fn fetch_source(&self, chosen: &Endpoint, cached_tokens: u32) -> Option<Arc<Endpoint>> {
        let others = || {
            let of_service = self.view.endpoints.of_service(self.service).iter();
            of_service.filter(|it| {
                it.id != chosen.id
                    && !self.view.health.is_ejected(it.hash, self.view.now)
                    && self.view.pauses.left_ms(it.hash, self.view.now).is_none()
            })
        };
        let is_left = |it: &Endpoint| self.view.endpoints.evacuated().contains(&it.zone);
        let known = |in_left| {
            let find = |hash| others().find(|it| it.hash == hash && is_left(it) == in_left);
            let mut cached = self.cached.iter().filter(|it| it.1 * 2 >= self.shared_tokens);
            cached.find_map(|(hash, tokens)| Some((find(*hash)?, *tokens)))
        };
        let (source, tokens) = match known(false).or_else(|| known(true)) {
            Some(known) => known,
            None => {
                let rank = |it: &Endpoint| {
                    self.rank_with(it, self.speeds.share(self.view.speeds.lasting(it.hash)))
                };
                let first = others().min_by(|a, b| {
                    is_left(a).cmp(&is_left(b)).then_with(|| rank(a).total_cmp(&rank(b)))
                })?;
                (first, self.shared_tokens)
            }
        };
        let gain = tokens.saturating_sub(cached_tokens);
        (gain >= self.settings.min_fetch_tokens).then(|| source.clone())
    }
}

/// Returns the tokens before the last part, which is specific to the request or its session.
fn shared_tokens(parts: &[PromptPart]) -> u32 {
    parts.iter().rev().skip(1).map(|part| part.tokens).sum()
}

/// Returns the rendezvous key of a prompt: the deepest part that several requests share.
fn placement_key(parts: &[PromptPart]) -> u64 {
    let deepest_shared = parts.len().saturating_sub(2);
    parts.get(deepest_shared).map_or(0, |part| part.id)
}
