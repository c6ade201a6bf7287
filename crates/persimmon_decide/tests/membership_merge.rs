//! Merging of entries, the size limit of the table, and node health from request results.

use persimmon_decide::membership::{
    Digest, DigestEntry, HealthState, Membership, NodeHealth, NodeId, OwnState, incarnation_at,
};
use persimmon_decide::{Incarnation, MonoMs};
use persimmon_records::UnixMs;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

fn membership() -> Membership {
    Membership::new(&"router-1".into(), "zone-a".into(), Incarnation(1), MonoMs(0))
}

fn entry(node: u64) -> DigestEntry {
    DigestEntry {
        node: NodeId(node),
        incarnation: Incarnation(5),
        beat: 1,
        work: 0,
        age: 0,
        leaving: false,
        suspected: false,
    }
}

fn digest(entries: Vec<DigestEntry>) -> Digest {
    Digest {
        from: NodeId(99),
        incarnation: Incarnation(1),
        records: None,
        vms_version: 0,
        contact_age_ms: 0,
        wants_reply: false,
        entries,
        suspects: Vec::new(),
    }
}

#[test]
fn incarnation_grows_with_each_restart() {
    let first = incarnation_at(UnixMs(1_000_000), u32::MAX);
    let second = incarnation_at(UnixMs(1_001_000), 0);
    assert!(second > first);
}

#[test]
fn leaving_is_final_for_one_incarnation() {
    let mut membership = membership();
    let now = MonoMs(1_000);
    membership.receive(&digest(vec![DigestEntry { leaving: true, ..entry(1) }]), now);
    membership.receive(&digest(vec![DigestEntry { beat: 9, ..entry(1) }]), now);
    assert!(membership.is_leaving(NodeId(1)));
    let restarted = DigestEntry { incarnation: Incarnation(6), ..entry(1) };
    let received = membership.receive(&digest(vec![restarted]), now);
    assert_eq!(received.returned, [NodeId(1)]);
    assert!(!membership.is_leaving(NodeId(1)));
    membership.receive(&digest(vec![DigestEntry { leaving: true, ..entry(1) }]), now);
    assert!(!membership.is_leaving(NodeId(1)), "an earlier incarnation's entry arrived late");
}

#[test]
fn suspicion_is_cleared_by_a_later_beat() {
    let mut membership = membership();
    let now = MonoMs(1_000);
    membership.receive(&digest(vec![DigestEntry { suspected: true, ..entry(1) }]), now);
    assert_eq!(membership.health(NodeId(1), now), HealthState::Suspected);
    membership.receive(&digest(vec![entry(1)]), now);
    assert_eq!(membership.health(NodeId(1), now), HealthState::Suspected, "the same beat");
    membership.receive(&digest(vec![DigestEntry { beat: 2, ..entry(1) }]), now);
    assert_eq!(membership.health(NodeId(1), now), HealthState::Trusted);
}

#[test]
fn own_requests_take_precedence_over_peers() {
    let mut membership = membership();
    let now = MonoMs(1_000);
    membership.receive(&digest(vec![entry(1)]), now);
    (0..NodeHealth::SUSPECT_AFTER).for_each(|_| membership.record_failure(NodeId(1), now));
    membership.receive(&digest(vec![DigestEntry { beat: 2, ..entry(1) }]), now);
    assert_eq!(membership.health(NodeId(1), now), HealthState::Suspected);
    membership.record_reply(&DigestEntry { beat: 3, ..entry(1) }, now);
    assert_eq!(membership.health(NodeId(1), now), HealthState::Trusted);
}

#[test]
fn flapping_node_gets_a_small_share_until_it_settles() {
    let mut rng = Pcg64::seed_from_u64(3);
    let mut health = NodeHealth::default();
    for flap in 0..3 {
        let now = MonoMs(flap * 100);
        (0..NodeHealth::SUSPECT_AFTER).for_each(|_| health.record_failure(now));
        health.record_success(now);
    }
    let now = MonoMs(300);
    assert_eq!(health.state(now), HealthState::Probation);
    let admitted = (0..10_000).filter(|_| health.state(now).admits(rng.random())).count();
    assert!((300..=700).contains(&admitted), "{admitted} of 10,000");
    assert_eq!(health.state(MonoMs(2 * NodeHealth::HALF_LIFE_MS + 300)), HealthState::Trusted);
}

#[test]
fn table_is_bounded() {
    let mut membership = membership();
    for first in (0..20_000).step_by(Digest::MAX_ENTRIES) {
        let entries = (first..first + Digest::MAX_ENTRIES as u64).map(entry).collect();
        membership.receive(&digest(entries), MonoMs(0));
    }
    assert_eq!(membership.len(), 8_192);
    (0..20_000).for_each(|node| membership.record_failure(NodeId(node), MonoMs(0)));
}

#[test]
fn full_digest_fits_a_datagram() {
    let mut membership = membership();
    let entries: Vec<_> =
        (0..60).map(|node| DigestEntry { leaving: true, ..entry(node) }).collect();
    for entries in entries.chunks(Digest::MAX_ENTRIES) {
        membership.receive(&digest(entries.to_vec()), MonoMs(0));
    }
    let asks = Digest { wants_reply: true, ..digest(Vec::new()) };
    let reply = membership.receive(&asks, MonoMs(0)).reply.unwrap();
    assert_eq!(reply.entries.len(), Digest::MAX_ENTRIES);
    let full = Digest::MAX_SUSPECTS * persimmon_decide::recovery::SuspectMark::ENCODED_BYTES;
    assert!(reply.encoded_bytes() + full <= Digest::MAX_BYTES);
}

fn any_entry() -> impl Strategy<Value = DigestEntry> {
    (0..3_u64, 1..4_u64, 0..4_u32, any::<bool>(), any::<bool>()).prop_map(
        |(node, incarnation, beat, leaving, suspected)| DigestEntry {
            incarnation: Incarnation(incarnation),
            beat,
            leaving,
            suspected,
            ..entry(node)
        },
    )
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(6), cases: 1_000, ..Config::default() })]

    /// Processes that receive the same entries reordered and duplicated reach the same state.
    #[test]
    fn order_of_entries_does_not_matter(
        entries in prop::collection::vec(any_entry(), 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let now = MonoMs(1_000);
        let (mut first, mut second) = (membership(), membership());
        for entry in &entries {
            first.receive(&digest(vec![*entry]), now);
        }
        for entry in order.iter().map(|index| *index.get(&entries)).chain(entries.iter().rev().copied()) {
            second.receive(&digest(vec![entry]), now);
        }
        for node in (0..3).map(NodeId) {
            prop_assert_eq!(first.is_leaving(node), second.is_leaving(node));
            prop_assert_eq!(first.health(node, now), second.health(node, now));
            let of_node = entries.iter().filter(|entry| entry.node == node);
            let incarnation = of_node.clone().map(|entry| entry.incarnation).max();
            let left = of_node
                .filter(|entry| Some(entry.incarnation) == incarnation)
                .any(|entry| entry.leaving);
            prop_assert_eq!(first.is_leaving(node), left);
        }
    }
}

#[test]
fn tick_without_peers_sends_nothing() {
    assert_eq!(membership().tick(OwnState::default(), MonoMs(0), 3), None);
}

/// Guards against a lower incarnation after a sidecar restarts within one second: engines refuse
/// a lower fence.
#[test]
fn incarnation_grows_with_each_millisecond() {
    let starts = [(5_000, u32::MAX), (5_001, 0), (5_999, u32::MAX), (6_000, 0)];
    let incarnations: Vec<_> =
        starts.iter().map(|(at, random)| incarnation_at(UnixMs(*at), *random)).collect();
    assert!(incarnations.is_sorted_by(|earlier, later| earlier < later), "{incarnations:?}");
}
