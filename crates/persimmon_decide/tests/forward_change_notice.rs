//! Notices and updates from other gateways that are damaged or that no sound gateway sends.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    ChangeNotice, PatchError, RecordContent, RecordPatch, RecordUpdate, StoreRecord, StoreUpdate,
    StoreView, UpdateError, ValuePatch,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use serde::{Deserialize, Serialize};

/// First bytes of a notice.
const PREFIX: [u8; 10] = [0xfe; 10];
const LARGE: &str = "large";
const KEYS: [&str; 4] = [LARGE, "small", "removed", "new"];
/// Factor by which the values of a view may grow by one update, beside the update's own bytes.
const MAX_GROWTH: usize = 4;
const NOW: MonoMs = MonoMs(5_000);

/// A [`ValuePatch`] whose parts can be set. Both have the same encoding.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct OpenPatch {
    base: u64,
    result: u64,
    pieces: Vec<OpenPiece>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
enum OpenPiece {
    Copied { offset: u32, length: u32 },
    New(Vec<u8>),
}

fn hash(value: &[u8]) -> u64 {
    u64::from_le_bytes(blake3::hash(value).as_bytes()[..8].try_into().unwrap())
}

/// Returns a patch of `earlier` that copies it `copies` times.
fn copying(earlier: &[u8], copies: usize) -> ValuePatch {
    let length = u32::try_from(earlier.len()).unwrap();
    let pieces = vec![OpenPiece::Copied { offset: 0, length }; copies];
    let patch = OpenPatch { base: hash(earlier), result: hash(&earlier.repeat(copies)), pieces };
    postcard::from_bytes(&postcard::to_allocvec(&patch).unwrap()).unwrap()
}

fn large_value(seed: u8, bytes: usize) -> Vec<u8> {
    (0..bytes).map(|at| (at / 7 % 251) as u8 ^ (at % 13) as u8 ^ seed).collect()
}

fn record(key: &str, revision: u64, value: Option<Vec<u8>>) -> StoreRecord {
    StoreRecord { key: key.into(), revision, value }
}

/// Returns the view of a gateway with a large record, whose patches are stored, and a removed one.
fn view() -> StoreView {
    let mut view = StoreView::new();
    view.apply(record(LARGE, 1, Some(large_value(0, 4_000))), NOW);
    view.apply(record("small", 2, Some(b"{}".to_vec())), NOW);
    view.apply(record("removed", 3, Some(b"{}".to_vec())), NOW);
    view.apply(record("removed", 4, None), NOW);
    view.apply(record(LARGE, 5, Some(later_value())), NOW);
    view
}

fn later_value() -> Vec<u8> {
    let mut value = large_value(0, 4_000);
    value.splice(2_000..2_010, *b"a change");
    value
}

type Records = BTreeMap<Arc<str>, (u64, Vec<u8>)>;

fn records(view: &StoreView) -> Records {
    let records = view.since(0, NOW).records.into_iter();
    records.filter_map(|it| Some((it.key, (it.revision, it.value?)))).collect()
}

fn bytes(records: &Records) -> usize {
    records.values().map(|(_, value)| value.len()).sum()
}

/// Applies an update and checks what holds for any update.
fn apply_checked(view: &mut StoreView, update: &StoreUpdate) -> Result<(), TestCaseError> {
    let (position, before) = (view.revision(), records(view));
    let update_bytes = postcard::to_allocvec(update).unwrap().len();
    let applied = view.apply_update(update.clone(), NOW);
    let after = records(view);
    prop_assert!(view.revision() >= position, "{position} to {}", view.revision());
    if applied.is_err() {
        prop_assert_eq!(view.revision(), position);
        prop_assert_eq!(&after, &before);
    }
    for (key, (revision, _)) in &after {
        prop_assert!(before.get(key).is_none_or(|(known, _)| known <= revision), "{key}");
    }
    let bound = MAX_GROWTH * bytes(&before) + update_bytes;
    prop_assert!(bytes(&after) <= bound, "{} bytes, at most {bound}", bytes(&after));
    Ok(())
}

fn position() -> impl Strategy<Value = u64> {
    prop_oneof![6 => 0_u64..12, 1 => any::<u64>()]
}

fn piece() -> impl Strategy<Value = OpenPiece> {
    prop_oneof![
        (0_u32..4_100, 0_u32..4_100)
            .prop_map(|(offset, length)| OpenPiece::Copied { offset, length }),
        (any::<u32>(), any::<u32>())
            .prop_map(|(offset, length)| OpenPiece::Copied { offset, length }),
        prop::collection::vec(any::<u8>(), 0..40).prop_map(OpenPiece::New),
    ]
}

/// Patches that fit the view, those that copy its value many times, and arbitrary ones.
fn value_patch() -> impl Strategy<Value = ValuePatch> {
    let sound = prop::collection::vec(any::<u8>(), 0..200)
        .prop_map(|added| ValuePatch::between(&later_value(), &[later_value(), added].concat()));
    let open =
        (any::<u64>(), prop::collection::vec(piece(), 0..60)).prop_map(|(result, pieces)| {
            let patch = OpenPatch { base: hash(&later_value()), result, pieces };
            postcard::from_bytes(&postcard::to_allocvec(&patch).unwrap()).unwrap()
        });
    prop_oneof![sound, (0_usize..200).prop_map(|it| copying(&later_value(), it)), open]
}

fn content() -> impl Strategy<Value = RecordContent> {
    let patch = (position(), position(), value_patch()).prop_map(|(from, to, patch)| RecordPatch {
        from,
        to,
        patch,
    });
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..50).prop_map(RecordContent::Written),
        prop::collection::vec(patch, 0..4).prop_map(RecordContent::Patched),
        Just(RecordContent::Deleted),
    ]
}

fn update() -> impl Strategy<Value = StoreUpdate> {
    let key = || prop::sample::select(KEYS.to_vec()).prop_map(Arc::<str>::from);
    let record = (key(), position(), content()).prop_map(|(key, revision, content)| RecordUpdate {
        key,
        revision,
        content,
    });
    let records = prop::collection::vec(record, 0..8);
    let deferred = prop::collection::vec(key(), 0..3);
    let gaps = prop::collection::vec((position(), position()), 0..12);
    (position(), position(), any::<bool>(), any::<u64>(), deferred, records, gaps).prop_map(
        |(since, revision, is_whole, grace_ms, deferred, records, gaps)| StoreUpdate {
            since,
            revision,
            is_whole,
            grace_ms,
            deferred,
            records,
            gaps,
        },
    )
}

/// Returns the update that a sound gateway sends for one change to a gateway with [`view`].
fn sound_update() -> StoreUpdate {
    let mut sender = view();
    let mut value = later_value();
    value.extend_from_slice(b"another change");
    sender.apply(record(LARGE, 6, Some(value)), NOW);
    sender.update_since(5, NOW)
}

fn notice() -> ChangeNotice {
    let relay_to = (1..9).map(|it| IpAddr::from([10, 0, 0, it])).collect();
    ChangeNotice { position: 6, relay_to, update: Some(sound_update()) }
}

#[test]
fn damaged_notice_is_refused() {
    let bytes = notice().to_bytes().unwrap();
    assert_eq!(ChangeNotice::from_bytes(&bytes), Some(Ok(notice())));
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut damaged = bytes.clone();
            damaged[at] ^= 1 << bit;
            let decoded = ChangeNotice::from_bytes(&damaged);
            assert!(!matches!(decoded, Some(Ok(_))), "bit {bit} of byte {at}: {decoded:?}");
        }
    }
}

#[test]
fn truncated_or_longer_notice_is_refused() {
    let bytes = notice().to_bytes().unwrap();
    for length in PREFIX.len()..bytes.len() {
        assert!(matches!(ChangeNotice::from_bytes(&bytes[..length]), Some(Err(_))), "{length}");
    }
    let longer = [&bytes[..], b"x"].concat();
    assert!(matches!(ChangeNotice::from_bytes(&longer), Some(Err(_))));
}

fn update_of(revision: u64, patches: Vec<RecordPatch>) -> StoreUpdate {
    let content = RecordContent::Patched(patches);
    let records = vec![RecordUpdate { key: LARGE.into(), revision, content }];
    StoreUpdate {
        since: 5,
        revision,
        is_whole: false,
        grace_ms: 0,
        deferred: Vec::new(),
        records,
        gaps: Vec::new(),
    }
}

/// Returns patches, each of which copies the value before it a few times.
fn chain(copies: usize, length: usize) -> Vec<RecordPatch> {
    let mut value = later_value();
    let mut patches = Vec::new();
    for number in 0..length as u64 {
        let patch = copying(&value, copies);
        value = value.repeat(copies);
        patches.push(RecordPatch { from: 5 + number, to: 6 + number, patch });
    }
    patches
}

#[rstest]
#[case::one_patch(chain(200, 1))]
#[case::a_chain(chain(3, 6))]
fn patches_that_copy_much_are_refused(#[case] patches: Vec<RecordPatch>) {
    let mut view = view();
    let before = records(&view);
    let revision = patches.last().unwrap().to;
    let applied = view.apply_update(update_of(revision, patches), NOW);
    assert_eq!(applied.err(), Some(UpdateError::Patch(PatchError::TooLong)));
    assert_eq!((view.revision(), records(&view)), (5, before));
}

#[test]
fn record_that_is_patched_twice_is_refused() {
    let mut view = view();
    let mut update = sound_update();
    update.records = vec![update.records[0].clone(); 2];
    update.records[1].revision += 1;
    let applied = view.apply_update(update, NOW);
    assert_eq!(applied.err(), Some(UpdateError::WrongPatches));
    assert_eq!(view.revision(), 5);
}

#[rstest]
#[case::none(Vec::new())]
#[case::earlier_ones(chain(1, 1))]
fn patches_that_end_before_the_records_position_are_refused(#[case] patches: Vec<RecordPatch>) {
    let mut view = view();
    let before = records(&view);
    let applied = view.apply_update(update_of(8, patches), NOW);
    assert_eq!(applied.err(), Some(UpdateError::WrongPatches));
    assert_eq!((view.revision(), records(&view)), (5, before));
}

#[test]
fn sound_update_is_applied() {
    let mut view = view();
    view.apply_update(sound_update(), NOW).unwrap();
    assert_eq!(view.revision(), 6);
    assert!(records(&view)[LARGE].1.ends_with(b"another change"));
}

/// A configuration that doubles at each change, as when an operator copies its routes.
#[test]
fn values_that_grow_are_passed_on() {
    let (mut sender, mut receiver) = (view(), view());
    let mut value = later_value();
    for revision in 6..12 {
        value.extend_from_within(..);
        sender.apply(record(LARGE, revision, Some(value.clone())), NOW);
        receiver.apply_update(sender.update_since(revision - 1, NOW), NOW).unwrap();
        assert_eq!(records(&receiver), records(&sender));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(44), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_datagram_is_refused(rest in prop::collection::vec(any::<u8>(), 0..300)) {
        let bytes = [&PREFIX[..], &rest].concat();
        prop_assert!(matches!(ChangeNotice::from_bytes(&bytes), Some(Err(_))));
    }

    #[test]
    fn arbitrary_updates_never_put_the_view_back(updates in prop::collection::vec(update(), 1..6)) {
        let mut view = view();
        for update in &updates {
            apply_checked(&mut view, update)?;
        }
        // What it sends to others can be encoded and applied.
        let mut other = StoreView::new();
        apply_checked(&mut other, &view.update_since(0, NOW))?;
        prop_assert!(view.update_since(5, NOW).records.len() <= KEYS.len() + updates.len() * 8);
    }

    #[test]
    fn damaged_updates_never_put_the_view_back(
        damages in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
        cut in prop::option::weighted(0.2, any::<prop::sample::Index>()),
    ) {
        let mut bytes = postcard::to_allocvec(&sound_update()).unwrap();
        for (at, byte) in damages {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        if let Some(cut) = cut {
            bytes.truncate(cut.index(bytes.len()));
        }
        if let Ok(update) = postcard::from_bytes::<StoreUpdate>(&bytes) {
            apply_checked(&mut view(), &update)?;
        }
    }

    #[test]
    fn arbitrary_bytes_are_no_update_that_puts_the_view_back(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        if let Ok(update) = postcard::from_bytes::<StoreUpdate>(&bytes) {
            apply_checked(&mut view(), &update)?;
        }
    }
}
