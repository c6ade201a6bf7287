//! Credits for fleet-wide limits against the alternatives.

use std::collections::BTreeMap;

use persimmon_decide::MonoMs;
use persimmon_decide::load::{CreditDemand, CreditHome, CreditPool, CreditReply, LimitKey};
use persimmon_records::Class;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Bytes of a request to the home or of its reply, with the headers of the transport.
const MESSAGE_BYTES: u64 = 96;

/// The limit in requests a second.
const LIMIT: u32 = 200;

/// Makes a home grant the whole limit, for the ways in which routers have no share of their own.
const WHOLE_LIMIT: u32 = (LIMIT as f64 / (1.0 - CreditPool::ROUTER_SHARE)) as u32;

const ROUTERS: usize = 16;
const SPARSE_ROUTERS: usize = 350;
const HOP_MS: u64 = 2;
const DURATION_S: u64 = 120;
const TROUBLE_FROM_S: u64 = 40;
const TROUBLE_TO_S: u64 = 80;

/// A way of holding a workspace to its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CreditWay {
    /// Batches of credits with a time to live.
    Batches,
    /// A request to the home for each call.
    EachCall,
    /// The limit divided evenly among the routers, without messages.
    FixedSplit,
}

/// What happens in the middle third of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// Nothing; the demand is four fifths of the limit.
    None,
    /// The demand is three times the limit.
    Surge,
    /// A quarter of the routers can't reach the home and the endpoints near it.
    Partition,
    /// The demand is a hundredth of the limit, over 350 routers.
    Sparse,
}

/// What one way did under one trouble.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct CreditFigures {
    /// The way.
    pub way: CreditWay,
    /// The trouble.
    pub trouble: Trouble,
    /// Control bytes for each second.
    pub bytes_per_s: f64,
    /// Requests let through that were within the limit by an exact count, over all of those.
    pub served: f64,
    /// The most let through in any second, over the limit.
    pub worst_second: f64,
    /// Requests that had to wait for a message to the home, from 0 to 1.
    pub waited: f64,
}

/// Runs one way under one trouble.
pub fn credit_figures(way: CreditWay, trouble: Trouble, seed: u64) -> CreditFigures {
    let mut run = CreditRun::new(way, trouble);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut ideal = 0.0;
    let mut per_second = BTreeMap::<u64, u64>::new();
    let mut calls = 0_u64;
    for now in 0..DURATION_S * 1_000 {
        if now % 1_000 == 0 {
            ideal += f64::from(LIMIT).min(rate(trouble, now));
        }
        if rng.random::<f64>() >= rate(trouble, now) / 1_000.0 {
            continue;
        }
        calls += 1;
        // Half of the calls reach a quarter of the routers.
        let busy = rng.random::<f64>() < 0.5;
        let routers = run.purses.len();
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

/// Demand in requests a second.
fn rate(trouble: Trouble, now: u64) -> f64 {
    let of_limit = match trouble {
        Trouble::Surge if in_trouble(now) => 3.0,
        Trouble::Sparse => 0.01,
        Trouble::None | Trouble::Surge | Trouble::Partition => 0.8,
    };
    f64::from(LIMIT) * of_limit
}

fn in_trouble(now: u64) -> bool {
    (TROUBLE_FROM_S..TROUBLE_TO_S).contains(&(now / 1_000))
}

struct CreditRun {
    way: CreditWay,
    trouble: Trouble,
    key: LimitKey,
    /// The home, and the one that the cut-off side chooses.
    homes: [CreditHome; 2],
    purses: Vec<CreditPool>,
    split: Vec<CreditHome>,
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
            purses: vec![CreditPool::new(routers as u32); routers],
            split: vec![CreditHome::default(); routers],
            messages: 0,
            waited: 0,
        }
    }

    fn call(&mut self, router: usize, now: MonoMs) -> bool {
        match self.way {
            CreditWay::Batches => self.pay_from_batch(router, now),
            CreditWay::EachCall => {
                self.waited += 1;
                self.ask(router, 1, WHOLE_LIMIT, now) == 1
            }
            CreditWay::FixedSplit => {
                let share = 1.0 / self.split.len() as f64;
                let demand = CreditDemand { key: self.key.clone(), wanted: 1 };
                let reply = self.split[router].grant(&demand, WHOLE_LIMIT, share, now);
                matches!(reply, CreditReply::Batch { credits: 1, .. })
            }
        }
    }

    fn pay_from_batch(&mut self, router: usize, now: MonoMs) -> bool {
        let spend = self.purses[router].spend(&self.key, LIMIT, now);
        let Some(demand) = spend.demand else { return spend.paid };
        let credits = self.ask(router, demand.wanted, LIMIT, now);
        let more_after_ms = if credits < demand.wanted { CreditHome::MIN_MORE_AFTER_MS } else { 0 };
        let reply = CreditReply::Batch { credits, ttl_ms: CreditHome::TTL_MS, more_after_ms };
        let arrives = now.plus_ms(HOP_MS);
        self.purses[router].receive(&self.key, reply, now, arrives);
        if spend.paid {
            return true;
        }
        self.waited += 1;
        self.purses[router].spend(&self.key, LIMIT, arrives).paid
    }

    /// Asks the home of this router's side.
    fn ask(&mut self, router: usize, wanted: u32, limit: u32, now: MonoMs) -> u32 {
        self.messages += 2;
        let cut = self.trouble == Trouble::Partition && in_trouble(now.0);
        let far = cut && router < self.purses.len() / 4;
        let (home, seen_share) = match (cut, far) {
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
