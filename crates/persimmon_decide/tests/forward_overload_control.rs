//! Admission of short requests to one service in overload.

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    AnswerInput, OverloadControl, OverloadDecision, OverloadInput, RecentRequests, ServiceLoad,
};
use rstest::rstest;

const NOW: MonoMs = MonoMs(10_000);
const SLOTS: u32 = 24;
const INTERVAL_MS: u64 = 300;

/// A gateway that gets a quarter of the fleet's requests, which is six slots, and twelve requests with the
/// queue.
fn control() -> OverloadControl {
    let mut control = OverloadControl::new();
    let recent = RecentRequests { own: 1_000, others: 3_000, gateways: 4, hears_most: true };
    control.share.update(recent, NOW);
    control
}

fn input(own: u32, total: u32, has_room: bool) -> OverloadInput {
    OverloadInput {
        load: ServiceLoad { slots: SLOTS, own, total },
        has_room,
        queue_fill: 2.0,
        rank_factor: 1.0,
        spent_ms: 0,
        target_ms: 300,
        mean_ms: 75,
        interval_ms: INTERVAL_MS,
        draw: 0.0,
        now: NOW,
    }
}

/// Guards against decisions that differ from those by counts without overload, or without a known share.
#[test]
fn decide_without_overload_is_by_counts() {
    assert_eq!(control().decide(&input(20, 20, true)), OverloadDecision::ByCounts);
    let mut unknown = OverloadControl::new();
    assert_eq!(unknown.decide(&input(20, 60, false)), OverloadDecision::ByCounts);
}

/// Guards against refusals by old counts while the own share isn't used up, and against admission by old
/// counts when it is.
#[rstest]
#[case::share_left(11, 0, OverloadDecision::Admitted)]
#[case::share_used_up(12, 0, OverloadDecision::Refused)]
#[case::late_with_share_left(3, 280, OverloadDecision::Refused)]
#[case::late_with_most_left(2, 280, OverloadDecision::Admitted)]
fn decide_overload_is_by_share(
    #[case] own: u32,
    #[case] spent_ms: u64,
    #[case] expected: OverloadDecision,
) {
    let mut control = control();
    control.decide(&input(12, 60, false));
    for has_room in [false, true] {
        let decision = control.decide(&OverloadInput { spent_ms, ..input(own, 60, has_room) });
        assert_eq!(decision, expected, "{has_room}");
    }
}

/// Guards against refusals after the overload: they end once slots are free, and the state ends two
/// intervals between digests after the last sign of an overload.
#[test]
fn decide_after_overload_is_by_counts() {
    let mut control = control();
    control.decide(&input(12, 60, false));
    assert_eq!(control.decide(&input(12, SLOTS, true)), OverloadDecision::ByCounts);
    let later = NOW.plus_ms(2 * INTERVAL_MS);
    let decision = control.decide(&OverloadInput { now: later, ..input(12, 60, true) });
    assert_eq!(decision, OverloadDecision::ByCounts);
}

/// Guards against an overload that is known only by old counts, and against one that begins because an
/// endpoint is slow while others have free slots.
#[rstest]
#[case::queued(40, true)]
#[case::free_slots(20, false)]
fn record_answer_late_begins_overload(#[case] total: u32, #[case] begins: bool) {
    let mut control = control();
    let load = ServiceLoad { slots: SLOTS, own: 12, total };
    let now = NOW.plus_ms(400);
    let (target_ms, interval_ms) = (300, INTERVAL_MS);
    let answer = AnswerInput { began: NOW, target_ms, interval_ms, draw: 0.0, now };
    control.record_answer(&answer, load);
    assert_eq!(control.share.is_overloaded(now), begins);
    // Its request was sent before the overload, so it tells nothing of the queue that is allowed.
    assert!((control.allowance.factor() - 1.0).abs() < f64::EPSILON);
}
