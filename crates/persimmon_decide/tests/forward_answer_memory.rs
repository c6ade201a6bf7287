//! Memory of all answers that a gateway buffers.

use persimmon_decide::forward::{AnswerKey, AnswerMemory};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Memory of the smallest VM, and the part of it that answers may hold, in bytes.
const PROCESS_BYTES: u64 = 160 * 1024 * 1024;
const MAX_BYTES: usize = 40 * 1024 * 1024;
/// Bytes that arrive at once, and the limit of a single answer.
const PIECE_BYTES: usize = 16 * 1024;
const ANSWER_BYTES: usize = 1024 * 1024;

/// Answers that grow as their bytes arrive.
struct Load {
    memory: AnswerMemory,
    open: Vec<(AnswerKey, usize)>,
}

impl Load {
    fn new(answers: usize) -> Self {
        let mut memory = AnswerMemory::for_process(PROCESS_BYTES);
        let open = (0..answers).map(|_| (memory.begin(), 0)).collect();
        Self { memory, open }
    }

    /// Adds bytes to an answer, and checks the sum.
    fn grow(&mut self, index: usize, bytes: usize) {
        let (key, held) = &mut self.open[index];
        *held += bytes;
        let given_up = self.memory.hold(*key, *held);
        self.open.retain(|(key, _)| !given_up.contains(key));
        let sum: usize = self.open.iter().map(|(_, held)| held).sum();
        assert_eq!(self.memory.held_bytes(), sum);
        assert!(sum <= MAX_BYTES, "{sum}");
    }
}

#[rstest]
#[case::few(30, 30)]
#[case::hundreds(300, 40)]
#[case::thousands(3_000, 40)]
fn hold_endless_answers_stays_within_the_limit(#[case] answers: usize, #[case] left: usize) {
    let mut load = Load::new(answers);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    while load.open.iter().any(|(_, held)| *held < ANSWER_BYTES) {
        let growing: Vec<_> =
            (0..load.open.len()).filter(|it| load.open[*it].1 < ANSWER_BYTES).collect();
        load.grow(growing[rng.random_range(0..growing.len())], PIECE_BYTES);
    }
    assert_eq!(load.open.len(), left);
}

#[rstest]
#[case::short(4 * 1024)]
#[case::long(100 * 1024)]
fn hold_sound_answers_are_served_beside_stalled_ones(#[case] sound_bytes: usize) {
    let mut load = Load::new(300);
    for _ in 0..300 {
        let last = load.open.len() - 1;
        load.grow(last, ANSWER_BYTES);
        if load.open.len() > last {
            load.open.rotate_right(1);
        }
    }
    for _ in 0..300 {
        let key = load.memory.begin();
        load.open.push((key, 0));
        load.grow(load.open.len() - 1, sound_bytes);
        assert_eq!(load.open.last().unwrap().0, key, "a sound answer was given up");
        load.open.pop();
        load.memory.end(key);
    }
}

#[test]
fn hold_answer_larger_than_the_limit_gives_up_only_it() {
    let mut load = Load::new(2);
    load.grow(0, PIECE_BYTES);
    let (short, long) = (load.open[0].0, load.open[1].0);
    load.grow(1, MAX_BYTES + 1);
    assert_eq!(load.open, [(short, PIECE_BYTES)]);
    assert!(load.memory.hold(long, 1).is_empty());
    load.memory.end(long);
    load.memory.end(short);
    assert_eq!(load.memory.held_bytes(), 0);
}

#[rstest]
#[case::memory_is_free(MAX_BYTES / 2, 100 * 1024, false)]
#[case::memory_is_short(MAX_BYTES / 2 + 1, 32 * 1024, true)]
#[case::short_answer(MAX_BYTES, 32 * 1024 - 1, false)]
fn passes_on_is(#[case] held: usize, #[case] bytes: usize, #[case] expected: bool) {
    let mut load = Load::new(1);
    load.grow(0, held);
    assert_eq!(load.memory.passes_on(bytes), expected);
}
