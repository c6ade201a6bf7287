//! Ejection and avoidance of endpoints.

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{HealthSettings, HealthTracker};
use persimmon_decide::load::EndpointHash;
use rstest::rstest;

const ONE: EndpointHash = EndpointHash(1);
const MEMBERS: [EndpointHash; 4] =
    [EndpointHash(1), EndpointHash(2), EndpointHash(3), EndpointHash(4)];

fn tracker() -> HealthTracker {
    HealthTracker::new(HealthSettings::default())
}

/// Returns a tracker with twenty requests at each endpoint, of which every `failing[i]`th failed.
fn with_failures(failing: [usize; 4]) -> HealthTracker {
    let mut tracker = tracker();
    for request in 1..=20 {
        for (member, every) in MEMBERS.iter().zip(failing) {
            let is_good = every == 0 || request % every != 0;
            tracker.record_outcome(*member, is_good, MonoMs(1_000));
        }
    }
    tracker
}

#[rstest]
#[case::one_fails([2, 0, 0, 0], 1)]
#[case::all_fail_alike([3, 3, 3, 3], 0)]
#[case::none_fails([0, 0, 0, 0], 0)]
#[case::small_differences([7, 8, 7, 6], 0)]
fn failing_is_relative_to_the_service(#[case] failing: [usize; 4], #[case] expected: usize) {
    let found = with_failures(failing).failing(MEMBERS.into_iter(), MonoMs(1_000));
    assert_eq!(found.len(), expected, "{found:?}");
}

#[test]
fn failing_recovered_endpoint_is_used_again() {
    let tracker = with_failures([2, 0, 0, 0]);
    assert!(tracker.failing(MEMBERS.into_iter(), MonoMs(20_000)).is_empty());
}

#[test]
fn record_unreachable_ejects_longer_each_time() {
    let mut tracker = tracker();
    let first = tracker.record_unreachable(ONE, MonoMs(0));
    assert!(tracker.is_ejected(ONE, MonoMs(first - 1)));
    assert!(!tracker.is_ejected(ONE, MonoMs(first)));
    let second = tracker.record_unreachable(ONE, MonoMs(first));
    assert!(second > first);
    for _ in 0..20 {
        let now = MonoMs(100_000);
        let ms = tracker.record_unreachable(ONE, now);
        assert!(ms <= HealthSettings::default().max_ejection_ms);
    }
}

#[test]
fn record_received_ends_ejection() {
    let mut tracker = tracker();
    tracker.record_unreachable(ONE, MonoMs(0));
    tracker.record_received(ONE, false, MonoMs(10));
    assert!(!tracker.is_ejected(ONE, MonoMs(11)));
}

#[test]
fn record_peer_ejection_is_limited() {
    let mut tracker = tracker();
    tracker.record_peer_ejection(ONE, 60_000, MonoMs(0));
    assert!(tracker.is_ejected(ONE, MonoMs(100)));
    assert!(!tracker.is_ejected(ONE, MonoMs(HealthSettings::default().first_ejection_ms)));
}

#[test]
fn silent_ms_counts_from_first_unanswered_request() {
    let mut tracker = tracker();
    assert_eq!(tracker.silent_ms(ONE, MonoMs(5_000)), 0);
    tracker.record_sent(ONE, MonoMs(1_000));
    tracker.record_sent(ONE, MonoMs(1_500));
    assert_eq!(tracker.silent_ms(ONE, MonoMs(2_000)), 1_000);
    tracker.record_received(ONE, true, MonoMs(2_000));
    assert_eq!(tracker.silent_ms(ONE, MonoMs(2_100)), 100);
    tracker.record_idle(ONE);
    assert_eq!(tracker.silent_ms(ONE, MonoMs(9_000)), 0);
}
