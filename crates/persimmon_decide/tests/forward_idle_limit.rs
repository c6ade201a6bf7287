//! Reuse of connections to endpoints that drop idle ones without notice.

use persimmon_decide::MonoMs;
use persimmon_decide::forward::IdleLimit;
use rstest::rstest;

const SERVICE: &str = "ledger";

/// Sends a request every `pause_ms` for ten minutes to an endpoint that drops connections after
/// `drop_ms`. Returns the number of resets and of new connections.
fn simulate(pause_ms: u64, drop_ms: u64, learns: bool) -> (u32, u32) {
    let mut limit = IdleLimit::new();
    let (mut resets, mut connections) = (0, 0);
    for number in 1..600_000 / pause_ms {
        let now = MonoMs(number * pause_ms);
        if pause_ms > limit.max_idle_ms(SERVICE, true, now) {
            connections += 1;
        } else if pause_ms > drop_ms {
            resets += 1;
            if learns {
                limit.record_reset(&SERVICE.into(), pause_ms, now);
            }
        }
    }
    (resets, connections)
}

/// Without learning, every request of these routes fails.
#[rstest]
#[case::each_half_second(500, 300, 11)]
#[case::each_tenth(100, 60, 11)]
fn max_idle_ms_learning_limits_resets(
    #[case] pause_ms: u64,
    #[case] drop_ms: u64,
    #[case] most_resets: u32,
) {
    let (resets, _) = simulate(pause_ms, drop_ms, true);
    assert!((1..=most_resets).contains(&resets), "{resets} reset");
    let (unlearned, _) = simulate(pause_ms, drop_ms, false);
    assert!(unlearned > 1_000, "{unlearned} reset");
}

#[test]
fn max_idle_ms_steady_use_needs_no_new_connections() {
    assert_eq!(simulate(20, 300, true), (0, 0));
}

#[rstest]
#[case::after_one(&[(600, 0)], 1, 150)]
#[case::shortest_counts(&[(600, 0), (200, 10), (900, 20)], 30, 50)]
#[case::forgotten(&[(600, 0)], 60_000, 1_000)]
#[case::in_steady_use(&[(5, 0)], 1, 1_000)]
fn max_idle_ms_after_resets(#[case] resets: &[(u64, u64)], #[case] at: u64, #[case] expected: u64) {
    let mut limit = IdleLimit::new();
    for (idle_ms, now) in resets {
        limit.record_reset(&SERVICE.into(), *idle_ms, MonoMs(*now));
    }
    assert_eq!(limit.max_idle_ms(SERVICE, true, MonoMs(at)), expected);
}

#[test]
fn max_idle_ms_ignores_resets_of_other_services() {
    let mut limit = IdleLimit::new();
    limit.record_reset(&SERVICE.into(), 600, MonoMs(0));
    assert_eq!(limit.max_idle_ms("lookups", false, MonoMs(1)), 4_000);
}

/// Endpoints that lose answers also reset new connections; shorter idle times wouldn't help.
#[test]
fn max_idle_ms_resets_of_new_connections_clear_limit() {
    let mut limit = IdleLimit::new();
    limit.record_reset(&SERVICE.into(), 600, MonoMs(0));
    limit.record_new_reset(&SERVICE.into(), MonoMs(100));
    limit.record_reset(&SERVICE.into(), 600, MonoMs(200));
    assert_eq!(limit.max_idle_ms(SERVICE, true, MonoMs(300)), 1_000);
    assert_eq!(limit.keep_alive_ms(SERVICE, MonoMs(300)), 4_000);
    // Later resets of idle connections count again.
    limit.record_reset(&SERVICE.into(), 600, MonoMs(10_100));
    assert_eq!(limit.keep_alive_ms(SERVICE, MonoMs(10_200)), 150);
}
