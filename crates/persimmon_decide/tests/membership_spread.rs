//! Time and traffic to spread changes through a fleet, and convergence after partitions.

mod membership_fleet;

use membership_fleet::{Fleet, Size, TODAY, name};
use persimmon_decide::membership::{Digest, NodeId, OutgoingDigest, VmRole, VmState};
use persimmon_records::Generation;
use rstest::rstest;

/// Maximum control traffic that a node may send, in bytes per second.
const MAX_BYTES_PER_S: u64 = 3_000;
/// Maximum time in milliseconds until every router lists an endpoint as leaving.
const LEAVING_MS: u64 = 3_000;
/// Maximum time in milliseconds until new records are in force on every node.
const RECORDS_MS: u64 = 5_000;

/// A fleet so large that regular digests alone would spread changes too slowly.
const LARGER: Size = Size { routers: 40, endpoints: 360, zones: 15, models: 10 };

#[rstest]
fn leaving_reaches_every_router(#[values(TODAY, LARGER)] size: Size, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(size, seed);
    fleet.run_ms(5_000);
    let left = size.routers + seed as usize;
    fleet.leave(left);
    let took = fleet.run_until(LEAVING_MS, |fleet| fleet.informed_routers(left) == size.routers);
    assert!(took.is_some(), "{} of {} know", fleet.informed_routers(left), size.routers);
}

#[rstest]
fn new_records_reach_all_nodes(#[values(TODAY, LARGER)] size: Size, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(size, seed);
    fleet.run_ms(5_000);
    let mut records = size.records();
    records.generation = Generation(2);
    let version = records.version();
    fleet.adopt(seed as usize, version);
    let took = fleet.run_until(RECORDS_MS, |fleet| {
        fleet.states.iter().all(|state| state.records == Some(version))
    });
    assert!(took.is_some());
}

/// Returns the urgent digests of a node after `change`, from a first and a second call.
fn urgent_after(
    change: impl FnOnce(&mut Fleet, usize),
) -> (Vec<OutgoingDigest>, Vec<OutgoingDigest>) {
    let mut fleet = Fleet::new(TODAY, 4);
    fleet.urgent = false;
    let node = TODAY.routers;
    let (state, now) = (fleet.states[node], fleet.now);
    fleet.nodes[node].set_state(state, now);
    change(&mut fleet, node);
    let mut random = (1..).map(|step: u64| step.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut send = || fleet.nodes[node].urgent_digests(now, || random.next().unwrap());
    (send(), send())
}

#[test]
fn urgent_digests_announce_leaving_to_routers_once() {
    let (first, second) = urgent_after(Fleet::leave);
    assert_eq!(first.len(), 4);
    assert_eq!(second, []);
    let routers: Vec<_> =
        TODAY.vms(1).vms.into_iter().filter(|vm| vm.role == VmRole::Router).collect();
    for OutgoingDigest { to, digest } in first {
        assert!(routers.iter().any(|router| router.peer == to), "{to} is no router");
        assert!(digest.entries.iter().any(|entry| entry.node == digest.from && entry.leaving));
    }
}

#[test]
fn urgent_digests_announce_new_records_once() {
    let mut records = TODAY.records();
    records.generation = Generation(2);
    let version = records.version();
    let (first, second) = urgent_after(|fleet, node| fleet.adopt(node, version));
    assert_eq!(first.len(), 4);
    assert!(first.iter().all(|out| out.digest.records == Some(version)));
    assert_eq!(second, []);
}

/// Twenty peers per second request a reply from one node.
#[test]
fn replies_stay_within_limit_under_a_flood() {
    const SECONDS: u64 = 60;
    let mut fleet = Fleet::new(TODAY, 5);
    fleet.run_ms(5_000);
    let (start, state) = (fleet.now, fleet.states[0]);
    let mut bytes = 0;
    for second in 0..SECONDS {
        for sender in 1..21 {
            let now = start.plus_ms(second * 1_000 + sender * 45);
            let asks = fleet.nodes[sender as usize].tick(state, now, sender).unwrap().digest;
            let reply = fleet.nodes[0].receive(&asks, now).reply;
            bytes += reply.map_or(0, |digest| digest.wire_bytes() as u64);
        }
        let now = start.plus_ms(second * 1_000 + 999);
        bytes += fleet.nodes[0].tick(state, now, second).unwrap().digest.wire_bytes() as u64;
    }
    assert!(bytes <= MAX_BYTES_PER_S * SECONDS, "{} B/s", bytes / SECONDS);
}

#[test]
fn traffic_stays_within_limit_while_all_leave() {
    let mut fleet = Fleet::new(TODAY, 6);
    for index in 0..TODAY.nodes() {
        fleet.leave(index);
        fleet.run_ms(1_000);
    }
    let most = fleet.sent_bytes.iter().max().unwrap() / TODAY.nodes() as u64;
    assert!(most <= MAX_BYTES_PER_S, "{most} B/s");
}

#[test]
fn sidecar_has_fresh_loads_of_its_group() {
    const FRESH_MS: u64 = 5_000;
    const WANTED: usize = 8;
    let mut fleet = Fleet::new(TODAY, 7);
    fleet.run_ms(20_000);
    for observer in TODAY.routers..TODAY.nodes() {
        let is_peer =
            |index: &usize| *index != observer && TODAY.model(*index) == TODAY.model(observer);
        let load = |index| fleet.nodes[observer].load(NodeId::of(&name(index)));
        let loads = (TODAY.routers..TODAY.nodes()).filter(is_peer).filter_map(load);
        let fresh = loads.filter(|load| fleet.now.ms_since(load.measured_at) <= FRESH_MS).count();
        assert!(fresh >= WANTED, "node {observer} knows {fresh}");
    }
}

/// During a partition one endpoint leaves on each side. After the partition heals, every node must
/// show both as leaving.
#[rstest]
#[case::short(30_000)]
#[case::longer_than_changes_are_recent(120_000)]
fn partition_converges_when_healed(#[case] partition_ms: u64) {
    let mut fleet = Fleet::new(TODAY, 8);
    fleet.run_ms(10_000);
    fleet.side = Some(|index| index % 2 == 0);
    let (even, odd) = (TODAY.routers + 1, TODAY.routers + 2);
    fleet.leave(even);
    fleet.leave(odd);
    fleet.run_ms(partition_ms);
    let knows = |fleet: &Fleet, left| {
        (0..TODAY.nodes()).filter(|node| *node != left && fleet.knows_left(*node, left)).count()
    };
    assert!(knows(&fleet, even) < TODAY.nodes() - 1, "the partition did not separate the halves");

    fleet.side = None;
    let took = fleet.run_until(15_000, |fleet| {
        [even, odd].iter().all(|left| knows(fleet, *left) == TODAY.nodes() - 1)
    });
    assert!(took.is_some(), "{} and {} know", knows(&fleet, even), knows(&fleet, odd));
}

#[test]
fn vm_list_of_highest_version_wins() {
    let mut fleet = Fleet::new(TODAY, 9);
    let left = TODAY.routers;
    let mut newer = TODAY.vms(3);
    newer.vms[left].state = VmState::Leaving;
    fleet.nodes[0].apply_vms(newer.clone(), fleet.now);
    assert!(fleet.knows_left(0, left));
    fleet.nodes[0].apply_vms(TODAY.vms(2), fleet.now);
    assert!(fleet.knows_left(0, left), "a stale list replaced a newer one");

    let digest = |fleet: &mut Fleet, index: usize| -> Digest {
        let state = fleet.states[index];
        fleet.nodes[index].tick(state, fleet.now, 1).unwrap().digest
    };
    let ahead = digest(&mut fleet, 0);
    let behind = digest(&mut fleet, 1);
    assert!(fleet.nodes[1].receive(&ahead, fleet.now).has_newer_vms);
    assert!(!fleet.nodes[0].receive(&behind, fleet.now).has_newer_vms);
}
