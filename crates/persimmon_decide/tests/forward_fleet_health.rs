//! Endpoints that fail part of their requests while they seem healthy, before a fleet of gateways.

use std::net::{IpAddr, SocketAddr};

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    Endpoint, EndpointDirectory, FleetView, HealthSettings, HealthTracker, LoadTracker, Outcomes,
    PickRequest, Picker, PickerSettings, PrefixMap,
};
use persimmon_decide::load::EndpointHash;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SERVICE: &str = "engines";
/// Share of the requests that a failing endpoint fails.
const FAILING_RATE: f64 = 0.6;
/// How long endpoints fail, in milliseconds.
const LENGTH_MS: u64 = 8_000;
/// Time between two digests, in milliseconds.
const DIGEST_MS: u64 = 350;
/// Most digest entries for outcomes.
const DIGEST_OUTCOMES: usize = 64;
/// Share of requests that may fail: each kind of request is to earn 0.93 of its credit on days with
/// trouble.
const MAX_FAILED: f64 = 0.07;

/// Gateways before endpoints of which the first few fail.
struct Fleet {
    directory: EndpointDirectory,
    hashes: Vec<EndpointHash>,
    books: Vec<HealthTracker>,
    rng: Pcg64Mcg,
}

impl Fleet {
    fn new(gateways: usize, endpoints: u8) -> Self {
        let mut directory = EndpointDirectory::new();
        let mut hashes = Vec::new();
        for number in 0..endpoints {
            let address = SocketAddr::from(([10, 0, 0, number], 8_000));
            let endpoint =
                Endpoint::new(&format!("endpoint-{number}"), Some(1), SERVICE.into(), address)
                    .with_slots(64);
            hashes.push(endpoint.hash);
            directory.insert(endpoint);
        }
        let books = (0..gateways).map(|_| HealthTracker::new(HealthSettings::default())).collect();
        Self { directory, hashes, books, rng: Pcg64Mcg::seed_from_u64(11) }
    }

    fn pick(&mut self, gateway: usize, now: MonoMs) -> EndpointHash {
        let req = PickRequest {
            service: SERVICE,
            parts: &[],
            may_repeat: false,
            max_fill: f64::INFINITY,
            tried: &[],
            zone: "zone-a",
            draw: self.rng.random(),
        };
        let view = FleetView {
            endpoints: &self.directory,
            loads: &LoadTracker::new(),
            health: &self.books[gateway],
            prefixes: &PrefixMap::new(),
            now,
        };
        let choice = Picker::new(PickerSettings::default()).pick(&req, view);
        choice.expect("an endpoint").endpoint.hash
    }

    fn tell_all(&mut self, now: MonoMs) {
        for from in 0..self.books.len() {
            let ip = IpAddr::from([10, 1, 0, from as u8]);
            let told = self.books[from].outcomes(DIGEST_OUTCOMES, now);
            for (to, book) in self.books.iter_mut().enumerate() {
                if to != from {
                    book.replace_peer(ip, told.clone());
                }
            }
        }
    }

    /// Sends `per_s` requests a second and returns the share that failed. `fails` says for which
    /// gateways the first `failing` endpoints fail.
    fn play(&mut self, per_s: u64, failing: usize, fails: impl Fn(usize) -> bool) -> f64 {
        let requests = per_s * LENGTH_MS / 1_000;
        let mut told = 0;
        let mut failed = 0;
        for request in 0..requests {
            let now = MonoMs(1_000 + request * 1_000 / per_s);
            if now.0 >= told + DIGEST_MS {
                told = now.0;
                self.tell_all(now);
            }
            let gateway = self.rng.random_range(0..self.books.len());
            let endpoint = self.pick(gateway, now);
            let may_fail = fails(gateway) && self.hashes[..failing].contains(&endpoint);
            let is_good = !(may_fail && self.rng.random_bool(FAILING_RATE));
            self.books[gateway].record_outcome(endpoint, is_good, now);
            failed += u64::from(!is_good);
        }
        failed as f64 / requests as f64
    }
}

#[rstest]
#[case::few_gateways(5, 18, 48, 4)]
#[case::many_gateways(28, 52, 182, 10)]
#[case::very_many_gateways(100, 200, 700, 40)]
fn outcomes_of_peers_spare_callers(
    #[case] gateways: usize,
    #[case] endpoints: u8,
    #[case] per_s: u64,
    #[case] failing: usize,
) {
    let failed = Fleet::new(gateways, endpoints).play(per_s, failing, |_| true);
    assert!(failed <= MAX_FAILED, "{failed:.3} of the requests failed");
}

#[test]
fn outcomes_of_peers_dont_condemn_what_serves_this_gateway() {
    let mut fleet = Fleet::new(2, 4);
    let failed = fleet.play(200, 1, |gateway| gateway == 0);
    // Without avoidance it would be a quarter of one gateway's requests, at the failing rate:
    // 0.075.
    assert!(failed <= 0.025, "{failed:.3} of the requests failed");
    let now = MonoMs(1_000 + LENGTH_MS);
    let avoided = fleet.books[1].failing(fleet.hashes.iter().copied(), now);
    assert!(avoided.is_empty(), "{avoided:?}");
}

#[test]
fn outcomes_rare_failures_condemn_nobody() {
    let mut fleet = Fleet::new(28, 52);
    for (at, hash) in fleet.hashes.clone().into_iter().enumerate() {
        for request in 0..28 {
            let is_good = (request + at) % 20 != 0;
            fleet.books[request].record_outcome(hash, is_good, MonoMs(1_000));
        }
    }
    // Twice, since the good outcomes follow the first word of a bad one.
    fleet.tell_all(MonoMs(1_000));
    fleet.tell_all(MonoMs(1_100));
    for book in &fleet.books {
        let avoided = book.failing(fleet.hashes.iter().copied(), MonoMs(1_100));
        assert!(avoided.is_empty(), "{avoided:?}");
    }
}

#[test]
fn outcomes_of_a_peer_that_is_gone_are_forgotten() {
    let mut book = HealthTracker::new(HealthSettings::default());
    let peer = IpAddr::from([10, 1, 0, 1]);
    book.replace_peer(peer, vec![(EndpointHash(1), Outcomes { good: 0, bad: u32::MAX })]);
    assert!(book.failure_rate(EndpointHash(1), MonoMs(0)) > 0.5);
    book.drop_peer(peer);
    assert!(book.failure_rate(EndpointHash(1), MonoMs(0)) < f64::EPSILON);
}

#[test]
fn outcomes_are_told_where_somebody_failed() {
    let mut book = HealthTracker::new(HealthSettings::default());
    for endpoint in 1..=3 {
        book.record_outcome(EndpointHash(endpoint), endpoint != 1, MonoMs(0));
    }
    let only = |endpoint, good, bad| vec![(EndpointHash(endpoint), Outcomes { good, bad })];
    assert_eq!(book.outcomes(10, MonoMs(0)), only(1, 0, 1));
    let peer = IpAddr::from([10, 1, 0, 1]);
    book.replace_peer(peer, only(2, 0, 5));
    assert_eq!(book.outcomes(1, MonoMs(0)), only(2, 1, 0));
    assert_eq!(book.outcomes(10, MonoMs(0)).len(), 2);
}
