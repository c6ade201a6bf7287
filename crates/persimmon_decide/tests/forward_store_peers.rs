//! Exchange of records between gateways while some of them start and list the store.

use std::collections::BTreeMap;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{StoreChange, StoreRecord, StoreView};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: MonoMs = MonoMs(1);
/// Number of keys in the first page of a list.
const FIRST_PAGE: u8 = 6;
const KEYS: u8 = 12;

fn record(key: &str, revision: u64, is_written: bool) -> StoreRecord {
    let value = is_written.then(|| revision.to_le_bytes().to_vec());
    StoreRecord { key: key.into(), revision, value }
}

fn written(key: &str, revision: u64) -> StoreRecord {
    record(key, revision, true)
}

/// A gateway that has just listed the store updates one that still has a record removed before the
/// list.
#[test]
fn since_after_list_includes_earlier_removals() {
    let mut behind = StoreView::new();
    behind.apply(written("leaving", 10), NOW);
    behind.apply(written("stays", 153), NOW);
    let mut started = StoreView::new();
    started.apply_list(vec![written("new", 155), written("stays", 153)], 155, NOW);
    let changes = behind.apply_peer(started.since(153, NOW), NOW);
    assert!(changes.contains(&StoreChange::Removed("leaving".into())), "{changes:?}");
}

/// A later page of a list contains a change made after a removal on the first page.
#[test]
fn apply_list_later_page_does_not_hide_earlier_changes() {
    let mut view = StoreView::new();
    view.apply_list(vec![written("a", 10), written("z", 156)], 150, NOW);
    assert_eq!(view.revision(), 150);
    assert_eq!(view.apply(record("a", 154, false), NOW), [StoreChange::Removed("a".into())]);
}

/// A record was written and removed without the gateway that forwards the updates ever having it.
#[test]
fn since_forwards_removals_of_unknown_records() {
    let mut watcher = StoreView::new();
    let mut behind = StoreView::new();
    for view in [&mut watcher, &mut behind] {
        view.apply(written("a", 1), NOW);
        view.apply(written("short", 2), NOW);
    }
    let mut between = StoreView::new();
    between.apply(written("a", 1), NOW);
    watcher.apply(record("short", 3, false), NOW);
    between.apply_peer(watcher.since(1, NOW), NOW);
    let changes = behind.apply_peer(between.since(2, NOW), NOW);
    assert_eq!(changes, [StoreChange::Removed("short".into())]);
}

/// Guards against a late answer of the store that brings back a record which peers say was removed.
#[test]
fn apply_of_late_write_keeps_removal() {
    let (mut watcher, mut late) = (StoreView::new(), StoreView::new());
    watcher.apply(written("a", 1), NOW);
    watcher.apply(record("a", 2, false), NOW);
    watcher.apply(written("b", 3), NOW);
    late.apply_peer(watcher.since(0, NOW), NOW);
    assert_eq!(late.apply(written("a", 1), NOW), []);
    assert_eq!(late.since(0, NOW), watcher.since(0, NOW));
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Write(u8),
    Delete(u8),
    /// Starts a gateway, which lists the first page.
    Start(usize),
    /// Lists the second page; the gateway watches the store from then on.
    EndList(usize),
    /// Updates the second gateway from the first.
    CatchUp(usize, usize),
}

const GATEWAYS: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..KEYS).prop_map(Step::Write),
        4 => (0..KEYS).prop_map(Step::Delete),
        1 => (1..GATEWAYS).prop_map(Step::Start),
        1 => (1..GATEWAYS).prop_map(Step::EndList),
        3 => (0..GATEWAYS, 1..GATEWAYS).prop_map(|(from, to)| Step::CatchUp(from, to)),
    ]
}

fn key(number: u8) -> String {
    format!("key-{number:02}")
}

/// The store with its history, and the gateways, of which the first watches the store all the time.
struct Fleet {
    revision: u64,
    live: BTreeMap<u8, u64>,
    history: Vec<StoreRecord>,
    views: Vec<StoreView>,
    /// First pages of unfinished lists, with their revision.
    listing: Vec<Option<(Vec<StoreRecord>, u64)>>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            revision: 0,
            live: BTreeMap::new(),
            history: Vec::new(),
            views: (0..GATEWAYS).map(|_| StoreView::new()).collect(),
            listing: (0..GATEWAYS).map(|_| None).collect(),
        }
    }

    fn page(&self, keys: std::ops::Range<u8>) -> Vec<StoreRecord> {
        self.live.range(keys).map(|(it, revision)| written(&key(*it), *revision)).collect()
    }

    fn change(&mut self, number: u8, is_written: bool) {
        if !is_written && self.live.remove(&number).is_none() {
            return;
        }
        self.revision += 1;
        if is_written {
            self.live.insert(number, self.revision);
        }
        let record = record(&key(number), self.revision, is_written);
        self.history.push(record.clone());
        self.views[0].apply(record, NOW);
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Write(number) => self.change(number, true),
            Step::Delete(number) => self.change(number, false),
            Step::Start(gateway) => {
                self.views[gateway] = StoreView::new();
                self.listing[gateway] = Some((self.page(0..FIRST_PAGE), self.revision));
            }
            Step::EndList(gateway) => {
                let Some((mut records, as_of)) = self.listing[gateway].take() else { return };
                records.extend(self.page(FIRST_PAGE..KEYS));
                self.views[gateway].apply_list(records, as_of, NOW);
            }
            Step::CatchUp(from, to) => {
                let delta = self.views[from].since(self.views[to].revision(), NOW);
                self.views[to].apply_peer(delta, NOW);
            }
        }
    }

    /// Applies all changes since the gateway's revision, as a watch does.
    fn watch(&mut self, gateway: usize) {
        let known = self.views[gateway].revision();
        let missed = self.history.iter().filter(|it| it.revision > known);
        missed.cloned().for_each(|it| drop(self.views[gateway].apply(it, NOW)));
    }

    fn known(&self, gateway: usize) -> Vec<(String, u64)> {
        let delta = self.views[gateway].since(0, NOW);
        let live = delta.records.iter().filter(|it| it.value.is_some());
        live.map(|it| (it.key.to_string(), it.revision)).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17), cases: 4_000, ..ProptestConfig::default()
    })]

    /// Every gateway at the store's last revision has exactly the records of the store, wherever it
    /// got them from.
    #[test]
    fn since_any_source_matches_store(
        steps in proptest::collection::vec(step(), 0..80),
        watcher in 1..GATEWAYS,
    ) {
        let mut fleet = Fleet::new();
        steps.into_iter().for_each(|it| fleet.apply(it));
        fleet.watch(watcher);
        let expected: Vec<_> = fleet.live.iter().map(|(it, at)| (key(*it), *at)).collect();
        for gateway in 0..GATEWAYS {
            if fleet.views[gateway].revision() == fleet.revision {
                prop_assert_eq!(fleet.known(gateway), expected.clone(), "gateway {}", gateway);
            }
        }
    }
}
