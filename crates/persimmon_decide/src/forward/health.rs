//! Which endpoints to avoid, judged by the outcomes of real requests.

use std::collections::HashMap;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use super::peer_sums::{Count, PeerSums};
use crate::MonoMs;
use crate::load::EndpointHash;

/// When an endpoint is avoided, and for how long.
#[derive(Debug, Clone, Copy)]
pub struct HealthSettings {
    /// Time in which the weight of an outcome falls to about a third, in milliseconds. A few
    /// seconds: long enough for a rate, short enough to notice that an endpoint has recovered.
    pub decay_ms: f64,
    /// First time that an unreachable endpoint is left out, in milliseconds; doubles with each
    /// further failure. About the time in which a process starts again.
    pub first_ejection_ms: u64,
    /// Longest time that an unreachable endpoint is left out, in milliseconds. One connection
    /// attempt in that time is cheap.
    pub max_ejection_ms: u64,
    /// Outcomes needed before a failure rate counts.
    pub min_samples: f64,
    /// How far a failure rate must lie above that of the whole service.
    pub excess_rate: f64,
    /// Weight of all that other gateways tell of one endpoint, in outcomes: twice what a judgement
    /// needs at least. A gateway that has seen more itself goes by that, since an endpoint may fail
    /// for some gateways only.
    pub peer_weight: f64,
    /// One in so many requests still goes to an endpoint that fails too often, to see whether it
    /// has recovered.
    pub trial_interval: u64,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            decay_ms: 4_000.0,
            first_ejection_ms: 400,
            max_ejection_ms: 3_000,
            min_samples: 4.0,
            excess_rate: 0.15,
            peer_weight: 8.0,
            trial_interval: 24,
        }
    }
}

/// Recent outcomes at an endpoint, weighted by age and rounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Outcomes {
    /// Requests that ended well.
    pub good: u32,
    /// Requests that ended badly by the endpoint's fault.
    pub bad: u32,
}

impl Count for Outcomes {
    fn add(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
    }

    fn subtract(&mut self, other: Self) {
        self.good = self.good.saturating_sub(other.good);
        self.bad = self.bad.saturating_sub(other.bad);
    }

    fn is_zero(&self) -> bool {
        self.good == 0 && self.bad == 0
    }
}

/// Sums of outcomes whose weight falls with age.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingRate {
    good: f64,
    bad: f64,
    at: MonoMs,
}

impl DecayingRate {
    fn decayed(self, now: MonoMs, decay_ms: f64) -> Self {
        let factor = (-(now.ms_since(self.at) as f64) / decay_ms).exp();
        Self { good: self.good * factor, bad: self.bad * factor, at: now }
    }

    fn samples(&self) -> f64 {
        self.good + self.bad
    }

    fn rounded(&self) -> Outcomes {
        Outcomes { good: self.good.round() as u32, bad: self.bad.round() as u32 }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct EndpointRecord {
    rate: DecayingRate,
    unreachable_streak: u32,
    ejected_until: MonoMs,
    /// The earliest request since which nothing was heard, if any waits.
    silent_since: Option<MonoMs>,
}

/// What is known of each endpoint's health.
///
/// An endpoint that can't be reached is left out for a short and growing time. One that fails more
/// often than its service as a whole is avoided, but still tried now and then. Callers of this
/// never leave out every endpoint: the picker falls back on avoided ones.
///
/// Gateways tell each other the outcomes at endpoints that failed anyone lately, with the good
/// ones. That answers the load of a large fleet, in which each gateway sends so little to one
/// endpoint that it would learn of a failing one only by failing several of its own callers'
/// requests there.
#[derive(Debug)]
pub struct HealthTracker {
    settings: HealthSettings,
    endpoints: HashMap<EndpointHash, EndpointRecord>,
    peers: PeerSums<Outcomes>,
}

impl HealthTracker {
    /// Failures needed before a failure rate counts; single ones happen everywhere.
    const MIN_FAILURES: f64 = 2.0;
    /// How many times the failure rate of the other endpoints one has to fail, besides the excess.
    const EXCESS_FACTOR: f64 = 1.5;

    /// A book that knows nothing bad.
    pub fn new(settings: HealthSettings) -> Self {
        Self { settings, endpoints: HashMap::new(), peers: PeerSums::default() }
    }

    /// A request was sent.
    pub fn record_sent(&mut self, endpoint: EndpointHash, now: MonoMs) {
        let record = self.endpoints.entry(endpoint).or_default();
        record.silent_since.get_or_insert(now);
    }

    /// Something was received. `is_waiting` says whether more is awaited.
    pub fn record_heard(&mut self, endpoint: EndpointHash, is_waiting: bool, now: MonoMs) {
        let record = self.endpoints.entry(endpoint).or_default();
        record.silent_since = is_waiting.then_some(now);
        record.unreachable_streak = 0;
        record.ejected_until = MonoMs(0);
    }

    /// A request ended without an answer being awaited any longer.
    pub fn record_idle(&mut self, endpoint: EndpointHash) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.silent_since = None;
        }
    }

    /// A request ended well, or badly by the endpoint's fault.
    pub fn record_outcome(&mut self, endpoint: EndpointHash, is_good: bool, now: MonoMs) {
        let decay_ms = self.settings.decay_ms;
        let record = self.endpoints.entry(endpoint).or_default();
        record.rate = record.rate.decayed(now, decay_ms);
        if is_good {
            record.rate.good += 1.0;
        } else {
            record.rate.bad += 1.0;
        }
    }

    /// The endpoint couldn't be reached, or fell silent; returns how long it is left out, in
    /// milliseconds.
    pub fn record_unreachable(&mut self, endpoint: EndpointHash, now: MonoMs) -> u64 {
        let settings = self.settings;
        let record = self.endpoints.entry(endpoint).or_default();
        if record.ejected_until > now {
            return record.ejected_until.ms_since(now);
        }
        let doublings = record.unreachable_streak.min(8);
        let ms = (settings.first_ejection_ms << doublings).min(settings.max_ejection_ms);
        record.unreachable_streak += 1;
        record.ejected_until = now.plus_ms(ms);
        ms
    }

    /// A peer left this endpoint out for `ms` more milliseconds. Its word only adds to what is
    /// known here, so that one cut-off gateway doesn't empty the others' lists for long.
    pub fn record_peer_ejection(&mut self, endpoint: EndpointHash, ms: u64, now: MonoMs) {
        let ms = ms.min(self.settings.first_ejection_ms);
        let record = self.endpoints.entry(endpoint).or_default();
        if record.silent_since.is_none() {
            record.ejected_until = record.ejected_until.max(now.plus_ms(ms));
        }
    }

    /// Whether the endpoint is left out.
    pub fn is_ejected(&self, endpoint: EndpointHash, now: MonoMs) -> bool {
        self.endpoints.get(&endpoint).is_some_and(|record| record.ejected_until > now)
    }

    /// Endpoints that are left out, with the milliseconds left, for the digest.
    pub fn ejections(&self, now: MonoMs) -> impl Iterator<Item = (EndpointHash, u64)> {
        self.endpoints
            .iter()
            .filter(move |(_, record)| record.ejected_until > now)
            .map(move |(endpoint, record)| (*endpoint, record.ejected_until.ms_since(now)))
    }

    /// How long requests have waited without anything being received, in milliseconds.
    pub fn silent_ms(&self, endpoint: EndpointHash, now: MonoMs) -> u64 {
        let since = self.endpoints.get(&endpoint).and_then(|record| record.silent_since);
        since.map_or(0, |since| now.ms_since(since))
    }

    /// Replaces what a peer reported of its requests' outcomes.
    pub fn replace_peer(&mut self, peer: IpAddr, outcomes: Vec<(EndpointHash, Outcomes)>) {
        self.peers.replace(peer, outcomes);
    }

    /// Forgets a peer that is gone.
    pub fn drop_peer(&mut self, peer: IpAddr) {
        self.peers.drop_peer(peer);
    }

    /// This gateway's outcomes at endpoints that failed it or a peer lately, for the digest: at
    /// most `count`, those with most failures first. Good outcomes are reported too, or a single
    /// failure would look like an endpoint that always fails.
    pub fn outcomes(&self, count: usize, now: MonoMs) -> Vec<(EndpointHash, Outcomes)> {
        let own = |endpoint| self.own_rate(endpoint, now).rounded();
        let mut suspects: Vec<_> = self
            .endpoints
            .keys()
            .map(|it| (*it, own(*it), self.peers.sum(*it).bad))
            .filter(|(_, own, peer_bad)| own.bad.saturating_add(*peer_bad) > 0 && !own.is_zero())
            .collect();
        suspects.sort_unstable_by_key(|(endpoint, own, peer_bad)| {
            (std::cmp::Reverse(own.bad.saturating_add(*peer_bad)), *endpoint)
        });
        suspects.into_iter().take(count).map(|(endpoint, own, _)| (endpoint, own)).collect()
    }

    /// The share of recent requests that failed, or zero while too few are known.
    pub fn failure_rate(&self, endpoint: EndpointHash, now: MonoMs) -> f64 {
        // One good outcome as a prior keeps a single failure from counting as a rate of one.
        let share = |rate: DecayingRate| rate.bad / (rate.samples() + 1.0);
        let own = self.own_rate(endpoint, now);
        share(own).max(share(self.with_peers(own, endpoint)))
    }

    fn own_rate(&self, endpoint: EndpointHash, now: MonoMs) -> DecayingRate {
        let record = self.endpoints.get(&endpoint).copied().unwrap_or_default();
        record.rate.decayed(now, self.settings.decay_ms)
    }

    /// Adds what peers tell of the endpoint, within their weight, to this gateway's outcomes.
    fn with_peers(&self, mut rate: DecayingRate, endpoint: EndpointHash) -> DecayingRate {
        let reported = self.peers.sum(endpoint);
        let (good, bad) = (f64::from(reported.good), f64::from(reported.bad));
        let weight = (self.settings.peer_weight / (good + bad).max(1.0)).min(1.0);
        rate.good += good * weight;
        rate.bad += bad * weight;
        rate
    }

    /// Endpoints among `members` that fail more often than the service as a whole, by this
    /// gateway's outcomes alone or with those of its peers.
    pub fn failing(
        &self,
        members: impl Iterator<Item = EndpointHash>,
        now: MonoMs,
    ) -> Vec<EndpointHash> {
        let rates: Vec<_> = members
            .map(|it| {
                let own = self.own_rate(it, now);
                (it, own, self.with_peers(own, it))
            })
            .collect();
        let own_total = sum(rates.iter().map(|(_, own, _)| *own));
        let all_total = sum(rates.iter().map(|(_, _, all)| *all));
        rates
            .into_iter()
            .filter(|(_, own, all)| {
                self.is_outlier(*own, own_total) || self.is_outlier(*all, all_total)
            })
            .map(|(it, _, _)| it)
            .collect()
    }

    /// Whether one endpoint's failure rate lies well above that of all others.
    fn is_outlier(&self, one: DecayingRate, service: DecayingRate) -> bool {
        if one.samples() < self.settings.min_samples || one.bad < Self::MIN_FAILURES {
            return false;
        }
        let other_samples = service.samples() - one.samples();
        let other_rate =
            if other_samples > 0.0 { (service.bad - one.bad) / other_samples } else { 1.0 };
        one.bad / one.samples() > other_rate * Self::EXCESS_FACTOR + self.settings.excess_rate
    }

    /// Whether this request should try an endpoint that fails too often; `draw` is any number.
    pub fn is_trial(&self, draw: u64) -> bool {
        draw.is_multiple_of(self.settings.trial_interval)
    }

    /// Forgets endpoints that are no longer published.
    pub fn retain(&mut self, is_published: impl Fn(EndpointHash) -> bool) {
        self.endpoints.retain(|endpoint, _| is_published(*endpoint));
    }
}

fn sum(rates: impl Iterator<Item = DecayingRate>) -> DecayingRate {
    let (good, bad) = rates.fold((0.0, 0.0), |(good, bad), it| (good + it.good, bad + it.bad));
    DecayingRate { good, bad, at: MonoMs(0) }
}
