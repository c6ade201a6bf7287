//! Which endpoints are avoided.

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{HealthSettings, HealthTracker};
use persimmon_decide::load::EndpointHash;
use rstest::rstest;

const ONE: EndpointHash = EndpointHash(1);
const MEMBERS: [EndpointHash; 4] =
    [EndpointHash(1), EndpointHash(2), EndpointHash(3), EndpointHash(4)];

fn book() -> HealthTracker {
    HealthTracker::new(HealthSettings::default())
}

/// Outcomes of twenty requests at each endpoint, of which every `failing[i]`th fails.
fn with_failures(failing: [usize; 4]) -> HealthTracker {
    let mut book = book();
    for request in 1..=20 {
        for (member, every) in MEMBERS.iter().zip(failing) {
            let is_good = every == 0 || request % every != 0;
            book.record_outcome(*member, is_good, MonoMs(1_000));
        }
    }
    book
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
    let book = with_failures([2, 0, 0, 0]);
    assert!(book.failing(MEMBERS.into_iter(), MonoMs(20_000)).is_empty());
}

#[test]
fn unreachable_is_left_out_longer_each_time() {
    let mut book = book();
    let first = book.record_unreachable(ONE, MonoMs(0));
    assert!(book.is_ejected(ONE, MonoMs(first - 1)));
    assert!(!book.is_ejected(ONE, MonoMs(first)));
    let second = book.record_unreachable(ONE, MonoMs(first));
    assert!(second > first);
    for _ in 0..20 {
        let now = MonoMs(100_000);
        let ms = book.record_unreachable(ONE, now);
        assert!(ms <= HealthSettings::default().max_ejection_ms);
    }
}

#[test]
fn unreachable_ends_with_the_first_answer() {
    let mut book = book();
    book.record_unreachable(ONE, MonoMs(0));
    book.record_heard(ONE, false, MonoMs(10));
    assert!(!book.is_ejected(ONE, MonoMs(11)));
}

#[test]
fn absorb_ejection_is_bounded() {
    let mut book = book();
    book.record_peer_ejection(ONE, 60_000, MonoMs(0));
    assert!(book.is_ejected(ONE, MonoMs(100)));
    assert!(!book.is_ejected(ONE, MonoMs(HealthSettings::default().first_ejection_ms)));
}

#[test]
fn silent_counts_from_the_first_unanswered_request() {
    let mut book = book();
    assert_eq!(book.silent_ms(ONE, MonoMs(5_000)), 0);
    book.record_sent(ONE, MonoMs(1_000));
    book.record_sent(ONE, MonoMs(1_500));
    assert_eq!(book.silent_ms(ONE, MonoMs(2_000)), 1_000);
    book.record_heard(ONE, true, MonoMs(2_000));
    assert_eq!(book.silent_ms(ONE, MonoMs(2_100)), 100);
    book.record_idle(ONE);
    assert_eq!(book.silent_ms(ONE, MonoMs(9_000)), 0);
}
