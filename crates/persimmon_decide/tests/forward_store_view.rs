//! A gateway's view of the platform's records.

use std::collections::BTreeMap;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{StoreChange, StoreRecord, StoreView};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn written(key: &str, revision: u64) -> StoreRecord {
    StoreRecord { key: key.into(), revision, value: Some(revision.to_le_bytes().to_vec()) }
}

fn deleted(key: &str, revision: u64) -> StoreRecord {
    StoreRecord { key: key.into(), revision, value: None }
}

fn keys(view: &StoreView) -> Vec<(String, u64)> {
    let delta = view.since(0, MonoMs(0));
    let live = delta.records.iter().filter(|it| it.value.is_some());
    live.map(|it| (it.key.to_string(), it.revision)).collect()
}

#[test]
fn apply_older_revision_changes_nothing() {
    let mut view = StoreView::new();
    assert_eq!(view.apply(written("a", 5), MonoMs(0)).len(), 1);
    assert!(view.apply(written("a", 4), MonoMs(0)).is_empty());
    assert!(view.apply(deleted("a", 5), MonoMs(0)).is_empty());
    assert_eq!(keys(&view), [("a".to_owned(), 5)]);
}

#[test]
fn apply_list_missing_record_is_removed() {
    let mut view = StoreView::new();
    view.apply(written("a", 1), MonoMs(0));
    let changes = view.apply_list(vec![written("b", 2)], 3, MonoMs(0));
    assert!(changes.contains(&StoreChange::Removed("a".into())));
    assert_eq!(keys(&view), [("b".to_owned(), 2)]);
}

#[test]
fn apply_list_retains_record_newer_than_first_page() {
    let mut view = StoreView::new();
    // The watch of an earlier connection delivered a change after the first page was read.
    view.apply(written("a", 9), MonoMs(0));
    view.apply_list(Vec::new(), 7, MonoMs(0));
    assert_eq!(keys(&view), [("a".to_owned(), 9)]);
}

#[rstest]
#[case::returned_in_time(Some(1_500), true)]
#[case::never_returned(None, false)]
fn record_reconnect_defers_removals(#[case] returns_at: Option<u64>, #[case] stays: bool) {
    let mut view = StoreView::new();
    view.apply(written("a", 1), MonoMs(0));
    view.record_reconnect(MonoMs(5_000), MonoMs(10_000));
    assert!(view.apply(deleted("a", 2), MonoMs(10_000)).is_empty());
    assert!(view.expire(MonoMs(11_650)).is_empty());
    if let Some(ms) = returns_at {
        view.apply(written("a", 3), MonoMs(10_000 + ms));
    }
    let removed = view.expire(MonoMs(10_000 + StoreView::RECONNECT_GRACE_MS));
    assert_eq!(removed.is_empty(), stays);
}

#[test]
fn apply_deletion_without_outage_is_immediate() {
    let mut view = StoreView::new();
    view.apply(written("a", 1), MonoMs(0));
    let changes = view.apply(deleted("a", 2), MonoMs(10));
    assert_eq!(changes, [StoreChange::Removed("a".into())]);
}

#[test]
fn since_passes_remaining_grace_period_to_peer() {
    let mut view = StoreView::new();
    view.apply(written("a", 1), MonoMs(0));
    let mut peer = StoreView::new();
    peer.apply_peer(view.since(0, MonoMs(0)), MonoMs(50_000));
    view.record_reconnect(MonoMs(0), MonoMs(1_000));
    view.apply(deleted("a", 2), MonoMs(1_500));
    // The peer's clock has another origin; 1,200 ms of the grace period are left.
    let delta = view.since(peer.revision(), MonoMs(1_500));
    assert!(peer.apply_peer(delta, MonoMs(60_000)).is_empty());
    assert!(peer.expire(MonoMs(61_100)).is_empty());
    assert_eq!(peer.expire(MonoMs(61_200)), [StoreChange::Removed("a".into())]);
}

#[test]
fn since_far_behind_returns_all_records() {
    let mut view = StoreView::new();
    let mut revision = 0;
    for number in 0..400 {
        let key = format!("key-{number}");
        view.apply(written(&key, revision + 1), MonoMs(0));
        view.apply(deleted(&key, revision + 2), MonoMs(0));
        revision += 2;
    }
    view.apply(written("left", revision + 1), MonoMs(0));
    let delta = view.since(1, MonoMs(0));
    assert!(delta.is_whole);
    assert_eq!(delta.records.len(), 1);
    assert!(!view.since(revision, MonoMs(0)).is_whole);
}

#[derive(Debug, Clone)]
enum Step {
    Write(u8),
    Delete(u8),
    /// Updates the second gateway from the first.
    CatchUp,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..12_u8).prop_map(Step::Write),
        2 => (0..12_u8).prop_map(Step::Delete),
        1 => Just(Step::CatchUp),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// A gateway that gets updates only from a peer ends with the records of the store, whenever it
    /// catches up.
    #[test]
    fn since_any_history_matches_store(steps in proptest::collection::vec(step(), 0..120)) {
        let mut store = BTreeMap::new();
        let (mut watcher, mut follower) = (StoreView::new(), StoreView::new());
        let now = MonoMs(1);
        let mut revision = 0;
        for step in steps.into_iter().chain([Step::CatchUp]) {
            revision += 1;
            match step {
                Step::Write(number) => {
                    let key = format!("key-{number}");
                    watcher.apply(written(&key, revision), now);
                    store.insert(key, revision);
                }
                Step::Delete(number) => {
                    let key = format!("key-{number}");
                    if store.remove(&key).is_some() {
                        watcher.apply(deleted(&key, revision), now);
                    }
                }
                Step::CatchUp => {
                    follower.apply_peer(watcher.since(follower.revision(), now), now);
                }
            }
        }
        let expected: Vec<_> = store.into_iter().collect();
        prop_assert_eq!(keys(&follower), expected);
    }

    /// Changes that arrive in any order, some of them twice, leave each record at its last
    /// revision.
    #[test]
    fn apply_any_order_keeps_the_latest(
        mut revisions in proptest::collection::vec((0..5_u8, 1..60_u64), 1..60),
        seed in any::<u64>(),
    ) {
        revisions.sort_unstable();
        revisions.dedup_by_key(|it| it.1);
        let expected: BTreeMap<_, _> =
            revisions.iter().map(|(key, revision)| (format!("key-{key}"), *revision)).collect();
        let mut shuffled = revisions.clone();
        shuffled.sort_by_key(|it| (it.1 ^ seed).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut view = StoreView::new();
        for (key, revision) in shuffled.iter().chain(&revisions) {
            view.apply(written(&format!("key-{key}"), *revision), MonoMs(0));
        }
        prop_assert_eq!(keys(&view), expected.into_iter().collect::<Vec<_>>());
    }
}

/// An endpoint leaves just as the store recovers, before this gateway has noticed the recovery. The
/// time limit for removing leaving endpoints counts from the recovery.
#[test]
fn expire_removal_at_recovery_stays_within_limit() {
    const LEAVING_BOUND_MS: u64 = 2_000;
    const NOTICED_MS: u64 = 250;
    let left_at = MonoMs(10_000);
    let mut view = StoreView::new();
    view.apply(written("one", 1), MonoMs(0));
    let noticed_at = left_at.plus_ms(NOTICED_MS);
    view.record_reconnect(MonoMs(5_000), noticed_at);
    assert_eq!(view.apply(deleted("one", 2), noticed_at), []);
    let due = left_at.plus_ms(LEAVING_BOUND_MS);
    assert_eq!(view.expire(due), [StoreChange::Removed("one".into())]);
}

#[rstest]
#[case::one_of_many(1, 14, 300, true)]
#[case::a_quarter(1, 4, 300, true)]
#[case::more_than_a_quarter(2, 7, 300, false)]
#[case::the_only_one(1, 1, 2_000, false)]
#[case::others_may_follow(1, 14, 299, false)]
fn may_release_spares_few_endpoints(
    #[case] missing: usize,
    #[case] published: usize,
    #[case] waited_ms: u64,
    #[case] expected: bool,
) {
    let now = MonoMs(5_000 + waited_ms);
    assert_eq!(StoreView::may_release(missing, published, MonoMs(5_000), now), expected);
}

#[test]
fn release_ends_the_deferral_of_one_removal() {
    let mut view = StoreView::new();
    for (key, revision) in [("left", 1), ("lapsed", 2)] {
        view.apply(written(key, revision), MonoMs(0));
    }
    view.record_reconnect(MonoMs(0), MonoMs(1_000));
    for (key, revision) in [("left", 3), ("lapsed", 4)] {
        assert!(view.apply(deleted(key, revision), MonoMs(1_000)).is_empty());
    }
    assert_eq!(view.deferred().count(), 2);
    view.release("left", MonoMs(1_300));
    assert_eq!(view.expire(MonoMs(1_300)), [StoreChange::Removed("left".into())]);
    assert_eq!(view.deferred().map(|(key, _)| &**key).collect::<Vec<_>>(), ["lapsed"]);
}

/// Interval of the endpoints' heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 1_200;

/// Time of the store's last answer before the gateways that watched it were cut off.
const LOST_AT: MonoMs = MonoMs(10_000);

fn view_of_two() -> StoreView {
    let mut view = StoreView::new().with_heartbeat_ms(HEARTBEAT_MS);
    view.apply(written("one", 1), MonoMs(0));
    view.apply(written("two", 2), MonoMs(0));
    view
}

/// Guards against endpoints that stay in use after they have left, since the gateway that takes over the
/// watch takes the loss of others' paths to the store for an outage.
#[rstest]
#[case::taken_over_at_once(1_200, 1_200, true)]
#[case::taken_over_by_a_second_one(1_900, 1_900, true)]
#[case::not_before_a_record_may_expire(1_900, 2_200, false)]
#[case::after_an_outage(2_500, 2_500, false)]
fn record_reconnect_removals_before_any_expiry_are_immediate(
    #[case] reconnect_ms: u64,
    #[case] removal_ms: u64,
    #[case] is_immediate: bool,
) {
    let mut view = view_of_two();
    view.record_reconnect(LOST_AT, LOST_AT.plus_ms(reconnect_ms));
    let removed = view.apply(deleted("one", 3), LOST_AT.plus_ms(removal_ms));
    assert_eq!(removed == [StoreChange::Removed("one".into())], is_immediate);
    assert_eq!(view.deferred().count(), usize::from(!is_immediate));
}

/// A record may expire at the earliest once three heartbeats are missing, one of which may have been due
/// when the outage began.
#[test]
fn record_reconnect_removals_by_expiry_are_deferred() {
    for outage_ms in (2 * HEARTBEAT_MS..10_000).step_by(100) {
        let mut view = view_of_two();
        let reconnect = LOST_AT.plus_ms(outage_ms);
        view.record_reconnect(LOST_AT, reconnect);
        assert_eq!(view.apply(deleted("one", 3), reconnect), [], "after {outage_ms} ms");
    }
}

/// A peer has to do as the gateway that saw the removal, whatever time its update takes.
#[rstest]
#[case::changes(2)]
#[case::whole(0)]
fn apply_peer_defers_what_the_sender_defers(#[case] known: u64) {
    let mut view = view_of_two();
    let mut peer = StoreView::new();
    if known > 0 {
        peer.apply_peer(view.since(0, MonoMs(0)), MonoMs(0));
    } else {
        peer.apply(written("one", 1), MonoMs(0));
        peer.apply(written("two", 2), MonoMs(0));
    }
    view.record_reconnect(LOST_AT, LOST_AT.plus_ms(1_200));
    view.apply(deleted("one", 3), LOST_AT.plus_ms(1_200));
    view.apply(deleted("two", 4), LOST_AT.plus_ms(2_600));
    let mut delta = view.since(known, LOST_AT.plus_ms(2_600));
    delta.is_whole = known == 0;
    if delta.is_whole {
        delta.records.retain(|it| it.value.is_some());
    }
    let changes = peer.apply_peer(delta, MonoMs(70_000));
    assert_eq!(changes, [StoreChange::Removed("one".into())]);
    assert_eq!(peer.deferred().map(|(key, _)| &**key).collect::<Vec<_>>(), ["two"]);
}
