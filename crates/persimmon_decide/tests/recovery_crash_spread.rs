//! One request that crashes every endpoint that runs it, sent again and again through any router
//! of a fleet whose processes tell each other by digests.

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

/// Endpoints that one request may take down.
const MAX_LOST: usize = 2;
const MODEL: usize = 0;
const RUN_MS: u64 = 200;
const DOWN_MS: u64 = 20_000;
const GUILTY: Fingerprint = Fingerprint(0xbad);

/// When the caller sends its request again.
#[derive(Debug, Clone, Copy)]
enum Caller {
    AtOnce,
    WithinSeconds,
    WhenTold,
}

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Crashed,
    Done,
    Refused { retry_after_s: u64 },
}

struct Scene {
    fleet: Fleet,
    rng: Pcg64,
    /// Endpoints that are down, until when, and whether the sidecar is too.
    down: BTreeMap<usize, (MonoMs, bool)>,
    probations: Vec<Probation>,
    lost: BTreeSet<usize>,
    sidecars_die: bool,
}

impl Scene {
    fn new(seed: u64, sidecars_die: bool) -> Self {
        let mut fleet = Fleet::new(TODAY, seed);
        fleet.run_ms(3_000);
        Self {
            fleet,
            rng: Pcg64::seed_from_u64(seed),
            down: BTreeMap::new(),
            probations: (0..TODAY.nodes()).map(|_| Probation::default()).collect(),
            lost: BTreeSet::new(),
            sidecars_die,
        }
    }

    fn send(&mut self, request: Fingerprint, is_guilty: bool) -> Outcome {
        let now = self.fleet.now;
        self.down.retain(|_, (until, _)| *until > now);
        let router = self.rng.random_range(0..TODAY.routers);
        let candidates = self.candidates(request);
        match self.fleet.quarantines[router].check(request, now) {
            Err(refusal) => refused(refusal),
            Ok(RunMode::Shared) => self.send_shared(request, is_guilty, router, &candidates),
            Ok(RunMode::Alone { crashed }) => {
                let nodes = candidates.iter().map(|index| NodeId::of(&name(*index)));
                let chosen = Quarantine::probation_endpoint(request, crashed, nodes).unwrap();
                let is_chosen = |index: &&usize| NodeId::of(&name(**index)) == chosen;
                let endpoint = *candidates.iter().find(is_chosen).unwrap();
                self.send_alone(request, is_guilty, router, endpoint)
            }
        }
    }

    /// Endpoints of the model in the order in which every router tries them.
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
        is_guilty: bool,
        router: usize,
        candidates: &[usize],
    ) -> Outcome {
        for endpoint in candidates {
            let down = self.down.get(endpoint).copied();
            if matches!(down, Some((_, true))) {
                continue;
            }
            if let Some(mark) = self.fleet.quarantines[*endpoint].mark(request, self.fleet.now) {
                self.fleet.quarantines[router].absorb(&mark, self.fleet.now);
                self.fleet.tell_suspects(router);
                return Outcome::Refused { retry_after_s: 1 };
            }
            let is_over_bound = self.rng.random::<f64>() < 0.3;
            if down.is_some() || is_over_bound {
                continue;
            }
            return self.run(request, is_guilty, router, *endpoint);
        }
        Outcome::Refused { retry_after_s: 1 }
    }

    fn send_alone(
        &mut self,
        request: Fingerprint,
        is_guilty: bool,
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
        if self.probations[endpoint].ask(request, 0, now) != Ok(ProbationStep::Run) {
            return Outcome::Refused { retry_after_s: 1 };
        }
        let outcome = self.run(request, is_guilty, router, endpoint);
        self.probations[endpoint].end(request);
        outcome
    }

    fn run(
        &mut self,
        request: Fingerprint,
        is_guilty: bool,
        router: usize,
        endpoint: usize,
    ) -> Outcome {
        self.fleet.run_ms(RUN_MS);
        let now = self.fleet.now;
        if !is_guilty {
            self.fleet.quarantines[endpoint].record_clean_run(request, now);
            self.fleet.tell_suspects(endpoint);
            return Outcome::Done;
        }
        self.crash(&[request], router, endpoint);
        Outcome::Crashed
    }

    /// The engine dies, and half of the time the sidecar with it if sidecars do.
    fn crash(&mut self, in_progress: &[Fingerprint], router: usize, endpoint: usize) {
        let now = self.fleet.now;
        let site = NodeId::of(&name(endpoint));
        self.lost.insert(endpoint);
        let sidecar_dies = self.sidecars_die && self.rng.random();
        self.down.insert(endpoint, (now.plus_ms(DOWN_MS), sidecar_dies));
        let quarantine = &mut self.fleet.quarantines[endpoint];
        if sidecar_dies {
            *quarantine = Quarantine::new(QuarantineSettings::default());
        } else {
            quarantine.record_crash(in_progress.iter().copied(), site, now);
            self.fleet.tell_suspects(endpoint);
        }
        self.fleet.quarantines[router].record_crash(in_progress.iter().copied(), site, now);
        self.fleet.tell_suspects(router);
    }
}

fn refused(refusal: QuarantineRefusal) -> Outcome {
    let (QuarantineRefusal::Quarantined { retry_after_s }
    | QuarantineRefusal::TooSoon { retry_after_s }) = refusal;
    Outcome::Refused { retry_after_s }
}

fn endpoints_lost(seed: u64, caller: Caller, sidecars_die: bool) -> usize {
    const TRIES: usize = 12;
    let mut scene = Scene::new(seed, sidecars_die);
    for _ in 0..TRIES {
        let outcome = scene.send(GUILTY, true);
        let wait_ms = match (caller, outcome) {
            (Caller::AtOnce, _) => 100,
            (Caller::WithinSeconds, _) => scene.rng.random_range(0..30) * 100,
            (Caller::WhenTold, Outcome::Refused { retry_after_s }) => retry_after_s.min(60) * 1_000,
            (Caller::WhenTold, _) => 15_000,
        };
        scene.fleet.run_ms(wait_ms);
    }
    scene.lost.len()
}

#[rstest]
fn crashing_request_takes_down_two_at_most(
    #[values(Caller::AtOnce, Caller::WithinSeconds, Caller::WhenTold)] caller: Caller,
    #[values(false, true)] sidecars_die: bool,
) {
    const SEEDS: u64 = 10;
    let lost: Vec<_> = (0..SEEDS).map(|seed| endpoints_lost(seed, caller, sidecars_die)).collect();
    let over: Vec<_> = (0..SEEDS).filter(|seed| lost[*seed as usize] > MAX_LOST).collect();
    println!("{caller:?}, sidecars die {sidecars_die}: lost {lost:?}");
    assert!(over.is_empty(), "seeds {over:?} lost more than {MAX_LOST}: {lost:?}");
}

#[test]
fn innocent_clears_itself_and_runs_with_others_again() {
    let innocent = Fingerprint(0x600d);
    let mut scene = Scene::new(1, false);
    let endpoint = scene.candidates(GUILTY)[0];
    scene.crash(&[GUILTY, innocent], 0, endpoint);
    scene.fleet.run_ms(3_000);
    assert!(matches!(scene.send(innocent, false), Outcome::Refused { .. }), "sent again too soon");
    scene.fleet.run_ms(15_000);
    assert_eq!(scene.send(innocent, false), Outcome::Done);
    scene.fleet.run_ms(5_000);
    let now = scene.fleet.now;
    for router in 0..TODAY.routers {
        let mode = scene.fleet.quarantines[router].check(innocent, now);
        assert_eq!(mode, Ok(RunMode::Shared), "router {router}");
        let guilty = scene.fleet.quarantines[router].check(GUILTY, now);
        assert!(matches!(guilty, Ok(RunMode::Alone { .. })), "router {router}: {guilty:?}");
    }
}
