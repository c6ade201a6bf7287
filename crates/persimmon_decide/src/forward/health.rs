//! Health of endpoints, judged by the outcomes of real requests.

use std::collections::HashMap;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use super::peer_sums::{Count, PeerSums};
use crate::MonoMs;
use crate::load::EndpointHash;

/// Thresholds and durations for avoiding endpoints.
#[derive(Debug, Clone, Copy)]
pub struct HealthSettings {
    /// Time constant, in milliseconds, of the exponential decay of an outcome's weight. A few
    /// seconds are long enough for a meaningful rate and short enough to notice a recovery.
    pub decay_ms: f64,
    /// Duration of the first ejection of an unreachable endpoint, in milliseconds; it doubles with
    /// each further failure. It is about the time a process needs to restart.
    pub first_ejection_ms: u64,
    /// Maximum duration of an ejection, in milliseconds. One connection attempt in this time is
    /// cheap.
    pub max_ejection_ms: u64,
    /// Minimum number of outcomes before a failure rate counts.
    pub min_samples: f64,
    /// Margin by which an endpoint's failure rate must exceed that of the other endpoints.
    pub excess_rate: f64,
    /// Maximum weight of the outcomes that all peers report for one endpoint, in outcomes: twice
    /// `min_samples`. A gateway with more outcomes of its own relies on those, since an endpoint
    /// may fail only for some gateways.
    pub peer_weight: f64,
    /// One in this many requests may still go to an endpoint with a high failure rate, to detect
    /// its recovery.
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
    /// Requests that succeeded.
    pub good: u32,
    /// Requests that failed because of the endpoint.
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

/// Sums of outcomes, weighted by age.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingOutcomes {
    good: f64,
    bad: f64,
    at: MonoMs,
}

impl DecayingOutcomes {
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
    outcomes: DecayingOutcomes,
    unreachable_streak: u32,
    ejected_until: MonoMs,
    /// Time at which the endpoint last sent data.
    received_at: Option<MonoMs>,
    /// What peers that have ejected the endpoint have said lately.
    reports: Option<EjectionReports>,
    /// Time since which the endpoint has sent nothing although a request is waiting for it.
    silent_since: Option<MonoMs>,
}

/// Times of the first and the last of the reports that peers have ejected an endpoint.
#[derive(Debug, Clone, Copy)]
struct EjectionReports {
    first: MonoMs,
    last: MonoMs,
}

impl EndpointRecord {
    /// Records a peer's report that it has ejected the endpoint. Returns whether the endpoint has sent this gateway
    /// data since the first one, a short while ago: then only the peers can't reach it.
    fn record_ejection_report(&mut self, now: MonoMs) -> bool {
        let is_recent =
            |it: &EjectionReports| now.ms_since(it.last) <= HealthTracker::REPORTS_GAP_MS;
        let first = self.reports.filter(is_recent).map_or(now, |it| it.first);
        self.reports = Some(EjectionReports { first, last: now });
        self.received_at
            .is_some_and(|at| at > first && now.ms_since(at) <= HealthTracker::REACHED_MS)
    }
}

/// Tracks the health of each endpoint.
///
/// An unreachable endpoint is ejected for a short time that grows with each failure. An endpoint
/// with a higher failure rate than the rest of its service is avoided, but still gets a request
/// from time to time. If no other endpoint is left, the picker uses avoided endpoints.
///
/// Gateways report to each other the good and bad outcomes at endpoints that have recently failed
/// any of them. In a large fleet, each gateway sends few requests to one endpoint; without these
/// reports, each would detect a failing endpoint only after the endpoint has failed several
/// requests of the gateway's own callers.
#[derive(Debug)]
pub struct HealthTracker {
    settings: HealthSettings,
    endpoints: HashMap<EndpointHash, EndpointRecord>,
    peers: PeerSums<Outcomes>,
}

impl HealthTracker {
    /// Time without data on any request after which an endpoint counts as unreachable, in milliseconds.
    /// A live engine sends data several times a second.
    pub const SILENT_MS: u64 = 600;
    /// Time without a report that peers have ejected an endpoint, after which the next one is the first of others,
    /// in milliseconds. It spans a few digests.
    const REPORTS_GAP_MS: u64 = 1_500;
    /// Time after an endpoint's data for which a gateway goes by it rather than by its peers' reports, in
    /// milliseconds.
    const REACHED_MS: u64 = 3_000;
    /// Minimum number of failures before a failure rate counts; single failures are normal.
    const MIN_FAILURES: f64 = 2.0;
    /// Factor by which an endpoint's failure rate must exceed that of the other endpoints, in
    /// addition to `excess_rate`.
    const EXCESS_FACTOR: f64 = 1.5;

    /// Creates a tracker in which every endpoint is healthy.
    pub fn new(settings: HealthSettings) -> Self {
        Self { settings, endpoints: HashMap::new(), peers: PeerSums::default() }
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_sent(&mut self, endpoint: EndpointHash, now: MonoMs) {
        let record = self.endpoints.entry(endpoint).or_default();
        record.silent_since.get_or_insert(now);
    }

    /// Records that data was received from the endpoint. `is_waiting` says whether requests are
    /// still waiting for more.
    pub fn record_received(&mut self, endpoint: EndpointHash, is_waiting: bool, now: MonoMs) {
        let record = self.endpoints.entry(endpoint).or_default();
        record.silent_since = is_waiting.then_some(now);
        record.received_at = Some(now);
        record.unreachable_streak = 0;
        record.ejected_until = MonoMs(0);
    }

    /// Records that no request is waiting for the endpoint any longer.
    pub fn record_idle(&mut self, endpoint: EndpointHash) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.silent_since = None;
        }
    }

    /// Records that a request succeeded, or failed because of the endpoint.
    pub fn record_outcome(&mut self, endpoint: EndpointHash, is_good: bool, now: MonoMs) {
        let decay_ms = self.settings.decay_ms;
        let record = self.endpoints.entry(endpoint).or_default();
        record.outcomes = record.outcomes.decayed(now, decay_ms);
        if is_good {
            record.outcomes.good += 1.0;
        } else {
            record.outcomes.bad += 1.0;
        }
    }

    /// Ejects an endpoint that is unreachable or silent, and returns the remaining ejection time in
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

    /// Records that a peer has ejected this endpoint for `ms` more milliseconds. The ejection is
    /// limited to the first ejection time and never shortens an existing one, so that a single
    /// gateway without network access doesn't make the others avoid all endpoints for long.
    ///
    /// Handles paths that only some gateways have lost: peers in other zones report all endpoints of this
    /// gateway's zone, one after another and again and again. Those that have sent data since stay in use.
    pub fn record_peer_ejection(&mut self, endpoint: EndpointHash, ms: u64, now: MonoMs) {
        let ms = ms.min(self.settings.first_ejection_ms);
        let record = self.endpoints.entry(endpoint).or_default();
        let is_reached = record.record_ejection_report(now);
        if record.silent_since.is_none() && !is_reached {
            record.ejected_until = record.ejected_until.max(now.plus_ms(ms));
        }
    }

    /// Reports whether the endpoint is ejected.
    pub fn is_ejected(&self, endpoint: EndpointHash, now: MonoMs) -> bool {
        self.endpoints.get(&endpoint).is_some_and(|record| record.ejected_until > now)
    }

    /// Returns the ejected endpoints for the digest, each with the remaining time of its ejection
    /// in milliseconds.
    pub fn ejections(&self, now: MonoMs) -> impl Iterator<Item = (EndpointHash, u64)> {
        self.endpoints
            .iter()
            .filter(move |(_, record)| record.ejected_until > now)
            .map(move |(endpoint, record)| (*endpoint, record.ejected_until.ms_since(now)))
    }

    /// Returns for how long requests have been waiting without receiving any data, in milliseconds.
    pub fn silent_ms(&self, endpoint: EndpointHash, now: MonoMs) -> u64 {
        let since = self.endpoints.get(&endpoint).and_then(|record| record.silent_since);
        since.map_or(0, |since| now.ms_since(since))
    }

    /// Replaces the outcomes reported by a peer.
    pub fn replace_peer(&mut self, peer: IpAddr, outcomes: Vec<(EndpointHash, Outcomes)>) {
        self.peers.replace(peer, outcomes);
    }

    /// Removes a peer that is gone.
    pub fn drop_peer(&mut self, peer: IpAddr) {
        self.peers.drop_peer(peer);
    }

    /// Returns this gateway's outcomes at endpoints that have recently failed it or a peer, for the
    /// digest: at most `count` endpoints, those with most failures first. Good outcomes are
    /// included, since otherwise a single failure would look like an endpoint that always fails.
    pub fn outcomes(&self, count: usize, now: MonoMs) -> Vec<(EndpointHash, Outcomes)> {
        let own = |endpoint| self.own_outcomes(endpoint, now).rounded();
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

    /// Returns the share of recent requests that failed, or zero if there were none.
    pub fn failure_rate(&self, endpoint: EndpointHash, now: MonoMs) -> f64 {
        // One good outcome as a prior, so that a single failure isn't a rate of one.
        let share = |outcomes: DecayingOutcomes| outcomes.bad / (outcomes.samples() + 1.0);
        let own = self.own_outcomes(endpoint, now);
        share(own).max(share(self.with_peers(own, endpoint)))
    }

    fn own_outcomes(&self, endpoint: EndpointHash, now: MonoMs) -> DecayingOutcomes {
        let record = self.endpoints.get(&endpoint).copied().unwrap_or_default();
        record.outcomes.decayed(now, self.settings.decay_ms)
    }

    /// Adds the outcomes that peers report for the endpoint, limited to `peer_weight`.
    fn with_peers(
        &self,
        mut outcomes: DecayingOutcomes,
        endpoint: EndpointHash,
    ) -> DecayingOutcomes {
        let reported = self.peers.sum(endpoint);
        let (good, bad) = (f64::from(reported.good), f64::from(reported.bad));
        let weight = (self.settings.peer_weight / (good + bad).max(1.0)).min(1.0);
        outcomes.good += good * weight;
        outcomes.bad += bad * weight;
        outcomes
    }

    /// Returns the endpoints among `members` with a higher failure rate than the rest of the
    /// service, by this gateway's outcomes alone or together with those of its peers.
    pub fn failing(
        &self,
        members: impl Iterator<Item = EndpointHash>,
        now: MonoMs,
    ) -> Vec<EndpointHash> {
        let by_endpoint: Vec<_> = members
            .map(|it| {
                let own = self.own_outcomes(it, now);
                (it, own, self.with_peers(own, it))
            })
            .collect();
        let own_total = sum(by_endpoint.iter().map(|(_, own, _)| *own));
        let all_total = sum(by_endpoint.iter().map(|(_, _, all)| *all));
        by_endpoint
            .into_iter()
            .filter(|(_, own, all)| {
                self.is_outlier(*own, own_total) || self.is_outlier(*all, all_total)
            })
            .map(|(it, _, _)| it)
            .collect()
    }

    /// Reports whether one endpoint's failure rate is well above that of all others.
    fn is_outlier(&self, one: DecayingOutcomes, service: DecayingOutcomes) -> bool {
        if one.samples() < self.settings.min_samples || one.bad < Self::MIN_FAILURES {
            return false;
        }
        let other_samples = service.samples() - one.samples();
        let other_rate =
            if other_samples > 0.0 { (service.bad - one.bad) / other_samples } else { 1.0 };
        one.bad / one.samples() > other_rate * Self::EXCESS_FACTOR + self.settings.excess_rate
    }

    /// Reports whether this request should try an endpoint with a high failure rate; `draw` is a
    /// random number.
    pub fn is_trial(&self, draw: u64) -> bool {
        draw.is_multiple_of(self.settings.trial_interval)
    }

    /// Removes endpoints that are no longer published.
    pub fn retain(&mut self, is_published: impl Fn(EndpointHash) -> bool) {
        self.endpoints.retain(|endpoint, _| is_published(*endpoint));
    }
}

fn sum(outcomes: impl Iterator<Item = DecayingOutcomes>) -> DecayingOutcomes {
    let (good, bad) = outcomes.fold((0.0, 0.0), |(good, bad), it| (good + it.good, bad + it.bad));
    DecayingOutcomes { good, bad, at: MonoMs(0) }
}
