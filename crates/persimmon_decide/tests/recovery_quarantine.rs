//! Quarantine: verdicts on suspect requests, merging of marks, and exclusive runs.

use persimmon_decide::membership::NodeId;
use persimmon_decide::recovery::{
    Probation, ProbationRefusal, ProbationStep, Quarantine, QuarantineRefusal, QuarantineSettings,
    RunMode, SuspectMark, Suspicion, Verdict,
};
use persimmon_decide::{Fingerprint, MonoMs};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

const SPREAD_MS: u64 = 15_000;
const REQUEST: Fingerprint = Fingerprint(7);

fn quarantine() -> Quarantine {
    Quarantine::new(QuarantineSettings::default())
}

fn crashed_at(sites: &[u64]) -> Quarantine {
    let mut quarantine = quarantine();
    sites.iter().for_each(|site| quarantine.record_crash([REQUEST], NodeId(*site), MonoMs(0)));
    quarantine
}

#[test]
fn suspect_is_refused_until_mark_has_spread() {
    let quarantine = crashed_at(&[1]);
    let refused = quarantine.check(REQUEST, MonoMs(SPREAD_MS - 1)).unwrap_err();
    assert_eq!(refused, QuarantineRefusal::TooSoon { retry_after_s: 1 });
    let alone = RunMode::Alone { crashed: NodeId(1) };
    assert_eq!(quarantine.check(REQUEST, MonoMs(SPREAD_MS)), Ok(alone));
    assert_eq!(quarantine.check(Fingerprint(8), MonoMs(0)), Ok(RunMode::Shared));
}

#[rstest]
#[case::one_endpoint_twice(&[1, 1], false)]
#[case::two_endpoints(&[1, 2], true)]
fn different_endpoints_quarantine(#[case] sites: &[u64], #[case] expected: bool) {
    let quarantine = crashed_at(sites);
    assert_eq!(quarantine.quarantined().count() == 1, expected);
    let refused = quarantine.check(REQUEST, MonoMs(SPREAD_MS));
    assert_eq!(matches!(refused, Err(QuarantineRefusal::Quarantined { .. })), expected);
}

#[test]
fn quarantine_expires() {
    let mut quarantine = crashed_at(&[1, 2]);
    let end = MonoMs(u64::from(QuarantineSettings::default().quarantine_s) * 1_000);
    assert!(quarantine.check(REQUEST, MonoMs(end.0 - 1)).is_err());
    assert_eq!(quarantine.check(REQUEST, end), Ok(RunMode::Shared));
    quarantine.expire(end);
    assert!(quarantine.marks(9, end).is_empty());
}

#[test]
fn clean_run_clears_and_a_later_crash_starts_over() {
    let mut quarantine = crashed_at(&[1]);
    quarantine.record_clean_run(REQUEST, MonoMs(SPREAD_MS));
    assert_eq!(quarantine.check(REQUEST, MonoMs(SPREAD_MS)), Ok(RunMode::Shared));
    let late = SuspectMark { ttl_s: 600, ..crashed_at(&[1]).mark(REQUEST, MonoMs(0)).unwrap() };
    quarantine.merge_mark(&late, MonoMs(SPREAD_MS));
    assert_eq!(quarantine.check(REQUEST, MonoMs(SPREAD_MS)), Ok(RunMode::Shared), "a late mark");
    quarantine.record_crash([REQUEST], NodeId(2), MonoMs(SPREAD_MS));
    let refused = quarantine.check(REQUEST, MonoMs(SPREAD_MS));
    assert!(matches!(refused, Err(QuarantineRefusal::TooSoon { .. })), "{refused:?}");
}

#[test]
fn marks_are_bounded_and_keep_quarantined_ones() {
    let settings = QuarantineSettings::default().with_quarantine_s(60);
    let mut quarantine = Quarantine::new(settings);
    for site in [1, 2] {
        quarantine.record_crash([REQUEST], NodeId(site), MonoMs(0));
    }
    for request in 100..2_000 {
        quarantine.record_crash([Fingerprint(request)], NodeId(1), MonoMs(request));
    }
    assert_eq!(quarantine.marks(usize::MAX, MonoMs(2_000)).len(), Quarantine::MAX_FINGERPRINTS);
    assert_eq!(quarantine.quarantined().collect::<Vec<_>>(), [REQUEST]);
}

#[test]
fn routers_agree_on_probation_endpoint() {
    let nodes = (0..20).map(NodeId);
    let chosen = Quarantine::probation_endpoint(REQUEST, NodeId(3), nodes.clone());
    let reversed = Quarantine::probation_endpoint(REQUEST, NodeId(3), nodes.clone().rev());
    assert_eq!(chosen, reversed);
    let avoids = |crashed| Quarantine::probation_endpoint(REQUEST, crashed, nodes.clone());
    assert_ne!(avoids(chosen.unwrap()), chosen);
    assert_eq!(Quarantine::probation_endpoint(REQUEST, NodeId(1), [NodeId(1)]), None);
}

#[test]
fn probation_runs_one_suspect_alone() {
    let mut probation = Probation::default();
    let (first, second) = (Fingerprint(1), Fingerprint(2));
    assert_eq!(probation.reserve(first, 1, MonoMs(0)), Ok(ProbationStep::Wait));
    assert_eq!(probation.reserve(second, 0, MonoMs(0)), Err(ProbationRefusal::AlreadyReserved));
    assert_eq!(probation.check_regular(), Err(ProbationRefusal::Reserved));
    assert_eq!(probation.reserve(first, 0, MonoMs(1)), Ok(ProbationStep::Run));
    assert_eq!(
        probation.reserve(first, 0, MonoMs(2)),
        Err(ProbationRefusal::AlreadyReserved),
        "a second copy"
    );
    probation.release(second);
    assert!(probation.check_regular().is_err());
    probation.release(first);
    assert_eq!(probation.check_regular(), Ok(()));
}

#[test]
fn probation_gives_up_on_a_busy_endpoint() {
    let mut probation = Probation::default();
    let wait_ms = Probation::MAX_WAIT_MS;
    assert_eq!(probation.reserve(REQUEST, 1, MonoMs(0)), Ok(ProbationStep::Wait));
    assert_eq!(probation.reserve(REQUEST, 1, MonoMs(wait_ms)), Err(ProbationRefusal::NotIdle));
    assert_eq!(probation.check_regular(), Ok(()));
}

fn mark() -> impl Strategy<Value = SuspectMark> {
    let open = (0..3_u8, any::<bool>()).prop_map(|(round, cleared)| {
        let suspicion = if cleared { Suspicion::Cleared } else { Suspicion::Suspect };
        Verdict::Open { round, suspicion }
    });
    let verdict = prop_oneof![6 => open, 1 => Just(Verdict::Quarantined)];
    (verdict, 1..4_u64).prop_map(|(verdict, site)| SuspectMark {
        fingerprint: REQUEST,
        site: NodeId(site),
        verdict,
        ttl_s: 600,
    })
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(7), cases: 1_000, ..Config::default() })]

    /// Processes that receive different marks, and then exchange theirs, reach the same verdict.
    #[test]
    fn processes_agree_after_exchange(
        first in prop::collection::vec(mark(), 1..6),
        second in prop::collection::vec(mark(), 1..6),
    ) {
        let now = MonoMs(0);
        let (mut one, mut other) = (quarantine(), quarantine());
        first.iter().for_each(|mark| one.merge_mark(mark, now));
        second.iter().for_each(|mark| other.merge_mark(mark, now));
        for _ in 0..2 {
            one.marks(9, now).iter().for_each(|mark| other.merge_mark(mark, now));
            other.marks(9, now).iter().for_each(|mark| one.merge_mark(mark, now));
        }
        let verdict = |quarantine: &Quarantine| quarantine.mark(REQUEST, now).unwrap().verdict;
        prop_assert_eq!(verdict(&one), verdict(&other));
    }
}
