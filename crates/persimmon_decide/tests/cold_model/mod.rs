//! Model of a zone whose endpoints come back together, under more load than they bear while they are cold.

use std::net::IpAddr;
use std::ops::Range;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{ColdEndpoints, Endpoint, KnownGateways};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{BOUND, SERVICE, TERMS, endpoint, ip};

/// Time for which endpoints are cold after they have come back, in milliseconds.
pub(crate) const COLD_MS: u64 = 6_000;
/// Time at which the first endpoint comes back, after which the others follow within [`SPREAD_MS`].
const BACK_MS: u64 = 13_000;
const SPREAD_MS: u64 = 600;
/// Time at which gateways lose their paths to the store or to each other, if they do.
const CUT_MS: u64 = 9_000;
const END_MS: u64 = BACK_MS + SPREAD_MS + COLD_MS;
const ENDPOINTS: u16 = 3;
const SEEDS: usize = 3;
const TICK_MS: u64 = 20;
/// Interval at which a gateway counts the others, in milliseconds.
const UPDATE_MS: u64 = 1_000;
/// Interval between the records of an endpoint, and the maximum delay until a gateway has them.
const RECORD_MS: u64 = 1_200;
const RECORD_DELAY_MS: u64 = 600;
/// Maximum time from the choice of an endpoint to the arrival of the request.
const SEND_DELAY_MS: u64 = 400;
/// Time from a gateway's start until it has the records.
const LIST_MS: u64 = 300;
/// Addresses of other gateways in a digest.
const LISTED: usize = 8;

/// What happens to the gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trouble {
    None,
    /// A third of the gateways restart while endpoints come back.
    SomeRestart,
    /// All gateways restart while endpoints come back.
    AllRestart,
    /// All gateways restart while endpoints come back, and none hears another.
    AllRestartCutOff,
    /// Two fifths of the gateways hear only each other.
    PartCutOff,
    /// No gateway hears another.
    AllCutOff,
    /// A third of the gateways have records from before the zone was lost, and get no others.
    SomeUnaware,
    /// No gateway has other records than those.
    AllUnaware,
    /// A third of the gateways stand still for some seconds, and send then what they had chosen before.
    SomeFrozen,
    /// All gateways stand still for the same seconds.
    AllFrozen,
    /// A third of the gateways restart, and half of the others have old records and hear only each other.
    RestartsBesideUnaware,
}

/// A decision that is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Each gateway takes the whole limit.
    WholeLimit,
    /// A gateway that starts takes a share among the few gateways that it knows.
    NoStartup,
    /// Old records count as confirmed.
    OldRecordsTrusted,
}

/// What the endpoints got while they were cold.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// Most requests that arrived at one endpoint in a second.
    pub(crate) most_per_s: usize,
    /// Fewest requests that one endpoint got.
    pub(crate) least_sent: usize,
}

struct Gateway {
    cold: ColdEndpoints,
    /// Time of its start; its own clock begins there.
    origin: u64,
    /// Time at which it ends, and begins again with the other number.
    restart: Option<(u64, u64)>,
    /// Time for which it stands still.
    frozen: Range<u64>,
    /// Time of the last digest of each gateway; none if its address is unknown.
    known: Vec<Option<u64>>,
    /// Gateways that hear each other have the same number.
    group: u16,
    is_unaware: bool,
    /// Whether it has the record of each endpoint that has come back.
    has_record: Vec<bool>,
    next_digest: u64,
    is_busy: bool,
}

pub(crate) struct Model {
    gateways: Vec<Gateway>,
    endpoints: Vec<Endpoint>,
    back_at: Vec<u64>,
    arrivals: Vec<Vec<u64>>,
    fault: Option<Fault>,
    rng: Pcg64Mcg,
}

impl Model {
    pub(crate) fn new(count: u16, trouble: Trouble, fault: Option<Fault>, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let all = usize::from(count);
        let gateways = (0..count).map(|number| {
            let restarts = match trouble {
                Trouble::AllRestart | Trouble::AllRestartCutOff => true,
                Trouble::SomeRestart | Trouble::RestartsBesideUnaware => number % 3 == 0,
                _ => false,
            };
            let restart = restarts.then(|| {
                let at = BACK_MS - 1_000 + rng.random_range(0..2_000);
                (at, at + rng.random_range(100..1_000))
            });
            let frozen = match trouble {
                Trouble::SomeFrozen if number % 3 == 0 => {
                    let from = BACK_MS + rng.random_range(0..2_000);
                    from..from + rng.random_range(2_500..4_000)
                }
                Trouble::AllFrozen => BACK_MS + 1_500..BACK_MS + 4_000,
                _ => 0..0,
            };
            let (group, is_unaware) = match trouble {
                Trouble::PartCutOff => (u16::from(number % 5 < 2), false),
                Trouble::AllCutOff | Trouble::AllRestartCutOff => (number, false),
                Trouble::SomeUnaware => (0, number % 3 == 1),
                Trouble::AllUnaware => (0, true),
                Trouble::RestartsBesideUnaware => (u16::from(number % 3 == 1), number % 3 == 1),
                _ => (0, false),
            };
            let mut cold = ColdEndpoints::new(Some(BOUND));
            cold.set_terms([(SERVICE.into(), TERMS)].into_iter());
            Gateway {
                cold,
                origin: 0,
                restart,
                frozen,
                known: vec![Some(0); all],
                group,
                is_unaware,
                has_record: vec![false; usize::from(ENDPOINTS)],
                next_digest: rng.random_range(0..100),
                is_busy: true,
            }
        });
        let gateways = gateways.collect();
        let endpoints = (1..=ENDPOINTS).map(endpoint).collect();
        let back_at = (0..ENDPOINTS).map(|_| BACK_MS + rng.random_range(0..SPREAD_MS)).collect();
        let arrivals = vec![Vec::new(); usize::from(ENDPOINTS)];
        Self { gateways, endpoints, back_at, arrivals, fault, rng }
    }

    pub(crate) fn play(mut self) -> Outcome {
        for now in (0..END_MS).step_by(TICK_MS as usize) {
            for number in 0..self.gateways.len() {
                self.restart(number, now);
                let gateway = &self.gateways[number];
                if gateway.origin > now || gateway.frozen.contains(&now) {
                    continue;
                }
                self.send_digest(number, now);
                if now.is_multiple_of(UPDATE_MS) {
                    self.update_gateways(number, now);
                }
                self.read_records(number, now);
                self.send(number, now);
            }
        }
        let sent_while_cold = |(arrivals, back_at): (&Vec<u64>, &u64)| {
            let is_cold = |at: &&u64| (*back_at..back_at + COLD_MS).contains(*at);
            let mut arrivals: Vec<_> = arrivals.iter().filter(is_cold).copied().collect();
            arrivals.sort_unstable();
            arrivals
        };
        let cold: Vec<_> = self.arrivals.iter().zip(&self.back_at).map(sent_while_cold).collect();
        let most = |arrivals: &Vec<u64>| {
            let within = |at: &u64| arrivals.partition_point(|it| *it < at + 1_000);
            let windows = arrivals.iter().enumerate().map(|(first, at)| within(at) - first);
            windows.max().unwrap_or(0)
        };
        Outcome {
            most_per_s: cold.iter().map(most).max().unwrap_or(0),
            least_sent: cold.iter().map(Vec::len).min().unwrap_or(0),
        }
    }

    fn restart(&mut self, number: usize, now: u64) {
        let all = self.gateways.len();
        let gateway = &mut self.gateways[number];
        let Some((_, back)) = gateway.restart.filter(|(end, _)| *end <= now) else { return };
        gateway.restart = None;
        gateway.cold = ColdEndpoints::new(Some(BOUND));
        gateway.cold.set_terms([(SERVICE.into(), TERMS)].into_iter());
        gateway.origin = back;
        gateway.known = (0..all).map(|it| (it < SEEDS || it == number).then_some(0)).collect();
        gateway.has_record.fill(false);
        gateway.next_digest = back;
    }

    /// Time on a gateway's own clock.
    fn clock(&self, number: usize, now: u64) -> MonoMs {
        let gateway = &self.gateways[number];
        // A version without the wait looks like one that has long been running.
        let ran_ms = if self.fault == Some(Fault::NoStartup) { 20_000 } else { 0 };
        MonoMs(now - gateway.origin + if gateway.origin > 0 { ran_ms } else { 0 })
    }

    fn hears(&self, from: usize, to: usize, now: u64) -> bool {
        let (from, to) = (&self.gateways[from], &self.gateways[to]);
        to.origin <= now && !to.frozen.contains(&now) && (now < CUT_MS || from.group == to.group)
    }

    fn interval_ms(&self, number: usize) -> u64 {
        let known = self.gateways[number].known.iter().flatten().count() as u64;
        (known * 25 / 2).max(100)
    }

    fn send_digest(&mut self, from: usize, now: u64) {
        if self.gateways[from].next_digest > now {
            return;
        }
        let interval_ms = self.interval_ms(from);
        self.gateways[from].next_digest = now + interval_ms;
        let all = self.gateways.len();
        let known = |it: &usize| self.gateways[from].known[*it].is_some();
        let targets: Vec<_> = (0..all).filter(|it| *it != from).filter(known).collect();
        let first = self.rng.random_range(0..all);
        let listed = targets.iter().cycle().skip(first).take(LISTED.min(targets.len()));
        let listed: Vec<_> = listed.copied().collect();
        for to in targets {
            if !self.hears(from, to, now) {
                continue;
            }
            let gateway = &mut self.gateways[to];
            if gateway.known[from].replace(now).is_none() {
                // It answers a gateway that has just become known at once.
                gateway.next_digest = now;
            }
            for it in &listed {
                gateway.known[*it].get_or_insert(0);
            }
        }
    }

    fn update_gateways(&mut self, number: usize, now: u64) {
        let (clock, age) = (self.clock(number, now), self.records_age_ms(number, now));
        let silent_ms = (4 * self.interval_ms(number)).max(1_500);
        let gateway = &mut self.gateways[number];
        let own = ip(number as u16);
        let known = |(it, at): (usize, &Option<u64>)| at.map(|_| ip(it as u16));
        let mut all: Vec<IpAddr> = gateway.known.iter().enumerate().filter_map(known).collect();
        let is_heard = |(it, at): &(usize, &Option<u64>)| {
            *it != number && at.is_some_and(|at| at > 0 && now - at <= silent_ms)
        };
        let mut heard = 1 + gateway.known.iter().enumerate().filter(is_heard).count();
        match self.fault {
            Some(Fault::WholeLimit) => (all, heard) = (vec![own], 1),
            Some(Fault::NoStartup) => heard = all.len(),
            _ => {}
        }
        let cold = &mut gateway.cold;
        if self.fault == Some(Fault::NoStartup) && gateway.origin > 0 {
            let earlier = MonoMs(clock.0 - ColdEndpoints::SETTLED_MS);
            cold.set_gateways(KnownGateways { own, all: &all, heard }, age, earlier);
        }
        cold.set_gateways(KnownGateways { own, all: &all, heard }, age, clock);
    }

    fn records_age_ms(&self, number: usize, now: u64) -> Option<u64> {
        let gateway = &self.gateways[number];
        let frozen = &gateway.frozen;
        if (frozen.end..frozen.end + LIST_MS).contains(&now) && frozen.end > 0 {
            return Some(now - frozen.start);
        }
        match (gateway.is_unaware && now >= CUT_MS, self.fault) {
            (true, Some(Fault::OldRecordsTrusted)) => Some(0),
            (true, _) => (gateway.origin == 0).then_some(now - CUT_MS),
            (false, _) => (now >= gateway.origin + LIST_MS).then_some(100),
        }
    }

    fn read_records(&mut self, number: usize, now: u64) {
        let clock = self.clock(number, now);
        let gateway = &mut self.gateways[number];
        if now < gateway.origin + LIST_MS || gateway.is_unaware {
            return;
        }
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let Some(back_ms) = now.checked_sub(self.back_at[index]) else { continue };
            let has_record = &mut gateway.has_record[index];
            let is_first = !*has_record && self.rng.random_range(0..RECORD_DELAY_MS) < back_ms;
            if is_first || (*has_record && back_ms % RECORD_MS < TICK_MS) {
                *has_record = true;
                let cold_ms = COLD_MS.saturating_sub(back_ms);
                let endpoint = endpoint.clone().with_cold_ms(cold_ms);
                gateway.cold.record_published(&endpoint, clock);
            }
        }
    }

    /// Sends each endpoint as much as the decision allows. Gateways are idle for random times.
    fn send(&mut self, number: usize, now: u64) {
        if now.is_multiple_of(500) {
            self.gateways[number].is_busy = self.rng.random_bool(0.8) || now < BACK_MS + 1_000;
        }
        let (clock, age) = (self.clock(number, now), self.records_age_ms(number, now));
        let gateway = &mut self.gateways[number];
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            // An endpoint that has come back doesn't run what is meant for its predecessor, unless its record
            // doesn't tell them apart.
            let may_run = gateway.has_record[index] || gateway.is_unaware;
            if !gateway.is_busy || !may_run || now < BACK_MS - SEND_DELAY_MS {
                continue;
            }
            while gateway.cold.wait_ms(endpoint, age, clock).is_none() {
                gateway.cold.record_sent(endpoint, clock);
                let mut at = now + self.rng.random_range(0..=SEND_DELAY_MS);
                if gateway.frozen.contains(&at) {
                    at = gateway.frozen.end;
                }
                self.arrivals[index].push(at);
                let is_warm = now >= self.back_at[index] + COLD_MS;
                let is_broken = self.fault.is_some() && self.arrivals[index].len() > 10_000;
                if is_warm || is_broken {
                    break;
                }
            }
        }
    }
}
