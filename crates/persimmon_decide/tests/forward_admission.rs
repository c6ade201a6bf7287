//! Engines without free slots, and whom gateways refuse then.

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
/// Time that each rank's requests run, in milliseconds: chats, drafts and short answers.
const WORK_MS: [u64; 3] = [2_000, 3_000, 300];
/// Longest wait for a slot with which a request starts on time, in milliseconds.
const TARGET_MS: u64 = 400;
const LENGTH_MS: u64 = 20_000;

/// One engine: running requests by their end, waiting ones by rank and arrival.
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

/// A request, and how long it waited for a slot; none if it was refused or never started.
struct Request {
    rank: usize,
    workspace: usize,
    arrived: u64,
    waited_ms: Option<u64>,
}

struct Play {
    engines: Vec<Engine>,
    requests: Vec<Request>,
    shares: WorkspaceShares,
    admission: Option<Admission>,
    rng: Pcg64Mcg,
}

impl Play {
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

    /// Plays `overload` times what the engines can do. The first of ten workspaces sends `weight`
    /// times what each other one does.
    fn run(mut self, overload: f64, weight: u32) -> Self {
        let mean_ms = WORK_MS.iter().sum::<u64>() as f64 / WORK_MS.len() as f64;
        let per_ms = overload * (ENDPOINTS * SLOTS) as f64 / mean_ms;
        let mut due = 0.0;
        for now in 0..LENGTH_MS {
            self.end_requests(now);
            due += per_ms;
            while due >= 1.0 {
                due -= 1.0;
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

    fn start(&mut self, engine: usize, number: usize, now: u64) {
        let req = &mut self.requests[number];
        req.waited_ms = Some(now - req.arrived);
        self.engines[engine].running.push(Reverse((now + WORK_MS[req.rank], number)));
    }

    fn arrive(&mut self, now: u64, weight: u32) {
        let rank = self.rng.random_range(0..WORK_MS.len());
        let draw = self.rng.random_range(0..weight + 9);
        let workspace = draw.saturating_sub(weight - 1) as usize;
        let number = self.requests.len();
        self.requests.push(Request { rank, workspace, arrived: now, waited_ms: None });
        let name = workspace.to_string();
        let (share, workspaces) = self.shares.share(SERVICE, &name);
        let rank_of = Rank { place: rank, count: WORK_MS.len() };
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
            self.start(least, number, now);
        } else {
            self.engines[least].waiting.push(Reverse((rank, now, number)));
        }
    }

    /// The share of some requests that started on time, once the engines were full.
    fn on_time(&self, counts: impl Fn(&Request) -> bool) -> f64 {
        let counted = self.requests.iter().filter(|it| it.arrived > LENGTH_MS / 4 && counts(it));
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
fn max_fill_overload_starts_more_on_time(#[case] overload: f64) {
    let kept = Play::new(false).run(overload, 1).on_time(|_| true);
    let play = Play::new(true).run(overload, 1);
    let on_time = play.on_time(|_| true);
    // All that the engines can do starts on time, but for a tenth.
    assert!(on_time >= 0.9 / overload, "{on_time:.3} started on time");
    assert!(on_time > kept, "{on_time:.3} against {kept:.3}");
}

#[test]
fn max_fill_ranks_more_urgent_are_served_more_and_none_is_starved() {
    let play = Play::new(true).run(1.5, 1);
    let shares = [play.of_rank(0), play.of_rank(1), play.of_rank(2)];
    assert!(shares[0] > shares[1] && shares[1] > shares[2], "{shares:?}");
    assert!(shares[2] >= play.on_time(|_| true) / 4.0, "{shares:?}");
}

#[test]
fn max_fill_large_workspace_leaves_room_for_the_others() {
    // One workspace alone sends more than the engines can do.
    let play = Play::new(true).run(2.0, 30);
    let others = play.on_time(|it| it.workspace != 0);
    let large = play.on_time(|it| it.workspace == 0);
    assert!(others >= 0.93, "{others:.3} of the other workspaces' requests started on time");
    assert!(large >= play.on_time(|_| true) / 4.0, "{large:.3} of the large workspace's");
}

/// A workspace that is nearly alone leaves no more free than the others use.
#[rstest]
#[case::nearly_alone(0.95, 2, 0.05)]
#[case::half_of_two(0.5, 2, 0.0)]
#[case::large_of_ten(0.5, 10, 0.2)]
#[case::alone(1.0, 1, 0.0)]
fn max_fill_for_others(#[case] share: f64, #[case] workspaces: usize, #[case] earlier: f64) {
    let settings = AdmissionSettings::default();
    let input = AdmissionInput { rank: Rank { place: 0, count: 1 }, share, workspaces };
    let fill = Admission::new(settings).max_fill(input, 0.5);
    assert!((settings.full - fill - earlier).abs() < 1e-9, "{fill}");
}

#[test]
fn max_fill_free_slots_refuse_nobody() {
    let play = Play::new(true).run(0.7, 1);
    let on_time = play.on_time(|_| true);
    assert!((on_time - 1.0).abs() < f64::EPSILON, "{on_time:.4}");
}
