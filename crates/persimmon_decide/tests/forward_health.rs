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

/// Reports of peers to a gateway that got data of the endpoint at these times; returns the times at which it is
/// ejected. Peers report it every 100 ms in the given time.
fn ejected_at(reports: std::ops::Range<u64>, data_at: &[u64], until: u64) -> Vec<u64> {
    let mut tracker = tracker();
    let mut ejected = Vec::new();
    for ms in (0..until).step_by(50) {
        if data_at.contains(&ms) {
            tracker.record_sent(ONE, MonoMs(ms));
            tracker.record_received(ONE, false, MonoMs(ms));
            tracker.record_idle(ONE);
        }
        if reports.contains(&ms) && ms % 100 == 0 {
            tracker.record_peer_ejection(ONE, 3_000, MonoMs(ms));
        }
        if tracker.is_ejected(ONE, MonoMs(ms)) {
            ejected.push(ms);
        }
    }
    ejected
}

/// Guards against gateways in a zone that no other zone reaches, which avoid the endpoints beside them because
/// all others report these as unreachable.
#[test]
fn reports_of_peers_do_not_outweigh_data_of_the_endpoint() {
    let ejected = ejected_at(1_000..9_000, &[500, 1_250, 3_000, 5_000, 7_500], 10_000);
    assert_eq!(ejected, [1_000, 1_050, 1_100, 1_150, 1_200]);
}

#[test]
fn reports_of_peers_outweigh_data_from_before_them() {
    let ejected = ejected_at(1_000..2_000, &[950], 3_000);
    assert_eq!((ejected.first(), ejected.last()), (Some(&1_000), Some(&2_250)));
}

/// An endpoint that ends while only peers have lost their paths to it sends nothing any more.
#[test]
fn reports_of_peers_outweigh_old_data() {
    let ejected = ejected_at(1_000..6_000, &[1_050], 6_000);
    assert_eq!(ejected.iter().filter(|ms| **ms > 1_050).min(), Some(&4_100));
}

#[test]
fn reports_of_peers_count_anew_after_a_pause() {
    let mut tracker = tracker();
    tracker.record_peer_ejection(ONE, 400, MonoMs(0));
    tracker.record_received(ONE, false, MonoMs(100));
    tracker.record_peer_ejection(ONE, 400, MonoMs(2_000));
    assert!(tracker.is_ejected(ONE, MonoMs(2_000)));
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
