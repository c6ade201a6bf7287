//! Admission under random sequences of offers, completions, reports and clock steps.

use std::collections::{BTreeMap, VecDeque};

use persimmon_decide::MonoMs;
use persimmon_decide::load::{
    Admission, AdmissionConfig, AdmittedKey, Decision, EndpointHash, LoadReport, Offer,
    QueueUpdate, RefuseReason, Work,
};
use persimmon_records::{Class, Policy};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

const SLOTS: u32 = 8;
const AGEING_MS: u64 = 5_000;
const MAX_WAITING: u32 = 16;

#[derive(Debug, Clone)]
enum Step {
    Offer { workspace: u8, class: Class, work: u64, refused_mean: Option<f64> },
    Finish(usize),
    Progress(usize, u64),
    Report { peer: u64, work: u64 },
    Clock(i64),
    Tick,
}

fn step() -> impl Strategy<Value = Step> {
    let class = prop::sample::select(Class::ALL.to_vec());
    let refused_mean = prop::option::of(0.0..2_000.0);
    prop_oneof![
        5 => (0..4_u8, class, 1..=Work::MAX_PER_REQUEST.0, refused_mean).prop_map(
            |(workspace, class, work, refused_mean)| Step::Offer { workspace, class, work, refused_mean }
        ),
        3 => any::<usize>().prop_map(Step::Finish),
        1 => (any::<usize>(), 0..800_u64).prop_map(|(which, left)| Step::Progress(which, left)),
        3 => (0..12_u64, 0..8_000_u64).prop_map(|(peer, work)| Step::Report { peer, work }),
        1 => (-3_000..9_000_i64).prop_map(Step::Clock),
        1 => Just(Step::Tick),
    ]
}

fn runner(cases: u32) -> TestRunner {
    let cfg = ProptestConfig { cases, failure_persistence: None, ..ProptestConfig::default() };
    TestRunner::new_with_rng(cfg, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn admission() -> Admission {
    let cfg = AdmissionConfig::default()
        .with_policy(&Policy::default())
        .with_slots(SLOTS)
        .with_ageing_ms(AGEING_MS)
        .with_max_waiting(MAX_WAITING);
    Admission::new(cfg)
}

fn offer(workspace: u8, class: Class, work: u64) -> Offer {
    Offer {
        workspace: format!("workspace-{workspace}").as_str().into(),
        class,
        work: Work(work),
        deadline: None,
        refused_mean_per_slot: None,
        in_progress_limit: 64,
    }
}

#[derive(Debug, Clone, Copy)]
struct KnownRequest {
    class: Class,
    work: u64,
    running: bool,
}

/// The expected state of the endpoint, tracked independently of the admission's own.
struct Model {
    admission: Admission,
    now: u64,
    latest: u64,
    highest_report: u64,
    known: BTreeMap<AdmittedKey, KnownRequest>,
}

impl Model {
    fn new() -> Self {
        let admission = admission();
        Self { admission, now: 20_000, latest: 20_000, highest_report: 0, known: BTreeMap::new() }
    }

    fn key(&self, which: usize) -> Option<AdmittedKey> {
        self.known.keys().nth(which % self.known.len().max(1)).copied()
    }

    fn running(&self, quick: bool) -> usize {
        self.known.values().filter(|k| k.running && (k.class == Class::Quick) == quick).count()
    }

    fn waiting(&self, quick: bool) -> usize {
        self.known.values().filter(|k| !k.running && (k.class == Class::Quick) == quick).count()
    }

    fn apply_update(&mut self, update: &QueueUpdate) {
        for key in &update.started {
            self.known.get_mut(key).unwrap().running = true;
        }
        assert!(update.expired.is_empty(), "no request of this test has a deadline");
    }

    /// Returns the highest bound that any estimate could give: as if every peer had the highest
    /// load ever reported, raised by the most that an offer's mean can add.
    fn loosest_bound(&self) -> u64 {
        let policy = Policy::default();
        let lift = policy.load_multiple * 1.5;
        let floor = f64::from(policy.load_floor) * Work::MAX_PER_REQUEST.0 as f64;
        floor.max(lift * self.highest_report as f64) as u64
    }

    fn offer(&mut self, offer: &Offer) {
        let bound = self.admission.bound(offer.refused_mean_per_slot, MonoMs(self.latest));
        let (key, running) = match self.admission.offer(offer, MonoMs(self.now)) {
            Decision::Start(key) => (key, true),
            Decision::Wait { key, .. } => (key, false),
            Decision::Refuse(refusal) => {
                assert!(refusal.retry_after_ms >= Admission::MIN_RETRY_AFTER_MS);
                return;
            }
        };
        self.known.insert(key, KnownRequest { class: offer.class, work: offer.work.0, running });
        let load = self.admission.load().work;
        assert!(load <= bound, "an admission raised load {load:?} over bound {bound:?}");
        assert!(load.0 <= self.loosest_bound(), "load {load:?} over every possible bound");
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Offer { workspace, class, work, refused_mean } => {
                let offer =
                    Offer { refused_mean_per_slot: refused_mean, ..offer(workspace, class, work) };
                self.offer(&offer);
            }
            Step::Finish(which) => {
                if let Some(key) = self.key(which) {
                    self.known.remove(&key);
                    let update = self.admission.finish(key, MonoMs(self.now));
                    self.apply_update(&update);
                }
            }
            Step::Progress(which, left) => {
                if let Some(key) = self.key(which) {
                    self.admission.progress(key, Work(left));
                    let known = self.known.get_mut(&key).unwrap();
                    known.work = known.work.min(left);
                }
            }
            Step::Report { peer, work } => {
                self.highest_report = self.highest_report.max(work);
                let report =
                    LoadReport { work: Work(work), running: 6, slots: SLOTS, ..Default::default() };
                let mean = self.admission.mean_mut();
                mean.observe(EndpointHash(peer), report, MonoMs(self.now));
            }
            Step::Clock(by) => self.now = self.now.saturating_add_signed(by),
            Step::Tick => {
                let update = self.admission.tick(MonoMs(self.now));
                self.apply_update(&update);
            }
        }
        if !matches!(step, Step::Clock(_) | Step::Report { .. } | Step::Progress(..)) {
            self.latest = self.latest.max(self.now);
        }
    }

    fn check(&self) {
        let load = self.admission.load();
        let reserved = AdmissionConfig::default().with_slots(SLOTS).reserved_slots() as usize;
        let slots = SLOTS as usize;
        let work: u64 = self.known.values().map(|known| known.work).sum();
        assert_eq!(load.work, Work(work), "work is neither lost nor counted twice");
        assert!(self.running(true) + self.running(false) <= slots);
        assert!(
            self.running(false) <= slots - reserved,
            "a drafting request runs in a reserved slot"
        );
        let free = slots - self.running(true) - self.running(false);
        assert!(
            self.waiting(true) == 0 || free == 0,
            "a quick request is waiting although a slot is free"
        );
        let unreserved = free.min(slots - reserved - self.running(false));
        assert!(
            self.waiting(false) == 0 || unreserved == 0,
            "a request is waiting although a slot is free"
        );
        assert!(load.waiting <= MAX_WAITING);
    }
}

#[test]
fn admission_never_exceeds_bound() {
    let steps = prop::collection::vec(step(), 1..250);
    let result = runner(300).run(&steps, |steps| {
        let mut model = Model::new();
        for step in &steps {
            // Admission decides on offers at the latest time that it has seen.
            if matches!(step, Step::Offer { .. }) {
                model.latest = model.latest.max(model.now);
            }
            model.apply(step);
            model.check();
        }
        Ok(())
    });
    result.unwrap();
}

/// Returns an admission without a load bound, so that only slots and the queue limit it.
fn admission_without_bound() -> Admission {
    let cfg = AdmissionConfig::default()
        .with_slots(SLOTS)
        .with_ageing_ms(AGEING_MS)
        .with_max_waiting(MAX_WAITING)
        .with_peers(0);
    Admission::new(cfg)
}

/// Returns an admission whose slots are all used by quick requests, and these requests.
fn full_of_quick() -> (Admission, VecDeque<AdmittedKey>) {
    let mut admission = admission_without_bound();
    let mut running = VecDeque::new();
    for _ in 0..SLOTS {
        let Decision::Start(key) = admission.offer(&offer(0, Class::Quick, 40), MonoMs(0)) else {
            panic!("an idle endpoint starts one request per slot");
        };
        running.push_back(key);
    }
    (admission, running)
}

/// Completes one request per second, the oldest first, while requests of another workspace flood
/// the endpoint. Returns the number of completions until the request of `key_class` starts.
fn completions_until_started(flood: &[Class], key_class: Class) -> usize {
    let (mut admission, mut running) = full_of_quick();
    let Decision::Wait { key, .. } = admission.offer(&offer(1, key_class, 768), MonoMs(0)) else {
        panic!("a full endpoint with room in its queue queues a request");
    };
    let mut arrivals = flood.iter().cycle();
    for completions in 1..200 {
        let now = MonoMs(completions as u64 * 1_000);
        for class in arrivals.by_ref().take(4) {
            if let Decision::Start(key) = admission.offer(&offer(0, *class, 40), now) {
                running.push_back(key);
            }
        }
        let ended = running.pop_front().expect("a flooded endpoint has running requests");
        let update = admission.finish(ended, now);
        if update.started.contains(&key) {
            return completions;
        }
        running.extend(update.started);
    }
    panic!("the request is starved")
}

/// Maximum number of requests that complete before a request starts by ageing: one per second of
/// the ageing time, two because only every other start goes to an aged request, and one per slot
/// until an unreserved slot is free.
const MAX_COMPLETIONS_IF_AGED: usize = AGEING_MS as usize / 1_000 + 2 + SLOTS as usize;

/// Maximum number of requests that complete before a request of 768 units starts by round robin. It
/// needs three turns of 256 units. At most seven of the flood's requests of 40 units start before
/// each turn. The factor 2 allows for every other start that may go to an aged request. One more
/// request completes per slot.
const MAX_COMPLETIONS_BY_TURNS: usize = 2 * 3 * 7 + SLOTS as usize;

#[rstest]
#[case::drafting(Class::Drafting, MAX_COMPLETIONS_IF_AGED)]
#[case::conversation(Class::Conversation, MAX_COMPLETIONS_IF_AGED)]
#[case::quick(Class::Quick, MAX_COMPLETIONS_BY_TURNS)]
fn workspace_isnt_starved_by_a_flood(#[case] class: Class, #[case] bound: usize) {
    let floods = prop::collection::vec(prop::sample::select(Class::ALL.to_vec()), 1..20);
    let result = runner(200).run(&floods, |flood| {
        let completions = completions_until_started(&flood, class);
        prop_assert!(completions <= bound, "started after {} completions", completions);
        Ok(())
    });
    result.unwrap();
}

#[test]
fn flood_of_one_workspace_delays_other_by_one_turn() {
    // A workspace that floods its own class must not delay the single request of another.
    let (mut admission, mut running) = full_of_quick();
    let mut own_waiting = 0;
    while let Decision::Wait { .. } = admission.offer(&offer(0, Class::Quick, 256), MonoMs(0)) {
        own_waiting += 1;
    }
    assert_eq!(own_waiting, MAX_WAITING / 2, "one workspace uses at most half of the queue");
    let Decision::Wait { key, .. } = admission.offer(&offer(1, Class::Quick, 256), MonoMs(0))
    else {
        panic!("there is room for another workspace");
    };
    for completions in 1..=3 {
        let update = admission.finish(running.pop_front().unwrap(), MonoMs(completions));
        if update.started.contains(&key) {
            return;
        }
    }
    panic!("the other workspace waited for more than three completions");
}

#[rstest]
#[case::can_be_met(60_000, false)]
#[case::cannot_be_met(10, true)]
fn offer_refuses_unmeetable_deadline(#[case] deadline_ms: u64, #[case] refused: bool) {
    let (mut admission, _running) = full_of_quick();
    let mut req = offer(1, Class::Conversation, 100);
    req.deadline = Some(MonoMs(deadline_ms));
    match admission.offer(&req, MonoMs(0)) {
        Decision::Refuse(refusal) => {
            assert!(refused);
            assert_eq!(refusal.reason, RefuseReason::Deadline);
            // The first slot is free after 40 units of 30 ms.
            assert_eq!(refusal.retry_after_ms, 40 * 30 - deadline_ms);
        }
        Decision::Wait { expected_ms, .. } => {
            assert!(!refused && expected_ms <= deadline_ms);
        }
        Decision::Start(_) => panic!("every slot is taken"),
    }
}

#[test]
fn expired_request_is_reported_once_and_never_started() {
    let (mut admission, mut running) = full_of_quick();
    let mut req = offer(1, Class::Quick, 100);
    req.deadline = Some(MonoMs(5_000));
    let Decision::Wait { key, .. } = admission.offer(&req, MonoMs(0)) else { panic!() };
    let update = admission.finish(running.pop_front().unwrap(), MonoMs(5_000));
    assert_eq!(update, QueueUpdate { started: Vec::new(), expired: vec![key] });
    assert_eq!(admission.tick(MonoMs(6_000)), QueueUpdate::default());
}

#[test]
fn offer_without_reports_starts_any_single_request() {
    for class in Class::ALL {
        let largest = offer(0, class, Work::MAX_PER_REQUEST.0);
        assert!(matches!(admission().offer(&largest, MonoMs(0)), Decision::Start(_)));
    }
}
