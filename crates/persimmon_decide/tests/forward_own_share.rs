//! A gateway's share of an overloaded service, and the queue allowed there.

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{OwnShare, QueueAllowance, RecentRequests, ServiceLoad};
use rstest::rstest;

const MEAN_MS: u64 = 50;

fn recent(own: u32, others: u32, gateways: usize) -> RecentRequests {
    RecentRequests { own, others, gateways, hears_most: true }
}

/// Guards against a limit before a gateway has heard of the others, and against a gateway that takes more
/// after it was cut off from them.
#[test]
fn update_cut_off_keeps_the_last_share() {
    let mut share = OwnShare::new();
    let cut_off = RecentRequests { hears_most: false, ..recent(100, 0, 1) };
    share.update(cut_off, MonoMs(0));
    share.record_full(100, 0.0, MonoMs(0));
    assert_eq!(share.fraction(), None);
    assert!(!share.is_overloaded(MonoMs(0)));
    share.update(recent(100, 300, 4), MonoMs(300));
    let before = share.fraction();
    share.update(cut_off, MonoMs(600));
    assert_eq!(share.fraction(), before);
    share.update(recent(100, 0, 1), MonoMs(900));
    assert_eq!(share.fraction(), Some(1.0));
}

/// Guards against shares that are lost, or exceeded, because they aren't whole numbers of requests.
#[rstest]
#[case::fifth(1, 99, 0.24)]
#[case::one_and_a_half(6, 94, 1.5)]
#[case::many(50, 50, 12.0)]
fn allows_demand_without_end_uses_the_share_on_average(
    #[case] own: u32,
    #[case] others: u32,
    #[case] expected: f64,
) {
    let mut share = OwnShare::new();
    // So many requests that those added for gateways with few don't matter.
    share.update(recent(own * 10_000, others * 10_000, 2), MonoMs(0));
    share.record_full(1_000_000, 0.5, MonoMs(0));
    share.set_fill(1.0, MEAN_MS);
    let mut ends = Vec::new();
    let mut held = 0.0;
    for now in 0..20_000 {
        let load = |own: usize| ServiceLoad { slots: 24, own: own as u32, total: 100 };
        share.advance(load(ends.len()), MonoMs(now));
        ends.retain(|end| *end > now);
        while share.allows(load(ends.len()), 1.0) {
            ends.push(now + MEAN_MS);
        }
        held += ends.len() as f64;
    }
    let mean = held / 20_000.0;
    assert!(
        (mean / expected - 1.0).abs() < 0.1,
        "{mean:.3} in progress, {expected:.2} is the share"
    );
}

/// Guards against a queue that isn't adjusted to slow endpoints, or stays short after they are fast again:
/// the steady state is where one answer in ten is late.
#[rstest]
#[case::more_are_late(5, false)]
#[case::fewer_are_late(20, true)]
fn record_late_answers_shorten_the_queue(#[case] every: u32, #[case] grows: bool) {
    let mut allowance = QueueAllowance::new();
    for number in 1..=100 {
        allowance.record(number % every != 0);
    }
    assert_eq!(allowance.factor() > 1.0, grows);
    assert!(allowance.fill(2.0) > 1.0 && allowance.fill(2.0) < 3.0);
}
