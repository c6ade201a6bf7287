//! Tests of what the store's history shows of the origin of streams.

mod history_model;

use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    Endpoint, HistoryChange, HistoryPart, HistorySearch, HistoryValue, Undetermined, VersionHistory,
};
use rand::RngExt;
use rstest::rstest;

use history_model::{HEARTBEAT_MS, Load, SERVICE, TIMEOUT_MS, World};

const NEEDED_MS: u64 = 17_000;
const NOW: MonoMs = MonoMs(100);

fn endpoint(id: &str, version: &str, sequence: u64) -> Endpoint {
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    Endpoint::new(id, Some(1), SERVICE.into(), address)
        .with_version(version)
        .with_sequence(Some(sequence))
}

fn put(id: &str, version: &str, sequence: u64) -> HistoryChange {
    let value = HistoryValue::Endpoint(endpoint(id, version, sequence));
    HistoryChange { key: id.into(), value, is_creation: sequence == 1 }
}

fn restarted(id: &str, version: &str) -> HistoryChange {
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let endpoint = Endpoint::new(id, Some(2), SERVICE.into(), address).with_version(version);
    let value = HistoryValue::Endpoint(endpoint.with_sequence(Some(1)));
    HistoryChange { key: id.into(), value, is_creation: false }
}

fn removed(id: &str) -> HistoryChange {
    HistoryChange { key: id.into(), value: HistoryValue::Nothing, is_creation: false }
}

fn routes() -> HistoryChange {
    HistoryChange { key: "routes".into(), value: HistoryValue::Routes, is_creation: false }
}

fn heartbeats(id: &str, version: &str, sequences: std::ops::Range<u64>) -> Vec<HistoryChange> {
    sequences.map(|it| put(id, version, it)).collect()
}

/// Returns what is concluded from a part of the history and the endpoints that are published in it.
fn only(
    changes: Vec<HistoryChange>,
    is_whole: bool,
    published: &[Endpoint],
) -> Result<Arc<str>, Undetermined> {
    let mut history = VersionHistory::new();
    let part = HistoryPart { changes, position: 500, is_whole };
    history.record_part(&part, published.iter(), HEARTBEAT_MS, NOW);
    history.only_origin(SERVICE, NEEDED_MS, NOW).map(|it| it.version.clone())
}

#[test]
fn only_origin_is_unknown_before_the_first_read() {
    let history = VersionHistory::new();
    assert_eq!(history.only_origin(SERVICE, NEEDED_MS, NOW), Err(Undetermined::Unread));
}

#[rstest]
#[case::one_version(vec![routes(), put("a", "v1", 1), put("b", "v1", 1)], Ok("v1"))]
#[case::two_versions(vec![put("a", "v1", 1), put("b", "v2", 1)], Err(Undetermined::Origins(2)))]
#[case::version_that_left(
    vec![put("a", "v1", 1), removed("a"), put("b", "v2", 1)], Err(Undetermined::Origins(2)))]
#[case::endpoint_that_came_back_with_another_version(
    vec![put("a", "v1", 1), restarted("a", "v2")], Err(Undetermined::Origins(2)))]
#[case::version_that_left_long_ago(
    [vec![put("a", "v1", 1), put("b", "v2", 1), removed("a")], heartbeats("b", "v2", 2..20)].concat(),
    Ok("v2"))]
#[case::routes_that_changed(
    vec![routes(), put("a", "v1", 1), routes()], Err(Undetermined::RoutesChanged { ago_ms: 0 }))]
#[case::no_endpoint(vec![routes()], Err(Undetermined::Origins(0)))]
#[case::lost_writes(
    vec![put("a", "v1", 1), put("a", "v1", 4)],
    Err(Undetermined::NotCovered { covered_ms: 0, needed_ms: NEEDED_MS }))]
fn only_origin_from_a_whole_history(
    #[case] changes: Vec<HistoryChange>,
    #[case] expected: Result<&str, Undetermined>,
) {
    assert_eq!(only(changes, true, &[]), expected.map(Into::into));
}

/// 17 s are 15 intervals of 1.2 s, between heartbeats after the one that shows the endpoint.
#[rstest]
#[case::long_enough(heartbeats("a", "v1", 5..22), Ok("v1"))]
#[case::too_short(
    heartbeats("a", "v1", 5..20),
    Err(Undetermined::NotCovered { covered_ms: 15_600, needed_ms: NEEDED_MS }))]
#[case::removed_endpoint_of_unknown_version(
    [heartbeats("a", "v1", 5..22), vec![removed("b")]].concat(),
    Err(Undetermined::NotCovered { covered_ms: 0, needed_ms: NEEDED_MS }))]
#[case::unpublished_version(
    [heartbeats("a", "v1", 5..22), vec![removed("a"), put("b", "v2", 1)]].concat(),
    Err(Undetermined::NotCovered { covered_ms: 0, needed_ms: NEEDED_MS }))]
fn only_origin_from_a_part_of_the_history(
    #[case] changes: Vec<HistoryChange>,
    #[case] expected: Result<&str, Undetermined>,
) {
    assert_eq!(only(changes, false, &[]), expected.map(Into::into));
}

/// An endpoint of another version whose record doesn't change is in the directory only.
#[test]
fn only_origin_counts_published_endpoints_without_changes() {
    let silent = [endpoint("b", "v2", 1), endpoint("a", "v1", 1)];
    let changes = heartbeats("a", "v1", 5..22);
    assert_eq!(only(changes, false, &silent), Err(Undetermined::Origins(2)));
}

/// Writes that change a record may come at any time, so that they aren't heartbeats.
#[test]
fn only_origin_counts_no_time_for_flapping_endpoints() {
    let flapping = (5..40).map(|it| {
        let endpoint = endpoint("a", "v1", it).with_slots(it as u32 % 2 + 1);
        let value = HistoryValue::Endpoint(endpoint);
        HistoryChange { key: "a".into(), value, is_creation: false }
    });
    let expected = Undetermined::NotCovered { covered_ms: 0, needed_ms: NEEDED_MS };
    assert_eq!(only(flapping.collect(), false, &[]), Err(expected));
}

#[test]
fn only_origin_is_determined_by_the_own_time_where_the_history_shows_none() {
    let mut history = VersionHistory::new();
    let part = |changes| HistoryPart { changes, position: 500, is_whole: false };
    let published = [endpoint("a", "v1", 1)];
    history.record_part(&part(vec![]), published.iter(), 0, MonoMs(1_000));
    let only = |history: &VersionHistory, at| history.only_origin(SERVICE, NEEDED_MS, MonoMs(at));
    assert!(only(&history, 17_999).is_err());
    assert!(only(&history, 18_000).is_ok());
    history.record_changes(&part(vec![put("b", "v2", 1), removed("b")]), MonoMs(20_000));
    assert_eq!(only(&history, 36_999), Err(Undetermined::Origins(2)));
    assert!(only(&history, 37_000).is_ok());
    history.clear();
    assert_eq!(only(&history, 60_000), Err(Undetermined::Unread));
}

#[test]
fn needed_ms_covers_the_timeout_and_the_delay_of_removals() {
    assert_eq!(VersionHistory::needed_ms(3_000), 17_000);
    assert_eq!(VersionHistory::needed_ms(100_000), 102_000);
}

/// `kept` changes are left of 10,000, and `enough` reach back far enough.
#[rstest]
#[case::at_once(2_000, 300, Some(300))]
#[case::more_are_needed(2_000, 1_000, Some(1_000))]
#[case::fewer_are_left(250, 200, Some(200))]
#[case::too_few_are_left(250, 400, None)]
#[case::none_is_left(0, 1, None)]
fn search_finds_enough_history(
    #[case] kept: u64,
    #[case] enough: u64,
    #[case] expected: Option<u64>,
) {
    let mut search = HistorySearch::new(10_000, 20, NEEDED_MS, HEARTBEAT_MS);
    let (mut found, mut reads) = (None, 0);
    while let Some(after) = search.next_revision() {
        reads += 1;
        let span = 10_000 - after;
        if span > kept {
            search.record_gone();
        } else if span < enough {
            search.record_short();
        } else {
            found = Some(span);
            break;
        }
    }
    assert!(reads <= HistorySearch::MAX_READS);
    assert_eq!(found.is_some(), expected.is_some(), "{found:?}");
    assert!(found.is_none_or(|it| it >= enough && it <= kept));
}

#[test]
fn search_reads_a_short_history_as_a_whole() {
    let mut search = HistorySearch::new(30, 20, NEEDED_MS, HEARTBEAT_MS);
    assert_eq!(search.next_revision(), Some(0));
    search.record_short();
    assert_eq!(search.next_revision(), None);
}

const STEADY: Load =
    Load { shows_heartbeats: true, change: 0.0, drop: 0.0, down: 0.0, restore: 0.0 };

/// Returns the number of reads that determined a version, and of those whose version may be wrong.
fn play(seeds: std::ops::Range<u64>, load: Load, needed_ms: u64) -> (u32, u32) {
    let (mut determined, mut wrong) = (0, 0);
    for seed in seeds {
        let mut world = World::new(seed, load);
        let mut tracked = VersionHistory::new();
        for _ in 0..1_000 {
            world.step();
            if !world.rng().random_bool(0.02) {
                continue;
            }
            // A gateway that starts now, and one that has read the history from time to time.
            let mut fresh = VersionHistory::new();
            for history in [&mut fresh, &mut tracked] {
                if !world.read_into(history) {
                    continue;
                }
                let Ok(origin) = history.only_origin(SERVICE, needed_ms, MonoMs(world.now)) else {
                    continue;
                };
                determined += 1;
                let possible = world.possible_versions();
                wrong += u32::from(possible.iter().any(|it| *it != origin.version));
            }
        }
    }
    (determined, wrong)
}

#[rstest]
#[case::steady(STEADY, true)]
#[case::steady_without_heartbeats(Load { shows_heartbeats: false, ..STEADY }, true)]
#[case::changes(Load { change: 0.01, ..STEADY }, true)]
#[case::changes_without_heartbeats(Load { shows_heartbeats: false, change: 0.01, ..STEADY }, false)]
#[case::many_changes(Load { change: 0.3, ..STEADY }, false)]
#[case::history_dropped(Load { change: 0.01, drop: 0.01, ..STEADY }, false)]
#[case::store_down(Load { change: 0.02, down: 0.01, ..STEADY }, false)]
#[case::store_restored(Load { change: 0.02, restore: 0.005, ..STEADY }, false)]
#[case::all(Load { change: 0.02, drop: 0.005, down: 0.005, restore: 0.002, ..STEADY }, false)]
fn only_origin_is_right_in_any_history(#[case] load: Load, #[case] is_common: bool) {
    let (determined, wrong) = play(0..60, load, VersionHistory::needed_ms(TIMEOUT_MS));
    assert_eq!(wrong, 0, "of {determined}");
    assert!(!is_common || determined > 500, "{determined}");
}

/// The model finds a version that is concluded from too short a time.
#[test]
fn only_origin_is_wrong_if_too_little_is_needed() {
    let load = Load { change: 0.02, ..STEADY };
    let (determined, wrong) = play(0..60, load, 8_000);
    assert!(wrong > 0, "of {determined}");
}
