//! Admission of requests during a shutdown.

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    Repeatable, Shutdown, ShutdownSettings, ShutdownStage, UnsentRequest,
};
use rstest::rstest;

const START: MonoMs = MonoMs(10_000);

fn leaving() -> Shutdown {
    let mut shutdown = Shutdown::new(ShutdownSettings { grace_ms: 8_000 });
    shutdown.begin(START);
    shutdown
}

/// Returns a lookup, beside a gateway that keeps running.
fn lookup(max_ms: Option<u64>, deadline_ms: u64) -> UnsentRequest {
    let (repeatable, is_stream) = (Repeatable::Always, false);
    UnsentRequest { deadline_ms, max_ms, repeatable, is_stream, has_other_gateway: true }
}

/// Returns a call that may run only once.
fn commit(max_ms: Option<u64>, deadline_ms: u64) -> UnsentRequest {
    UnsentRequest { repeatable: Repeatable::Never, ..lookup(max_ms, deadline_ms) }
}

fn stream(max_ms: Option<u64>, deadline_ms: u64) -> UnsentRequest {
    UnsentRequest { is_stream: true, ..commit(max_ms, deadline_ms) }
}

fn without_other_gateway(req: UnsentRequest) -> UnsentRequest {
    UnsentRequest { has_other_gateway: false, ..req }
}

#[rstest]
#[case::balancer_hasnt_noticed(2_000, stream(Some(4_000), 15_000), true)]
#[case::stream_too_long_later(3_200, stream(Some(4_000), 15_000), false)]
#[case::unknown_duration_later(3_200, lookup(None, 15_000), false)]
#[case::short_call_later(3_200, lookup(Some(100), 1_000), true)]
#[case::short_deadline_later(3_200, lookup(None, 1_000), true)]
#[case::short_call_at_the_end(7_500, lookup(Some(100), 1_000), false)]
#[case::lookup_that_probably_finishes(7_300, lookup(Some(100), 1_000), true)]
#[case::stream_after_short_ones(3_200, stream(Some(100), 15_000), false)]
#[case::stream_with_short_deadline(3_200, stream(None, 3_000), true)]
#[case::commit_that_probably_finishes(7_300, commit(Some(100), 2_000), false)]
#[case::commit_with_short_deadline(5_500, commit(None, 2_000), true)]
#[case::commit_without_other_gateway(7_300, without_other_gateway(commit(Some(100), 2_000)), true)]
#[case::stream_without_other_gateway(
    3_200,
    without_other_gateway(stream(Some(100), 15_000)),
    false
)]
#[case::answers_are_being_sent(7_700, lookup(Some(0), 0), false)]
fn accepts_only_requests_that_are_answered_in_time(
    #[case] after_ms: u64,
    #[case] req: UnsentRequest,
    #[case] expected: bool,
) {
    assert_eq!(leaving().accepts(req, START.plus_ms(after_ms)), expected);
}

#[test]
fn accepts_all_requests_while_running() {
    let shutdown = Shutdown::new(ShutdownSettings { grace_ms: 8_000 });
    assert!(shutdown.accepts(stream(None, 60_000), START));
    assert!(!shutdown.may_exit(0, MonoMs(0), START));
    assert!(!shutdown.closes_connection(true, MonoMs(0), START));
}

#[rstest]
#[case::at_once(0, ShutdownStage::Announced)]
#[case::noticed(2_200, ShutdownStage::Draining)]
#[case::answers_are_being_sent(7_600, ShutdownStage::Ending)]
#[case::no_time_remains(7_800, ShutdownStage::Over)]
fn stage_follows_the_time_since_the_signal(#[case] after_ms: u64, #[case] expected: ShutdownStage) {
    assert_eq!(leaving().stage(START.plus_ms(after_ms)), expected);
}

#[rstest]
#[case::balancer_hasnt_noticed(2_000, true, 5_000, false)]
#[case::kept(2_300, true, 0, true)]
#[case::new(2_300, false, 100, false)]
#[case::new_without_request(2_900, false, 600, true)]
#[case::new_at_the_end(7_700, false, 100, true)]
fn closes_idle_connections_once_callers_reach_another_gateway(
    #[case] after_ms: u64,
    #[case] is_used: bool,
    #[case] idle_ms: u64,
    #[case] expected: bool,
) {
    let now = START.plus_ms(after_ms);
    let idle_since = MonoMs(now.0 - idle_ms);
    assert_eq!(leaving().closes_connection(is_used, idle_since, now), expected);
}

#[rstest]
#[case::at_once(100, 0, 9_000, false)]
#[case::idle_later(4_000, 0, 10_000, true)]
#[case::just_ended(4_000, 0, 13_900, false)]
#[case::busy(4_000, 3, 10_000, false)]
#[case::busy_at_end_of_grace(7_800, 3, 10_000, true)]
#[case::answers_are_being_sent(7_700, 3, 10_000, false)]
#[case::answers_are_sent(7_700, 0, 17_650, true)]
fn may_exit_when_idle_or_out_of_time(
    #[case] after_ms: u64,
    #[case] busy: usize,
    #[case] idle_since: u64,
    #[case] expected: bool,
) {
    let now = START.plus_ms(after_ms);
    assert_eq!(leaving().may_exit(busy, MonoMs(idle_since), now), expected);
}

#[test]
fn begin_twice_uses_first_time() {
    let mut shutdown = leaving();
    shutdown.begin(START.plus_ms(5_000));
    assert_eq!(shutdown.left_ms(START.plus_ms(8_000)), 0);
}

#[rstest]
#[case::others_stay(None, 123, 20)]
#[case::all_leave(Some(2_250), 123, 2_373)]
#[case::spread_is_bounded(Some(2_250), 999, 2_749)]
fn retry_after_ms_reaches_a_running_gateway(
    #[case] return_ms: Option<u64>,
    #[case] draw: u64,
    #[case] expected: u64,
) {
    assert_eq!(Shutdown::retry_after_ms(return_ms, draw), expected);
}
