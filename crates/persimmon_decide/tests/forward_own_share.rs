//! A gateway's share of an overloaded service, the queue allowed there, and when refused callers come back.

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    OwnShare, QueueAllowance, RecentRequests, RetryDelay, RetryInput, ServiceLoad,
};
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

/// Guards against callers that wait so long that they are late, and against late ones that come back into a
/// full system, or later than they are willing to.
#[rstest]
#[case::on_time_first(0, 1, 10, 30)]
#[case::late_without_pressure(200, 0, 50, 150)]
#[case::late_under_pressure(200, 3, 450, 900)]
fn delay_ms_by_time_spent_and_pressure(
    #[case] spent_ms: u64,
    #[case] refused: u32,
    #[case] shortest_ms: u64,
    #[case] longest_ms: u64,
) {
    let mut delay = RetryDelay::new();
    let now = MonoMs(5_000);
    delay.record(true, now);
    for _ in 0..refused {
        delay.record(false, now);
    }
    let input = |draw| RetryInput {
        turnover_ms: MEAN_MS,
        spent_ms,
        target_ms: 300,
        left_ms: 2_700,
        draw,
        now: now.plus_ms(500),
    };
    assert_eq!(delay.delay_ms(input(0.0)), shortest_ms);
    assert_eq!(delay.delay_ms(input(1.0)), longest_ms);
    // A caller with little time left isn't told to wait longer than it would.
    assert!(delay.delay_ms(RetryInput { left_ms: 60, ..input(1.0) }) <= 20);
    // What was refused more than a second ago is no pressure.
    assert!(delay.pressure(now.plus_ms(1_100)) < f64::EPSILON);
}
