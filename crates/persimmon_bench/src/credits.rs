//! Compares batches of credits with other ways to enforce a fleet-wide limit.

use std::collections::BTreeMap;

use persimmon_decide::MonoMs;
use persimmon_decide::load::{CreditDemand, CreditHome, CreditPool, CreditReply, LimitKey};
use persimmon_records::Class;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Bytes of a request to the home or of its reply, including transport headers.
const MESSAGE_BYTES: u64 = 96;

/// The limit, in requests per second.
const LIMIT: u32 = 200;

/// Limit that makes a home grant all of [`LIMIT`]. A home holds back the routers' shares,
/// which only [`CreditWay::Batches`] uses.
const WHOLE_LIMIT: u32 = (LIMIT as f64 / (1.0 - CreditPool::ROUTER_SHARE)) as u32;

const ROUTERS: usize = 16;
const SPARSE_ROUTERS: usize = 350;
const ROUND_TRIP_MS: u64 = 2;
const DURATION_S: u64 = 120;
const FAULT_START_S: u64 = 40;
const FAULT_END_S: u64 = 80;

/// A way to enforce a workspace's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CreditWay {
    /// Routers request batches of credits that expire.
    Batches,
    /// Routers send a request to the home for each call.
    EachCall,
    /// Each router enforces an equal part of the limit, without messages.
    FixedSplit,
}

/// A condition under which the limit is enforced. Surges and partitions last for the middle third
/// of the run, the other conditions for all of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// No disturbance; the demand is four fifths of the limit.
    None,
    /// The demand is three times the limit.
    Surge,
    /// A quarter of the routers can't reach the home or the endpoints on its side of the partition.
    /// The demand is four fifths of the limit.
    Partition,
    /// The demand is a hundredth of the limit, spread over 350 routers.
    Sparse,
}

/// Figures of one way to enforce the limit under one condition.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct CreditFigures {
    /// Way to enforce the limit.
    pub way: CreditWay,
    /// Condition of the run.
    pub trouble: Trouble,
    /// Control bytes sent per second.
    pub bytes_per_s: f64,
    /// Admitted requests, as a ratio to those that an exact global count would admit.
    pub served: f64,
    /// Most requests admitted in any second, as a ratio to the limit.
    pub worst_second: f64,
    /// Share of the requests that waited for a reply from the home, from 0 to 1.
    pub waited: f64,
}

/// Simulates one way to enforce the limit under one condition.
pub fn credit_figures(way: CreditWay, trouble: Trouble, seed: u64) -> CreditFigures {
    let mut run = CreditRun::new(way, trouble);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut ideal = 0.0;
    let mut per_second = BTreeMap::<u64, u64>::new();
    let mut calls = 0_u64;
    for now in 0..DURATION_S * 1_000 {
        if now % 1_000 == 0 {
            ideal += f64::from(LIMIT).min(demand_per_s(trouble, now));
        }
        if rng.random::<f64>() >= demand_per_s(trouble, now) / 1_000.0 {
            continue;
        }
        calls += 1;
        // Half of the calls go to a quarter of the routers.
        let busy = rng.random::<f64>() < 0.5;
        let routers = run.pools.len();
        let router = rng.random_range(0..if busy { routers / 4 } else { routers });
        if run.call(router, MonoMs(now)) {
            *per_second.entry(now / 1_000).or_default() += 1;
        }
    }
    let served: u64 = per_second.values().sum();
    let worst = per_second.values().copied().max().unwrap_or(0);
    CreditFigures {
        way,
        trouble,
        bytes_per_s: run.messages as f64 * MESSAGE_BYTES as f64 / DURATION_S as f64,
        served: served as f64 / ideal,
        worst_second: worst as f64 / f64::from(LIMIT),
        waited: run.waited as f64 / calls.max(1) as f64,
    }
}

/// Returns the demand at a time, in requests per second.
fn demand_per_s(trouble: Trouble, now: u64) -> f64 {
    let of_limit = match trouble {
        Trouble::Surge if in_trouble(now) => 3.0,
        Trouble::Sparse => 0.01,
        Trouble::None | Trouble::Surge | Trouble::Partition => 0.8,
    };
    f64::from(LIMIT) * of_limit
}

fn in_trouble(now: u64) -> bool {
    (FAULT_START_S..FAULT_END_S).contains(&(now / 1_000))
}

struct CreditRun {
    way: CreditWay,
    trouble: Trouble,
    key: LimitKey,
    /// The workspace's home, followed by the home that routers in the minority choose during a
    /// partition.
    homes: [CreditHome; 2],
    pools: Vec<CreditPool>,
    split_homes: Vec<CreditHome>,
    messages: u64,
    waited: u64,
}

impl CreditRun {
    fn new(way: CreditWay, trouble: Trouble) -> Self {
        let routers = if trouble == Trouble::Sparse { SPARSE_ROUTERS } else { ROUTERS };
        Self {
            way,
            trouble,
            key: LimitKey { workspace: "workspace-0".into(), class: Some(Class::Conversation) },
            homes: [CreditHome::default(), CreditHome::default()],
            pools: vec![CreditPool::new(routers as u32); routers],
            split_homes: vec![CreditHome::default(); routers],
            messages: 0,
            waited: 0,
        }
    }

    fn call(&mut self, router: usize, now: MonoMs) -> bool {
        match self.way {
            CreditWay::Batches => self.call_with_batches(router, now),
            CreditWay::EachCall => {
                self.waited += 1;
                self.request_credits(router, 1, WHOLE_LIMIT, now) == 1
            }
            CreditWay::FixedSplit => {
                let share = 1.0 / self.split_homes.len() as f64;
                let demand = CreditDemand { key: self.key.clone(), wanted: 1 };
                let reply = self.split_homes[router].grant(&demand, WHOLE_LIMIT, share, now);
                matches!(reply, CreditReply::Batch { credits: 1, .. })
            }
        }
    }

    fn call_with_batches(&mut self, router: usize, now: MonoMs) -> bool {
        let spend = self.pools[router].spend(&self.key, LIMIT, now);
        let Some(demand) = spend.demand else { return spend.paid };
        let credits = self.request_credits(router, demand.wanted, LIMIT, now);
        let more_after_ms = if credits < demand.wanted { CreditHome::MIN_MORE_AFTER_MS } else { 0 };
        let reply = CreditReply::Batch { credits, ttl_ms: CreditHome::TTL_MS, more_after_ms };
        let arrives = now.plus_ms(ROUND_TRIP_MS);
        self.pools[router].receive(&self.key, reply, now, arrives);
        if spend.paid {
            return true;
        }
        self.waited += 1;
        self.pools[router].spend(&self.key, LIMIT, arrives).paid
    }

    /// Requests credits from the home on this router's side of a partition, and returns the granted
    /// number.
    fn request_credits(&mut self, router: usize, wanted: u32, limit: u32, now: MonoMs) -> u32 {
        self.messages += 2;
        let is_partitioned = self.trouble == Trouble::Partition && in_trouble(now.0);
        let is_cut_off = is_partitioned && router < self.pools.len() / 4;
        let (home, seen_share) = match (is_partitioned, is_cut_off) {
            (false, _) => (0, 1.0),
            (true, false) => (0, 0.75),
            (true, true) => (1, 0.25),
        };
        let demand = CreditDemand { key: self.key.clone(), wanted };
        match self.homes[home].grant(&demand, limit, seen_share, now) {
            CreditReply::Batch { credits, .. } => credits,
            CreditReply::Elsewhere(_) => 0,
        }
    }
}
