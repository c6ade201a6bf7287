//! Leaving: when a process refuses new work, and when it may exit.

use persimmon_decide::MonoMs;
use persimmon_decide::recovery::{
    Clocks, HoldReason, Leaving, LeavingCause, LeavingSettings, NotServing, Phase, RecordStatus,
    RemainingWork,
};
use persimmon_records::{EndpointBuilder, Generation, UnixMs};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

const WALL_AT_START: u64 = 1_000_000;
const SERVE: RecordStatus = RecordStatus::Serve { until: None };
const BUSY: RemainingWork = RemainingWork { requests: 1, unacknowledged: 0 };

fn at(ms: u64) -> Clocks {
    Clocks { mono: MonoMs(ms), wall: UnixMs(WALL_AT_START + ms) }
}

fn ready(status: RecordStatus) -> Leaving {
    let mut leaving = Leaving::new(LeavingSettings::default(), at(0));
    leaving.set_records(status, Generation(1), at(0));
    leaving.confirm_records(MonoMs(0), Generation(1));
    leaving.observe(RemainingWork::default(), at(0));
    assert_eq!(leaving.check(at(0)), Ok(()));
    leaving
}

fn until(ms: u64) -> RecordStatus {
    RecordStatus::Serve { until: Some(UnixMs(WALL_AT_START + ms)) }
}

#[rstest]
#[case::signal(LeavingCause::Signal, |leaving: &mut Leaving| leaving.signal(at(10)))]
#[case::listed(LeavingCause::Listed, |leaving: &mut Leaving| leaving.set_listed(true, at(10)))]
#[case::drained(LeavingCause::Drained, |leaving: &mut Leaving| {
    leaving.set_records(RecordStatus::Drain, Generation(2), at(10));
})]
#[case::withdrawn(LeavingCause::Withdrawn, |leaving: &mut Leaving| {
    leaving.set_records(RecordStatus::Absent, Generation(2), at(10));
})]
#[case::loan_shortened(LeavingCause::LoanEnded, |leaving: &mut Leaving| {
    leaving.set_records(until(10), Generation(2), at(10));
})]
fn cause_is_final(#[case] cause: LeavingCause, #[case] leave: impl Fn(&mut Leaving)) {
    let mut leaving = ready(SERVE);
    leave(&mut leaving);
    assert_eq!(leaving.check(at(10)), Err(NotServing::Leaving(cause)));

    leaving.set_listed(false, at(20));
    leaving.set_records(SERVE, Generation(3), at(20));
    leaving.confirm_records(MonoMs(20), Generation(3));
    leaving.signal(at(20));
    leaving.observe(RemainingWork::default(), at(20));
    assert_eq!(leaving.check(at(20)), Err(NotServing::Leaving(cause)));
    assert_eq!(leaving.cause(), Some(cause));
}

#[test]
fn older_records_are_ignored() {
    let mut leaving = ready(SERVE);
    leaving.set_records(SERVE, Generation(5), at(10));
    leaving.set_records(RecordStatus::Drain, Generation(4), at(20));
    assert_eq!(leaving.cause(), None);
}

#[test]
fn drain_before_ready_clears_when_undone() {
    let mut leaving = Leaving::new(LeavingSettings::default(), at(0));
    leaving.set_records(RecordStatus::Drain, Generation(1), at(0));
    leaving.confirm_records(MonoMs(0), Generation(1));
    leaving.observe(RemainingWork::default(), at(0));
    let held = NotServing::OnHold(HoldReason::LeavingBeforeReady(LeavingCause::Drained));
    assert_eq!(leaving.check(at(0)), Err(held));

    leaving.set_records(SERVE, Generation(2), at(10));
    leaving.observe(RemainingWork::default(), at(10));
    assert_eq!(leaving.check(at(10)), Ok(()));
}

#[rstest]
#[case::before(998, true)]
#[case::within_uncertainty(1_000, false)]
fn loan_end_allows_for_uncertainty(#[case] now_ms: u64, #[case] admits: bool) {
    let mut leaving = ready(until(2_000));
    leaving.observe(RemainingWork::default(), at(500));
    assert_eq!(leaving.check(at(now_ms)).is_ok(), admits);
}

#[test]
fn loan_ends_although_wall_clock_is_set_back() {
    let mut leaving = ready(until(3_000));
    let set_back =
        |mono: u64| Clocks { mono: MonoMs(mono), wall: UnixMs(WALL_AT_START + mono - 900) };
    leaving.observe(BUSY, set_back(900));
    leaving.observe(BUSY, set_back(1_500));
    leaving.observe(BUSY, set_back(2_000));
    assert_eq!(leaving.cause(), Some(LeavingCause::LoanEnded));
}

#[test]
fn loan_ends_although_wall_clock_is_set_forward() {
    let mut leaving = ready(until(3_000));
    let set_forward =
        |mono: u64| Clocks { mono: MonoMs(mono), wall: UnixMs(WALL_AT_START + mono + 900) };
    leaving.observe(BUSY, set_forward(50));
    leaving.observe(BUSY, set_forward(1_000));
    assert_eq!(leaving.cause(), None);
    leaving.observe(BUSY, set_forward(1_100));
    assert_eq!(leaving.cause(), Some(LeavingCause::LoanEnded));
}

#[rstest]
#[case::process_stopped(at(5_000))]
#[case::vm_suspended(Clocks { mono: MonoMs(100), wall: UnixMs(WALL_AT_START + 5_000) })]
fn resumed_process_confirms_records_first(#[case] resumed: Clocks) {
    let mut leaving = ready(SERVE);
    let unchecked = Err(NotServing::OnHold(HoldReason::Unchecked));
    assert_eq!(leaving.check(resumed), unchecked, "before the first tick");
    leaving.observe(RemainingWork::default(), resumed);
    assert_eq!(leaving.check(resumed), unchecked, "after the first tick");

    leaving.confirm_records(MonoMs(50), Generation(1));
    assert_eq!(leaving.check(resumed), unchecked, "an answer to a request from before the stop");
    leaving.confirm_records(resumed.mono, Generation(2));
    assert_eq!(leaving.check(resumed), unchecked, "an answer with a newer generation");
    leaving.set_records(SERVE, Generation(2), resumed);
    leaving.confirm_records(resumed.mono, Generation(2));
    assert_eq!(leaving.check(resumed), Ok(()));
}

#[test]
fn stale_records_admit_nothing() {
    let lease_ms = LeavingSettings::default().records_lease_ms;
    let mut leaving = ready(SERVE);
    for now_ms in (0..=lease_ms + 500).step_by(500) {
        leaving.observe(RemainingWork::default(), at(now_ms));
    }
    assert!(leaving.check(at(lease_ms)).is_ok());
    let stale = Err(NotServing::OnHold(HoldReason::StaleRecords));
    assert_eq!(leaving.check(at(lease_ms + 1)), stale);
}

#[test]
fn phase_waits_for_work_and_offers_caches() {
    let offer_ms = LeavingSettings::default().cache_offer_ms;
    let mut leaving = ready(SERVE);
    assert_eq!(leaving.phase(at(0)), Phase::Staying);
    leaving.signal(at(10));
    leaving.observe(BUSY, at(10));
    assert_eq!(leaving.phase(at(1_000_000)), Phase::Draining);
    leaving.observe(RemainingWork { requests: 0, unacknowledged: 1 }, at(20));
    assert_eq!(leaving.phase(at(20)), Phase::Draining);
    leaving.observe(RemainingWork::default(), at(30));
    assert_eq!(leaving.phase(at(30)), Phase::OfferingCaches);
    assert_eq!(leaving.phase(at(30 + offer_ms)), Phase::Done);
}

#[test]
fn record_status_of_endpoint() {
    let endpoint = || EndpointBuilder::new("engine-1", "127.0.0.1:1".parse().unwrap());
    let lent = endpoint().with_loan_ends_at(UnixMs(7)).build();
    let drained = endpoint().with_draining(true).build();
    let status = RecordStatus::of_endpoint;
    assert_eq!(status(Some(&lent)), RecordStatus::Serve { until: Some(UnixMs(7)) });
    assert_eq!(status(Some(&drained)), RecordStatus::Drain);
    assert_eq!(status(None), RecordStatus::Absent);
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Tick,
    Stop { ms: u64 },
    List { leaving: bool },
    Publish { drain: bool, loan_ms: Option<u64> },
    Confirm,
    ConfirmLate,
    Signal,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        10 => Just(Event::Tick),
        2 => (1_001..60_000_u64).prop_map(|ms| Event::Stop { ms }),
        1 => prop::bool::weighted(0.2).prop_map(|leaving| Event::List { leaving }),
        2 => (prop::bool::weighted(0.1), prop::option::of(0..20_000_u64))
            .prop_map(|(drain, loan_ms)| Event::Publish { drain, loan_ms }),
        6 => Just(Event::Confirm),
        2 => Just(Event::ConfirmLate),
        1 => prop::bool::weighted(0.1)
            .prop_map(|signal| if signal { Event::Signal } else { Event::Tick }),
    ]
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(4), cases: 2_000, ..Config::default() })]

    /// Replays random events and compares each admission with a simple model of what it requires.
    #[test]
    fn admission_requires_every_check(events in prop::collection::vec(event(), 1..80)) {
        let settings = LeavingSettings::default();
        let mut leaving = Leaving::new(settings, at(0));
        let mut now_ms = 0;
        let mut generation = 0;
        let mut status = None;
        let mut listed = false;
        let mut resumed_ms = 0;
        let mut asked_ms = None;
        let mut left = false;
        for event in events {
            let before_ms = now_ms;
            now_ms += 400;
            match event {
                Event::Tick => {}
                Event::Stop { ms } => {
                    now_ms += ms;
                    resumed_ms = now_ms;
                }
                Event::List { leaving: is_leaving } => {
                    listed = is_leaving;
                    leaving.set_listed(is_leaving, at(now_ms));
                }
                Event::Publish { drain, loan_ms } => {
                    generation += 1;
                    let until = loan_ms.map(|ms| at(now_ms + ms).wall);
                    let fresh = if drain { RecordStatus::Drain } else { RecordStatus::Serve { until } };
                    status = Some(fresh);
                    leaving.set_records(fresh, Generation(generation), at(now_ms));
                }
                Event::Confirm => {
                    leaving.confirm_records(MonoMs(now_ms), Generation(generation));
                    asked_ms = status.map(|_| now_ms);
                }
                Event::ConfirmLate => {
                    leaving.confirm_records(MonoMs(before_ms), Generation(generation));
                    asked_ms = asked_ms.max(status.map(|_| before_ms));
                }
                Event::Signal => leaving.signal(at(now_ms)),
            }
            leaving.observe(RemainingWork::default(), at(now_ms));
            left |= leaving.cause().is_some();
            if leaving.check(at(now_ms)).is_err() {
                continue;
            }
            prop_assert!(!left, "admitted after it had left");
            prop_assert!(!listed, "admitted although listed as leaving");
            let asked_ms = asked_ms.expect("admitted without confirmed records");
            prop_assert!(asked_ms >= resumed_ms, "admitted with records confirmed before the stop");
            prop_assert!(now_ms - asked_ms <= settings.records_lease_ms);
            let Some(RecordStatus::Serve { until }) = status else {
                return Err(TestCaseError::fail("admitted although drained"));
            };
            let latest = at(now_ms).wall.plus_ms(settings.clock_uncertainty_ms);
            prop_assert!(until.is_none_or(|end| latest < end), "admitted past the loan's end");
        }
    }
}
