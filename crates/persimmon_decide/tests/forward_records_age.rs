//! Tests of the age of the records in force.

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{AgeReason, RecordsAge};

const START: MonoMs = MonoMs(10_000);

#[test]
fn age_is_unknown_before_store_has_answered() {
    let age = RecordsAge::new();
    assert_eq!(age.age_ms(START), None);
    assert_eq!(age.reason(false, START), AgeReason::Unheard);
}

#[test]
fn age_counts_from_answer_that_confirms_records() {
    let mut age = RecordsAge::new();
    age.record_confirmed(7, START, 7);
    assert_eq!(age.age_ms(START.plus_ms(300)), Some(300));
    assert_eq!(age.reason(false, START.plus_ms(300)), AgeReason::Current);
}

/// Answers that have later changes confirm nothing until this gateway has them too.
#[test]
fn age_grows_while_later_change_is_missing() {
    let mut age = RecordsAge::new();
    age.record_confirmed(7, START, 7);
    age.record_confirmed(8, START.plus_ms(100), 7);
    age.record_confirmed(9, START.plus_ms(200), 7);
    let now = START.plus_ms(400);
    assert_eq!((age.age_ms(now), age.latest()), (Some(400), Some(9)));
    assert_eq!(age.reason(true, now), AgeReason::Fetching);
    assert_eq!(age.reason(false, now), AgeReason::Waiting);
    age.record_position(8);
    assert_eq!(age.age_ms(now), Some(300));
    assert_eq!(age.reason(false, now), AgeReason::Waiting);
    age.record_position(12);
    assert_eq!((age.age_ms(now), age.latest()), (Some(200), None));
    assert_eq!(age.reason(false, now), AgeReason::Current);
}

#[test]
fn reason_tells_lost_store_from_unheard_watchers() {
    let mut age = RecordsAge::new();
    age.record_confirmed(7, START, 7);
    let later = START.plus_ms(4_000);
    assert_eq!(age.reason(false, later), AgeReason::Unheard);
    // A watcher is heard, which the store answered long ago.
    age.record_watcher(later);
    assert_eq!(age.reason(false, later), AgeReason::StoreLost);
    assert_eq!(age.age_ms(later), Some(4_000));
}

#[test]
fn age_stays_bounded_in_a_series_of_changes() {
    let mut age = RecordsAge::new();
    for position in 1..1_000 {
        age.record_confirmed(position, START.plus_ms(position), 0);
    }
    assert_eq!(age.latest(), Some(999));
    age.record_position(999);
    assert_eq!(age.age_ms(START.plus_ms(999)), Some(0));
}
