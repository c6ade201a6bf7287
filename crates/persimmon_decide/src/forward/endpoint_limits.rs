//! Limits that endpoints name on the rate of requests.

use std::collections::HashMap;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use super::GatewayShares;
use crate::MonoMs;
use crate::load::EndpointHash;

const MS_PER_S: f64 = 1_000.0;

/// What an answer of an endpoint says about a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NamedLimit {
    /// The answer names no limit.
    Absent,
    /// The answer names a limit that can't be read.
    Unreadable,
    /// The requests per second that the endpoint takes from all gateways together.
    PerS(f32),
}

impl NamedLimit {
    /// Parses the values of the header that names a limit; the lowest of several counts.
    pub fn parse<'a>(values: impl Iterator<Item = Option<&'a str>>) -> Self {
        let mut named = Self::Absent;
        for value in values {
            let per_s = value.and_then(|it| it.trim().parse::<f32>().ok());
            let per_s = per_s.filter(|it| it.is_finite() && *it >= 0.0);
            named = match (named, per_s) {
                (Self::PerS(known), Some(per_s)) => Self::PerS(known.min(per_s)),
                (_, Some(per_s)) => Self::PerS(per_s),
                (Self::Absent, None) => Self::Unreadable,
                (named, None) => named,
            };
        }
        named
    }
}

/// What a gateway tells the others about the limit of an endpoint that answered it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Hash of the endpoint.
    pub endpoint: EndpointHash,
    /// The limit in requests per second; none if the endpoint has ceased to name one.
    pub per_s: Option<f32>,
    /// Time since the answer, in milliseconds.
    pub age_ms: u32,
}

/// What the latest known answer of an endpoint said.
#[derive(Debug, Clone, Copy)]
struct Statement {
    /// The limit in requests per second; none after the endpoint has ceased to name one.
    per_s: Option<f32>,
    /// Time of the answer.
    at: MonoMs,
    /// Whether this gateway got the answer itself.
    is_own: bool,
}

/// The limit that an endpoint last named, and this gateway's part of it.
#[derive(Debug)]
struct Record {
    latest: Statement,
    /// Last time at which the endpoint was published or heard of.
    seen_at: MonoMs,
    /// This gateway's part of the rate, in requests per second.
    share_per_s: f64,
    /// Requests that may be sent now.
    tokens: f64,
    filled_at: MonoMs,
}

impl Record {
    /// Creates a record without tokens.
    fn new(latest: Statement, now: MonoMs) -> Self {
        Self { latest, seen_at: now, share_per_s: 0.0, tokens: 0.0, filled_at: now }
    }

    /// Returns the maximum number of saved tokens.
    fn depth(&self) -> f64 {
        (self.share_per_s * EndpointLimits::BURST_S).max(1.0)
    }

    fn tokens(&self, now: MonoMs) -> f64 {
        let filled = now.ms_since(self.filled_at) as f64 / MS_PER_S * self.share_per_s;
        (self.tokens + filled).min(self.depth())
    }

    fn fill(&mut self, now: MonoMs) {
        self.tokens = self.tokens(now);
        self.filled_at = now;
    }

    fn wait_ms(&self, now: MonoMs) -> Option<u64> {
        let per_s = self.latest.per_s?;
        let missing = 1.0 - self.tokens(now);
        if missing <= 0.0 {
            return None;
        }
        // A gateway without a share can only point to the time at which others may send.
        let (missing, per_s) = match self.share_per_s {
            0.0 => (1.0, f64::from(per_s).max(EndpointLimits::MIN_PER_S)),
            share_per_s => (missing, share_per_s),
        };
        Some((missing / per_s * MS_PER_S).ceil() as u64)
    }
}

/// Endpoints that name a limit on the rate of requests from all gateways together.
///
/// Handles engines in need under the usual load: the other endpoints carry the rest. Each gateway
/// sends only its share of a limit, whether or not it hears its peers, so that the sum holds without
/// counting together. If every endpoint is limited, callers beyond the sum of the limits are refused
/// at once.
#[derive(Debug, Default)]
pub struct EndpointLimits {
    records: HashMap<EndpointHash, Record>,
    shares: GatewayShares,
}

impl EndpointLimits {
    /// Rate at which an endpoint with a lower limit is asked whether the limit has ended, in requests
    /// per second.
    pub const MIN_PER_S: f64 = 0.2;
    /// Time for which a gateway saves an unused share, in seconds. Requests come in bursts.
    const BURST_S: f64 = 0.5;
    /// Time for which the end of a limit is told to peers, in milliseconds.
    const END_REPORTED_MS: u64 = 10_000;
    /// Time for which the limit of an endpoint that isn't published is kept, in milliseconds. An
    /// outage of the store removes its record for far less.
    const KEPT_MS: u64 = 120_000;
    /// Maximum number of limits; further ones aren't recorded.
    const MAX_RECORDS: usize = 4_096;

    /// Creates a record without limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the gateways of the fleet, including `own`, among which limits are divided, and the number
    /// of those that are heard now.
    pub fn set_gateways(&mut self, own: IpAddr, all: &[IpAddr], heard: usize, now: MonoMs) {
        if !self.shares.set(own, all, heard) {
            return;
        }
        for (endpoint, record) in &mut self.records {
            record.fill(now);
            record.share_per_s = self.shares.share_per_s(*endpoint, record.latest.per_s);
        }
    }

    /// Records what an answer says to a request sent at `sent_at`. Returns whether the limit has
    /// changed.
    ///
    /// An answer without a limit ends it only if the request was sent after the limit was last named:
    /// answers may overtake one another.
    pub fn record_answer(
        &mut self,
        endpoint: EndpointHash,
        named: NamedLimit,
        sent_at: MonoMs,
        now: MonoMs,
    ) -> bool {
        let known = self.records.get(&endpoint).map(|it| it.latest);
        let per_s = match named {
            NamedLimit::PerS(per_s) => Some(per_s),
            NamedLimit::Unreadable => return false,
            NamedLimit::Absent => {
                let is_over = known.is_some_and(|it| it.per_s.is_some() && sent_at > it.at);
                if !is_over {
                    return false;
                }
                None
            }
        };
        self.set(endpoint, Statement { per_s, at: now, is_own: true }, now)
    }

    /// Records what a peer was told, unless a later answer is known. Returns whether the limit has
    /// changed.
    pub fn record_peer(&mut self, report: &LimitReport, now: MonoMs) -> bool {
        let per_s = report.per_s;
        if per_s.is_some_and(|it| !it.is_finite() || it < 0.0) {
            return false;
        }
        let at = MonoMs(now.0.saturating_sub(u64::from(report.age_ms)));
        let known = self.records.get(&report.endpoint);
        if known.is_some_and(|it| it.latest.at >= at) || (known.is_none() && per_s.is_none()) {
            return false;
        }
        self.set(report.endpoint, Statement { per_s, at, is_own: false }, now)
    }

    fn set(&mut self, endpoint: EndpointHash, latest: Statement, now: MonoMs) -> bool {
        if self.records.len() >= Self::MAX_RECORDS && !self.records.contains_key(&endpoint) {
            return false;
        }
        let unlimited = Statement { per_s: None, ..latest };
        let record = self.records.entry(endpoint).or_insert_with(|| Record::new(unlimited, now));
        record.fill(now);
        let before = std::mem::replace(&mut record.latest, latest).per_s;
        if before.is_none() {
            // No tokens are counted without a limit.
            record.tokens = 0.0;
        }
        record.share_per_s = self.shares.share_per_s(endpoint, latest.per_s);
        record.seen_at = now;
        before != latest.per_s
    }

    /// Returns the limit that an endpoint names, in requests per second.
    pub fn per_s(&self, endpoint: EndpointHash) -> Option<f32> {
        self.records.get(&endpoint)?.latest.per_s
    }

    /// Returns the time until this gateway may send an endpoint a request, in milliseconds; none if
    /// it may do so now.
    pub fn wait_ms(&self, endpoint: EndpointHash, now: MonoMs) -> Option<u64> {
        self.records.get(&endpoint)?.wait_ms(now)
    }

    /// Counts a request that will be sent to an endpoint.
    pub fn record_sent(&mut self, endpoint: EndpointHash, now: MonoMs) {
        if let Some(record) = self.records.get_mut(&endpoint) {
            record.fill(now);
            record.tokens -= 1.0;
        }
    }

    /// Returns what this gateway was told itself, for its digest: at most `count` reports, the latest
    /// first.
    pub fn reports(&self, count: usize, now: MonoMs) -> Vec<LimitReport> {
        let is_reported = |it: &Statement| {
            it.is_own && (it.per_s.is_some() || now.ms_since(it.at) < Self::END_REPORTED_MS)
        };
        let latest = self.records.iter().map(|(endpoint, it)| (*endpoint, it.latest));
        let mut own: Vec<_> = latest.filter(|(_, it)| is_reported(it)).collect();
        own.sort_unstable_by_key(|(endpoint, it)| (std::cmp::Reverse(it.at), *endpoint));
        let report = |(endpoint, it): (EndpointHash, Statement)| LimitReport {
            endpoint,
            per_s: it.per_s,
            age_ms: u32::try_from(now.ms_since(it.at)).unwrap_or(u32::MAX),
        };
        own.into_iter().take(count).map(report).collect()
    }

    /// Removes limits that have ended, and those of endpoints that have long not been published.
    pub fn retain(&mut self, is_published: impl Fn(EndpointHash) -> bool, now: MonoMs) {
        self.records.retain(|endpoint, record| {
            if is_published(*endpoint) {
                record.seen_at = now;
            }
            let Statement { per_s, at, .. } = record.latest;
            let has_ended = per_s.is_none() && now.ms_since(at) >= Self::END_REPORTED_MS;
            !has_ended && now.ms_since(record.seen_at) < Self::KEPT_MS
        });
    }

    /// Returns the number of recorded limits.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Reports whether no limit is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
