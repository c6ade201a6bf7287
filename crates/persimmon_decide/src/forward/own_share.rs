//! This gateway's share of a service in overload.

use super::FleetView;
use crate::MonoMs;

/// The load of a service's endpoints that take requests now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceLoad {
    /// Slots of these endpoints.
    pub slots: u32,
    /// This gateway's requests at them.
    pub own: u32,
    /// Requests of all gateways at them, as of the last digests.
    pub total: u32,
}

impl ServiceLoad {
    /// Returns the load of a service.
    pub fn new(service: &str, view: FleetView<'_>) -> Self {
        let is_usable = |hash| !view.health.is_ejected(hash, view.now);
        let open = view.endpoints.ready(service).filter(|it| view.is_open(it));
        open.filter(|it| is_usable(it.hash)).fold(Self::default(), |sum, it| Self {
            // Anyone may have written an endpoint's record, with any number of slots.
            slots: sum.slots.saturating_add(it.slots),
            own: sum.own.saturating_add(view.loads.own(it.hash)),
            total: sum.total.saturating_add(view.loads.total(it.hash).requests),
        })
    }

    /// Returns the requests of all gateways as a multiple of the slots.
    pub fn fill(self) -> f64 {
        f64::from(self.total) / f64::from(self.slots.max(1))
    }
}

/// Requests to a service in the fleet's recent past, by which gateways divide its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecentRequests {
    /// Requests that callers sent to this gateway.
    pub own: u32,
    /// Requests that callers sent to the other gateways, as of their last digests.
    pub others: u32,
    /// Number of gateways that are heard, including this one.
    pub gateways: usize,
    /// Whether they are more than half of the known ones. Otherwise this gateway is probably cut off, and
    /// what it hears doesn't tell its share.
    pub hears_most: bool,
}

/// Limits this gateway's requests in progress at an overloaded service to its share of the service's
/// capacity.
///
/// Handles overload by short requests in large fleets: the counts of the other gateways' requests are
/// older than a request takes, so gateways that go by them all accept during one interval between digests
/// and all refuse during the next. A gateway's own count is exact, and the shares of all gateways add up to
/// one, so that the sum stays within the capacity however old the counts are.
///
/// A fractional share is kept on average over time, in units of the time that a request takes: a share of
/// 0.2 allows one request in progress for a fifth of the time.
///
/// A gateway that hasn't heard most of the fleet since its start has no share, and limits nothing.
#[derive(Debug)]
pub struct OwnShare {
    fraction: Option<f64>,
    /// Time at which the fraction was determined.
    updated: Option<MonoMs>,
    /// Beginning of the current or last overload.
    overloaded_since: MonoMs,
    /// Time until which the service counts as overloaded.
    overloaded_until: MonoMs,
    /// Fill up to which endpoints may be used.
    fill: f64,
    /// Time that a request takes at that fill, in milliseconds.
    whole_ms: f64,
    /// Unused part of the share, in requests; negative if more than the share was used.
    carry: f64,
    /// Time up to which `carry` takes the requests in progress into account.
    carried: MonoMs,
}

impl OwnShare {
    /// Time after which the fraction is determined again, in milliseconds. The sum over all peers is too
    /// expensive for each request of a large fleet.
    const UPDATE_MS: u64 = 200;
    /// Requests added to each gateway's recent ones, so that a gateway that has got few requests in the
    /// window, or has just started, still has a share.
    const ADDED_REQUESTS: f64 = 2.0;
    /// Minimum time for which a service counts as overloaded, in milliseconds.
    const MIN_OVERLOAD_MS: u64 = 500;
    /// Number of intervals between digests for which a service counts as overloaded: counts of the time
    /// before arrive for one interval, and what the gateways then do shows in the next.
    const OVERLOAD_DIGESTS: u64 = 2;
    /// Maximum part of the share that is carried over, in requests.
    const MAX_CARRY: f64 = 1.0;

    /// Creates a share that isn't known yet.
    pub fn new() -> Self {
        Self {
            fraction: None,
            updated: None,
            overloaded_since: MonoMs(0),
            overloaded_until: MonoMs(0),
            fill: 1.0,
            whole_ms: 1.0,
            carry: 0.0,
            carried: MonoMs(0),
        }
    }

    /// Reports whether the fraction should be determined again.
    pub fn is_outdated(&self, now: MonoMs) -> bool {
        self.updated.is_none_or(|at| now.ms_since(at) >= Self::UPDATE_MS)
    }

    /// Determines this gateway's fraction of the capacity from the requests that gateways recently got. A
    /// gateway that is probably cut off keeps its last one.
    pub fn update(&mut self, recent: RecentRequests, now: MonoMs) {
        self.updated = Some(now);
        if !recent.hears_most {
            return;
        }
        let own = f64::from(recent.own) + Self::ADDED_REQUESTS;
        let added = Self::ADDED_REQUESTS * recent.gateways as f64;
        let all = f64::from(recent.own) + f64::from(recent.others) + added;
        self.fraction = Some(own / all);
    }

    /// Returns this gateway's fraction of the capacity; none if it isn't known.
    pub fn fraction(&self) -> Option<f64> {
        self.fraction
    }

    /// Records that every endpoint is too full for a request by the counts of all gateways, which arrive
    /// every `interval_ms`. The random number `draw`, from 0 to 1, is the part of the share that is unused
    /// when an overload begins, so that small shares of many gateways aren't used at the same time.
    pub fn record_full(&mut self, interval_ms: u64, draw: f64, now: MonoMs) {
        if !self.is_overloaded(now) {
            self.overloaded_since = now;
            self.carry = draw;
            self.carried = now;
        }
        let overload_ms = (Self::OVERLOAD_DIGESTS * interval_ms).max(Self::MIN_OVERLOAD_MS);
        self.overloaded_until = self.overloaded_until.max(now.plus_ms(overload_ms));
    }

    /// Reports whether the service is overloaded and this gateway knows its share.
    pub fn is_overloaded(&self, now: MonoMs) -> bool {
        self.fraction.is_some() && now < self.overloaded_until
    }

    /// Returns the beginning of the overload; none if the service isn't overloaded.
    pub fn overloaded_since(&self, now: MonoMs) -> Option<MonoMs> {
        self.is_overloaded(now).then_some(self.overloaded_since)
    }

    /// Sets the fill up to which endpoints may be used, and the mean duration of a request with a slot, in
    /// milliseconds.
    pub fn set_fill(&mut self, fill: f64, mean_ms: u64) {
        self.fill = fill;
        // A request takes longer in proportion to the fill, since it waits for a slot first.
        self.whole_ms = mean_ms.max(1) as f64 * fill.max(1.0);
    }

    /// Records that this gateway's requests in progress have been those in `load` until now.
    pub fn advance(&mut self, load: ServiceLoad, now: MonoMs) {
        let Some(share) = self.share(load) else { return };
        let unused = share - f64::from(load.own);
        let carry = self.carry + unused * now.ms_since(self.carried) as f64 / self.whole_ms;
        self.carry = carry.clamp(-Self::MAX_CARRY, Self::MAX_CARRY);
        self.carried = now;
    }

    /// Reports whether the share, times the factor of a request, allows one more.
    pub fn allows(&self, load: ServiceLoad, factor: f64) -> bool {
        let share = self.share(load);
        share.is_none_or(|share| f64::from(load.own) + 1.0 <= share * factor + self.carry)
    }

    /// Returns the number of requests that this gateway may have in progress.
    pub fn share(&self, load: ServiceLoad) -> Option<f64> {
        self.fraction.map(|fraction| fraction * f64::from(load.slots) * self.fill)
    }
}

impl Default for OwnShare {
    fn default() -> Self {
        Self::new()
    }
}
