//! Tests of the pauses that endpoints ask for.

use std::net::SocketAddr;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    Choice, ColdEndpoints, Endpoint, EndpointDirectory, EndpointLimits, EndpointPauses,
    EndpointSpeeds, FleetView, HealthSettings, HealthTracker, LoadTracker, NoChoice, PickRequest,
    Picker, PickerSettings, PrefixMap, PromptPart,
};
use persimmon_decide::load::EndpointHash;
use proptest::prelude::*;
use rstest::rstest;

const SERVICE: &str = "chat";

struct Fleet {
    endpoints: EndpointDirectory,
    loads: LoadTracker,
    pauses: EndpointPauses,
}

impl Fleet {
    fn new(count: u8) -> Self {
        let mut endpoints = EndpointDirectory::new();
        for number in 1..=count {
            let address = SocketAddr::from(([10, 0, 0, number], 8_000));
            let endpoint =
                Endpoint::new(&format!("endpoint-{number}"), Some(1), SERVICE.into(), address);
            endpoints.insert(endpoint.with_zone("zone-a").with_slots(8));
        }
        Self { endpoints, loads: LoadTracker::new(), pauses: EndpointPauses::new() }
    }

    fn hashes(&self) -> Vec<EndpointHash> {
        self.endpoints.iter().map(|it| it.hash).collect()
    }

    fn pick(
        &self,
        parts: &[PromptPart],
        tried: &[EndpointHash],
        draw: u64,
        now: MonoMs,
    ) -> Result<Choice, NoChoice> {
        let view = FleetView {
            endpoints: &self.endpoints,
            loads: &self.loads,
            health: &HealthTracker::new(HealthSettings::default()),
            pauses: &self.pauses,
            limits: &EndpointLimits::new(),
            cold: &ColdEndpoints::new(None),
            records_age_ms: Some(0),
            speeds: &EndpointSpeeds::new(),
            load_interval_ms: 100,
            prefixes: &PrefixMap::new(),
            now,
        };
        let req = PickRequest {
            service: SERVICE,
            parts,
            may_repeat: true,
            max_fill: f64::INFINITY,
            version: None,
            tried,
            zone: "zone-a",
            count_weight: 1.0,
            draw,
        };
        Picker::new(PickerSettings::default()).pick(&req, view)
    }
}

#[test]
fn paused_endpoint_gets_nothing_until_its_pause_ends() {
    let mut fleet = Fleet::new(2);
    let paused = fleet.hashes()[0];
    fleet.pauses.record(paused, 1_500, MonoMs(1_000));
    for draw in 0..100 {
        assert_ne!(fleet.pick(&[], &[], draw, MonoMs(2_499)).unwrap().endpoint.hash, paused);
    }
    let back = (0..100)
        .any(|draw| fleet.pick(&[], &[], draw, MonoMs(2_500)).unwrap().endpoint.hash == paused);
    assert!(back, "the endpoint isn't used after its pause");
}

#[test]
fn all_paused_tells_when_the_first_is_back() {
    let mut fleet = Fleet::new(3);
    for (number, hash) in fleet.hashes().into_iter().enumerate() {
        fleet.pauses.record(hash, 3_000 - number as u64 * 1_000, MonoMs(0));
    }
    let choice = fleet.pick(&[], &[], 0, MonoMs(400));
    assert_eq!(choice.unwrap_err(), NoChoice::Paused { left_ms: 600 });
}

#[test]
fn untried_endpoint_that_is_paused_isnt_reported_as_none() {
    let mut fleet = Fleet::new(2);
    let hashes = fleet.hashes();
    fleet.pauses.record(hashes[0], 700, MonoMs(0));
    let choice = fleet.pick(&[], &hashes[1..], 0, MonoMs(0));
    assert_eq!(choice.unwrap_err(), NoChoice::Paused { left_ms: 700 });
    assert_eq!(fleet.pick(&[], &hashes, 0, MonoMs(0)).unwrap_err(), NoChoice::NoEndpoint);
}

/// With half of the endpoints paused, the load bound is that of the others.
#[test]
fn load_of_paused_endpoints_doesnt_count_for_the_mean() {
    let mut fleet = Fleet::new(4);
    let hashes = fleet.hashes();
    for hash in &hashes[..2] {
        fleet.pauses.record(*hash, 10_000, MonoMs(0));
    }
    let parts = [PromptPart { id: 7, tokens: 500 }, PromptPart { id: 8, tokens: 10 }];
    for _ in 0..40 {
        let choice = fleet.pick(&parts, &[], 3, MonoMs(1)).unwrap();
        fleet.loads.begin(choice.endpoint.hash, 0);
    }
    let loads: Vec<_> = hashes[2..].iter().map(|it| fleet.loads.total(*it).requests).collect();
    assert_eq!(loads.iter().sum::<u32>(), 40);
    let most = f64::from(*loads.iter().max().unwrap());
    assert!(most <= 1.7 * 20.0 + 2.0, "{loads:?}");
}

#[rstest]
#[case::shorter_later(&[(2_000, 0), (500, 100)], 2_000)]
#[case::longer_later(&[(500, 0), (2_000, 100)], 2_100)]
#[case::absurd(&[(u64::MAX, 0)], EndpointPauses::MAX_PAUSE_MS)]
fn pause_is_never_shortened(#[case] records: &[(u64, u64)], #[case] end: u64) {
    let mut pauses = EndpointPauses::new();
    for (ms, at) in records {
        pauses.record(EndpointHash(1), *ms, MonoMs(*at));
    }
    assert_eq!(pauses.left_ms(EndpointHash(1), MonoMs(end - 1)), Some(1));
    assert_eq!(pauses.left_ms(EndpointHash(1), MonoMs(end)), None);
}

#[test]
fn retain_drops_ended_pauses_and_unpublished_endpoints() {
    let mut pauses = EndpointPauses::new();
    pauses.record(EndpointHash(1), 100, MonoMs(0));
    pauses.record(EndpointHash(2), 5_000, MonoMs(0));
    pauses.record(EndpointHash(3), 5_000, MonoMs(0));
    pauses.retain(|endpoint| endpoint != EndpointHash(3), MonoMs(1_000));
    assert_eq!(pauses.len(), 1);
    assert_eq!(pauses.left_ms(EndpointHash(2), MonoMs(1_000)), Some(4_000));
}

proptest! {
    /// Callers return after the first endpoint is back, spread over a limited time.
    #[test]
    fn callers_return_after_the_pause(left_ms in 0u64..1_000_000, draw: u64) {
        let retry_after_ms = EndpointPauses::retry_after_ms(left_ms, draw);
        prop_assert!(retry_after_ms >= left_ms);
        prop_assert!(retry_after_ms < left_ms + EndpointPauses::RETURN_SPREAD_MS);
    }
}
