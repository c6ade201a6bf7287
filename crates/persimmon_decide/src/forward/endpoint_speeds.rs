//! Speeds of endpoints, as their answers state them.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::value_lifetime::ValueLifetime;
use crate::MonoMs;
use crate::load::EndpointHash;

/// Duration of work that an endpoint states as the usual one, in percent.
const USUAL_PERCENT: f64 = 100.0;

/// The load and speed that an answer of an endpoint states.
///
/// ```
/// use persimmon_decide::forward::StatedLoad;
///
/// let load = StatedLoad::parse("12, 0, 64, 250").unwrap();
/// assert_eq!((load.running, load.waiting, load.slots, load.percent), (12, 0, 64, Some(250)));
/// assert_eq!(StatedLoad::parse("12,0,64").unwrap().percent, None);
/// assert_eq!(StatedLoad::parse("12,0"), None);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedLoad {
    /// Requests that run at the endpoint.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Current duration of work relative to the usual one, in percent.
    pub percent: Option<u32>,
}

impl StatedLoad {
    /// Percentages that are taken as stated; others are clamped. The lower bound is positive so that
    /// durations stay so.
    const PLAUSIBLE_PERCENT: std::ops::RangeInclusive<u32> = 25..=1_000;

    /// Parses three or four integers separated by commas; returns none if the value is anything else.
    pub fn parse(value: &str) -> Option<Self> {
        let mut fields = value.split(',').map(|it| it.trim().parse::<u32>());
        let mut required = || fields.next()?.ok();
        let (running, waiting, slots) = (required()?, required()?, required()?);
        let percent = fields.next().transpose().ok()?;
        fields.next().is_none().then_some(Self { running, waiting, slots, percent })
    }

    /// Returns the factor by which work takes longer than usual, if it is stated.
    pub fn slowdown(&self) -> Option<f64> {
        Some(f64::from(self.percent?) / USUAL_PERCENT)
    }

    /// Reports whether the percentage is absent or one that an endpoint may have.
    pub fn is_plausible(&self) -> bool {
        self.percent.is_none_or(|it| Self::PLAUSIBLE_PERCENT.contains(&it))
    }
}

/// What a gateway tells the others about the speed that an endpoint stated in an answer to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Hash of the endpoint.
    pub endpoint: EndpointHash,
    /// Duration of work relative to the usual one, in percent.
    pub percent: u32,
    /// Time since the answer, in milliseconds.
    pub age_ms: u32,
}

/// The latest value that an endpoint stated.
#[derive(Debug, Clone, Copy)]
struct Statement {
    percent: u32,
    /// Time of the answer.
    at: MonoMs,
    /// Whether this gateway got the answer itself.
    is_own: bool,
}

impl Statement {
    fn slowdown(&self) -> f64 {
        f64::from(self.percent) / USUAL_PERCENT
    }
}

/// What is known of the speed of one endpoint.
#[derive(Debug)]
struct Record {
    latest: Statement,
    /// Independent values that the mean stands for.
    weight: f64,
    mean: f64,
    /// Sum of the squared deviations of these values from the mean.
    squares: f64,
    /// Long-term mean as far as it is certain.
    lasting: f64,
    /// Last time at which the endpoint was published or heard of.
    seen_at: MonoMs,
}

impl Record {
    /// Number of values of the usual speed that the mean starts with. The first values of an endpoint
    /// may all be of one short state.
    const START_WEIGHT: f64 = 4.0;
    /// Number of values after which older ones fade, so that an endpoint whose speed changes for good
    /// is known for it after a while: two minutes where values are redrawn every 600 ms.
    const MAX_WEIGHT: f64 = 200.0;
    /// Standard errors by which the mean has to differ from the usual speed. The part of the
    /// difference beyond counts.
    const MIN_ERRORS: f64 = 2.0;

    fn new(latest: Statement, now: MonoMs) -> Self {
        let mut record = Self {
            latest,
            weight: Self::START_WEIGHT,
            mean: 1.0,
            squares: 0.0,
            lasting: 1.0,
            seen_at: now,
        };
        record.add(latest.slowdown(), 1.0);
        record
    }

    /// Adds a value to the mean. One that follows the last value closely is mostly a repetition of it,
    /// and counts for `weight` of an independent one.
    fn add(&mut self, slowdown: f64, weight: f64) {
        self.weight += weight;
        let deviation = slowdown - self.mean;
        self.mean += deviation * weight / self.weight;
        self.squares += weight * deviation * (slowdown - self.mean);
        if self.weight > Self::MAX_WEIGHT {
            self.squares *= Self::MAX_WEIGHT / self.weight;
            self.weight = Self::MAX_WEIGHT;
        }
        self.lasting = self.certain_mean();
    }

    fn certain_mean(&self) -> f64 {
        let error = (self.squares / self.weight / self.weight).max(0.0).sqrt();
        let difference = self.mean - 1.0;
        let certain = (difference.abs() - Self::MIN_ERRORS * error).max(0.0);
        1.0 + certain.copysign(difference)
    }
}

/// Tracks how fast the endpoints work that state it in their answers.
///
/// Handles VMs that are slow for a fraction of a second, and endpoints that are always slower than the
/// others of their service. Each gateway gets only some of an endpoint's answers and tells its peers
/// what they state. A value counts less the older it is: the estimate approaches the endpoint's
/// long-term mean as fast as the values have proved to change.
#[derive(Debug, Default)]
pub struct EndpointSpeeds {
    records: HashMap<EndpointHash, Record>,
    lifetime: ValueLifetime,
}

impl EndpointSpeeds {
    /// Age up to which a value is reported, whatever its lifetime, in milliseconds.
    const MIN_REPORTED_MS: u64 = 500;
    /// Age above which a peer's report is ignored, in milliseconds.
    const MAX_REPORT_AGE_MS: u32 = 10_000;
    /// Time for which an endpoint that isn't published is kept, in milliseconds. An outage of the store
    /// removes its record for far less.
    const KEPT_MS: u64 = 120_000;
    /// Maximum number of endpoints; values of further ones aren't recorded.
    const MAX_RECORDS: usize = 4_096;

    /// Creates a tracker that knows of no endpoint.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records what an answer states.
    pub fn record_answer(&mut self, endpoint: EndpointHash, load: &StatedLoad, now: MonoMs) {
        if let Some(percent) = load.percent {
            self.record(endpoint, Statement { percent, at: now, is_own: true }, now);
        }
    }

    /// Records what a peer was told, unless a later answer is known.
    pub fn record_peer(&mut self, report: &SpeedReport, now: MonoMs) {
        if report.age_ms > Self::MAX_REPORT_AGE_MS {
            return;
        }
        let at = MonoMs(now.0.saturating_sub(u64::from(report.age_ms)));
        self.record(report.endpoint, Statement { percent: report.percent, at, is_own: false }, now);
    }

    fn record(&mut self, endpoint: EndpointHash, stated: Statement, now: MonoMs) {
        let plausible = StatedLoad::PLAUSIBLE_PERCENT;
        let percent = stated.percent.clamp(*plausible.start(), *plausible.end());
        let stated = Statement { percent, ..stated };
        let Some(record) = self.records.get_mut(&endpoint) else {
            if self.records.len() < Self::MAX_RECORDS {
                self.records.insert(endpoint, Record::new(stated, now));
            }
            return;
        };
        record.seen_at = now;
        let earlier = record.latest;
        if stated.at <= earlier.at {
            return;
        }
        let gap_ms = stated.at.ms_since(earlier.at);
        let of_mean = |it: Statement| it.slowdown() - record.mean;
        self.lifetime.record(of_mean(earlier), of_mean(stated), gap_ms);
        record.add(stated.slowdown(), 1.0 - self.lifetime.left_after(gap_ms));
        record.latest = stated;
    }

    /// Returns the factor by which work at an endpoint is expected to take longer now; 1 if nothing is
    /// known.
    pub fn slowdown(&self, endpoint: EndpointHash, now: MonoMs) -> f64 {
        let Some(record) = self.records.get(&endpoint) else { return 1.0 };
        let lasting = record.lasting;
        let left = self.lifetime.left_after(now.ms_since(record.latest.at));
        lasting + left * (record.latest.slowdown() - lasting)
    }

    /// Returns the factor by which work at an endpoint usually takes longer; none if it has never stated
    /// its speed.
    pub fn lasting(&self, endpoint: EndpointHash) -> Option<f64> {
        Some(self.records.get(&endpoint)?.lasting)
    }

    /// Returns what this gateway was told itself and no peer later, for its digest: at most `count`
    /// reports, the newest and most unusual first. A value that has outlived its lifetime isn't
    /// reported, unless it is young enough to tell peers how fast values change.
    pub fn reports(&self, count: usize, now: MonoMs) -> Vec<SpeedReport> {
        let max_age_ms = self.lifetime_ms().max(Self::MIN_REPORTED_MS);
        let own = self.records.iter().filter_map(|(endpoint, record)| {
            let Statement { percent, at, is_own } = record.latest;
            let age_ms = now.ms_since(at);
            let is_reported = is_own && age_ms <= max_age_ms;
            let age_ms = is_reported.then(|| u32::try_from(age_ms).unwrap_or(u32::MAX))?;
            let unusual = 1.0 + (record.latest.slowdown() - record.mean).abs();
            let value = unusual * self.lifetime.left_after(u64::from(age_ms));
            Some((value, SpeedReport { endpoint: *endpoint, percent, age_ms }))
        });
        let mut own: Vec<_> = own.collect();
        own.sort_unstable_by(|(value_a, a), (value_b, b)| {
            value_b.total_cmp(value_a).then(a.endpoint.cmp(&b.endpoint))
        });
        own.into_iter().take(count).map(|(_, report)| report).collect()
    }

    /// Returns the time in which a stated value loses most of its weight, in milliseconds.
    pub fn lifetime_ms(&self) -> u64 {
        self.lifetime.ms() as u64
    }

    /// Removes endpoints that have long not been published.
    pub fn retain(&mut self, is_published: impl Fn(EndpointHash) -> bool, now: MonoMs) {
        self.records.retain(|endpoint, record| {
            if is_published(*endpoint) {
                record.seen_at = now;
            }
            now.ms_since(record.seen_at) < Self::KEPT_MS
        });
    }

    /// Returns the number of endpoints that have stated their speed.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Reports whether no endpoint has stated its speed.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
