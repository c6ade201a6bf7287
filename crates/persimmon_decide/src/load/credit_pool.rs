//! Credits with which a router pays for requests.

use std::collections::BTreeMap;

use super::{CreditBatch, CreditDemand, CreditReply, LimitKey};
use crate::MonoMs;

/// Outcome of paying for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spend {
    /// Whether the request was paid for. If not, and if there is a demand, the router may wait for
    /// the reply and call [`CreditPool::spend`] once more.
    pub paid: bool,
    /// Demand to send to the home now.
    pub demand: Option<CreditDemand>,
    /// Whether a demand is in flight, so that its reply may soon pay for the request.
    pub awaits_home: bool,
    /// Delay in milliseconds after which an unpaid request may be retried.
    pub retry_after_ms: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Account {
    /// The batch that is spent first, and the one after it.
    batches: [CreditBatch; 2],
    /// Requests in the current and the previous window of [`CreditPool::WINDOW_MS`].
    request_counts: [u32; 2],
    window: u64,
    demanded_at: Option<MonoMs>,
    next_demand_at: MonoMs,
    /// Credits from this router's own part of the limit, see [`CreditPool::ROUTER_SHARE`].
    local_credits: f64,
    local_filled_at: MonoMs,
}

/// Pays for requests from batches of credits, and demands the next batch before the current one is
/// used up. The batches have a time to live and are spent at the client, as in "K2 Timestamp and
/// TSO", sections 3.3 and 3.6. Each router also grants itself a small share of the limit and spends
/// it first. This way, a workspace that sends few requests causes no messages, and an unresponsive
/// home doesn't block a workspace entirely.
///
/// ```
/// use persimmon_decide::MonoMs;
/// use persimmon_decide::load::{CreditPool, CreditReply, LimitKey};
///
/// let key = LimitKey { workspace: "swap-desk".into(), class: Default::default() };
/// let mut pool = CreditPool::new(2);
/// let from_batch = pool.spend(&key, 100, MonoMs(0));
/// assert!(!from_batch.paid && from_batch.demand.is_some());
/// let reply = CreditReply::Batch { credits: 4, ttl_ms: 2_000, more_after_ms: 0 };
/// pool.receive(&key, reply, MonoMs(0), MonoMs(5));
/// assert!(pool.spend(&key, 100, MonoMs(6)).paid);
/// ```
#[derive(Debug, Clone)]
pub struct CreditPool {
    accounts: BTreeMap<LimitKey, Account>,
    routers: u32,
}

impl CreditPool {
    /// Maximum number of limits. Beyond it, the least recently used limit is evicted with its
    /// credits.
    pub const MAX_LIMITS: usize = 16_384;

    /// Length in milliseconds of the window in which requests are counted. The count determines the
    /// size of the next demand.
    pub const WINDOW_MS: u64 = 1_000;

    /// Divisor of the limit per second that gives the minimum demand. A minimum prevents the first
    /// requests of a workspace from each waiting for the home.
    pub const MIN_DEMAND_DIVISOR: u32 = 20;

    /// Maximum credits in one demand.
    pub const MAX_WANTED: u32 = 10_000;

    /// Timeout for the reply to a demand, in milliseconds. After a timeout the pool sends no demand
    /// for the same time.
    pub const REPLY_TIMEOUT_MS: u64 = 500;

    /// Share of the limit that is divided equally among the routers. The home grants the rest.
    pub const ROUTER_SHARE: f64 = 0.25;

    /// Creates the pool of one of `routers` routers.
    pub fn new(routers: u32) -> Self {
        Self { accounts: BTreeMap::new(), routers: routers.max(1) }
    }

    /// Sets the number of routers.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Pays for one request under a limit of `per_second` if a credit is available.
    pub fn spend(&mut self, key: &LimitKey, per_second: u32, now: MonoMs) -> Spend {
        let local_rate = f64::from(per_second) * Self::ROUTER_SHARE / f64::from(self.routers);
        let account = self.account(key);
        account.count(now);
        account.expire_demand(now);
        if account.take_local(local_rate, now) {
            return Spend { paid: true, demand: None, awaits_home: false, retry_after_ms: 0 };
        }
        let paid = account.take_from_batch(now);
        let least = per_second.div_ceil(Self::MIN_DEMAND_DIVISOR);
        let wanted = account.demand(least, now);
        let demand = wanted.map(|wanted| CreditDemand { key: key.clone(), wanted });
        let wait_ms = account.next_demand_at.ms_since(now).max(Self::REPLY_TIMEOUT_MS / 10);
        let retry_after_ms = if paid { 0 } else { wait_ms };
        Spend { paid, demand, awaits_home: account.demanded_at.is_some(), retry_after_ms }
    }

    /// Processes the reply to a demand sent at `sent_at`. The batch's time to live starts at
    /// `sent_at`, so that a slow reply can't extend it.
    pub fn receive(&mut self, key: &LimitKey, reply: CreditReply, sent_at: MonoMs, now: MonoMs) {
        let account = self.account(key);
        account.demanded_at = None;
        match reply {
            CreditReply::Batch { credits, ttl_ms, more_after_ms } => {
                let expires_at = sent_at.plus_ms(u64::from(ttl_ms));
                account.add(CreditBatch { credits, expires_at }, now);
                account.next_demand_at = now.plus_ms(u64::from(more_after_ms));
            }
            CreditReply::Elsewhere(_) => account.next_demand_at = now,
        }
    }

    fn account(&mut self, key: &LimitKey) -> &mut Account {
        if self.accounts.len() >= Self::MAX_LIMITS && !self.accounts.contains_key(key) {
            let idle = self.accounts.iter().min_by_key(|(_, account)| account.window);
            if let Some(idle) = idle.map(|(key, _)| key.clone()) {
                self.accounts.remove(&idle);
            }
        }
        self.accounts.entry(key.clone()).or_default()
    }
}

impl Account {
    fn count(&mut self, now: MonoMs) {
        let window = now.0 / CreditPool::WINDOW_MS;
        if window > self.window {
            let last = if window == self.window + 1 { self.request_counts[0] } else { 0 };
            self.request_counts = [0, last];
            self.window = window;
        }
        self.request_counts[0] = self.request_counts[0].saturating_add(1);
    }

    fn expire_demand(&mut self, now: MonoMs) {
        let expired =
            self.demanded_at.is_some_and(|at| now.ms_since(at) >= CreditPool::REPLY_TIMEOUT_MS);
        if expired {
            self.demanded_at = None;
            self.next_demand_at = now.plus_ms(CreditPool::REPLY_TIMEOUT_MS);
        }
    }

    fn take_from_batch(&mut self, now: MonoMs) -> bool {
        let held = self.batches.iter_mut().find(|batch| batch.left(now) > 0);
        if let Some(batch) = held {
            batch.credits -= 1;
            return true;
        }
        false
    }

    /// Adds a batch. It replaces the older batch if the newer one has credits left, else the newer
    /// one. Credits never move from one batch to another, since that would extend their time to
    /// live.
    fn add(&mut self, batch: CreditBatch, now: MonoMs) {
        let [first, second] = self.batches;
        self.batches = if second.left(now) > 0 { [second, batch] } else { [first, batch] };
    }

    fn take_local(&mut self, rate: f64, now: MonoMs) -> bool {
        let earned = rate * now.ms_since(self.local_filled_at) as f64 / 1_000.0;
        self.local_credits = (self.local_credits + earned).min(rate.max(1.0));
        self.local_filled_at = self.local_filled_at.max(now);
        let paid = self.local_credits >= 1.0;
        if paid {
            self.local_credits -= 1.0;
        }
        paid
    }

    /// Returns the number of credits to demand now, if the remaining ones cover less than half of
    /// the wanted number.
    fn demand(&mut self, least: u32, now: MonoMs) -> Option<u32> {
        let per_window = self.request_counts[0].max(self.request_counts[1]);
        let wanted = per_window.saturating_mul(2).max(least).clamp(1, CreditPool::MAX_WANTED);
        let held: u32 = self.batches.iter().map(|batch| batch.left(now)).sum();
        let low = held < wanted.div_ceil(2);
        if !low || self.demanded_at.is_some() || now < self.next_demand_at {
            return None;
        }
        self.demanded_at = Some(now);
        Some(wanted - held)
    }
}
