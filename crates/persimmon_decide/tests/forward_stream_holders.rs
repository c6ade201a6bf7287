//! Tests of the selection of holders, which store what began streams beside endpoints.

use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    HolderCandidate, StreamHolders, StreamKey, StreamOrigin, StreamVersions,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const OLD: &str = "v1";
const NEW: &str = "v2";

fn ip(number: usize) -> IpAddr {
    let [.., high, low] = number.to_be_bytes();
    IpAddr::from([10, 0, high, low])
}

/// Returns candidates of the old version, then of the new one.
fn candidates(old: usize, new: usize) -> Vec<HolderCandidate> {
    let version = |number| if number < old { OLD } else { NEW };
    (0..old + new)
        .map(|number| HolderCandidate {
            ip: ip(number),
            version: version(number).into(),
            started_unix_ms: number as u64,
        })
        .collect()
}

fn stream(number: u64) -> StreamKey {
    StreamKey::of("desk", &number.to_string())
}

#[rstest]
#[case::enough(5, 3)]
#[case::as_many(3, 3)]
#[case::a_single_one(1, 1)]
#[case::none(0, 0)]
fn select_prefers_the_streams_version(#[case] new: usize, #[case] of_new: usize) {
    let holders = StreamHolders::new();
    let all = candidates(16, new);
    for number in 0..100 {
        let selected = holders.select(stream(number), NEW, all.iter().cloned(), MonoMs(1));
        // One more beside the other version.
        let of_others = (StreamHolders::PER_STREAM - of_new).max(1);
        assert_eq!(selected.len(), of_new + of_others);
        assert_eq!(selected.iter().collect::<HashSet<_>>().len(), selected.len());
        assert_eq!(selected.iter().filter(|it| **it >= ip(16)).count(), of_new);
        let asked = StreamHolders::asked(stream(number), all.iter().cloned());
        assert!(selected.iter().all(|it| asked.contains(it)));
    }
}

#[test]
fn asked_is_bounded_with_many_versions() {
    let all: Vec<_> = (0..60)
        .map(|it| HolderCandidate {
            ip: ip(it),
            version: format!("v{}", it % 20).into(),
            started_unix_ms: 0,
        })
        .collect();
    let asked = StreamHolders::asked(stream(1), all.iter().cloned());
    assert_eq!(asked.len(), StreamHolders::MAX_ASKED);
    // The likeliest holder of as many versions as possible comes first.
    let number = |ip: &IpAddr| all.iter().position(|it| it.ip == *ip).unwrap();
    let versions: HashSet<_> = asked.iter().map(|it| number(it) % 20).collect();
    assert_eq!(versions.len(), StreamHolders::MAX_ASKED);
}

#[test]
fn silent_holder_is_replaced_and_tried_again() {
    let mut holders = StreamHolders::new();
    let all = candidates(6, 0);
    let select = |holders: &StreamHolders, at| {
        holders.select(stream(7), OLD, all.iter().cloned(), MonoMs(at))
    };
    let silent = select(&holders, 0)[0];
    for at in 0..8 {
        assert_eq!(select(&holders, at)[0], silent);
        holders.record_sent(silent, MonoMs(at));
    }
    assert!(!select(&holders, 8).contains(&silent));
    assert_eq!(select(&holders, 8).len(), StreamHolders::PER_STREAM);
    assert!(!select(&holders, 5_006).contains(&silent));
    // One message in a while finds out whether it is back.
    assert_eq!(select(&holders, 5_007)[0], silent);
    holders.record_sent(silent, MonoMs(5_007));
    assert!(!select(&holders, 5_008).contains(&silent));
    holders.record_reply(silent);
    assert_eq!(select(&holders, 5_009)[0], silent);
}

#[test]
fn retain_drops_what_is_known_of_other_vms() {
    let mut holders = StreamHolders::new();
    (0..8).for_each(|at| holders.record_sent(ip(0), MonoMs(at)));
    let select = |holders: &StreamHolders| {
        holders.select(stream(1), OLD, candidates(1, 0).into_iter(), MonoMs(9))
    };
    assert!(select(&holders).is_empty());
    holders.retain(|it| it != ip(0));
    assert_eq!(select(&holders), [ip(0)]);
}

/// Holders of a deployment, gateways that lose datagrams and all end at one moment.
struct Fleet {
    all: Vec<HolderCandidate>,
    stored: HashMap<IpAddr, StreamVersions>,
    contacts: StreamHolders,
    loss: f64,
    rng: Pcg64Mcg,
}

impl Fleet {
    fn new(old: usize, new: usize, loss: f64, seed: u64) -> Self {
        let all = candidates(old, new);
        let stored = all.iter().map(|it| (it.ip, StreamVersions::new())).collect();
        let (contacts, rng) = (StreamHolders::new(), Pcg64Mcg::seed_from_u64(seed));
        Self { all, stored, contacts, loss, rng }
    }

    fn arrives(&mut self) -> bool {
        !self.rng.random_bool(self.loss)
    }

    /// Begins a stream, and returns the number of messages.
    fn begin(&mut self, key: StreamKey, version: &str, now: MonoMs) -> usize {
        let origin = StreamOrigin { service: "chat".into(), version: version.into() };
        let origin = Arc::new(origin);
        let selected = self.contacts.select(key, version, self.all.iter().cloned(), now);
        for holder in &selected {
            self.contacts.record_sent(*holder, now);
            if self.arrives() && self.stored.contains_key(holder) {
                self.stored.get_mut(holder).unwrap().record(key, &origin, now);
                if self.arrives() {
                    self.contacts.record_reply(*holder);
                }
            }
        }
        selected.len()
    }

    fn find(&mut self, key: StreamKey) -> Option<Arc<str>> {
        let asked = StreamHolders::asked(key, self.all.iter().cloned());
        // Three tries, each with a question and a reply that may get lost.
        for holder in asked.iter().cycle().take(3 * asked.len()) {
            if self.arrives() && self.arrives() {
                let origin = self.stored.get(holder).and_then(|it| it.origin(key));
                if let Some(origin) = origin {
                    return Some(origin.version.clone());
                }
            }
        }
        None
    }
}

/// All gateways end while two versions serve, a quarter of the VMs having left or having no holder.
#[rstest]
fn stream_is_found_after_all_gateways_have_ended(
    #[values((9, 9), (17, 1), (80, 80))] versions: (usize, usize),
    #[values(0.0, 0.3)] loss: f64,
    #[values(false, true)] are_some_absent: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    const STREAMS: u64 = 400;
    let mut fleet = Fleet::new(versions.0, versions.1, loss, seed);
    if are_some_absent {
        let absent: Vec<_> = fleet.all.iter().step_by(4).map(|it| it.ip).collect();
        fleet.stored.retain(|ip, _| !absent.contains(ip));
    }
    let mut began = Vec::new();
    for number in 0..STREAMS {
        let version = fleet.all[fleet.rng.random_range(0..fleet.all.len())].version.clone();
        fleet.begin(stream(number), &version, MonoMs(number * 10));
        began.push(version);
    }
    // Some endpoints have crashed meanwhile, whose VMs are no longer known.
    let left = fleet.rng.random_range(0..fleet.all.len());
    fleet.all.remove(left);
    let mut found = 0;
    for (number, version) in began.iter().enumerate() {
        if let Some(it) = fleet.find(stream(number as u64)) {
            assert_eq!(it, *version, "stream {number} goes on at another version");
            found += 1;
        }
    }
    let share = f64::from(found) / STREAMS as f64;
    let min = if loss > 0.0 { 0.8 } else { 0.95 };
    assert!(share >= min, "{share} found");
}

/// A version is released while its streams begin: its endpoints start one after the other. Then all
/// gateways end.
#[rstest]
fn stream_is_found_after_its_version_has_grown(
    #[values(12, 52, 160)] endpoints: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(endpoints, endpoints, 0.0, seed);
    let all = fleet.all.clone();
    let mut began = 0;
    for started in endpoints + 1..=2 * endpoints {
        fleet.all = all[..started].to_vec();
        for _ in 0..4 {
            fleet.begin(stream(began), NEW, MonoMs(began));
            began += 1;
        }
    }
    let found = (0..began).filter(|it| fleet.find(stream(*it)).is_some()).count();
    assert_eq!(found as u64, began);
    let most_asked = (0..began)
        .map(|it| StreamHolders::asked(stream(it), fleet.all.iter().cloned()).len())
        .max();
    assert!(most_asked <= Some(StreamHolders::MAX_ASKED + StreamHolders::MAX_EARLIER));
}

/// A version replaces another one while streams of that begin. Then all gateways end, and the streams
/// are taken up when few of the earlier endpoints, and of their holders, are left.
#[rstest]
fn stream_is_found_while_its_version_leaves(
    #[values(12, 52, 160)] endpoints: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(endpoints, endpoints, 0.0, seed);
    let all = fleet.all.clone();
    let during = |replaced: usize| {
        let (old, new) = all.split_at(endpoints);
        [&old[replaced..], &new[..replaced]].concat()
    };
    let mut began = 0;
    for replaced in 1..=endpoints / 4 {
        fleet.all = during(replaced);
        for _ in 0..4 {
            fleet.begin(stream(began), OLD, MonoMs(began));
            began += 1;
        }
    }
    fleet.all = during(endpoints - 2);
    fleet.stored.retain(|ip, _| fleet.all.iter().any(|it| it.ip == *ip));
    let found = (0..began).filter(|it| fleet.find(stream(*it)).is_some()).count();
    assert_eq!(found as u64, began);
}

/// 100,000 streams in progress over a fleet of 160 endpoints.
#[test]
fn state_and_messages_are_bounded_with_100_000_streams() {
    const STREAMS: u64 = 100_000;
    let mut fleet = Fleet::new(80, 80, 0.0, 1);
    for number in 0..STREAMS {
        let version = if number % 2 == 0 { OLD } else { NEW };
        assert_eq!(fleet.begin(stream(number), version, MonoMs(1)), StreamHolders::PER_STREAM + 1);
    }
    let mean = STREAMS as usize * (StreamHolders::PER_STREAM + 1) / fleet.all.len();
    for (ip, stored) in &fleet.stored {
        assert!(stored.len() < 2 * mean, "{} streams at {ip}", stored.len());
        assert!(stored.len() <= StreamVersions::MAX_STREAMS);
    }
    assert!((0..STREAMS).step_by(97).all(|it| fleet.find(stream(it)).is_some()));
    fleet.stored.values_mut().for_each(|it| it.expire(MonoMs(1 + StreamVersions::KEPT_MS)));
    assert!(fleet.stored.values().all(StreamVersions::is_empty));
}
