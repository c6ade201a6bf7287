//! Admission of requests during a shutdown.

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{Shutdown, ShutdownSettings};
use rstest::rstest;

const START: MonoMs = MonoMs(10_000);

fn leaving() -> Shutdown {
    let mut shutdown = Shutdown::new(ShutdownSettings { grace_ms: 8_000 });
    shutdown.begin(START);
    shutdown
}

#[rstest]
#[case::balancer_hasnt_noticed(2_000, Some(4_000), 15_000, true)]
#[case::stream_too_long_later(3_200, Some(4_000), 15_000, false)]
#[case::unknown_duration_later(3_200, None, 15_000, false)]
#[case::short_call_later(3_200, Some(100), 1_000, true)]
#[case::short_deadline_later(3_200, None, 1_000, true)]
#[case::short_call_at_the_end(7_500, Some(100), 1_000, false)]
fn accepts_only_requests_that_finish_in_time(
    #[case] after_ms: u64,
    #[case] max_ms: Option<u64>,
    #[case] deadline_ms: u64,
    #[case] expected: bool,
) {
    assert_eq!(leaving().accepts(max_ms, deadline_ms, START.plus_ms(after_ms)), expected);
}

#[test]
fn accepts_all_requests_while_running() {
    let shutdown = Shutdown::new(ShutdownSettings { grace_ms: 8_000 });
    assert!(shutdown.accepts(None, 60_000, START));
    assert!(!shutdown.may_exit(0, MonoMs(0), START));
}

#[rstest]
#[case::at_once(100, 0, 9_000, false)]
#[case::idle_later(4_000, 0, 10_000, true)]
#[case::just_ended(4_000, 0, 13_900, false)]
#[case::busy(4_000, 3, 10_000, false)]
#[case::busy_at_end_of_grace(7_700, 3, 10_000, true)]
fn may_exit_when_idle_or_out_of_time(
    #[case] after_ms: u64,
    #[case] in_progress: usize,
    #[case] idle_since: u64,
    #[case] expected: bool,
) {
    let now = START.plus_ms(after_ms);
    assert_eq!(leaving().may_exit(in_progress, MonoMs(idle_since), now), expected);
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
