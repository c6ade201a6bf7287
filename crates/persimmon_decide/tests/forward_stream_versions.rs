//! Tests of the memory of the software versions that began streams.

use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    Digest, ServedVersions, StreamKey, StreamMessage, StreamOrigin, StreamVersions,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Largest payload of a datagram that fits into one packet on an ordinary network, in bytes.
const PACKET_BYTES: usize = 1_400;

fn ip(number: usize) -> IpAddr {
    IpAddr::from([10, 0, 0, u8::try_from(number).unwrap()])
}

fn version(number: u32) -> Arc<str> {
    format!("v{number}").into()
}

fn origin(number: u32) -> Arc<StreamOrigin> {
    Arc::new(StreamOrigin { service: "chat".into(), version: version(number) })
}

#[test]
fn key_differs_between_workspaces_and_attempts() {
    let keys = [("a", "1"), ("a", "2"), ("b", "1"), ("", "a1"), ("a1", "")];
    let keys: HashSet<_> = keys.map(|(workspace, id)| StreamKey::of(workspace, id)).into();
    assert_eq!(keys.len(), 5);
}

#[test]
fn holders_are_spread_and_agree_between_gateways() {
    let fleet: Vec<_> = (0..23).map(ip).collect();
    let mut counts = [0; 23];
    for number in 0..2_000 {
        let stream = StreamKey::of("desk", &number.to_string());
        let holders = stream.holders(ip(0), &fleet, 4);
        assert_eq!(holders.iter().collect::<HashSet<_>>().len(), 4);
        assert!(!holders.contains(&ip(0)));
        // A gateway that isn't among the holders itself finds the same ones.
        let asked = stream.holders(ip(1), &fleet, 8);
        assert!(holders.iter().all(|it| *it == ip(1) || asked.contains(it)));
        for holder in holders {
            counts[fleet.iter().position(|it| *it == holder).unwrap()] += 1;
        }
    }
    assert!(counts[1..].iter().all(|it| (200..600).contains(it)), "{counts:?}");
}

#[test]
fn stream_is_kept_while_its_caller_goes_on() {
    let mut streams = StreamVersions::new();
    streams.record_own(StreamKey(1), &origin(1), MonoMs(0));
    streams.record_own(StreamKey(2), &origin(2), MonoMs(0));
    assert_eq!(streams.take_untold().len(), 2);
    assert!(streams.take_untold().is_empty());
    streams.record(StreamKey(1), &origin(1), MonoMs(50_000));
    streams.expire(MonoMs(60_000));
    assert_eq!(streams.origin(StreamKey(1)), Some(&origin(1)));
    assert_eq!(streams.origin(StreamKey(2)), None);
    streams.expire(MonoMs(110_000));
    assert!(streams.is_empty());
}

#[test]
fn memory_is_bounded() {
    let mut streams = StreamVersions::new();
    let count = StreamVersions::MAX_STREAMS as u64 + 10;
    (0..count).for_each(|it| streams.record(StreamKey(it), &origin(1), MonoMs(it)));
    assert_eq!(streams.len(), StreamVersions::MAX_STREAMS);
    assert_eq!(streams.origin(StreamKey(9)), None);
    assert!(streams.origin(StreamKey(10)).is_some());
}

#[rstest]
#[case::none(&[], 0, None)]
#[case::one(&[(1, 0)], 59_999, Some(1))]
#[case::two(&[(1, 0), (2, 0)], 0, None)]
#[case::earlier_one_is_gone(&[(1, 0), (2, 30_000)], 60_000, Some(2))]
#[case::earlier_one_may_have_begun_streams(&[(1, 0), (2, 30_000)], 59_999, None)]
fn only_version(#[case] served: &[(u32, u64)], #[case] at: u64, #[case] only: Option<u32>) {
    let mut versions = ServedVersions::new();
    let service: Arc<str> = "chat".into();
    for (number, at) in served {
        versions.record(&service, &version(*number), MonoMs(*at));
    }
    versions.record(&"another".into(), &version(9), MonoMs(at));
    versions.expire(MonoMs(at));
    assert_eq!(versions.only(&service), only.map(version).as_ref());
}

#[test]
fn message_round_trips_and_is_no_digest() {
    let streams: Vec<_> =
        (0..StreamMessage::MAX_STREAMS as u64).map(|it| StreamKey(u64::MAX - it)).collect();
    let messages = [
        StreamMessage::Begun { origin: origin(12), streams },
        StreamMessage::Query { stream: StreamKey(u64::MAX) },
        StreamMessage::Reply { stream: StreamKey(7), origin: Some(origin(1)) },
        StreamMessage::Reply { stream: StreamKey(7), origin: None },
        StreamMessage::Stored,
    ];
    for message in messages {
        let bytes = message.to_bytes().unwrap();
        assert!(bytes.len() <= PACKET_BYTES, "{} bytes", bytes.len());
        assert_eq!(StreamMessage::from_bytes(&bytes).unwrap().unwrap(), message);
        assert!(Digest::from_bytes(&bytes).is_err());
        for length in 0..bytes.len() {
            let decoded = StreamMessage::from_bytes(&bytes[..length]);
            assert!(!matches!(decoded, Some(Ok(_))), "{length} bytes");
        }
    }
}

/// Gateways that begin streams, end without notice, start again and lose datagrams.
struct Fleet {
    gateways: Vec<StreamVersions>,
    addresses: Vec<IpAddr>,
    loss: f64,
    rng: Pcg64Mcg,
}

impl Fleet {
    fn new(count: usize, loss: f64, seed: u64) -> Self {
        let gateways = (0..count).map(|_| StreamVersions::new()).collect();
        let addresses = (0..count).map(ip).collect();
        Self { gateways, addresses, loss, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    fn arrives(&mut self) -> bool {
        !self.rng.random_bool(self.loss)
    }

    fn number_of(&self, address: IpAddr) -> usize {
        self.addresses.iter().position(|it| *it == address).unwrap()
    }

    fn begin(
        &mut self,
        gateway: usize,
        stream: StreamKey,
        origin: &Arc<StreamOrigin>,
        now: MonoMs,
    ) {
        self.gateways[gateway].record_own(stream, origin, now);
        for (stream, origin) in self.gateways[gateway].take_untold() {
            let own = self.addresses[gateway];
            for holder in stream.holders(own, &self.addresses, StreamVersions::HOLDERS) {
                if self.arrives() {
                    let holder = self.number_of(holder);
                    self.gateways[holder].record(stream, &origin, now);
                }
            }
        }
    }

    fn find(&mut self, gateway: usize, stream: StreamKey) -> Option<Arc<StreamOrigin>> {
        if let Some(origin) = self.gateways[gateway].origin(stream) {
            return Some(origin.clone());
        }
        let own = self.addresses[gateway];
        let asked = stream.holders(own, &self.addresses, 2 * StreamVersions::HOLDERS);
        // Three tries, each with a question and a reply that may get lost.
        for _ in 0..3 {
            for holder in &asked {
                let holder = self.number_of(*holder);
                if self.arrives() && self.arrives() {
                    let origin = self.gateways[holder].origin(stream).cloned();
                    if origin.is_some() {
                        return origin;
                    }
                }
            }
        }
        None
    }
}

/// Versions change all the time, every stream is taken up twice, and a gateway ends after each.
#[rstest]
fn stream_taken_up_anywhere_finds_its_version(
    #[values(2, 4, 23, 103)] gateways: usize,
    #[values(0.0, 0.3)] loss: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    const STREAMS: u64 = 2_000;
    let mut fleet = Fleet::new(gateways, loss, seed);
    let (mut found, mut asked) = (0, 0);
    for number in 0..STREAMS {
        let now = MonoMs(number * 50);
        let stream = StreamKey::of("desk", &number.to_string());
        let began = origin(fleet.rng.random_range(1..4));
        let first = fleet.rng.random_range(0..gateways);
        fleet.begin(first, stream, &began, now);
        // Sometimes the gateway that began the stream, otherwise any.
        let ended = if number % 2 == 0 { first } else { fleet.rng.random_range(0..gateways) };
        fleet.gateways[ended] = StreamVersions::new();
        for _ in 0..2 {
            let gateway = fleet.rng.random_range(0..gateways);
            asked += 1;
            if let Some(found_origin) = fleet.find(gateway, stream) {
                assert_eq!(found_origin, began, "stream {number} goes on at another version");
                fleet.begin(gateway, stream, &found_origin, now);
                found += 1;
            }
        }
        fleet.gateways.iter_mut().for_each(|it| it.expire(now));
    }
    let share = f64::from(found) / f64::from(asked);
    // Two gateways have nobody else to ask.
    let min = if gateways == 2 && loss > 0.0 { 0.7 } else { 0.95 };
    assert!(share >= min, "{share} found");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(24), cases: 4_000, ..ProptestConfig::default() })]

    #[test]
    fn decoding_any_bytes_terminates(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = StreamMessage::from_bytes(&bytes);
        let _ = StreamMessage::from_bytes(&[&[0xff; 10][..], &bytes].concat());
    }
}
