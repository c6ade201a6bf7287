//! Tests of placement, rendezvous ranks, chat tokens and the estimate of the mean load.

use std::collections::BTreeMap;

use persimmon_decide::MonoMs;
use persimmon_decide::load::{
    Candidate, ChatKey, ChatToken, ChatTokenError, Directory, EndpointHash, Holder, LoadReport,
    MeanLoad, Placement, PlacementRequest, TokenKey, TryOrder, Work, rank_by_slots,
};
use persimmon_records::{EndpointBuilder, Policy, RecordSet, Serves, UnixMs};
use rstest::rstest;

fn target() -> Serves {
    Serves::Model("chat-large".into())
}

fn directory(endpoints: usize) -> Directory {
    let mut records = RecordSet::empty();
    for number in 0..endpoints {
        let name = format!("engine-{number}");
        let endpoint = EndpointBuilder::new(name.as_str(), ([127, 0, 0, 1], 1).into())
            .with_serves(target())
            .with_slots(8);
        records.endpoints.push(endpoint.build());
    }
    let mut directory = Directory::default();
    directory.apply_records(&records).unwrap();
    directory
}

fn hash(number: usize) -> EndpointHash {
    EndpointHash::of(&format!("engine-{number}").as_str().into())
}

fn place(directory: &Directory, holders: &[Holder], now: u64) -> Vec<Candidate> {
    let req = PlacementRequest {
        chat: ChatKey(99),
        target: &target(),
        holders,
        allowed: &[],
        prompt_tokens: 1_000,
        tokens_to_generate: 100,
    };
    Placement::default().place(&req, directory, MonoMs(now))
}

fn holder(number: usize, tokens: u32) -> Holder {
    Holder { endpoint: hash(number), tokens, at: UnixMs(0) }
}

/// A digest reports no bound. A holder stays first if its bound is unknown or stale.
#[rstest]
#[case::no_bound(None)]
#[case::stale_bound(Some(LoadReport { bound: Work(1), slots: 8, ..LoadReport::default() }))]
fn place_ranks_holder_first_without_fresh_bound(#[case] bound: Option<LoadReport>) {
    let mut directory = directory(20);
    if let Some(report) = bound {
        directory.record_report(hash(3), report, MonoMs(0));
    }
    directory.record_digest(hash(3), Work(10), MonoMs(10_000));
    assert_eq!(place(&directory, &[holder(3, 900)], 10_100)[0].endpoint, hash(3));
}

#[test]
fn place_prefers_holder_and_imports_elsewhere() {
    let candidates = place(&directory(20), &[holder(3, 900)], 0);
    assert_eq!(candidates[0].endpoint, hash(3));
    assert_eq!((candidates[0].cached_tokens, candidates[0].import_from), (900, None));
    assert!(candidates[1..].iter().all(|other| other.import_from == Some(holder(3, 900))));
    assert!(candidates[1].work > candidates[0].work);
}

#[test]
fn place_excludes_leaving_and_ranks_suspect_last() {
    let mut directory = directory(6);
    directory.set_leaving(hash(0), true);
    directory.mark_suspect(hash(1), MonoMs(500));
    let candidates = place(&directory, &[holder(0, 900), holder(1, 900)], 0);
    assert!(candidates.iter().all(|candidate| candidate.endpoint != hash(0)));
    assert_eq!(candidates.last().unwrap().endpoint, hash(1));
    assert_eq!(place(&directory, &[holder(1, 900)], 500)[0].endpoint, hash(1));
}

#[test]
fn place_ignores_stale_bound() {
    let mut directory = directory(6);
    let full = LoadReport { work: Work(900), bound: Work(1_000), slots: 8, ..Default::default() };
    directory.record_report(hash(2), full, MonoMs(1_000));
    assert_ne!(place(&directory, &[holder(2, 900)], 1_100)[0].endpoint, hash(2));
    assert_eq!(place(&directory, &[holder(2, 900)], 2_000)[0].endpoint, hash(2));
}

#[test]
fn place_restricts_to_allowed() {
    let directory = directory(20);
    let allowed = [hash(4), hash(5)];
    let req = PlacementRequest {
        chat: ChatKey(1),
        target: &target(),
        holders: &[],
        allowed: &allowed,
        prompt_tokens: 10,
        tokens_to_generate: 10,
    };
    let candidates = Placement::default().place(&req, &directory, MonoMs(0));
    assert_eq!(candidates.len(), 2);
    assert!(candidates.iter().all(|candidate| allowed.contains(&candidate.endpoint)));
}

#[test]
fn apply_records_keeps_state_of_listed_endpoints() {
    let mut directory = directory(3);
    let load = LoadReport { work: Work(7), ..LoadReport::default() };
    directory.record_report(hash(1), load, MonoMs(5));
    directory.record_report(hash(1), LoadReport::default(), MonoMs(4));
    let mut records = RecordSet::empty();
    let kept = EndpointBuilder::new("engine-1", ([127, 0, 0, 1], 1).into()).with_serves(target());
    records.endpoints.push(kept.build());
    directory.apply_records(&records).unwrap();
    assert_eq!(directory.len(), 1);
    assert_eq!(directory.view(hash(1)).unwrap().load, load);
    assert!(directory.view(hash(0)).is_none());
}

#[test]
fn apply_records_ends_a_drain() {
    let mut directory = directory(1);
    for draining in [true, false] {
        let endpoint = EndpointBuilder::new("engine-0", ([127, 0, 0, 1], 1).into())
            .with_serves(target())
            .with_draining(draining);
        let records = RecordSet { endpoints: vec![endpoint.build()], ..RecordSet::empty() };
        directory.apply_records(&records).unwrap();
        assert_eq!(place(&directory, &[], 0).is_empty(), draining);
    }
}

#[test]
fn rank_gives_shares_by_slots() {
    let endpoints = [(EndpointHash(1), 8), (EndpointHash(2), 16)];
    let first = |chat| rank_by_slots(ChatKey(chat), endpoints)[0];
    let of_larger = (0..6_000).filter(|chat| first(*chat) == EndpointHash(2)).count();
    // Four standard deviations around two thirds.
    assert!((3_854..=4_146).contains(&of_larger), "{of_larger} of 6000");
}

#[test]
fn rank_moves_only_the_chats_of_an_endpoint_that_left() {
    let all: Vec<_> = (0..20).map(|number| (hash(number), 8)).collect();
    for chat in (0..500).map(ChatKey) {
        let before = rank_by_slots(chat, all.iter().copied());
        let after = rank_by_slots(chat, all[1..].iter().copied());
        let rest: Vec<_> = before.into_iter().filter(|endpoint| *endpoint != hash(0)).collect();
        assert_eq!(after, rest);
    }
}

#[test]
fn next_try_offers_mean_load_of_refusals() {
    let mut order = TryOrder::new((0..5).map(|n| Candidate::new(EndpointHash(n))).collect());
    for work in [500, 400, 300, 200, 100] {
        assert_eq!(order.next_try().unwrap().refused_mean_per_slot, None);
        order.refused(LoadReport { work: Work(work), slots: 1, ..LoadReport::default() });
    }
    let again: Vec<_> = std::iter::from_fn(|| order.next_try()).collect();
    let endpoints: Vec<_> = again.iter().map(|next| next.candidate.endpoint.0).collect();
    assert_eq!(endpoints, [4, 3], "only the least loaded are tried a second time");
    assert!(again.iter().all(|next| next.refused_mean_per_slot == Some(300.0)));
}

#[test]
fn open_rejects_changed_token() {
    let key = TokenKey::from_fleet_key("a fleet key of the tests");
    let token = ChatToken::new(ChatKey(5)).with_holder(holder(1, 10)).with_holder(holder(2, 20));
    let sealed = token.seal(&key);
    assert_eq!(ChatToken::open(&sealed, ChatKey(5), &key), Ok(token));
    for position in 0..sealed.len() {
        let mut bytes = sealed.clone().into_bytes();
        bytes[position] = if bytes[position] == b'0' { b'1' } else { b'0' };
        let changed = String::from_utf8(bytes).unwrap();
        let opened = ChatToken::open(&changed, ChatKey(5), &key);
        assert!(opened.is_err(), "position {position} isn't authenticated");
    }
}

#[rstest]
#[case::empty("", ChatTokenError::Malformed)]
#[case::not_hex("zz", ChatTokenError::Malformed)]
#[case::too_long(&"0".repeat(ChatToken::MAX_SEALED_LEN + 2), ChatTokenError::Malformed)]
#[case::later_version(&"ff".repeat(40), ChatTokenError::Version(255))]
#[case::not_sealed(&"01".repeat(40), ChatTokenError::NotAuthentic)]
fn open_rejects_invalid_text(#[case] text: &str, #[case] expected: ChatTokenError) {
    let key = TokenKey::from_fleet_key("a fleet key of the tests");
    assert_eq!(ChatToken::open(text, ChatKey(5), &key), Err(expected));
}

#[test]
fn open_rejects_token_of_other_chat_or_fleet() {
    let key = TokenKey::from_fleet_key("a fleet key of the tests");
    let other = TokenKey::from_fleet_key("another fleet's own key");
    let sealed = ChatToken::new(ChatKey(5)).seal(&key);
    assert_eq!(ChatToken::open(&sealed, ChatKey(6), &key), Err(ChatTokenError::OtherChat));
    assert_eq!(ChatToken::open(&sealed, ChatKey(5), &other), Err(ChatTokenError::NotAuthentic));
}

#[test]
fn with_holder_keeps_latest_three() {
    let token = [1, 2, 3, 1, 4]
        .into_iter()
        .fold(ChatToken::new(ChatKey(5)), |token, number| token.with_holder(holder(number, 9)));
    let named: Vec<_> = token.holders().iter().map(|holder| holder.endpoint).collect();
    assert_eq!(named, [hash(4), hash(1), hash(3)]);
}

fn report(work: u64) -> LoadReport {
    LoadReport { work: Work(work), running: 4, slots: 8, ..LoadReport::default() }
}

#[test]
fn bound_falls_to_floor_without_reports() {
    let mut mean = MeanLoad::default();
    let policy = Policy {
        load_multiple: 2.0,
        load_floor: 1,
        quick_share: 0.0,
        retry_share: 0.0,
        ..Policy::default()
    };
    let floor = mean.bound(&policy, 8, Some(1e9), MonoMs(0));
    assert_eq!(floor, Work::MAX_PER_REQUEST, "an offer can't raise the bound without reports");
    let bounds: BTreeMap<u64, Work> = [0, 9_000, 10_000, 60_000]
        .into_iter()
        .map(|now| {
            mean.observe(EndpointHash(1), report(8_000), MonoMs(0));
            (now, mean.bound(&policy, 8, None, MonoMs(now)))
        })
        .collect();
    assert!(bounds[&0] <= Work(16_000) && bounds[&0] > Work(8_000));
    assert!(bounds[&9_000] < bounds[&0], "an estimate decays without new reports");
    assert!(bounds.values().is_sorted_by(|a, b| a >= b), "{bounds:?}");
    assert_eq!(bounds[&60_000], mean.floor(&policy));
}

#[test]
fn per_slot_extrapolates_falling_mean() {
    let mut mean = MeanLoad::default();
    for second in 0..4 {
        mean.observe(EndpointHash(1), report(8_000 - 800 * second), MonoMs(second * 1_000));
        for tick in 0..10 {
            mean.tick(MonoMs(second * 1_000 + 2_000 + tick * 100));
        }
    }
    // The last report is 5,600 for 8 slots, is 2 s old, and falls by 100 per second and slot.
    let expected = 700.0 - 100.0 * 2.0 * MeanLoad::PROJECTED_AGES;
    assert!((mean.per_slot(MonoMs(5_000)) - expected).abs() < 1.0);
}

#[test]
fn observe_evicts_oldest_report() {
    let mut mean = MeanLoad::default();
    let kept = MeanLoad::MAX_ENTRIES as u64;
    for number in 0..kept + 50 {
        let work = if number < 50 { 1_000_000 } else { 800 };
        mean.observe(EndpointHash(number), report(work), MonoMs(number));
    }
    assert_eq!(mean.per_slot(MonoMs(kept + 50)), 100.0, "the oldest 50 were evicted");
}
