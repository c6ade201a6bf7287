//! A caller retries a request that crashes every endpoint on which it runs, through random routers
//! of a fleet that spreads suspicions by digests. The quarantine must limit the crashes.

mod membership_fleet;

use std::collections::{BTreeMap, BTreeSet};

use membership_fleet::{Fleet, TODAY, name};
use persimmon_decide::membership::NodeId;
use persimmon_decide::recovery::{
    Probation, ProbationStep, Quarantine, QuarantineRefusal, QuarantineSettings, RunMode,
};
use persimmon_decide::{Fingerprint, MonoMs};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

/// Maximum number of endpoints that one request may crash.
const MAX_CRASHED: usize = 2;
const MODEL: usize = 0;
const RUN_MS: u64 = 200;
const DOWN_MS: u64 = 20_000;
const CRASHING: Fingerprint = Fingerprint(0xbad);

/// The time at which the caller retries.
#[derive(Debug, Clone, Copy)]
enum RetryTime {
    AtOnce,
    WithinSeconds,
    AfterRetryAfter,
}

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Crashed,
    Done,
    Refused { retry_after_s: u64 },
}

struct Simulation {
    fleet: Fleet,
    rng: Pcg64,
    /// Crashed endpoints, with the time of their restart and whether the sidecar crashed as well.
    down: BTreeMap<usize, (MonoMs, bool)>,
    probations: Vec<Probation>,
    crashed: BTreeSet<usize>,
    sidecars_crash: bool,
}

impl Simulation {
    fn new(seed: u64, sidecars_crash: bool) -> Self {
        let mut fleet = Fleet::new(TODAY, seed);
        fleet.run_ms(3_000);
        Self {
            fleet,
            rng: Pcg64::seed_from_u64(seed),
            down: BTreeMap::new(),
            probations: (0..TODAY.nodes()).map(|_| Probation::default()).collect(),
            crashed: BTreeSet::new(),
            sidecars_crash,
        }
    }

    fn send(&mut self, request: Fingerprint, is_crashing: bool) -> Outcome {
        let now = self.fleet.now;
        self.down.retain(|_, (until, _)| *until > now);
        let router = self.rng.random_range(0..TODAY.routers);
        let candidates = self.candidates(request);
        match self.fleet.quarantines[router].check(request, now) {
            Err(refusal) => refused(refusal),
            Ok(RunMode::Shared) => self.send_shared(request, is_crashing, router, &candidates),
            Ok(RunMode::Alone { crashed }) => {
                let nodes = candidates.iter().map(|index| NodeId::of(&name(*index)));
                let chosen = Quarantine::probation_endpoint(request, crashed, nodes).unwrap();
                let is_chosen = |index: &&usize| NodeId::of(&name(**index)) == chosen;
                let endpoint = *candidates.iter().find(is_chosen).unwrap();
                self.send_alone(request, is_crashing, router, endpoint)
            }
        }
    }

    /// Returns the model's endpoints in the order in which all routers try them.
    fn candidates(&self, request: Fingerprint) -> Vec<usize> {
        let endpoints = TODAY.routers..TODAY.nodes();
        let mut candidates: Vec<_> =
            endpoints.filter(|index| TODAY.model(*index) == MODEL).collect();
        let key = request.0.to_string();
        candidates.sort_by_key(|index| NodeId::of(&name(*index)).weight_for(&key));
        candidates
    }

    fn send_shared(
        &mut self,
        request: Fingerprint,
        is_crashing: bool,
        router: usize,
        candidates: &[usize],
    ) -> Outcome {
        for endpoint in candidates {
            let down = self.down.get(endpoint).copied();
            if matches!(down, Some((_, true))) {
                continue;
            }
            if let Some(mark) = self.fleet.quarantines[*endpoint].mark(request, self.fleet.now) {
                self.fleet.quarantines[router].merge_mark(&mark, self.fleet.now);
                self.fleet.send_suspects(router);
                return Outcome::Refused { retry_after_s: 1 };
            }
            let is_over_bound = self.rng.random::<f64>() < 0.3;
            if down.is_some() || is_over_bound {
                continue;
            }
            return self.run(request, is_crashing, router, *endpoint);
        }
        Outcome::Refused { retry_after_s: 1 }
    }

    fn send_alone(
        &mut self,
        request: Fingerprint,
        is_crashing: bool,
        router: usize,
        endpoint: usize,
    ) -> Outcome {
        let now = self.fleet.now;
        let check = self.fleet.quarantines[endpoint].check(request, now);
        if self.down.contains_key(&endpoint) {
            return Outcome::Refused { retry_after_s: 1 };
        }
        if let Err(refusal) = check {
            return refused(refusal);
        }
        if self.probations[endpoint].reserve(request, 0, now) != Ok(ProbationStep::Run) {
            return Outcome::Refused { retry_after_s: 1 };
        }
        let outcome = self.run(request, is_crashing, router, endpoint);
        self.probations[endpoint].release(request);
        outcome
    }

    fn run(
        &mut self,
        request: Fingerprint,
        is_crashing: bool,
        router: usize,
        endpoint: usize,
    ) -> Outcome {
        self.fleet.run_ms(RUN_MS);
        let now = self.fleet.now;
        if !is_crashing {
            self.fleet.quarantines[endpoint].record_clean_run(request, now);
            self.fleet.send_suspects(endpoint);
            return Outcome::Done;
        }
        self.crash(&[request], router, endpoint);
        Outcome::Crashed
    }

    /// Crashes the engine, and with `sidecars_crash` in half of the cases also the sidecar.
    fn crash(&mut self, in_progress: &[Fingerprint], router: usize, endpoint: usize) {
        let now = self.fleet.now;
        let site = NodeId::of(&name(endpoint));
        self.crashed.insert(endpoint);
        let sidecar_crashes = self.sidecars_crash && self.rng.random();
        self.down.insert(endpoint, (now.plus_ms(DOWN_MS), sidecar_crashes));
        let quarantine = &mut self.fleet.quarantines[endpoint];
        if sidecar_crashes {
            *quarantine = Quarantine::new(QuarantineSettings::default());
        } else {
            quarantine.record_crash(in_progress.iter().copied(), site, now);
            self.fleet.send_suspects(endpoint);
        }
        self.fleet.quarantines[router].record_crash(in_progress.iter().copied(), site, now);
        self.fleet.send_suspects(router);
    }
}

fn refused(refusal: QuarantineRefusal) -> Outcome {
    let (QuarantineRefusal::Quarantined { retry_after_s }
    | QuarantineRefusal::TooSoon { retry_after_s }) = refusal;
    Outcome::Refused { retry_after_s }
}

fn crashed_endpoints(seed: u64, retry_time: RetryTime, sidecars_crash: bool) -> usize {
    const TRIES: usize = 12;
    let mut simulation = Simulation::new(seed, sidecars_crash);
    for _ in 0..TRIES {
        let outcome = simulation.send(CRASHING, true);
        let wait_ms = match (retry_time, outcome) {
            (RetryTime::AtOnce, _) => 100,
            (RetryTime::WithinSeconds, _) => simulation.rng.random_range(0..30) * 100,
            (RetryTime::AfterRetryAfter, Outcome::Refused { retry_after_s }) => {
                retry_after_s.min(60) * 1_000
            }
            (RetryTime::AfterRetryAfter, _) => 15_000,
        };
        simulation.fleet.run_ms(wait_ms);
    }
    simulation.crashed.len()
}

#[rstest]
fn crashing_request_crashes_at_most_two_endpoints(
    #[values(RetryTime::AtOnce, RetryTime::WithinSeconds, RetryTime::AfterRetryAfter)]
    retry_time: RetryTime,
    #[values(false, true)] sidecars_crash: bool,
) {
    const SEEDS: u64 = 10;
    let crashed: Vec<_> =
        (0..SEEDS).map(|seed| crashed_endpoints(seed, retry_time, sidecars_crash)).collect();
    let over: Vec<_> = (0..SEEDS).filter(|seed| crashed[*seed as usize] > MAX_CRASHED).collect();
    println!("{retry_time:?}, sidecars crash {sidecars_crash}: crashed {crashed:?}");
    assert!(over.is_empty(), "seeds {over:?} crashed more than {MAX_CRASHED}: {crashed:?}");
}

#[test]
fn cleared_request_runs_shared_again() {
    let innocent = Fingerprint(0x600d);
    let mut simulation = Simulation::new(1, false);
    let endpoint = simulation.candidates(CRASHING)[0];
    simulation.crash(&[CRASHING, innocent], 0, endpoint);
    simulation.fleet.run_ms(3_000);
    assert!(
        matches!(simulation.send(innocent, false), Outcome::Refused { .. }),
        "sent again too soon"
    );
    simulation.fleet.run_ms(15_000);
    assert_eq!(simulation.send(innocent, false), Outcome::Done);
    simulation.fleet.run_ms(5_000);
    let now = simulation.fleet.now;
    for router in 0..TODAY.routers {
        let mode = simulation.fleet.quarantines[router].check(innocent, now);
        assert_eq!(mode, Ok(RunMode::Shared), "router {router}");
        let crashing = simulation.fleet.quarantines[router].check(CRASHING, now);
        assert!(matches!(crashing, Ok(RunMode::Alone { .. })), "router {router}: {crashing:?}");
    }
}
