//! Refusal of requests that would wait too long.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use persimmon_decide::forward::WaitingTime;
use rstest::rstest;

const SERVICE: &str = "ledger";
const SLOTS: u32 = 6;
const SERVICE_MS: u64 = 60;
const DEADLINE_MS: u64 = 400;
const TARGET_MS: u64 = 150;

/// Simulates a burst at twice the capacity of one endpoint; `accepts` decides by the load. Returns
/// how many callers are answered within `limit_ms`, and how many accepted requests are answered
/// later.
fn simulate(limit_ms: u64, accepts: impl Fn(&WaitingTime, u32) -> bool) -> (u32, u32) {
    let mut times = WaitingTime::new();
    times.record(&SERVICE.into(), SERVICE_MS);
    let mut slots: BinaryHeap<Reverse<u64>> = (0..SLOTS).map(|_| Reverse(0)).collect();
    let mut ends: Vec<u64> = Vec::new();
    let (mut in_time, mut too_late) = (0, 0);
    for number in 0..1_000_u64 {
        let now = number * 5;
        ends.retain(|end| *end > now);
        let load = u32::try_from(ends.len()).expect("a small load");
        if !accepts(&times, load) {
            continue;
        }
        let Reverse(free) = slots.pop().expect("a slot");
        let end = free.max(now) + SERVICE_MS;
        slots.push(Reverse(end));
        ends.push(end);
        match end - now <= limit_ms {
            true => in_time += 1,
            false => too_late += 1,
        }
    }
    (in_time, too_late)
}

/// Reports whether a request is expected to finish by its deadline.
fn ends_by_deadline(times: &WaitingTime, load: u32) -> bool {
    times.wait_ms(SERVICE, load, SLOTS) + times.mean_ms(SERVICE) <= DEADLINE_MS
}

#[test]
fn max_fill_lasting_overload_serves_more_on_time() {
    let (by_deadline, late) = simulate(TARGET_MS, ends_by_deadline);
    let (on_time, too_late) = simulate(TARGET_MS, |times, load| {
        let fill = times.max_fill(SERVICE, TARGET_MS, DEADLINE_MS);
        f64::from(load + 1) <= fill * f64::from(SLOTS)
    });
    assert!(on_time >= 4 * by_deadline, "{on_time} against {by_deadline}");
    assert!(late > 400);
    assert_eq!(too_late, 0);
}

#[rstest]
#[case::unreachable_target_goes_by_the_deadline(50, 400, 4.4)]
#[case::target(150, 400, 1.9)]
#[case::hardly_any_time_left(50, 40, 1.0)]
fn max_fill_by_target_or_deadline(
    #[case] target_ms: u64,
    #[case] deadline_ms: u64,
    #[case] expected: f64,
) {
    let mut times = WaitingTime::new();
    times.record(&SERVICE.into(), SERVICE_MS);
    let fill = times.max_fill(SERVICE, target_ms, deadline_ms);
    assert!((fill - expected).abs() < 1e-9, "{fill}");
    assert_eq!(WaitingTime::new().max_fill(SERVICE, target_ms, deadline_ms), f64::INFINITY);
}

#[test]
fn retry_after_ms_spreads_callers() {
    let mut times = WaitingTime::new();
    times.record(&SERVICE.into(), SERVICE_MS);
    let waits: Vec<_> = (0..1_000).map(|draw| times.retry_after_ms(SERVICE, draw)).collect();
    assert_eq!(waits.iter().min(), Some(&60));
    assert_eq!(waits.iter().max(), Some(&179));
}

#[test]
fn wait_ms_burst_serves_more_in_time() {
    let (in_time_without_refusals, too_late_without_refusals) = simulate(DEADLINE_MS, |_, _| true);
    let (in_time, too_late) = simulate(DEADLINE_MS, ends_by_deadline);
    assert!(
        in_time >= 4 * in_time_without_refusals,
        "{in_time} against {in_time_without_refusals}"
    );
    assert!(too_late_without_refusals > 800);
    assert!(too_late <= 10, "{too_late} were accepted and answered too late");
}

#[test]
fn wait_ms_unknown_service_is_zero() {
    assert_eq!(WaitingTime::new().wait_ms(SERVICE, 500, SLOTS), 0);
}
