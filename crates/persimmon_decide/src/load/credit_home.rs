//! The home of a limit: the sidecar that grants its credits.

use std::collections::BTreeMap;

use persimmon_records::Class;

use super::{
    ChatKey, CreditDemand, CreditPool, CreditReply, EndpointHash, LimitKey, rendezvous_score,
};
use crate::MonoMs;

/// Returns the home of a limit, which is the first of the live endpoints in rendezvous rank, or
/// `None` without live endpoints.
pub fn credit_home_of(
    key: &LimitKey,
    live: impl IntoIterator<Item = EndpointHash>,
) -> Option<EndpointHash> {
    let seed =
        ChatKey::of(&key.workspace, &"credits".into(), &[key.class.map_or("total", Class::as_str)]);
    let score = |endpoint: &EndpointHash| rendezvous_score(seed, *endpoint, 1);
    live.into_iter().min_by(|a, b| score(a).total_cmp(&score(b)).then(a.cmp(b)))
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    available: f64,
    filled_at: MonoMs,
    created_at: MonoMs,
}

/// Grants credits for the limits whose home is this sidecar, from the part of each limit that isn't
/// divided among the routers ([`CreditPool::ROUTER_SHARE`]). A new home doesn't know what an
/// earlier home granted. A new home therefore starts with [`CreditHome::NEW_HOME_START_MS`] of
/// the rate and refills at [`CreditHome::NEW_HOME_SHARE`] of it until every batch of the earlier
/// home has expired.
///
/// A home that sees only part of the published endpoints alive grants only that part of the limit.
/// When the network is partitioned, no endpoint is visible in two partitions, so their homes
/// together grant no more than the limit.
///
/// ```
/// use persimmon_decide::MonoMs;
/// use persimmon_decide::load::{CreditDemand, CreditHome, CreditReply, LimitKey};
///
/// let key = LimitKey { workspace: "swap-desk".into(), class: Default::default() };
/// let demand = CreditDemand { key, wanted: 10 };
/// let mut home = CreditHome::default();
/// home.grant(&demand, 100, 1.0, MonoMs(0));
/// let CreditReply::Batch { credits, .. } = home.grant(&demand, 100, 1.0, MonoMs(800)) else {
///     panic!()
/// };
/// assert_eq!(credits, 10);
/// ```
#[derive(Debug, Clone, Default)]
pub struct CreditHome {
    buckets: BTreeMap<LimitKey, Bucket>,
}

impl CreditHome {
    /// Maximum number of limits. Beyond it, the least recently used limit is evicted, and its home
    /// counts as new again.
    pub const MAX_LIMITS: usize = 16_384;

    /// Time to live of a batch, in milliseconds.
    pub const TTL_MS: u32 = 2_000;

    /// Burst size: the maximum number of unused credits that accumulate, in milliseconds of the
    /// limit's rate.
    pub const BURST_MS: u64 = 1_000;

    /// Share of the rate at which a new home refills.
    pub const NEW_HOME_SHARE: f64 = 0.5;

    /// Credits that a new home starts with, in milliseconds of the limit's rate, so that a request
    /// isn't refused only because the home has just started.
    pub const NEW_HOME_START_MS: u64 = 250;

    /// Time for which a home counts as new, in milliseconds.
    pub const NEW_HOME_MS: u64 = 10_000;

    /// Minimum delay in milliseconds before a router that got fewer credits than it demanded may
    /// demand more.
    pub const MIN_MORE_AFTER_MS: u32 = 200;

    /// Maximum share of the available credits in one grant, so that several routers get some.
    pub const MAX_GRANT_SHARE: f64 = 0.5;

    /// Grants credits for a demand. `per_second` is the limit in the records, and `seen_share` is
    /// the share of the published endpoints that this process sees alive.
    pub fn grant(
        &mut self,
        demand: &CreditDemand,
        per_second: u32,
        seen_share: f64,
        now: MonoMs,
    ) -> CreditReply {
        self.make_room(&demand.key);
        let granted_share = 1.0 - CreditPool::ROUTER_SHARE;
        let rate = f64::from(per_second) * granted_share * seen_share.clamp(0.0, 1.0);
        let available = rate * Self::NEW_HOME_START_MS as f64 / 1_000.0;
        let new = Bucket { available, filled_at: now, created_at: now };
        let bucket = self.buckets.entry(demand.key.clone()).or_insert(new);
        bucket.fill(rate, now);
        let most = (bucket.available * Self::MAX_GRANT_SHARE).max(1.0).min(bucket.available);
        let credits = demand.wanted.min(most as u32);
        bucket.available -= f64::from(credits);
        let more_after_ms = bucket.more_after_ms(per_second, demand.wanted - credits);
        CreditReply::Batch { credits, ttl_ms: Self::TTL_MS, more_after_ms }
    }

    fn make_room(&mut self, key: &LimitKey) {
        if self.buckets.len() < Self::MAX_LIMITS || self.buckets.contains_key(key) {
            return;
        }
        let idle = self.buckets.iter().min_by_key(|(_, bucket)| bucket.filled_at);
        if let Some(key) = idle.map(|(key, _)| key.clone()) {
            self.buckets.remove(&key);
        }
    }
}

impl Bucket {
    fn fill(&mut self, per_second: f64, now: MonoMs) {
        let is_new = now.ms_since(self.created_at) < CreditHome::NEW_HOME_MS;
        let rate = if is_new { per_second * CreditHome::NEW_HOME_SHARE } else { per_second };
        let earned = rate * now.ms_since(self.filled_at) as f64 / 1_000.0;
        let most = (rate * CreditHome::BURST_MS as f64 / 1_000.0).max(1.0);
        self.available = (self.available + earned).min(most);
        self.filled_at = self.filled_at.max(now);
    }

    fn more_after_ms(&self, per_second: u32, missing: u32) -> u32 {
        if missing == 0 {
            return 0;
        }
        let until_one = 1_000 / per_second.max(1);
        until_one.max(CreditHome::MIN_MORE_AFTER_MS)
    }
}
