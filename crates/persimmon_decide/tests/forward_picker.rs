//! Selection of endpoints.

mod forward_common;

use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr};

use forward_common::prompt;
use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    Choice, ColdEndpoints, Endpoint, EndpointDirectory, EndpointLimits, EndpointLoad,
    EndpointPauses, EndpointSpeeds, EndpointState, FleetView, HealthSettings, HealthTracker,
    LoadTracker, NoChoice, PickRequest, Picker, PickerSettings, PrefixMap, PromptPart,
};
use persimmon_decide::load::EndpointHash;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SERVICE: &str = "engines";

/// Returns a ready endpoint with 64 slots.
fn endpoint(number: u8) -> Endpoint {
    let address = SocketAddr::from(([10, 0, 0, number], 8_000));
    Endpoint::new(&format!("endpoint-{number}"), Some(1), SERVICE.into(), address)
        .with_zone("zone-a")
        .with_slots(64)
}

/// Returns a directory of the endpoints 1 to `count`.
fn directory(count: u8) -> EndpointDirectory {
    let mut directory = EndpointDirectory::new();
    for number in 1..=count {
        directory.insert(endpoint(number));
    }
    directory
}

/// The state of one gateway that the picker uses.
struct Gateway {
    directory: EndpointDirectory,
    loads: LoadTracker,
    health: HealthTracker,
    prefixes: PrefixMap,
}

impl Gateway {
    fn new(endpoints: u8) -> Self {
        Self {
            directory: directory(endpoints),
            loads: LoadTracker::new(),
            health: HealthTracker::new(HealthSettings::default()),
            prefixes: PrefixMap::new(),
        }
    }

    fn pick(&self, parts: &[PromptPart], tried: &[EndpointHash], draw: u64) -> Option<Choice> {
        self.pick_for(parts, true, tried, draw)
    }

    fn pick_for(
        &self,
        parts: &[PromptPart],
        may_repeat: bool,
        tried: &[EndpointHash],
        draw: u64,
    ) -> Option<Choice> {
        let req = PickRequest {
            service: SERVICE,
            parts,
            may_repeat,
            max_fill: f64::INFINITY,
            version: None,
            tried,
            zone: "zone-a",
            count_weight: 1.0,
            draw,
        };
        self.pick_req(&req).ok()
    }

    fn pick_req(&self, req: &PickRequest<'_>) -> Result<Choice, NoChoice> {
        let view = FleetView {
            endpoints: &self.directory,
            loads: &self.loads,
            health: &self.health,
            pauses: &EndpointPauses::new(),
            limits: &EndpointLimits::new(),
            cold: &ColdEndpoints::new(None),
            records_age_ms: Some(0),
            speeds: &EndpointSpeeds::new(),
            load_interval_ms: 100,
            prefixes: &self.prefixes,
            now: MonoMs(1_000),
        };
        Picker::new(PickerSettings::default()).pick(req, view)
    }

    fn send(&mut self, parts: &[PromptPart], draw: u64) -> EndpointHash {
        let choice = self.pick(parts, &[], draw).expect("an endpoint");
        self.prefixes.record(parts, choice.endpoint.hash, MonoMs(1_000));
        self.loads.begin(choice.endpoint.hash, 0);
        choice.endpoint.hash
    }
}

#[test]
fn replaced_endpoints_are_picked_only_if_no_other_is_left() {
    let mut gateway = Gateway::new(2);
    let one = gateway.pick(&[], &[], 0).unwrap().endpoint.hash;
    let two = gateway.pick(&[], &[one], 0).unwrap().endpoint.hash;
    gateway.directory.mark_replaced(one, MonoMs(1_000));
    for draw in 0..50 {
        assert_eq!(gateway.pick(&[], &[], draw).unwrap().endpoint.hash, two);
    }
    // The other one has failed the request.
    assert_eq!(gateway.pick(&[], &[two], 0).unwrap().endpoint.hash, one);
    gateway.directory.mark_replaced(two, MonoMs(1_000));
    let picked = |draw| gateway.pick(&[], &[], draw).unwrap().endpoint.hash;
    assert!((0..50).any(|draw| picked(draw) == one) && (0..50).any(|draw| picked(draw) == two));
    assert!(gateway.pick(&[], &[one, two], 0).is_none());
}

#[rstest::rstest]
#[case::usual(2.0, 1.7)]
#[case::tight(1.25, 1.0625)]
#[case::none_to_spare(1.0, 1.0)]
fn for_bound_stays_below_bound(#[case] bound: f64, #[case] expected: f64) {
    let settings = PickerSettings::for_bound(bound);
    assert!((settings.max_load_factor - expected).abs() < 1e-9);
    assert!(settings.tolerated_load_factor <= settings.max_load_factor);
}

#[test]
fn pick_without_prompt_least_loaded() {
    let mut gateway = Gateway::new(3);
    gateway.loads.begin(endpoint(1).hash, 0);
    gateway.loads.begin(endpoint(3).hash, 0);
    for draw in 0..10 {
        let choice = gateway.pick(&[], &[], draw).expect("an endpoint");
        assert_eq!(choice.endpoint.hash, endpoint(2).hash);
    }
}

#[test]
fn pick_without_prompt_tie_prefers_own_zone() {
    let mut gateway = Gateway::new(4);
    gateway.directory.insert(endpoint(2).with_zone("zone-b"));
    for draw in 0..50 {
        let choice = gateway.pick(&[], &[], draw).expect("an endpoint");
        assert_ne!(choice.endpoint.hash, endpoint(2).hash);
    }
}

#[test]
fn pick_excludes_draining_and_tried() {
    let mut gateway = Gateway::new(3);
    gateway.directory.insert(endpoint(1).with_state(EndpointState::Draining));
    let choice = gateway.pick(&[], &[endpoint(2).hash], 0).expect("an endpoint");
    assert_eq!(choice.endpoint.hash, endpoint(3).hash);
    assert!(gateway.pick(&[], &[endpoint(2).hash, endpoint(3).hash], 0).is_none());
}

#[test]
fn pick_avoids_ejected_unless_all_are() {
    let mut gateway = Gateway::new(2);
    gateway.health.record_unreachable(endpoint(1).hash, MonoMs(990));
    for draw in 0..20 {
        let choice = gateway.pick(&[], &[], draw).expect("an endpoint");
        assert_eq!(choice.endpoint.hash, endpoint(2).hash);
    }
    gateway.health.record_unreachable(endpoint(2).hash, MonoMs(990));
    assert!(gateway.pick(&[], &[], 0).is_some());
}

#[test]
fn pick_prompt_returns_to_its_holder() {
    let mut gateway = Gateway::new(18);
    let first = gateway.send(&prompt(5, 1), 1);
    for own in 2..8 {
        gateway.loads.end(first, 0);
        assert_eq!(gateway.send(&prompt(5, own), own), first);
    }
}

/// The endpoint with the cached prompt has failed a few requests, too few to be avoided.
#[rstest::rstest]
#[case::repeatable_goes_to_holder(true, true)]
#[case::unrepeatable_avoids_holder(false, false)]
fn pick_holder_that_failed(#[case] may_repeat: bool, #[case] stays: bool) {
    let mut gateway = Gateway::new(18);
    let holder = gateway.send(&prompt(5, 1), 1);
    gateway.loads.end(holder, 0);
    for is_good in [true, true, false] {
        gateway.health.record_outcome(holder, is_good, MonoMs(1_000));
    }
    let choice = gateway.pick_for(&prompt(5, 2), may_repeat, &[], 2).expect("an endpoint");
    assert_eq!(choice.endpoint.hash == holder, stays);
    assert_eq!(choice.fetch_from.is_some_and(|source| source.hash == holder), !stays);
}

/// Every endpoint fails some requests; the one with the cached prompt fails fewer than most.
#[test]
fn pick_unrepeatable_prefers_holder_if_most_fail_more() {
    let mut gateway = Gateway::new(18);
    let holder = gateway.send(&prompt(5, 1), 1);
    gateway.loads.end(holder, 0);
    let faultless = (1..=18).map(endpoint_hash).find(|it| *it != holder).expect("another endpoint");
    for hash in (1..=18).map(endpoint_hash) {
        let bad = if hash == holder { 3 } else { 5 };
        for request in 0..10 {
            let is_good = hash == faultless || request >= bad;
            gateway.health.record_outcome(hash, is_good, MonoMs(1_000));
        }
    }
    let choice = gateway.pick_for(&prompt(5, 2), false, &[], 2).expect("an endpoint");
    assert_eq!(choice.endpoint.hash, holder);
}

#[rstest::rstest]
#[case::repeatable_tries_it_sometimes(true, true)]
#[case::unrepeatable_never(false, false)]
fn pick_failing_endpoint(#[case] may_repeat: bool, #[case] is_tried: bool) {
    let mut gateway = Gateway::new(4);
    let failing = endpoint(1).hash;
    for request in 0..12 {
        gateway.health.record_outcome(failing, request % 2 == 0, MonoMs(1_000));
        gateway.health.record_outcome(endpoint(2).hash, true, MonoMs(1_000));
    }
    // The other endpoints are busy enough that the failing one has the lowest cost.
    for number in [2, 3, 4].repeat(40) {
        gateway.loads.begin(endpoint(number).hash, 0);
    }
    let mut draws = 0..200;
    let picks_it = |draw| {
        let choice = gateway.pick_for(&[], may_repeat, &[], draw).expect("an endpoint");
        choice.endpoint.hash == failing
    };
    assert_eq!(draws.any(picks_it), is_tried);
}

#[rstest::rstest]
#[case::room_at_one(0.96, Some(2))]
#[case::room_at_none(0.9, None)]
fn pick_excludes_full_endpoints(#[case] max_fill: f64, #[case] expected: Option<u8>) {
    let mut gateway = Gateway::new(2);
    for _ in 0..60 {
        gateway.loads.begin(endpoint(2).hash, 0);
    }
    for _ in 0..64 {
        gateway.loads.begin(endpoint(1).hash, 0);
    }
    let parts = prompt(5, 1);
    let req = PickRequest {
        service: SERVICE,
        parts: &parts,
        may_repeat: true,
        max_fill,
        version: None,
        tried: &[],
        zone: "zone-a",
        count_weight: 1.0,
        draw: 1,
    };
    let picked = gateway.pick_req(&req);
    match expected {
        Some(number) => assert_eq!(picked.unwrap().endpoint.hash, endpoint_hash(number)),
        None => assert_eq!(picked, Err(NoChoice::Full { least_fill: 60.0 / 64.0 })),
    }
}

/// An idle endpoint accepts a request even if `max_fill` is less than one of its slots.
#[rstest::rstest]
#[case::one_slot(1, 0.5, 1)]
#[case::one_slot_and_a_queue(1, 3.0, 3)]
#[case::two_slots(2, 0.93, 2)]
#[case::six_slots(6, 0.93, 6)]
fn pick_rounds_max_fill_up_to_whole_slot(
    #[case] slots: u32,
    #[case] max_fill: f64,
    #[case] expected: u32,
) {
    let mut gateway = Gateway::new(1);
    gateway.directory.insert(endpoint(1).with_slots(slots));
    let mut accepted = 0;
    let req = PickRequest {
        service: SERVICE,
        parts: &[],
        may_repeat: true,
        max_fill,
        version: None,
        tried: &[],
        zone: "zone-a",
        count_weight: 1.0,
        draw: 1,
    };
    while let Ok(choice) = gateway.pick_req(&req) {
        gateway.loads.begin(choice.endpoint.hash, 0);
        accepted += 1;
    }
    assert_eq!(accepted, expected);
}

#[test]
fn pick_gateways_without_holders_agree() {
    let (here, there) = (Gateway::new(18), Gateway::new(18));
    for shared_part in 0..100 {
        let a = here.pick(&prompt(shared_part, 1), &[], 1).expect("an endpoint");
        let b = there.pick(&prompt(shared_part, 2), &[], 77).expect("an endpoint");
        assert_eq!(a.endpoint.hash, b.endpoint.hash);
    }
}

#[test]
fn pick_gateways_with_slightly_different_loads_agree() {
    let (mut here, there) = (Gateway::new(18), Gateway::new(18));
    for number in 1..=18 {
        here.loads.begin(endpoint(number).hash, 1_300);
    }
    here.loads.begin(endpoint(4).hash, 1_300);
    for shared_part in 0..100 {
        let a = here.pick(&prompt(shared_part, 1), &[], 1).expect("an endpoint");
        let b = there.pick(&prompt(shared_part, 2), &[], 2).expect("an endpoint");
        assert_eq!(a.endpoint.hash, b.endpoint.hash);
    }
}

#[test]
fn pick_fetches_from_holder_over_bound() {
    let mut gateway = Gateway::new(4);
    let holder = gateway.send(&prompt(5, 1), 1);
    for _ in 0..30 {
        gateway.loads.begin(holder, 0);
    }
    let choice = gateway.pick(&prompt(5, 2), &[], 2).expect("an endpoint");
    assert_ne!(choice.endpoint.hash, holder);
    assert_eq!(choice.fetch_from.expect("a source").hash, holder);
}

/// An evacuated zone may be lost while a prompt is fetched from it.
#[rstest::rstest]
#[case::only_holder(false)]
#[case::another_holder(true)]
fn pick_fetches_from_an_evacuated_zone_last(#[case] has_other: bool) {
    let mut gateway = Gateway::new(0);
    let zone = |number| if number == 1 { "zone-b" } else { "zone-a" };
    (1..=3).for_each(|it| drop(gateway.directory.insert(endpoint(it).with_zone(zone(it)))));
    let parts = prompt(5, 1);
    let holders = [endpoint(1).hash, endpoint(2).hash];
    let known = if has_other { 2 } else { 1 };
    holders[..known].iter().for_each(|it| gateway.prefixes.record(&parts, *it, MonoMs(1_000)));
    (0..30).for_each(|_| gateway.loads.begin(holders[1], 0));
    gateway.directory.evacuated_mut().insert(&"zone-b".into(), MonoMs(0));
    let choice = gateway.pick(&prompt(5, 2), &[], 2).expect("an endpoint");
    assert_eq!(choice.endpoint.hash, endpoint(3).hash);
    assert_eq!(choice.fetch_from.expect("a source").hash, holders[known - 1]);
}

#[test]
fn pick_unreachable_holder_is_no_source() {
    let mut gateway = Gateway::new(4);
    let holder = gateway.send(&prompt(5, 1), 1);
    gateway.health.record_unreachable(holder, MonoMs(990));
    let choice = gateway.pick(&prompt(5, 2), &[], 2).expect("an endpoint");
    assert_ne!(choice.endpoint.hash, holder);
    assert!(choice.fetch_from.is_none_or(|source| source.hash != holder));
}

#[test]
fn pick_spreads_unread_prompts() {
    // After crashes, no endpoint has cached the prompts, and all of them rank the same endpoint
    // first.
    let mut gateway = Gateway::new(6);
    let mut counts = HashMap::new();
    for own in 0..24 {
        let parts = prompt(5, own);
        let choice = gateway.pick(&parts, &[], own).expect("an endpoint");
        gateway.loads.begin(choice.endpoint.hash, choice.unread_tokens);
        *counts.entry(choice.endpoint.hash).or_insert(0_u32) += choice.unread_tokens;
    }
    let most = counts.values().max().copied().unwrap_or(0);
    // If unread tokens didn't count, the bound on requests alone would let 7 of 24 requests queue
    // at one endpoint.
    assert!(most <= 5 * 11_800, "{most} tokens wait at one endpoint");
}

/// Simulates streams through several gateways whose digests are at most `digest_ms` old. Returns
/// the share of requests that went to an endpoint with more than twice the mean load plus three.
fn share_over_limit(seed: u64, gateways: usize, endpoints: u8, per_s: f64, digest_ms: u64) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet: Vec<_> = (0..gateways).map(|_| Gateway::new(endpoints)).collect();
    let mut running: VecDeque<(u64, usize, EndpointHash)> = VecDeque::new();
    let mut real = LoadTracker::new();
    let (mut sent, mut over) = (0_u32, 0_u32);
    for ms in 0..20_000_u64 {
        let mut ended: Vec<_> = running.iter().filter(|it| it.0 <= ms).copied().collect();
        running.retain(|it| it.0 > ms);
        for (_, gateway, endpoint) in ended.drain(..) {
            fleet[gateway].loads.end(endpoint, 0);
            real.end(endpoint, 0);
        }
        if ms % digest_ms == 0 {
            exchange_loads(&mut fleet);
        }
        if !rng.random_bool((per_s / 1_000.0).min(1.0)) {
            continue;
        }
        let own = rng.random_range(0..gateways);
        // Some shared parts are requested much more often than others.
        let shared_part = rng.random_range(0..76_u64).min(rng.random_range(0..76_u64));
        let endpoint = fleet[own].send(&prompt(shared_part, u64::from(sent)), rng.random());
        let total: u32 = (1..=endpoints).map(|it| real.total(endpoint_hash(it)).requests).sum();
        let limit = 2.0 * f64::from(total) / f64::from(endpoints) + 3.0;
        over += u32::from(f64::from(real.total(endpoint).requests) > limit);
        sent += 1;
        real.begin(endpoint, 0);
        running.push_back((ms + rng.random_range(1_000..5_000), own, endpoint));
    }
    f64::from(over) / f64::from(sent)
}

fn endpoint_hash(number: u8) -> EndpointHash {
    endpoint(number).hash
}

fn exchange_loads(fleet: &mut [Gateway]) {
    let reported: Vec<Vec<(EndpointHash, EndpointLoad)>> =
        fleet.iter().map(|it| it.loads.own_loads().collect()).collect();
    for (at, gateway) in fleet.iter_mut().enumerate() {
        for (from, loads) in reported.iter().enumerate().filter(|(from, _)| *from != at) {
            let ip = IpAddr::from([10, 1, 0, u8::try_from(from).expect("a small fleet")]);
            gateway.loads.replace_peer(ip, loads.clone());
        }
    }
}

#[rstest::rstest]
#[case::small_site(1, 5, 18, 120.0, 100)]
#[case::one_gateway(2, 1, 18, 120.0, 100)]
#[case::large_site(3, 28, 52, 400.0, 350)]
#[case::few_endpoints(4, 4, 3, 20.0, 100)]
fn pick_skewed_load_stays_within_limit(
    #[case] seed: u64,
    #[case] gateways: usize,
    #[case] endpoints: u8,
    #[case] per_s: f64,
    #[case] digest_ms: u64,
) {
    let share = share_over_limit(seed, gateways, endpoints, per_s, digest_ms);
    assert!(share <= 0.03, "{share} of the requests reached an endpoint over its limit");
}
