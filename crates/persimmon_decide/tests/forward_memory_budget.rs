//! Memory of the bodies and answers that a gateway holds.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{BodyKey, BodyLoss, BodyMemory, LostBody, MemoryBudget};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Memory of the smallest VM, and the parts of it for bodies and for bodies and answers together, in bytes.
const PROCESS_BYTES: u64 = 160 * 1024 * 1024;
const MAX_BODIES_BYTES: usize = 50 * 1024 * 1024;
const MAX_BYTES: usize = 80 * 1024 * 1024;
/// Memory of a body that is being read beside its bytes.
const READING_BYTES: usize = 32 * 1024;
/// Size of a request's head, in bytes.
const HEAD_BYTES: usize = 600;
/// Limit of a single body, and bytes that arrive at once.
const BODY_BYTES: usize = 4 * 1024 * 1024;
const PIECE_BYTES: usize = 64 * 1024;
const START: MonoMs = MonoMs(1_000);

fn address(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

/// Bodies that grow as their bytes arrive.
struct Load {
    budget: MemoryBudget,
    open: HashMap<BodyKey, usize>,
    now: MonoMs,
}

impl Load {
    fn new() -> Self {
        let budget = MemoryBudget::for_process(PROCESS_BYTES);
        Self { budget, open: HashMap::new(), now: START }
    }

    /// Begins a body of this size, which may be given up at once.
    fn begin(&mut self, from: u8, bytes: usize) -> (BodyKey, Vec<LostBody>) {
        let key = self.budget.begin_body(address(from), HEAD_BYTES, self.now);
        self.open.insert(key, 0);
        let lost = self.grow(key, bytes);
        (key, lost)
    }

    /// Begins a body beside complete ones, which aren't listed as open.
    fn begin_beside(&mut self, from: u8, bytes: usize) -> (BodyKey, Vec<LostBody>) {
        let key = self.budget.begin_body(address(from), HEAD_BYTES, self.now);
        (key, self.budget.hold_body(key, bytes, self.now))
    }

    /// Adds bytes to a body that is open, and checks the sums.
    fn grow(&mut self, key: BodyKey, bytes: usize) -> Vec<LostBody> {
        let held = self.open.get_mut(&key).unwrap();
        *held += bytes;
        self.budget.record_progress(key, self.now);
        let lost = self.budget.hold_body(key, *held, self.now);
        self.remove(&lost);
        lost
    }

    fn remove(&mut self, lost: &[LostBody]) {
        lost.iter().for_each(|it| assert!(self.open.remove(&it.key).is_some(), "{it:?}"));
        let sum: usize = self.open.values().map(|held| held + HEAD_BYTES + READING_BYTES).sum();
        assert_eq!(self.budget.bodies().held_bytes(), sum);
        assert!(sum <= MAX_BODIES_BYTES, "{sum}");
    }
}

/// Guards against crowds whose sum exceeds the memory, and against loads from which no body gets through.
#[rstest]
#[case::few(12, 12)]
#[case::hundreds(300, 12)]
#[case::thousands(3_000, 12)]
fn hold_body_crowd_stays_within_the_limit(#[case] bodies: usize, #[case] left: usize) {
    let mut load = Load::new();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for number in 0..bodies {
        load.begin((number % 250) as u8, PIECE_BYTES);
    }
    loop {
        let growing = load.open.iter().filter(|(_, held)| **held < BODY_BYTES);
        let mut growing: Vec<_> = growing.map(|(key, _)| *key).collect();
        growing.sort_unstable();
        if growing.is_empty() {
            break;
        }
        load.grow(growing[rng.random_range(0..growing.len())], PIECE_BYTES);
    }
    assert!(load.open.len() >= left, "{}", load.open.len());
}

/// The crowd's address holds most, so that a body of any other one gets through whatever its size.
#[rstest]
#[case::short(1_000)]
#[case::long(BODY_BYTES)]
fn hold_body_other_addresses_are_served_beside_a_crowd(#[case] bytes: usize) {
    let mut load = Load::new();
    for _ in 0..100 {
        load.begin(1, 700_000);
    }
    for from in 2..50 {
        let (key, _) = load.begin(from, bytes);
        assert!(load.open.contains_key(&key), "a sound body was given up");
        load.budget.complete_body(key, 0);
        load.budget.end_body(key);
        load.open.remove(&key);
    }
}

#[test]
fn hold_body_stalled_body_goes_before_larger_and_later_ones() {
    let mut load = Load::new();
    let (first, _) = load.begin(1, 10 * 1024 * 1024);
    load.now = load.now.plus_ms(100);
    let (second, _) = load.begin(1, 10 * 1024 * 1024);
    let (large, _) = load.begin(1, 20 * 1024 * 1024);
    load.now = load.now.plus_ms(BodyMemory::STALL_MS);
    load.grow(large, 1);
    let (newest, lost) = load.begin(1, 12 * 1024 * 1024);
    assert_eq!(lost, [LostBody { key: first, loss: BodyLoss::Stalled }]);
    // Without a stalled one, the largest goes.
    load.grow(second, 1);
    let lost = load.grow(newest, 9 * 1024 * 1024);
    assert_eq!(lost, [LostBody { key: newest, loss: BodyLoss::NoMemory }]);
}

/// Guards against requests that displace equal ones which arrive, so that none gets through.
#[test]
fn hold_body_stated_length_doesnt_displace_an_equal_body() {
    let mut load = Load::new();
    let begun: Vec<_> = (0..80).map(|_| load.begin(1, 1_999_000)).collect();
    for (number, (key, lost)) in begun.iter().enumerate() {
        let refused = [LostBody { key: *key, loss: BodyLoss::NoMemory }];
        assert_eq!(&lost[..], if number < 25 { &[][..] } else { &refused });
    }
}

/// A request whose body has been sent to an endpoint may have run.
#[test]
fn hold_body_complete_body_is_never_given_up() {
    let mut load = Load::new();
    let (complete, _) = load.begin(1, 40 * 1024 * 1024);
    load.budget.complete_body(complete, 40 * 1024 * 1024);
    load.now = load.now.plus_ms(60_000);
    let (other, lost) = load.begin_beside(2, 11 * 1024 * 1024);
    assert_eq!(lost, [LostBody { key: other, loss: BodyLoss::NoMemory }]);
    assert!(load.budget.hold_body(other, 1, load.now).is_empty());
    load.budget.end_body(other);
    load.budget.end_body(complete);
    assert_eq!(load.budget.held_bytes(), 0);
}

#[test]
fn hold_answer_arriving_body_gives_way() {
    let mut load = Load::new();
    let (body, _) = load.begin(1, 45 * 1024 * 1024);
    let answer = load.budget.begin_answer();
    let given_up = load.budget.hold_answer(answer, 36 * 1024 * 1024, load.now);
    assert!(given_up.answers.is_empty());
    load.remove(&given_up.bodies);
    assert!(!load.open.contains_key(&body));
    assert_eq!(load.budget.max_body_bytes(), 44 * 1024 * 1024);
}

#[test]
fn hold_answer_gives_way_to_complete_bodies() {
    let mut load = Load::new();
    let (body, _) = load.begin(1, 45 * 1024 * 1024);
    load.budget.complete_body(body, 45 * 1024 * 1024);
    let [short, long] = [4, 30].map(|mb| {
        let answer = load.budget.begin_answer();
        assert_eq!(load.budget.hold_answer(answer, mb * 1024 * 1024, load.now).answers, []);
        answer
    });
    let given_up = load.budget.hold_answer(short, 6 * 1024 * 1024, load.now);
    assert_eq!(given_up.answers, [long]);
    assert!(given_up.bodies.is_empty());
    assert!(load.budget.held_bytes() <= MAX_BYTES);
    assert_eq!(load.budget.max_bytes(), MAX_BYTES);
}

/// Guards against heads that no limit on bodies counts, and against requests without a body that are refused
/// for the bodies of others.
#[test]
fn begin_body_head_counts_until_its_request_ends() {
    const LONG_HEAD_BYTES: usize = 16 * 1024;
    let mut load = Load::new();
    let begin = |number| {
        let key = load.budget.begin_body(address(1), LONG_HEAD_BYTES, load.now);
        load.budget.complete_body(key, 0);
        assert_eq!(load.budget.held_bytes(), (number + 1) * LONG_HEAD_BYTES);
        key
    };
    let heads: Vec<_> = (0..MAX_BODIES_BYTES / LONG_HEAD_BYTES).map(begin).collect();
    let (refused, lost) = load.begin_beside(2, 1);
    assert_eq!(lost, [LostBody { key: refused, loss: BodyLoss::NoMemory }]);
    heads.into_iter().for_each(|key| load.budget.end_body(key));
    assert_eq!(load.budget.held_bytes(), 0);
}

/// Guards against limits that leave no memory for the buffers of thousands of connections.
#[rstest]
#[case::hundreds(160, 512, 80)]
#[case::thousands(160, 2_560, 24)]
#[case::hundreds_in_little_memory(48, 512, 6)]
#[case::more_than_the_memory_bears(48, 10_000, 6)]
fn max_bytes_leaves_room_for_connections(
    #[case] process_mb: usize,
    #[case] connections: usize,
    #[case] expected_mb: usize,
) {
    let mut budget = MemoryBudget::for_process(process_mb as u64 * 1024 * 1024);
    budget.set_connections(connections);
    assert_eq!(budget.max_bytes(), expected_mb * 1024 * 1024);
}

/// Callers fill their receive windows as they connect, one after the other, while the process reads nothing.
/// Windows that have shrunk don't give back what has arrived.
#[rstest]
#[case::few(160, 60)]
#[case::hundreds(160, 600)]
#[case::half_of_the_descriptors(260, 2_050)]
#[case::little_memory(48, 400)]
#[case::hundreds_in_little_memory(48, 256)]
fn receive_windows_fill_at_most_what_bodies_leave(
    #[case] process_mb: usize,
    #[case] connections: usize,
) {
    /// Memory of the process without callers, and of a connection, in bytes.
    const IDLE_BYTES: usize = 24 * 1024 * 1024;
    const CONNECTION_BYTES: usize = 32 * 1024;
    let process_bytes = process_mb * 1024 * 1024;
    let mut budget = MemoryBudget::for_process(process_bytes as u64);
    let mut unread = 0;
    for open in 1..=connections {
        budget.set_connections(open);
        unread += budget.receive_window_bytes();
        let own = IDLE_BYTES + open * CONNECTION_BYTES;
        let sum = own + unread + budget.max_bytes();
        assert!(sum <= process_bytes, "{sum} bytes with {open} connections, {unread} unread");
    }
}

/// Unfinished heads on all connections leave bodies their minimum.
#[rstest]
#[case::smallest_vm(160, 16, 2_560)]
#[case::long_heads(160, 32, 1_792)]
#[case::more_memory(260, 16, 4_640)]
#[case::less_than_the_process_needs(16, 16, 64)]
fn max_connections_fit_the_memory(
    #[case] process_mb: u64,
    #[case] head_kb: usize,
    #[case] expected: usize,
) {
    let budget =
        MemoryBudget::for_process(process_mb * 1024 * 1024).with_head_bytes(head_kb * 1024);
    assert_eq!(budget.max_connections(), expected);
}

/// Guards against long uploads that become slow because of others' connections.
#[test]
fn receive_window_is_full_while_few_connections_are_open() {
    const FULL_BYTES: usize = 128 * 1024;
    let mut budget = MemoryBudget::for_process(PROCESS_BYTES);
    for open in 0..=64 {
        budget.set_connections(open);
        assert_eq!(budget.receive_window_bytes(), FULL_BYTES);
    }
    budget.set_connections(65);
    assert_eq!(budget.receive_window_bytes(), FULL_BYTES / 2);
}
