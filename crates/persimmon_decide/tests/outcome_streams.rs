//! Answers reach the right caller completely although frames are lost, duplicated, delayed or
//! misrouted.

mod stream_model;

use std::sync::Arc;

use persimmon_decide::outcome::{
    Body, Heartbeat, HeartbeatLimits, HeartbeatStatus, LedgerKey, OutputLimits, OutputState,
    OutputStore, PushError, ResumeError, RetainedOutput, StoreError, StoreLimits, StreamEnd,
};
use persimmon_decide::{MonoMs, Offset, RequestId};
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use rstest::rstest;
use stream_model::{Defect, Model, schedule};

const SEED: u64 = 4_022;
const CASES: u32 = 20_000;

/// Returns the failure that the search finds, if any.
fn search(defect: Defect) -> Option<String> {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let play = |ops: Vec<_>| Model::new(defect).play(&ops).map_err(TestCaseError::fail);
    TestRunner::new(config).run(&schedule(), play).err().map(|found| found.to_string())
}

#[test]
fn search_without_defect() {
    assert_eq!(search(Defect::None), None);
}

#[rstest]
#[case::ids_unchecked(Defect::IdsUnchecked, "contains a foreign frame")]
#[case::incarnation_unchecked(Defect::IncarnationUnchecked, "contains a foreign frame")]
#[case::end_offset_unchecked(Defect::EndOffsetUnchecked, "is truncated")]
#[case::restart_after_delivery(Defect::RestartAfterDelivery, "contains a foreign frame")]
fn search_defect(#[case] defect: Defect, #[case] expected: &str) {
    let found = search(defect).expect("a counter-example");
    println!("{defect:?}: {found}");
    assert!(found.contains(expected), "{found}");
}

fn limits() -> OutputLimits {
    OutputLimits {
        max_bytes: 4,
        max_frames: 3,
        silent_ms: 100,
        backpressure_ms: 250,
        linger_ms: 1_000,
    }
}

fn piece(bytes: usize) -> Arc<[u8]> {
    vec![0; bytes].into()
}

#[rstest]
#[case::bytes(&[2, 2], 1, PushError::Full)]
#[case::frames(&[1, 1, 1], 1, PushError::Full)]
#[case::one_frame(&[], 5, PushError::TooLarge)]
fn push_beyond_bound(#[case] earlier: &[usize], #[case] bytes: usize, #[case] expected: PushError) {
    let mut output = RetainedOutput::new(limits(), MonoMs(0));
    for earlier in earlier {
        output.push(piece(*earlier), MonoMs(0)).unwrap();
    }
    assert_eq!(output.push(piece(bytes), MonoMs(0)), Err(expected));
    output.finish(StreamEnd::Whole, MonoMs(0));
    assert_eq!(output.push(piece(1), MonoMs(0)), Err(PushError::Ended));
}

#[test]
fn read_from_acknowledged() {
    let mut output = RetainedOutput::new(limits(), MonoMs(0));
    for _ in 0..3 {
        output.push(piece(1), MonoMs(0)).unwrap();
    }
    output.acknowledge(Offset(2), MonoMs(1));
    assert!(output.read_from(Offset(0)).is_ok(), "acknowledged frames stay while there is room");
    output.push(piece(1), MonoMs(2)).unwrap();
    assert_eq!(output.read_from(Offset(0)).err(), Some(ResumeError::Gone { first: Offset(1) }));
    assert_eq!(output.read_from(Offset(9)).err(), Some(ResumeError::Ahead { next: Offset(4) }));
    output.finish(StreamEnd::Whole, MonoMs(3));
    let rest: Vec<_> = output.read_from(Offset(3)).unwrap().collect();
    let expected = [(Offset(3), Body::Data(piece(1))), (Offset(4), Body::End(StreamEnd::Whole))];
    assert_eq!(rest, expected);
}

#[rstest]
#[case::nothing_waits(0, &[], 10_000, OutputState::Open)]
#[case::just_in_time(1, &[], 99, OutputState::Open)]
#[case::silent(1, &[], 100, OutputState::Stalled)]
#[case::slow_but_steady(3, &[(90, 1), (180, 2)], 249, OutputState::Open)]
#[case::backpressure_in_total(3, &[(90, 1), (180, 2)], 250, OutputState::Stalled)]
#[case::backpressure_too_long(3, &[(90, 1), (180, 2), (260, 3)], 261, OutputState::Stalled)]
fn state_of_reader(
    #[case] pushes: u64,
    #[case] acknowledged: &[(u64, u64)],
    #[case] at: u64,
    #[case] expected: OutputState,
) {
    let mut output = RetainedOutput::new(limits(), MonoMs(0));
    for _ in 0..pushes {
        output.push(piece(1), MonoMs(0)).unwrap();
    }
    for (at, next) in [(0, 0)].iter().chain(acknowledged) {
        output.acknowledge(Offset(*next), MonoMs(*at));
        if pushes > 0 {
            // The endpoint always has more data than fits.
            let _ = output.push(piece(4), MonoMs(*at));
        }
    }
    assert_eq!(output.state(MonoMs(at)), expected);
}

fn key(id: u128) -> LedgerKey {
    LedgerKey::of_request(&"swap-desk".into(), RequestId(id))
}

/// Guards against a burst of short answers evicting an ended answer before its router has read it:
/// fully acknowledged answers must be evicted first.
#[test]
fn store_retains_unacknowledged_answer() {
    let mut store = OutputStore::new(StoreLimits { max_outputs: 2, output: limits() });
    for (number, acknowledged) in [(1, 0), (2, 1)] {
        store.open(key(number), MonoMs(0)).unwrap();
        let output = store.get_mut(key(number)).unwrap();
        output.push(piece(1), MonoMs(1)).unwrap();
        output.finish(StreamEnd::Whole, MonoMs(2));
        output.acknowledge(Offset(acknowledged), MonoMs(3));
    }
    store.open(key(3), MonoMs(4)).unwrap();
    assert!(store.get(key(1)).is_some(), "the unacknowledged answer is retained");
    assert!(store.get(key(2)).is_none(), "the acknowledged answer is evicted");
    assert_eq!(store.open(key(4), MonoMs(4)), Err(StoreError));
    let later = MonoMs(2 + OutputStore::UNACKNOWLEDGED_RETENTION_MS);
    store.open(key(4), later).unwrap();
    assert!(store.get(key(1)).is_none(), "the retention period has passed");
}

#[test]
fn store_when_full() {
    let limits = StoreLimits { max_outputs: 2, output: limits() };
    let mut store = OutputStore::new(limits);
    store.open(key(1), MonoMs(0)).unwrap();
    store.open(key(2), MonoMs(0)).unwrap();
    assert_eq!(store.open(key(3), MonoMs(0)), Err(StoreError));
    store.get_mut(key(2)).unwrap().finish(StreamEnd::Whole, MonoMs(5));
    store.open(key(3), MonoMs(6)).unwrap();
    assert!(store.get(key(2)).is_none() && store.get(key(1)).is_some());
    store.get_mut(key(1)).unwrap().push(piece(1), MonoMs(6)).unwrap();
    store.get_mut(key(3)).unwrap().finish(StreamEnd::Whole, MonoMs(6));
    let swept = store.sweep(MonoMs(1_006));
    assert_eq!((swept.stalled, swept.expired, store.len()), (vec![key(1)], 1, 1));
}

fn heartbeat_limits() -> HeartbeatLimits {
    HeartbeatLimits { interval_ms: 500, silent_ms: 2_000, first_ack_ms: 250 }
}

#[rstest]
#[case::fresh(false, &[], 499, HeartbeatStatus::Wait(MonoMs(500)))]
#[case::due(false, &[], 500, HeartbeatStatus::Send)]
#[case::silent(false, &[1_000], 2_000, HeartbeatStatus::Silent)]
#[case::reused(true, &[], 249, HeartbeatStatus::Wait(MonoMs(250)))]
#[case::reused_and_silent(true, &[], 250, HeartbeatStatus::Silent)]
#[case::own_pause(false, &[], 60_000, HeartbeatStatus::Send)]
#[case::silent_after_own_pause(false, &[60_000], 60_500, HeartbeatStatus::Silent)]
fn heartbeat_poll(
    #[case] reused: bool,
    #[case] polls: &[u64],
    #[case] at: u64,
    #[case] expected: HeartbeatStatus,
) {
    let start = if reused { Heartbeat::on_reused } else { Heartbeat::new };
    let mut heartbeat = start(heartbeat_limits(), MonoMs(0));
    for poll in polls {
        heartbeat.poll(MonoMs(*poll));
    }
    assert_eq!(heartbeat.poll(MonoMs(at)), expected);
}

#[test]
fn heartbeat_record_received_first_ack() {
    let mut heartbeat = Heartbeat::on_reused(heartbeat_limits(), MonoMs(0));
    heartbeat.record_received(MonoMs(200));
    heartbeat.record_sent(MonoMs(200));
    assert_eq!(heartbeat.poll(MonoMs(300)), HeartbeatStatus::Wait(MonoMs(700)));
}
