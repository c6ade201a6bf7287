//! Admission when engines have no free slots.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use persimmon_decide::forward::{
    Admission, AdmissionInput, AdmissionSettings, Rank, WorkspaceShares,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SERVICE: &str = "engines";
const ENDPOINTS: usize = 18;
const SLOTS: usize = 64;
/// Service time of each rank's requests, in milliseconds: chats, drafts and short answers.
const SERVICE_MS: [u64; 3] = [2_000, 3_000, 300];
/// Maximum wait for a slot with which a request starts on time, in milliseconds.
const TARGET_MS: u64 = 400;
const DURATION_MS: u64 = 20_000;

/// One engine: running requests by end time, queued ones by rank and arrival.
#[derive(Default)]
struct Engine {
    running: BinaryHeap<Reverse<(u64, usize)>>,
    waiting: BinaryHeap<Reverse<(usize, u64, usize)>>,
}

impl Engine {
    fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }
}

/// A request and its wait for a slot; none if it was refused or never started.
struct Request {
    rank: usize,
    workspace: usize,
    arrived: u64,
    waited_ms: Option<u64>,
}

struct Simulation {
    engines: Vec<Engine>,
    requests: Vec<Request>,
    shares: WorkspaceShares,
    admission: Option<Admission>,
    rng: Pcg64Mcg,
}

impl Simulation {
    fn new(refuses: bool) -> Self {
        let admission = refuses.then(|| Admission::new(AdmissionSettings::default()));
        Self {
            engines: (0..ENDPOINTS).map(|_| Engine::default()).collect(),
            requests: Vec::new(),
            shares: WorkspaceShares::new(),
            admission,
            rng: Pcg64Mcg::seed_from_u64(3),
        }
    }

    /// Simulates a load of `overload` times the engines' capacity. The first of ten workspaces
    /// sends `weight` times as many requests as each other one.
    fn run(mut self, overload: f64, weight: u32) -> Self {
        let mean_ms = SERVICE_MS.iter().sum::<u64>() as f64 / SERVICE_MS.len() as f64;
        let per_ms = overload * (ENDPOINTS * SLOTS) as f64 / mean_ms;
        let mut pending = 0.0;
        for now in 0..DURATION_MS {
            self.end_requests(now);
            pending += per_ms;
            while pending >= 1.0 {
                pending -= 1.0;
                self.arrive(now, weight);
            }
        }
        self
    }

    fn end_requests(&mut self, now: u64) {
        for at in 0..ENDPOINTS {
            while self.engines[at].running.peek().is_some_and(|it| it.0.0 <= now) {
                let Some(Reverse((_, ended))) = self.engines[at].running.pop() else { break };
                let workspace = self.requests[ended].workspace.to_string();
                self.shares.end(SERVICE, &workspace);
                if let Some(Reverse((_, _, next))) = self.engines[at].waiting.pop() {
                    self.start(at, next, now);
                }
            }
        }
    }

    fn start(&mut self, engine: usize, index: usize, now: u64) {
        let req = &mut self.requests[index];
        req.waited_ms = Some(now - req.arrived);
        self.engines[engine].running.push(Reverse((now + SERVICE_MS[req.rank], index)));
    }

    fn arrive(&mut self, now: u64, weight: u32) {
        let rank = self.rng.random_range(0..SERVICE_MS.len());
        let draw = self.rng.random_range(0..weight + 9);
        let workspace = draw.saturating_sub(weight - 1) as usize;
        let index = self.requests.len();
        self.requests.push(Request { rank, workspace, arrived: now, waited_ms: None });
        let name = workspace.to_string();
        let (share, workspaces) = self.shares.share(SERVICE, &name);
        let rank_of = Rank { position: rank, count: SERVICE_MS.len() };
        let input = AdmissionInput { rank: rank_of, share, workspaces };
        let draw = self.rng.random();
        let max_fill = self.admission.as_ref().map_or(f64::INFINITY, |it| it.max_fill(input, draw));
        let least = (0..ENDPOINTS).min_by_key(|at| self.engines[*at].load()).unwrap();
        let load = self.engines[least].load();
        if (load + 1) as f64 > max_fill * SLOTS as f64 {
            return;
        }
        self.shares.begin(&SERVICE.into(), &name.into());
        if self.engines[least].running.len() < SLOTS {
            self.start(least, index, now);
        } else {
            self.engines[least].waiting.push(Reverse((rank, now, index)));
        }
    }

    /// Returns the share of the matching requests that started on time, once the engines were full.
    fn on_time(&self, counts: impl Fn(&Request) -> bool) -> f64 {
        let counted = self.requests.iter().filter(|it| it.arrived > DURATION_MS / 4 && counts(it));
        let (mut all, mut on_time) = (0, 0);
        for req in counted {
            all += 1;
            on_time += u32::from(req.waited_ms.is_some_and(|ms| ms <= TARGET_MS));
        }
        f64::from(on_time) / f64::from(all)
    }

    fn of_rank(&self, rank: usize) -> f64 {
        self.on_time(|it| it.rank == rank)
    }
}

#[rstest]
#[case::a_little_over(1.1)]
#[case::half_over(1.5)]
#[case::twice(2.0)]
fn max_fill_overload_more_requests_start_on_time(#[case] overload: f64) {
    let without_refusals = Simulation::new(false).run(overload, 1).on_time(|_| true);
    let simulation = Simulation::new(true).run(overload, 1);
    let on_time = simulation.on_time(|_| true);
    // At least 90% of the engines' capacity is used for requests that start on time.
    assert!(on_time >= 0.9 / overload, "{on_time:.3} started on time");
    assert!(on_time > without_refusals, "{on_time:.3} against {without_refusals:.3}");
}

#[test]
fn max_fill_more_urgent_ranks_get_more_slots_without_starvation() {
    let simulation = Simulation::new(true).run(1.5, 1);
    let shares = [simulation.of_rank(0), simulation.of_rank(1), simulation.of_rank(2)];
    assert!(shares[0] > shares[1] && shares[1] > shares[2], "{shares:?}");
    assert!(shares[2] >= simulation.on_time(|_| true) / 4.0, "{shares:?}");
}

#[test]
fn max_fill_large_workspace_does_not_crowd_out_others() {
    // One workspace alone sends more than the engines' capacity.
    let simulation = Simulation::new(true).run(2.0, 30);
    let others = simulation.on_time(|it| it.workspace != 0);
    let large = simulation.on_time(|it| it.workspace == 0);
    assert!(others >= 0.93, "{others:.3} of the other workspaces' requests started on time");
    assert!(large >= simulation.on_time(|_| true) / 4.0, "{large:.3} of the large workspace's");
}

/// The limit of a workspace that is almost alone is reduced by at most the share of the others.
#[rstest]
#[case::nearly_alone(0.95, 2, 0.05)]
#[case::half_of_two(0.5, 2, 0.0)]
#[case::large_of_ten(0.5, 10, 0.2)]
#[case::alone(1.0, 1, 0.0)]
fn max_fill_reduction_by_workspace_share(
    #[case] share: f64,
    #[case] workspaces: usize,
    #[case] reduction: f64,
) {
    let settings = AdmissionSettings::default();
    let input = AdmissionInput { rank: Rank { position: 0, count: 1 }, share, workspaces };
    let fill = Admission::new(settings).max_fill(input, 0.5);
    assert!((settings.urgent_max_fill - fill - reduction).abs() < 1e-9, "{fill}");
}

#[test]
fn max_fill_free_slots_accept_all() {
    let simulation = Simulation::new(true).run(0.7, 1);
    let on_time = simulation.on_time(|_| true);
    assert!((on_time - 1.0).abs() < f64::EPSILON, "{on_time:.4}");
}
