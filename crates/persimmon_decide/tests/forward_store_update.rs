//! Updates of the records between gateways, with patches.

use std::collections::BTreeMap;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    RecordContent, StoreEra, StoreRecord, StoreUpdate, StoreView, UpdateError,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: MonoMs = MonoMs(1);

fn record(key: &str, revision: u64, bytes: usize) -> StoreRecord {
    StoreRecord {
        key: key.into(),
        revision,
        value: Some(vec![b'a' + (revision % 20) as u8; bytes]),
    }
}

/// Guards against whole sets after a list.
#[test]
fn update_after_list_has_the_size_of_the_change() {
    let mut view = StoreView::new();
    let set = |e: u64| vec![record("routes", 5, 400_000), record("servers/a", e, 200)];
    view.apply_list(set(6), 90, NOW);
    assert!(view.update_size(90) < 1_000);
    view.apply_list(set(95), 100, NOW);
    let update = view.update_since(90, NOW);
    assert!(!update.is_whole, "{} bytes for a change of 200", view.update_size(90));
}

/// Guards against whole sets that make their receivers send whole sets.
#[test]
fn update_after_whole_update_has_the_size_of_the_change() {
    let (mut source, mut next) = (StoreView::new(), StoreView::new());
    let set = |e: u64| vec![record("routes", 5, 400_000), record("servers/a", e, 200)];
    source.apply_list(set(6), 90, NOW);
    next.apply_update(source.update_since(0, NOW), NOW).unwrap();
    source.apply_list(set(95), 100, NOW);
    next.apply_update(source.update_since(90, NOW), NOW).unwrap();
    assert!(next.update_size(90) < 1_000, "{} bytes", next.update_size(90));
}

/// A gateway that was between the ends of a list may have a record whose removal the list doesn't show.
#[test]
fn update_into_a_gap_contains_all_records() {
    let write = |key: &str, revision| record(key, revision, 200);
    let remove = |key: &str, revision| StoreRecord { key: key.into(), revision, value: None };
    let (mut lister, mut follower) = (StoreView::new(), StoreView::new());
    for view in [&mut lister, &mut follower] {
        view.apply_list(vec![write("servers/a", 6)], 90, NOW);
    }
    follower.apply(write("servers/short", 92), NOW);
    lister.apply_list(vec![write("servers/a", 6)], 100, NOW);
    // The store had removed `short` at 95.
    assert!(lister.update_since(92, NOW).is_whole);
    // The receiver of an update passes on what it got, gaps included.
    let mut between = StoreView::new();
    between.apply_list(vec![write("servers/a", 6)], 90, NOW);
    between.apply_update(lister.update_since(90, NOW), NOW).unwrap();
    assert!(between.update_since(92, NOW).is_whole);
    assert!(between.since(92, NOW).is_whole && between.since(90, NOW).is_whole);
    follower.apply_update(between.update_since(92, NOW), NOW).unwrap();
    assert!(follower.since(0, NOW).records.iter().all(|it| &*it.key != "servers/short"));
    lister.apply(remove("servers/a", 101), NOW);
    assert!(!lister.update_since(100, NOW).is_whole);
}

/// Guards against a removal that is lost since an update starts before a gap in which its receiver is.
#[test]
fn update_over_a_gap_is_refused_inside_it() {
    let write = |key: &str, revision| record(key, revision, 200);
    let (mut lister, mut follower) = (StoreView::new(), StoreView::new());
    for view in [&mut lister, &mut follower] {
        view.apply_list(vec![write("servers/a", 6)], 100, NOW);
    }
    follower.apply(write("servers/short", 105), NOW);
    follower.apply(write("servers/b", 109), NOW);
    // The store removes `short` at 110.
    lister.apply_list(vec![write("servers/a", 6), write("servers/b", 109)], 110, NOW);
    let refused = follower.apply_update(lister.update_since(100, NOW), NOW);
    assert_eq!(refused, Err(UpdateError::Gap));
    follower.apply_update(lister.update_since(109, NOW), NOW).unwrap();
    assert!(follower.since(0, NOW).records.iter().all(|it| &*it.key != "servers/short"));
}

#[test]
fn update_inside_an_old_gap_contains_all_records() {
    let mut view = StoreView::new();
    view.apply_list(vec![record("servers/a", 6, 200)], 10, NOW);
    for list in 2..30 {
        view.apply_list(vec![record("servers/a", 6, 200)], list * 10, NOW);
    }
    for revision in 0..400 {
        let key = format!("servers/{revision}");
        view.apply(
            StoreRecord { key: key.as_str().into(), revision: 300 + revision, value: None },
            NOW,
        );
        assert!(view.update_since(25, NOW).is_whole);
    }
}

#[test]
fn update_of_earlier_era_contains_all_records() {
    let mut view = StoreView::new();
    view.apply_list(vec![record("servers/a", 6, 200)], 90, NOW);
    let restored = StoreEra(1).position(40);
    view.apply_list(vec![record("servers/a", StoreEra(1).position(6), 200)], restored, NOW);
    assert!(view.update_since(90, NOW).is_whole);
}

#[test]
fn update_with_gap_before_it_is_refused_and_changes_nothing() {
    let (mut source, mut behind) = (StoreView::new(), StoreView::new());
    source.apply_list(vec![record("servers/a", 6, 200)], 90, NOW);
    behind.apply_list(vec![record("servers/a", 6, 200)], 80, NOW);
    source.apply(record("servers/b", 91, 200), NOW);
    source.apply(record("servers/c", 92, 200), NOW);
    let update = source.update_since(91, NOW);
    assert_eq!(behind.apply_update(update, NOW), Err(UpdateError::Gap));
    assert_eq!((behind.revision(), behind.since(0, NOW).records.len()), (80, 1));
}

/// Guards against a search for common bytes, at each gateway, in values that have little in common.
#[test]
fn value_that_grows_many_times_is_sent_whole() {
    let write = |revision, bytes: usize| record("routes", revision, bytes);
    let (mut source, mut receiver) = (StoreView::new(), StoreView::new());
    for view in [&mut source, &mut receiver] {
        view.apply_list(vec![write(6, 4_000)], 90, NOW);
    }
    source.apply(write(91, 40_000), NOW);
    let update = source.update_since(90, NOW);
    assert!(matches!(update.records[0].content, RecordContent::Written(_)));
    receiver.apply_update(update, NOW).unwrap();
    assert_eq!(receiver.since(0, NOW).records, source.since(0, NOW).records);
}

#[test]
fn change_of_large_record_is_sent_as_patches() {
    let write = |revision, timeout: u64| {
        let text =
            (0..2_000).map(|it| format!("route {it} {};", if it == 9 { timeout } else { 5 }));
        let value = Some(text.collect::<String>().into_bytes());
        StoreRecord { key: "routes".into(), revision, value }
    };
    let (mut source, mut receiver) = (StoreView::new(), StoreView::new());
    for view in [&mut source, &mut receiver] {
        view.apply_list(vec![write(6, 5)], 90, NOW);
    }
    for revision in 91..=95 {
        source.apply(write(revision, revision), NOW);
    }
    assert!(source.update_size(90) < 1_000, "{} bytes", source.update_size(90));
    let update = source.update_since(90, NOW);
    assert!(matches!(&update.records[0].content, RecordContent::Patched(it) if it.len() == 5));
    receiver.apply_update(update, NOW).unwrap();
    assert_eq!(receiver.since(0, NOW).records, source.since(0, NOW).records);
    // The receiver passes the same patches on.
    assert_eq!(receiver.update_since(92, NOW).records, source.update_since(92, NOW).records);
    // A kept value is none that others have at this position.
    source.keep(&"routes".into(), write(95, 500).value);
    source.apply(write(96, 96), NOW);
    let refused = receiver.apply_update(source.update_since(95, NOW), NOW);
    assert!(matches!(refused, Err(UpdateError::Patch(_))));
    receiver.apply_update(source.values_since(95, NOW), NOW).unwrap();
    assert_eq!(receiver.since(0, NOW).records, source.since(0, NOW).records);
}

/// Values of a view, by key.
fn values(view: &StoreView) -> Vec<(String, u64, Option<Vec<u8>>)> {
    let records = view.since(0, NOW).records;
    let live = records.into_iter().filter(|it| it.value.is_some());
    live.map(|it| (it.key.to_string(), it.revision, it.value)).collect()
}

#[derive(Debug, Clone)]
enum Step {
    Write(u8, u16),
    Delete(u8),
    List,
    Restore,
    Keep(u8, u16),
    /// A notice or an answer from one view to another that starts at a base of `behind` positions.
    Send {
        from: u8,
        to: u8,
        behind: u8,
    },
    Restart(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..4_u8, 0..3_000_u16).prop_map(|(k, v)| Step::Write(k, v)),
        1 => (0..4_u8).prop_map(Step::Delete),
        1 => Just(Step::List),
        1 => Just(Step::Restore),
        1 => (0..4_u8, 0..3_000_u16).prop_map(|(k, v)| Step::Keep(k, v)),
        12 => (0..4_u8, 1..4_u8, 0..6_u8)
            .prop_map(|(from, to, behind)| Step::Send { from, to, behind }),
        1 => (1..4_u8).prop_map(Step::Restart),
    ]
}

fn value(seed: u16) -> Vec<u8> {
    let mut text: Vec<u8> = (0..6_000_u32).map(|it| (it * it % 251) as u8).collect();
    let at = usize::from(seed) % text.len();
    text.splice(at..at + 1, seed.to_le_bytes());
    text
}

fn exchange(from: &StoreView, to: &mut StoreView, base: u64) {
    let update: StoreUpdate = from.update_since(base, NOW);
    let before = (to.revision(), values(to));
    match to.apply_update(update, NOW) {
        Ok(_) => {}
        Err(err) => {
            assert_eq!((to.revision(), values(to)), before);
            if err != UpdateError::Gap {
                to.apply_update(from.values_since(to.revision(), NOW), NOW).unwrap();
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(44), cases: 400, ..ProptestConfig::default() })]
    #[test]
    fn views_agree_with_the_store(steps in prop::collection::vec(step(), 0..80)) {
            let mut views: Vec<StoreView> = (0..4).map(|_| StoreView::new()).collect();
        let (mut era, mut revision) = (StoreEra(0), 0_u64);
        let mut store = BTreeMap::<String, StoreRecord>::new();
        let mut is_kept = false;
        for step in steps {
            match step {
                Step::Write(key, seed) => {
                    revision += 1;
                    let key = format!("k{key}");
                    let position = era.position(revision);
                    let it = StoreRecord { key: (&*key).into(), revision: position, value: Some(value(seed)) };
                    store.insert(key, it.clone());
                    views[0].apply(it, NOW);
                }
                Step::Delete(key) => {
                    let key = format!("k{key}");
                    if store.remove(&key).is_some() {
                        revision += 1;
                        let it = StoreRecord { key: (&*key).into(), revision: era.position(revision), value: None };
                        views[0].apply(it, NOW);
                    }
                }
                Step::List => {
                    views[0].apply_list(store.values().cloned().collect(), era.position(revision), NOW);
                }
                Step::Restore => {
                    era = StoreEra(era.0 + 1);
                    revision = revision.saturating_sub(2).max(1);
                    for it in store.values_mut() {
                        it.revision = era.position(StoreEra::revision(it.revision).min(revision));
                    }
                    views[0].apply_list(store.values().cloned().collect(), era.position(revision), NOW);
                }
                Step::Keep(key, seed) => {
                    is_kept = true;
                    views[0].keep(&format!("k{key}").as_str().into(), Some(value(seed)));
                }
                Step::Send { from, to, behind } => {
                    let (from, to) = (usize::from(from), usize::from(to));
                    if from == to { continue; }
                    let base = views[to].revision().saturating_sub(u64::from(behind));
                    let mut target = std::mem::replace(&mut views[to], StoreView::new());
                    exchange(&views[from], &mut target, base);
                    views[to] = target;
                }
                Step::Restart(to) => views[usize::from(to)] = StoreView::new(),
            }
        }
        // Values that were kept differ between views until their records are written again.
        for key in (0..4).filter(|_| is_kept) {
            revision += 1;
            let it = StoreRecord { key: format!("k{key}").as_str().into(), revision: era.position(revision), value: Some(value(key)) };
            views[0].apply(it, NOW);
        }
        let first = values(&views[0]);
        for number in 1..4 {
            let mut target = std::mem::replace(&mut views[number], StoreView::new());
            let base = target.revision();
            exchange(&views[0], &mut target, base);
            if target.revision() == views[0].revision() {
                prop_assert_eq!(values(&target), first.clone());
            }
        }
    }
}
