//! Requests to endpoints that are cold.

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::IpAddr;
use std::sync::Arc;

use super::gateway_rank::GatewayRank;
use super::{ColdTerms, Endpoint};
use crate::MonoMs;
use crate::load::EndpointHash;

/// Bound on the requests that all gateways together may send to a cold endpoint in one second, beside the
/// rate that its service states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor on the stated rate.
    pub factor: f64,
    /// Requests on top of that.
    pub slack: f64,
}

impl ColdBound {
    /// Returns the requests that a cold endpoint may get in one second.
    fn per_s(self, terms: &ColdTerms) -> f64 {
        terms.per_s * self.factor + self.slack
    }
}

/// The gateways of the fleet, as this one knows them.
#[derive(Debug, Clone, Copy)]
pub struct KnownGateways<'a> {
    /// Address of this gateway.
    pub own: IpAddr,
    /// Addresses of all that may be running, including this one.
    pub all: &'a [IpAddr],
    /// Number of those that are heard now, including this one.
    pub heard: usize,
}

/// How much is known of an endpoint's temperature, which decides its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Certainty {
    /// The records don't show whether the endpoint is cold: it gets what a cold one must never exceed.
    Unknown,
    /// The endpoint is cold, or counts as cold: it gets the rate that its service states.
    Cold,
}

/// Time for which an endpoint counts as cold though its record doesn't say so.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    until: MonoMs,
    /// Records of the endpoint that have come since.
    records: u8,
}

/// What is known of a published endpoint.
#[derive(Debug, Default)]
struct Record {
    cold_until: Option<MonoMs>,
    suspicion: Option<Suspicion>,
    /// Whether the endpoint couldn't be reached when this gateway last opened a connection.
    is_unreachable: bool,
    /// Times of the latest requests, oldest first.
    sent: VecDeque<MonoMs>,
    /// Gateways that rank before this one, with the generation of the gateways for which it was counted.
    rank: Cell<Option<(u64, usize)>>,
}

impl Record {
    fn cold_until(&self, now: MonoMs) -> Option<MonoMs> {
        let suspected = self.suspicion.map(|it| it.until);
        self.cold_until.max(suspected).filter(|until| *until > now)
    }
}

/// Limits the requests to endpoints that have just started or have become cold again.
///
/// Handles zones that come back together under full load, and releases under load: cold endpoints are empty,
/// so that all gateways prefer them, and crash well above the rate that they bear. As with
/// [`super::EndpointLimits`], each gateway sends only its share, whether or not it hears its peers. Where
/// fewer requests are borne than there are gateways, only some gateways send, other ones for each endpoint.
///
/// A gateway doesn't always know which endpoints are cold: while the store hasn't confirmed its records for
/// long, each endpoint may be. It then keeps its share of the full bound at each endpoint.
#[derive(Debug)]
pub struct ColdEndpoints {
    bound: Option<ColdBound>,
    terms: HashMap<Arc<str>, ColdTerms>,
    rank: GatewayRank,
    /// Number of changes of the gateways in `rank`.
    generation: u64,
    /// Number of gateways that are heard now, including this one.
    heard: usize,
    /// Last time at which more gateways became known.
    grown_at: MonoMs,
    /// Whether this gateway has heard its peers for long enough since its start.
    has_started: bool,
    records: HashMap<EndpointHash, Record>,
}

impl ColdEndpoints {
    /// Length of the window in which a gateway counts its requests, in milliseconds: the second of the rule,
    /// and the time by which the sending of a request may lag behind the choice of its endpoint, as when a
    /// connection has to be opened. Otherwise two windows' requests could arrive in one second.
    pub const WINDOW_MS: u64 = 1_000 + Self::SEND_DELAY_MS;
    const SEND_DELAY_MS: u64 = 400;
    /// Minimum time from a gateway's start in which it sends cold endpoints nothing, in milliseconds: at first
    /// it knows only its seeds, and would take their shares for its own.
    pub const STARTUP_MS: u64 = 600;
    /// Time without further gateways after which a gateway that has just started knows the fleet, in
    /// milliseconds.
    pub const SETTLED_MS: u64 = 400;
    /// Age from which records don't show which endpoints are cold, in milliseconds: an endpoint writes its
    /// record about every 1.2 s.
    pub const UNCONFIRMED_MS: u64 = 2_000;
    /// Records after which an endpoint's record is later than a suspicion: the first may have been on its way.
    const MIN_RECORDS: u8 = 2;
    /// Factor on the limit that a gateway divides which hears at most half of those that it knows, beside the
    /// share of those: others may be cut off with it that it doesn't know.
    const CUT_OFF_FACTOR: f64 = 0.5;
    /// Delay after which a request may find out more, if nothing says when the endpoint accepts one, in
    /// milliseconds.
    const UNKNOWN_WAIT_MS: u64 = 500;

    /// Creates the state of a gateway; without a bound, no endpoint is limited.
    pub fn new(bound: Option<ColdBound>) -> Self {
        Self {
            bound,
            terms: HashMap::new(),
            rank: GatewayRank::default(),
            generation: 0,
            heard: 1,
            grown_at: MonoMs(0),
            has_started: false,
            records: HashMap::new(),
        }
    }

    /// Sets what the cold endpoints of each service bear; those of others aren't limited.
    pub fn set_terms(&mut self, terms: impl Iterator<Item = (Arc<str>, ColdTerms)>) {
        self.terms = terms.filter(|(_, it)| it.per_s > 0.0).collect();
    }

    /// Sets the gateways of the fleet. `records_age_ms` is the time since the store last confirmed the records in force.
    ///
    /// While it hasn't for long, gateways are only added: those that aren't heard any more may be cut off, and
    /// send their shares.
    pub fn set_gateways(
        &mut self,
        gateways: KnownGateways<'_>,
        records_age_ms: Option<u64>,
        now: MonoMs,
    ) {
        let KnownGateways { own, all, heard } = gateways;
        let known = self.rank.gateways();
        let mut all: BTreeSet<_> = all.iter().copied().collect();
        if !Self::is_confirmed(records_age_ms) {
            all.extend(self.rank.others());
        }
        let is_changed = self.rank.set(own, all.iter().copied());
        self.heard = heard;
        self.generation += u64::from(is_changed);
        if self.rank.gateways() > known {
            self.grown_at = now;
        }
        let is_settled =
            now.0 >= Self::STARTUP_MS && now.ms_since(self.grown_at) >= Self::SETTLED_MS;
        self.has_started |= is_settled && !self.is_cut_off();
    }

    fn is_confirmed(records_age_ms: Option<u64>) -> bool {
        records_age_ms.is_some_and(|ms| ms <= Self::UNCONFIRMED_MS)
    }

    fn is_cut_off(&self) -> bool {
        let known = self.rank.gateways();
        known > 1 && 2 * self.heard <= known
    }

    /// Records what an endpoint's record says.
    pub fn record_published(&mut self, endpoint: &Endpoint, now: MonoMs) {
        if self.bound.is_none() {
            return;
        }
        let record = self.records.entry(endpoint.hash).or_default();
        record.cold_until = (endpoint.cold_ms > 0).then(|| now.plus_ms(endpoint.cold_ms));
        if let Some(suspicion) = &mut record.suspicion {
            suspicion.records += 1;
        }
        record.suspicion = record.suspicion.filter(|it| it.records < Self::MIN_RECORDS);
    }

    /// Records whether a connection to an endpoint could be opened. One that couldn't be reached before may have
    /// started again.
    pub fn record_connection(&mut self, endpoint: &Endpoint, is_open: bool, now: MonoMs) {
        let Some(record) = self.records.get_mut(&endpoint.hash) else { return };
        if std::mem::replace(&mut record.is_unreachable, !is_open) && is_open {
            self.record_suspected(endpoint, now);
        }
    }

    /// Records that an endpoint may have become cold without a record that says so: it accepts connections
    /// again after it broke some, or its zone is taken back. It counts as cold until its record says otherwise,
    /// at most for as long as it would be cold after its start.
    pub fn record_suspected(&mut self, endpoint: &Endpoint, now: MonoMs) {
        let Some(terms) = self.terms.get(&endpoint.service) else { return };
        if self.bound.is_some() {
            let until = now.plus_ms(terms.start_ms);
            let record = self.records.entry(endpoint.hash).or_default();
            record.suspicion = Some(Suspicion { until, records: 0 });
        }
    }

    /// Returns the time for which an endpoint is known to stay cold, or counts as cold, in milliseconds.
    pub fn cold_ms(&self, endpoint: &Endpoint, now: MonoMs) -> Option<u64> {
        self.terms.get(&endpoint.service)?;
        let until = self.records.get(&endpoint.hash)?.cold_until(now)?;
        Some(until.ms_since(now))
    }

    /// Returns the time until this gateway may send an endpoint a request, in milliseconds; none if it may do
    /// so now. `records_age_ms` is the time since the store last confirmed the records in force.
    pub fn wait_ms(
        &self,
        endpoint: &Endpoint,
        records_age_ms: Option<u64>,
        now: MonoMs,
    ) -> Option<u64> {
        let bound = self.bound?;
        let terms = self.terms.get(&endpoint.service)?;
        let record = self.records.get(&endpoint.hash);
        let until = record.and_then(|it| it.cold_until(now));
        let certainty = match until {
            Some(_) => Certainty::Cold,
            None if Self::is_confirmed(records_age_ms) => return None,
            None => Certainty::Unknown,
        };
        let left_ms = until.map_or(Self::UNKNOWN_WAIT_MS, |until| until.ms_since(now));
        if !self.has_started && certainty == Certainty::Cold {
            let startup_ms = Self::STARTUP_MS.saturating_sub(now.0).max(Self::UNKNOWN_WAIT_MS);
            return Some(left_ms.min(startup_ms));
        }
        let quota = match certainty {
            // A starting gateway knows neither the fleet nor, during an outage of the store, the cold endpoints.
            // Refusing everything would make each restart in an outage a loss of the service.
            Certainty::Unknown if !self.has_started => 1,
            Certainty::Cold => self.quota(endpoint.hash, record, self.divided_per_s(terms)),
            Certainty::Unknown => self.quota(endpoint.hash, record, bound.per_s(terms)),
        };
        if quota == 0 {
            return Some(left_ms);
        }
        let sent = &record?.sent;
        let recent = |at: &&MonoMs| now.ms_since(**at) < Self::WINDOW_MS;
        let count = sent.iter().filter(recent).count();
        // The request that has to leave the window before another one may enter it.
        let blocking = sent.iter().filter(recent).nth(count.checked_sub(quota)?)?;
        let window_ms = Self::WINDOW_MS - now.ms_since(*blocking);
        Some(if until.is_some() { window_ms.min(left_ms) } else { window_ms })
    }

    /// Returns the requests per second that the gateways which are known divide at a cold endpoint.
    fn divided_per_s(&self, terms: &ColdTerms) -> f64 {
        if !self.is_cut_off() {
            return terms.per_s;
        }
        let heard_share = self.heard as f64 / self.rank.gateways() as f64;
        // The first gateway sends, as it does in every other group.
        (terms.per_s * heard_share * Self::CUT_OFF_FACTOR).max(terms.per_s.min(1.0))
    }

    /// Returns the number of requests that this gateway may send an endpoint in one window, if all gateways
    /// together may send `per_window`. The quotas of gateways that know the same ones add up to it.
    fn quota(&self, endpoint: EndpointHash, record: Option<&Record>, per_window: f64) -> usize {
        let (all, gateways) = (per_window.floor() as usize, self.rank.gateways());
        all / gateways + usize::from(self.before_own(endpoint, record) < all % gateways)
    }

    /// Returns the number of gateways that rank before this one for an endpoint. It is counted once after each
    /// change of the gateways, so that the cost of a decision doesn't grow with their number.
    fn before_own(&self, endpoint: EndpointHash, record: Option<&Record>) -> usize {
        let cached = record.and_then(|it| it.rank.get());
        if let Some((_, rank)) = cached.filter(|(generation, _)| *generation == self.generation) {
            return rank;
        }
        let rank = self.rank.before_own(endpoint.0);
        if let Some(record) = record {
            record.rank.set(Some((self.generation, rank)));
        }
        rank
    }

    /// Counts a request that will be sent to an endpoint. Requests to warm ones count, too: an endpoint may
    /// become cold within a second of them.
    pub fn record_sent(&mut self, endpoint: &Endpoint, now: MonoMs) {
        let Some(terms) = self.terms.get(&endpoint.service) else { return };
        let Some(bound) = self.bound else { return };
        let max = bound.per_s(terms).ceil().max(1.0) as usize;
        let sent = &mut self.records.entry(endpoint.hash).or_default().sent;
        while sent.len() >= max {
            sent.pop_front();
        }
        sent.push_back(now);
    }

    /// Removes what no longer counts, and endpoints that aren't published, once their requests don't count any
    /// more: they may be published again.
    pub fn retain(&mut self, is_published: impl Fn(EndpointHash) -> bool, now: MonoMs) {
        self.records.retain(|endpoint, record| {
            record.sent.retain(|at| now.ms_since(*at) < Self::WINDOW_MS);
            let is_cold = record.cold_until(now).is_some();
            is_published(*endpoint) || is_cold || !record.sent.is_empty()
        });
    }
}
