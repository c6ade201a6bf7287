//! Endpoints that fail some of their requests although they are reachable, in a fleet of gateways.

mod forward_endpoints;

use std::net::IpAddr;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    ColdEndpoints, EndpointDirectory, EndpointLimits, EndpointPauses, EndpointSpeeds, FleetView,
    HealthSettings, HealthTracker, LoadTracker, Outcomes, PickRequest, Picker, PickerSettings,
    PrefixMap,
};
use persimmon_decide::load::EndpointHash;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SERVICE: &str = "engines";
/// Share of its requests that a failing endpoint fails.
const FAILING_RATE: f64 = 0.6;
/// Time for which the endpoints fail, in milliseconds.
const DURATION_MS: u64 = 8_000;
/// Interval between digests, in milliseconds.
const DIGEST_MS: u64 = 350;
/// Maximum number of endpoints in a digest's outcomes.
const DIGEST_OUTCOMES: usize = 64;
/// Maximum share of failed requests. The goal is that each kind of request earns 0.93 of its credit
/// on days with faults.
const MAX_FAILED: f64 = 0.07;

/// Gateways and endpoints, the first few of which fail.
struct Fleet {
    directory: EndpointDirectory,
    hashes: Vec<EndpointHash>,
    trackers: Vec<HealthTracker>,
    rng: Pcg64Mcg,
}

impl Fleet {
    fn new(gateways: usize, endpoints: u8) -> Self {
        let (directory, hashes) = forward_endpoints::publish(SERVICE, endpoints, 64);
        let trackers =
            (0..gateways).map(|_| HealthTracker::new(HealthSettings::default())).collect();
        Self { directory, hashes, trackers, rng: Pcg64Mcg::seed_from_u64(11) }
    }

    fn pick(&mut self, gateway: usize, now: MonoMs) -> EndpointHash {
        let req = PickRequest {
            service: SERVICE,
            parts: &[],
            may_repeat: false,
            max_fill: f64::INFINITY,
            version: None,
            tried: &[],
            zone: "zone-a",
            count_weight: 1.0,
            draw: self.rng.random(),
        };
        let view = FleetView {
            endpoints: &self.directory,
            loads: &LoadTracker::new(),
            pauses: &EndpointPauses::new(),
            limits: &EndpointLimits::new(),
            cold: &ColdEndpoints::new(None),
            records_age_ms: Some(0),
            speeds: &EndpointSpeeds::new(),
            load_interval_ms: 100,
            health: &self.trackers[gateway],
            prefixes: &PrefixMap::new(),
            now,
        };
        let choice = Picker::new(PickerSettings::default()).pick(&req, view);
        choice.expect("an endpoint").endpoint.hash
    }

    fn exchange_digests(&mut self, now: MonoMs) {
        for from in 0..self.trackers.len() {
            let ip = IpAddr::from([10, 1, 0, from as u8]);
            let reported = self.trackers[from].outcomes(DIGEST_OUTCOMES, now);
            for (to, tracker) in self.trackers.iter_mut().enumerate() {
                if to != from {
                    tracker.replace_peer(ip, reported.clone());
                }
            }
        }
    }

    /// Sends `per_s` requests a second and returns the share that failed. `fails` says for which
    /// gateways the first `failing` endpoints fail.
    fn simulate(&mut self, per_s: u64, failing: usize, fails: impl Fn(usize) -> bool) -> f64 {
        let requests = per_s * DURATION_MS / 1_000;
        let mut last_exchange = 0;
        let mut failed = 0;
        for request in 0..requests {
            let now = MonoMs(1_000 + request * 1_000 / per_s);
            if now.0 >= last_exchange + DIGEST_MS {
                last_exchange = now.0;
                self.exchange_digests(now);
            }
            let gateway = self.rng.random_range(0..self.trackers.len());
            let endpoint = self.pick(gateway, now);
            let may_fail = fails(gateway) && self.hashes[..failing].contains(&endpoint);
            let is_good = !(may_fail && self.rng.random_bool(FAILING_RATE));
            self.trackers[gateway].record_outcome(endpoint, is_good, now);
            failed += u64::from(!is_good);
        }
        failed as f64 / requests as f64
    }
}

#[rstest]
#[case::few_gateways(5, 18, 48, 4)]
#[case::many_gateways(28, 52, 182, 10)]
#[case::very_many_gateways(100, 200, 700, 40)]
fn outcomes_of_peers_reduce_failed_requests(
    #[case] gateways: usize,
    #[case] endpoints: u8,
    #[case] per_s: u64,
    #[case] failing: usize,
) {
    let failed = Fleet::new(gateways, endpoints).simulate(per_s, failing, |_| true);
    assert!(failed <= MAX_FAILED, "{failed:.3} of the requests failed");
}

#[test]
fn outcomes_of_peers_do_not_avoid_endpoint_healthy_here() {
    let mut fleet = Fleet::new(2, 4);
    let failed = fleet.simulate(200, 1, |gateway| gateway == 0);
    // Without avoidance, the share would be 0.075: a quarter of one gateway's requests, at the
    // failing rate.
    assert!(failed <= 0.025, "{failed:.3} of the requests failed");
    let now = MonoMs(1_000 + DURATION_MS);
    let avoided = fleet.trackers[1].failing(fleet.hashes.iter().copied(), now);
    assert!(avoided.is_empty(), "{avoided:?}");
}

#[test]
fn outcomes_rare_failures_avoid_no_endpoint() {
    let mut fleet = Fleet::new(28, 52);
    for (at, hash) in fleet.hashes.clone().into_iter().enumerate() {
        for request in 0..28 {
            let is_good = (request + at) % 20 != 0;
            fleet.trackers[request].record_outcome(hash, is_good, MonoMs(1_000));
        }
    }
    // Two exchanges: a gateway reports its good outcomes only after a peer has reported a failure.
    fleet.exchange_digests(MonoMs(1_000));
    fleet.exchange_digests(MonoMs(1_100));
    for tracker in &fleet.trackers {
        let avoided = tracker.failing(fleet.hashes.iter().copied(), MonoMs(1_100));
        assert!(avoided.is_empty(), "{avoided:?}");
    }
}

#[test]
fn drop_peer_removes_its_outcomes() {
    let mut tracker = HealthTracker::new(HealthSettings::default());
    let peer = IpAddr::from([10, 1, 0, 1]);
    tracker.replace_peer(peer, vec![(EndpointHash(1), Outcomes { good: 0, bad: u32::MAX })]);
    assert!(tracker.failure_rate(EndpointHash(1), MonoMs(0)) > 0.5);
    tracker.drop_peer(peer);
    assert!(tracker.failure_rate(EndpointHash(1), MonoMs(0)) < f64::EPSILON);
}

#[test]
fn outcomes_cover_endpoints_with_any_failure() {
    let mut tracker = HealthTracker::new(HealthSettings::default());
    for endpoint in 1..=3 {
        tracker.record_outcome(EndpointHash(endpoint), endpoint != 1, MonoMs(0));
    }
    let only = |endpoint, good, bad| vec![(EndpointHash(endpoint), Outcomes { good, bad })];
    assert_eq!(tracker.outcomes(10, MonoMs(0)), only(1, 0, 1));
    let peer = IpAddr::from([10, 1, 0, 1]);
    tracker.replace_peer(peer, only(2, 0, 5));
    assert_eq!(tracker.outcomes(1, MonoMs(0)), only(2, 1, 0));
    assert_eq!(tracker.outcomes(10, MonoMs(0)).len(), 2);
}
