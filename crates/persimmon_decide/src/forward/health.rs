//! Which endpoints to avoid, judged by the outcomes of real requests.

use std::collections::HashMap;

use crate::MonoMs;
use crate::load::EndpointHash;

/// When an endpoint is avoided, and for how long.
#[derive(Debug, Clone, Copy)]
pub struct HealthSettings {
    /// Time in which the weight of an outcome falls to about a third, in milliseconds. A few
    /// seconds: long enough for a rate, short enough to notice that an endpoint has recovered.
    pub memory_ms: f64,
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
    /// One in so many requests still goes to an endpoint that fails too often, to see whether it
    /// has recovered.
    pub trial_interval: u64,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            memory_ms: 4_000.0,
            first_ejection_ms: 400,
            max_ejection_ms: 3_000,
            min_samples: 4.0,
            excess_rate: 0.15,
            trial_interval: 24,
        }
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
    fn decayed(self, now: MonoMs, memory_ms: f64) -> Self {
        let keep = (-(now.ms_since(self.at) as f64) / memory_ms).exp();
        Self { good: self.good * keep, bad: self.bad * keep, at: now }
    }

    fn samples(&self) -> f64 {
        self.good + self.bad
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
#[derive(Debug)]
pub struct HealthBook {
    settings: HealthSettings,
    endpoints: HashMap<EndpointHash, EndpointRecord>,
}

impl HealthBook {
    /// A book that knows nothing bad.
    pub fn new(settings: HealthSettings) -> Self {
        Self { settings, endpoints: HashMap::new() }
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
        let memory_ms = self.settings.memory_ms;
        let record = self.endpoints.entry(endpoint).or_default();
        record.rate = record.rate.decayed(now, memory_ms);
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
    pub fn absorb_ejection(&mut self, endpoint: EndpointHash, ms: u64, now: MonoMs) {
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

    /// The share of recent requests that failed, or zero while too few are known.
    pub fn failure_rate(&self, endpoint: EndpointHash, now: MonoMs) -> f64 {
        let Some(record) = self.endpoints.get(&endpoint) else { return 0.0 };
        let rate = record.rate.decayed(now, self.settings.memory_ms);
        // One good outcome as a prior keeps a single failure from counting as a rate of one.
        rate.bad / (rate.samples() + 1.0)
    }

    /// Endpoints among `members` that fail more often than the service as a whole.
    pub fn failing(
        &self,
        members: impl Iterator<Item = EndpointHash>,
        now: MonoMs,
    ) -> Vec<EndpointHash> {
        let settings = self.settings;
        let rates: Vec<_> = members
            .map(|it| {
                let record = self.endpoints.get(&it).copied().unwrap_or_default();
                (it, record.rate.decayed(now, settings.memory_ms))
            })
            .collect();
        let bad: f64 = rates.iter().map(|(_, rate)| rate.bad).sum();
        let samples: f64 = rates.iter().map(|(_, rate)| rate.samples()).sum();
        rates
            .into_iter()
            .filter(|(_, rate)| rate.samples() >= settings.min_samples && rate.bad >= 2.0)
            .filter(|(_, rate)| {
                let other_samples = samples - rate.samples();
                let other_rate =
                    if other_samples > 0.0 { (bad - rate.bad) / other_samples } else { 1.0 };
                rate.bad / rate.samples() > other_rate * 1.5 + settings.excess_rate
            })
            .map(|(it, _)| it)
            .collect()
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
