//! A store that comes back from an older copy and gives out revisions again.

use std::collections::BTreeMap;
use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{Endpoint, StoreChange, StoreEra, StoreRecord, StoreView};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const FIRST: StoreEra = StoreEra(0);
const SECOND: StoreEra = StoreEra(1);

fn record(key: &str, era: StoreEra, revision: u64, value: u64) -> StoreRecord {
    let value = Some(value.to_le_bytes().to_vec());
    StoreRecord { key: key.into(), revision: era.position(revision), value }
}

#[test]
fn position_of_a_later_era_is_later_whatever_its_revision() {
    assert!(SECOND.position(1) > FIRST.position(1_000_000_000));
    assert_eq!(StoreEra::of(SECOND.position(7)), SECOND);
    assert_eq!(StoreEra::revision(SECOND.position(7)), 7);
    assert_eq!(FIRST.position(7), 7);
    let huge = StoreEra(u64::MAX).position(u64::MAX);
    assert!(huge >= StoreEra(u64::MAX).position(0));
}

#[test]
fn apply_list_of_a_later_era_names_what_was_known() {
    let mut view = StoreView::new();
    view.apply(record("a", FIRST, 8, 2), MonoMs(0));
    view.apply(record("b", FIRST, 9, 5), MonoMs(0));
    let restored = vec![record("a", SECOND, 3, 1), record("b", SECOND, 4, 5)];
    let changes = view.apply_list(restored, SECOND.position(4), MonoMs(100));
    let expected = StoreChange::Restored {
        record: record("a", SECOND, 3, 1),
        known: record("a", FIRST, 8, 2),
    };
    assert_eq!(changes, [expected], "an equal value is no change");
    // What is kept goes to peers, with a position that they accept.
    view.keep(&"a".into(), record("a", FIRST, 8, 2).value);
    let delta = view.since(FIRST.position(9), MonoMs(200));
    assert!(delta.records.contains(&record("a", SECOND, 3, 2)), "{delta:?}");
}

#[test]
fn apply_list_of_a_later_era_defers_removals() {
    let mut view = StoreView::new();
    view.apply(record("lost", FIRST, 9, 5), MonoMs(0));
    assert!(view.apply_list(Vec::new(), SECOND.position(4), MonoMs(100)).is_empty());
    assert!(view.is_settling(MonoMs(200)));
    let removed = view.expire(MonoMs(100 + StoreView::RECONNECT_GRACE_MS));
    assert_eq!(removed, [StoreChange::Removed("lost".into())]);
}

#[test]
fn apply_list_of_an_earlier_era_changes_nothing() {
    let mut view = StoreView::new();
    view.apply_list(vec![record("a", SECOND, 3, 1)], SECOND.position(3), MonoMs(0));
    let late = vec![record("a", FIRST, 90, 7), record("b", FIRST, 91, 7)];
    assert!(view.apply_list(late, FIRST.position(91), MonoMs(10)).is_empty());
    assert!(view.apply(record("a", FIRST, 92, 8), MonoMs(10)).is_empty());
    assert_eq!(view.revision(), SECOND.position(3));
}

#[rstest]
#[case::earlier_record(Some(10), Some(4), Some(10), Some(5), true)]
#[case::same_record(Some(10), Some(5), Some(10), Some(5), false)]
#[case::later_record(Some(10), Some(6), Some(10), Some(5), false)]
#[case::earlier_start(Some(9), Some(99), Some(10), Some(5), true)]
#[case::later_start(Some(11), Some(1), Some(10), Some(5), false)]
#[case::start_unknown(None, Some(4), None, Some(5), false)]
#[case::sequence_unknown(Some(10), None, Some(10), Some(5), false)]
fn is_older_than_compares_records_of_an_endpoint(
    #[case] started: Option<u64>,
    #[case] sequence: Option<u64>,
    #[case] other_started: Option<u64>,
    #[case] other_sequence: Option<u64>,
    #[case] expected: bool,
) {
    let endpoint = |started, sequence| {
        let address = ([10, 0, 0, 1], 80).into();
        Endpoint::new("one", started, "service".into(), address).with_sequence(sequence)
    };
    let (one, other) = (endpoint(started, sequence), endpoint(other_started, other_sequence));
    assert_eq!(one.is_older_than(&other), expected);
}

/// One step of a schedule.
#[derive(Debug, Clone)]
enum Step {
    /// The operator writes the next version of a key.
    Write(usize),
    /// The store keeps a copy of what it holds.
    Copy,
    /// The store comes back from the copy; the operator later writes the lost versions again.
    Restore,
    /// The operator writes the versions again that the store has lost.
    Rewrite,
    /// A gateway lists the store.
    List(usize),
    /// A gateway lists the store, and gets the answer only at its next `Late`.
    Ask(usize),
    /// A gateway gets the answer to an earlier list.
    Late(usize),
    /// A gateway gets what another one has.
    Fetch(usize, usize),
    /// A gateway starts again, knowing nothing.
    Restart(usize),
}

const KEYS: [&str; 2] = ["records/a", "records/b"];

fn step(gateways: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..KEYS.len()).prop_map(Step::Write),
        1 => Just(Step::Copy),
        1 => Just(Step::Restore),
        2 => Just(Step::Rewrite),
        4 => (0..gateways).prop_map(Step::List),
        1 => (0..gateways).prop_map(Step::Ask),
        2 => (0..gateways).prop_map(Step::Late),
        4 => (0..gateways, 0..gateways).prop_map(|(from, to)| Step::Fetch(from, to)),
        1 => (0..gateways).prop_map(Step::Restart),
    ]
}

type Items = BTreeMap<&'static str, (u64, u64)>;
type Listed = (Vec<StoreRecord>, u64);

/// A gateway that keeps a later version in force, as `Control` does.
#[derive(Debug, Default)]
struct Gateway {
    view: StoreView,
    in_force: BTreeMap<Arc<str>, u64>,
    asked: Option<Listed>,
}

fn version(value: Option<&[u8]>) -> u64 {
    value.and_then(|it| it.try_into().ok()).map_or(0, u64::from_le_bytes)
}

impl Gateway {
    fn apply(&mut self, changes: Vec<StoreChange>) {
        for change in changes {
            let record = match &change {
                StoreChange::Written(record) | StoreChange::Restored { record, .. } => record,
                StoreChange::Removed(key) => {
                    let value = self.in_force.get(key).map(|it| it.to_le_bytes().to_vec());
                    self.view.keep(key, value);
                    continue;
                }
            };
            let new = version(record.value.as_deref());
            let in_force = self.in_force.entry(record.key.clone()).or_default();
            if new >= *in_force {
                *in_force = new;
            } else if let StoreChange::Restored { record, known } = change {
                self.view.keep(&record.key, known.value);
            }
        }
    }
}

impl Gateway {
    /// Adopts later versions of a peer, whatever their positions.
    fn adopt(&mut self, records: Vec<StoreRecord>) {
        for record in records {
            let later = version(record.value.as_deref());
            let in_force = self.in_force.entry(record.key.clone()).or_default();
            if later > *in_force {
                *in_force = later;
                self.view.keep(&record.key, record.value);
            }
        }
    }
}

#[derive(Debug)]
struct Fleet {
    now: MonoMs,
    era: StoreEra,
    revision: u64,
    items: Items,
    copy: (u64, Items),
    written: [u64; KEYS.len()],
    gateways: Vec<Gateway>,
}

impl Fleet {
    fn list(&self) -> Listed {
        let records = self.items.iter();
        let record = |(key, (revision, value)): (&&str, &(u64, u64))| {
            record(key, self.era, *revision, *value)
        };
        (records.map(record).collect(), self.era.position(self.revision))
    }

    fn write(&mut self, key: usize) {
        self.revision += 1;
        self.items.insert(KEYS[key], (self.revision, self.written[key]));
    }

    fn play(&mut self, step: &Step) {
        self.now = self.now.plus_ms(2_000);
        let now = self.now;
        for gateway in &mut self.gateways {
            let due = gateway.view.expire(now);
            gateway.apply(due);
        }
        match step {
            Step::Write(key) => {
                self.written[*key] += 1;
                self.write(*key);
            }
            Step::Copy => self.copy = (self.revision, self.items.clone()),
            Step::Restore => {
                (self.revision, self.items) = self.copy.clone();
                self.era.0 += 1;
            }
            Step::Rewrite => (0..KEYS.len()).filter(|it| self.written[*it] > 0).for_each(|it| {
                self.revision += 1;
                self.items.insert(KEYS[it], (self.revision, self.written[it]));
            }),
            Step::List(gateway) => {
                let (records, as_of) = self.list();
                let gateway = &mut self.gateways[*gateway];
                let changes = gateway.view.apply_list(records, as_of, now);
                gateway.apply(changes);
            }
            Step::Ask(gateway) => self.gateways[*gateway].asked = Some(self.list()),
            Step::Late(gateway) => {
                let gateway = &mut self.gateways[*gateway];
                let Some((records, as_of)) = gateway.asked.take() else { return };
                let changes = gateway.view.apply_list(records, as_of, now);
                gateway.apply(changes);
            }
            Step::Fetch(from, to) => {
                let known = self.gateways[*to].view.revision();
                let delta = self.gateways[*from].view.since(known, now);
                let gateway = &mut self.gateways[*to];
                let changes = gateway.view.apply_peer(delta, now);
                gateway.apply(changes);
                let whole = self.gateways[*from].view.since(0, now);
                self.gateways[*to].adopt(whole.records);
            }
            Step::Restart(gateway) => self.gateways[*gateway] = Gateway::default(),
        }
    }

    /// Checks that no gateway has returned to an earlier version, and that one that knew nothing has got
    /// what the other one has in force.
    fn check(&self, step: &Step, before: &[BTreeMap<Arc<str>, u64>]) -> Result<(), TestCaseError> {
        for (number, (gateway, before)) in self.gateways.iter().zip(before).enumerate() {
            let is_restarted = matches!(step, Step::Restart(it) if *it == number);
            for (key, version) in before.iter().filter(|_| !is_restarted) {
                prop_assert!(gateway.in_force[key] >= *version, "{key} reverted by {step:?}");
            }
        }
        if let Step::Fetch(from, to) = step
            && before[*to].is_empty()
        {
            for (key, version) in &self.gateways[*from].in_force {
                let got = self.gateways[*to].in_force.get(key).copied().unwrap_or_default();
                prop_assert!(got >= *version, "{key}: got {got} of {version}");
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(18), cases: 4_000, ..ProptestConfig::default() })]

    /// A gateway never returns to an earlier version, and all have the latest ones once the operator has
    /// written them again and all have listed the store.
    #[test]
    fn restored_store_reverts_nothing(
        steps in (3..=6_usize).prop_flat_map(|gateways| {
            (Just(gateways), proptest::collection::vec(step(gateways), 1..60))
        }),
    ) {
        let (gateways, steps) = steps;
        let mut fleet = Fleet {
            now: MonoMs(0),
            era: FIRST,
            revision: 1,
            items: Items::new(),
            copy: (1, Items::new()),
            written: [0; KEYS.len()],
            gateways: (0..gateways).map(|_| Gateway::default()).collect(),
        };
        for step in &steps {
            let before: Vec<_> = fleet.gateways.iter().map(|it| it.in_force.clone()).collect();
            fleet.play(step);
            fleet.check(step, &before)?;
        }
        fleet.play(&Step::Rewrite);
        // One gateway lists the store, and all others learn from it.
        fleet.play(&Step::List(0));
        (1..gateways).for_each(|to| fleet.play(&Step::Fetch(0, to)));
        for gateway in &fleet.gateways {
            for (key, written) in KEYS.iter().zip(fleet.written) {
                let known = gateway.in_force.get(*key).copied().unwrap_or_default();
                prop_assert_eq!(known, written, "{} of {:?}", key, gateway);
            }
        }
    }
}
