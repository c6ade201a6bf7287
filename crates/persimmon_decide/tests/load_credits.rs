//! Credits never exceed the limit by more than the documented error, even when a limit's home moves
//! or the network is partitioned.

use persimmon_decide::MonoMs;
use persimmon_decide::load::{
    CreditDemand, CreditHome, CreditPool, CreditReply, EndpointHash, LimitKey, credit_home_of,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const LIMIT: u32 = 100;

fn runner(cases: u32) -> TestRunner {
    let cfg = ProptestConfig { cases, failure_persistence: None, ..ProptestConfig::default() };
    TestRunner::new_with_rng(cfg, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

fn key() -> LimitKey {
    LimitKey { workspace: "swap-desk".into(), class: Default::default() }
}

/// Grants of all homes, each with its time in milliseconds.
#[derive(Default)]
struct GrantLog(Vec<(u64, u32)>);

impl GrantLog {
    fn grant(&mut self, home: &mut CreditHome, wanted: u32, share: f64, now: u64) {
        let demand = CreditDemand { key: key(), wanted };
        if let CreditReply::Batch { credits, .. } = home.grant(&demand, LIMIT, share, MonoMs(now)) {
            self.0.push((now, credits));
        }
    }

    /// Returns the most credits granted in any period of this length that starts with a grant,
    /// relative to what the limit allows in it.
    fn worst(&self, period_ms: u64) -> f64 {
        let allowed = f64::from(LIMIT) * period_ms as f64 / 1_000.0;
        let within = |from: u64| {
            let times = from..from + period_ms;
            self.0.iter().filter(|(at, _)| times.contains(at)).map(|(_, n)| n).sum::<u32>()
        };
        let most = self.0.iter().map(|(at, _)| within(*at)).max().unwrap_or(0);
        f64::from(most) / allowed
    }
}

const PERIOD_MS: u64 = 10_000;

/// Share of the limit that homes grant. The rest is divided among the routers.
const HOME_SHARE: f64 = 1.0 - CreditPool::ROUTER_SHARE;

/// Returns the burst in one period, relative to what the limit allows in the period, plus one
/// credit for rounding.
fn burst() -> f64 {
    CreditHome::BURST_MS as f64 / PERIOD_MS as f64 + 1.0 / f64::from(LIMIT)
}

#[derive(Debug, Clone, Copy)]
struct Demand {
    after_ms: u64,
    wanted: u32,
    part: usize,
}

fn demands() -> impl Strategy<Value = Vec<Demand>> {
    let demand = (0..400_u64, 0..400_u32, 0..3_usize);
    let demand = demand.prop_map(|(after_ms, wanted, part)| Demand { after_ms, wanted, part });
    prop::collection::vec(demand, 1..400)
}

#[test]
fn partition_grants_no_more_than_the_limit() {
    // Three partitions that see 0.5, 0.3 and 0.2 of the endpoints, each with its own home.
    let shares = [0.5, 0.3, 0.2];
    let result = runner(200).run(&demands(), |demands| {
        let mut homes = [CreditHome::default(), CreditHome::default(), CreditHome::default()];
        let mut log = GrantLog::default();
        let mut now = 0;
        for demand in demands {
            now += demand.after_ms;
            log.grant(&mut homes[demand.part], demand.wanted, shares[demand.part], now);
        }
        // Each home may round up by one credit.
        let most = HOME_SHARE + burst() + 2.0 / f64::from(LIMIT);
        prop_assert!(log.worst(PERIOD_MS) <= most, "{} times the limit", log.worst(PERIOD_MS));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn home_move_adds_at_most_the_new_home_share() {
    // The new home starts while some routers still use the old one.
    let result = runner(200).run(&(demands(), 0..20_000_u64), |(demands, moved_at)| {
        let mut homes = [CreditHome::default(), CreditHome::default()];
        let mut log = GrantLog::default();
        let mut now = 0;
        for demand in demands {
            now += demand.after_ms;
            let overlap = (moved_at..moved_at + CreditHome::NEW_HOME_MS).contains(&now);
            let home = if overlap { demand.part % 2 } else { usize::from(now >= moved_at) };
            log.grant(&mut homes[home], demand.wanted, 1.0, now);
        }
        let most = HOME_SHARE * (1.0 + CreditHome::NEW_HOME_SHARE) + 2.0 * burst();
        prop_assert!(log.worst(PERIOD_MS) <= most, "{} times the limit", log.worst(PERIOD_MS));
        Ok(())
    });
    result.unwrap();
}

#[derive(Debug, Clone, Copy)]
enum PoolStep {
    Spend,
    Receive { credits: u32, slow_ms: u64 },
    Wait(u64),
}

#[test]
fn spend_uses_only_granted_unexpired_credits() {
    let step = prop_oneof![
        6 => Just(PoolStep::Spend),
        1 => (0..20_u32, 0..3_000_u64)
            .prop_map(|(credits, slow_ms)| PoolStep::Receive { credits, slow_ms }),
        1 => (0..700_u64).prop_map(PoolStep::Wait),
    ];
    let result = runner(300).run(&prop::collection::vec(step, 1..200), |steps| {
        let mut pool = CreditPool::new(4);
        let mut now = 100_000;
        // Granted credits with the time at which they expire. Expired ones are ignored.
        let mut granted: Vec<(u64, u32)> = Vec::new();
        for step in steps {
            match step {
                PoolStep::Wait(ms) => now += ms,
                PoolStep::Receive { credits, slow_ms } => {
                    let reply = CreditReply::Batch {
                        credits,
                        ttl_ms: CreditHome::TTL_MS,
                        more_after_ms: 0,
                    };
                    let sent_at = now - slow_ms;
                    pool.receive(&key(), reply, MonoMs(sent_at), MonoMs(now));
                    granted.push((sent_at + u64::from(CreditHome::TTL_MS), credits));
                }
                PoolStep::Spend => {
                    // With a limit of zero the router's own share is zero, so that only granted
                    // credits pay.
                    let paid = pool.spend(&key(), 0, MonoMs(now)).paid;
                    let credit =
                        granted.iter_mut().filter(|(until, n)| *until > now && *n > 0).min();
                    prop_assert!(!paid || credit.is_some(), "paid without a credit");
                    if let (true, Some((_, left))) = (paid, credit) {
                        *left -= 1;
                    }
                }
            }
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn routers_and_home_together_stay_within_limit() {
    // The requests arrive at about two and a half times the limit.
    let call = (0..4_usize, 0..9_u64);
    let result = runner(100).run(&prop::collection::vec(call, 100..5_000), |calls| {
        let mut home = CreditHome::default();
        let mut pools = vec![CreditPool::new(4); 4];
        let mut paid = GrantLog::default();
        let mut now = 50_000;
        for (router, after_ms) in calls {
            now += after_ms;
            let spend = pools[router].spend(&key(), LIMIT, MonoMs(now));
            if let Some(demand) = spend.demand {
                let reply = home.grant(&demand, LIMIT, 1.0, MonoMs(now));
                pools[router].receive(&key(), reply, MonoMs(now), MonoMs(now));
            }
            if spend.paid {
                paid.0.push((now, 1));
            }
        }
        // The burst, the batches held when the period starts, and one request per router.
        let held = f64::from(CreditHome::TTL_MS) / PERIOD_MS as f64;
        let most = 1.0 + burst() + held + 4.0 / f64::from(LIMIT);
        prop_assert!(paid.worst(PERIOD_MS) <= most, "{} times the limit", paid.worst(PERIOD_MS));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn spend_with_unresponsive_home_pays_router_share() {
    let mut pool = CreditPool::new(4);
    let paid = (0..20_000).filter(|now| pool.spend(&key(), LIMIT, MonoMs(*now)).paid).count();
    let share = f64::from(LIMIT) * CreditPool::ROUTER_SHARE / 4.0;
    assert!(paid > 0, "an unresponsive home must not block a workspace");
    assert!(paid as f64 <= share * 21.0, "{paid} paid in 20 s");
}

#[test]
fn home_moves_only_when_it_leaves() {
    let live: Vec<_> = (0..50).map(EndpointHash).collect();
    let home = credit_home_of(&key(), live.iter().copied()).unwrap();
    for gone in live.iter().filter(|endpoint| **endpoint != home) {
        let rest = live.iter().copied().filter(|endpoint| endpoint != gone);
        assert_eq!(credit_home_of(&key(), rest), Some(home));
    }
    assert_eq!(credit_home_of(&key(), []), None);
}
