//! Adoption: the version in force never decreases, and all processes converge on the same set.

use persimmon_decide::config::{Adoption, OfferResult, Source};
use persimmon_records::{Generation, RecordSet, SetVersion, WorkspaceBuilder};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const FAULT: &str = "workspace w: name is faulty; use letters";

/// Returns a set with one workspace.
fn set(generation: u64, name: &str) -> RecordSet {
    let workspaces = vec![WorkspaceBuilder::new(name).build()];
    RecordSet { generation: Generation(generation), workspaces, ..RecordSet::empty() }
}

fn version(generation: u64, name: &str) -> SetVersion {
    set(generation, name).version()
}

fn offer(adoption: &mut Adoption<&'static str>, set: &RecordSet) -> OfferResult {
    adoption.offer(Source::Platform, set.version(), || Ok(set.clone()))
}

#[test]
fn refused_set_keeps_last_good_one() {
    let mut adoption = Adoption::default();
    offer(&mut adoption, &set(3, "good"));
    let broken = version(4, "broken");
    assert_eq!(
        adoption.offer(Source::Platform, broken, || Err::<RecordSet, _>(FAULT)),
        OfferResult::Refused
    );
    assert_eq!(adoption.version(), Some(version(3, "good")));
    let refused = adoption.refused().unwrap();
    assert_eq!(refused.read_from, Source::Platform);
    assert!(refused.to_string().contains(FAULT), "{refused}");

    let peer = Source::Peer("router-1".into());
    let unread = || -> Result<RecordSet, _> { panic!("read a refused set again") };
    let again = adoption.offer(peer, broken, unread);
    assert_eq!(again, OfferResult::Refused);
    assert!(!adoption.wants(broken));
    assert!(adoption.wants(version(4, "mended")));

    offer(&mut adoption, &set(4, "mended"));
    assert!(adoption.refused().is_none());
}

#[test]
fn known_and_older_sets_are_not_read() {
    let mut adoption = Adoption::default();
    offer(&mut adoption, &set(3, "good"));
    let mut unread = |version| {
        let read = || -> Result<RecordSet, _> { panic!("read a set that can't be adopted") };
        adoption.offer(Source::Platform, version, read)
    };
    assert_eq!(unread(version(3, "good")), OfferResult::Known);
    assert_eq!(unread(version(2, "old")), OfferResult::Older);
}

#[test]
fn offer_under_wrong_version_is_not_adopted() {
    let mut adoption = Adoption::default();
    offer(&mut adoption, &set(3, "good"));
    let verdict = adoption.offer(Source::Platform, version(9, "x"), || Ok(set(2, "old")));
    assert_eq!(verdict, OfferResult::Older);
    assert_eq!(adoption.version(), Some(version(3, "good")));
}

#[test]
fn conflict_is_reported_until_higher_generation() {
    let (ours, theirs) = (version(3, "ours"), version(3, "theirs"));
    let mut adoption = Adoption::default();
    offer(&mut adoption, &set(3, "ours"));
    assert_eq!(adoption.conflict(), None);
    adoption.note_version(theirs);
    let conflict = adoption.conflict().expect("two sets of one generation");
    assert_eq!((conflict.kept, conflict.dropped), (ours.max(theirs), ours.min(theirs)));
    assert!(conflict.to_string().contains("under a higher generation"));

    offer(&mut adoption, &set(3, "theirs"));
    assert!(adoption.conflict().is_some(), "both sets are read, the conflict stays");
    offer(&mut adoption, &set(4, "merged"));
    assert_eq!(adoption.conflict(), None);
}

/// Generates a published set, and whether it is free of faults.
fn published() -> impl Strategy<Value = (RecordSet, bool)> {
    let set =
        (1..6_u64, 0..4_u32).prop_map(|(generation, name)| set(generation, &name.to_string()));
    (set, prop::bool::weighted(0.9))
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(5), cases: 1_000, ..Config::default() })]

    /// Several processes read the same sets in different orders, including stale ones.
    #[test]
    fn processes_converge_on_same_published_set(
        published in prop::collection::vec(published(), 1..12),
        orders in prop::collection::vec(prop::collection::vec(any::<prop::sample::Index>(), 0..40), 2..5),
    ) {
        let mut faulty: Vec<_> =
            published.iter().filter(|(_, good)| !good).map(|(set, _)| set.version()).collect();
        faulty.sort_unstable();
        let is_good = |set: &RecordSet| !faulty.contains(&set.version());
        let sets: Vec<_> = published.into_iter().map(|(set, _)| set).collect();
        let good: Vec<_> =
            sets.iter().filter(|set| is_good(set)).map(RecordSet::version).collect();
        let winner = good.iter().max().copied();
        for order in orders {
            let mut adoption = Adoption::<&str>::default();
            let offered = order.iter().map(|index| index.get(&sets)).chain(&sets);
            for set in offered {
                let before = adoption.version();
                let read = || if is_good(set) { Ok(set.clone()) } else { Err(FAULT) };
                let verdict = adoption.offer(Source::Platform, set.version(), read);
                prop_assert!(adoption.version() >= before, "version decreased from {before:?}");
                prop_assert_eq!(verdict == OfferResult::Adopted, adoption.version() > before);
                if let Some(in_force) = adoption.in_force() {
                    prop_assert_eq!(in_force.version, in_force.set.version());
                    prop_assert!(sets.contains(in_force.set.set()), "mixed from several sets");
                }
            }
            prop_assert_eq!(adoption.version(), winner);
            let has_rival = winner.is_some_and(|won| good.iter().any(|other| won.conflicts_with(other)));
            prop_assert!(!has_rival || adoption.conflict().is_some());
        }
    }
}
