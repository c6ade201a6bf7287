//! Selection of endpoints that state their speed.

mod forward_common;
mod forward_endpoints;

use std::net::IpAddr;

use forward_common::prompt;
use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    ColdEndpoints, EndpointDirectory, EndpointLimits, EndpointLoad, EndpointPauses, EndpointSpeeds,
    FleetView, HealthSettings, HealthTracker, LoadTracker, NoChoice, PickRequest, Picker,
    PickerSettings, PrefixMap, PromptPart, StatedLoad,
};
use persimmon_decide::load::EndpointHash;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SERVICE: &str = "engines";
const NOW: MonoMs = MonoMs(100_000);

struct Gateway {
    directory: EndpointDirectory,
    hashes: Vec<EndpointHash>,
    loads: LoadTracker,
    prefixes: PrefixMap,
    speeds: EndpointSpeeds,
}

impl Gateway {
    fn new(endpoints: u8, slots: u32) -> Self {
        let (directory, hashes) = forward_endpoints::publish(SERVICE, endpoints, slots);
        Self {
            directory,
            hashes,
            loads: LoadTracker::new(),
            prefixes: PrefixMap::new(),
            speeds: EndpointSpeeds::new(),
        }
    }

    /// Records that an endpoint stated `percent` from `since` to now.
    fn state(&mut self, endpoint: EndpointHash, percent: u32, since: MonoMs) {
        let load = StatedLoad { running: 0, waiting: 0, slots: 64, percent: Some(percent) };
        for ms in (since.0..=NOW.0).step_by(200) {
            self.speeds.record_answer(endpoint, &load, MonoMs(ms));
        }
    }

    /// Sets the load of each endpoint, as a peer tells it.
    fn load(&mut self, loads: Vec<(EndpointHash, EndpointLoad)>) {
        self.loads.replace_peer(IpAddr::from([10, 1, 0, 1]), loads);
    }

    fn pick_within(
        &self,
        parts: &[PromptPart],
        max_fill: f64,
        draw: u64,
    ) -> Result<EndpointHash, NoChoice> {
        let req = PickRequest {
            service: SERVICE,
            parts,
            may_repeat: true,
            max_fill,
            version: None,
            tried: &[],
            zone: "",
            count_weight: 1.0,
            draw,
        };
        let view = FleetView {
            endpoints: &self.directory,
            loads: &self.loads,
            health: &HealthTracker::new(HealthSettings::default()),
            pauses: &EndpointPauses::new(),
            limits: &EndpointLimits::new(),
            cold: &ColdEndpoints::new(None),
            records_age_ms: None,
            load_interval_ms: 100,
            speeds: &self.speeds,
            prefixes: &self.prefixes,
            now: NOW,
        };
        let choice = Picker::new(PickerSettings::default()).pick(&req, view)?;
        Ok(choice.endpoint.hash)
    }

    fn pick(&self, parts: &[PromptPart], draw: u64) -> EndpointHash {
        self.pick_within(parts, f64::INFINITY, draw).expect("an endpoint")
    }
}

/// Returns a checksum of many decisions under random loads and caches.
fn checksum(percent: Option<u32>, is_other_service: bool) -> u64 {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut sum = 0_u64;
    for _ in 0..300 {
        let mut gateway = Gateway::new(12, 16);
        for number in 0..gateway.hashes.len() {
            let endpoint = match is_other_service {
                true => EndpointHash(number as u64),
                false => gateway.hashes[number],
            };
            if let Some(percent) = percent {
                gateway.state(endpoint, percent, MonoMs(NOW.0 - 5_000));
            }
        }
        let load = |rng: &mut Pcg64Mcg| EndpointLoad {
            requests: rng.random_range(1..30),
            unread_tokens: rng.random_range(0..60_000),
        };
        let loads = gateway.hashes.iter().map(|it| (*it, load(&mut rng))).collect();
        gateway.load(loads);
        for shared in 0..4 {
            let holder = gateway.hashes[rng.random_range(0..12)];
            gateway.prefixes.record(&prompt(shared, 0), holder, NOW);
        }
        for request in 0..20 {
            let parts = prompt(request % 6, request);
            let parts = if request % 5 == 0 { &[][..] } else { &parts };
            let max_fill = if request % 3 == 0 { 1.2 } else { f64::INFINITY };
            let picked = gateway.pick_within(parts, max_fill, rng.random());
            sum = sum.rotate_left(5) ^ picked.map_or(1, |it| it.0);
        }
    }
    sum
}

/// Deployments whose endpoints state nothing must be served as before: the checksum is that of the
/// decisions of the build before endpoints could state their speed.
#[rstest]
#[case::nothing_stated(None, false)]
#[case::stated_by_another_service(Some(250), true)]
fn pick_without_statements_decides_as_before(
    #[case] percent: Option<u32>,
    #[case] is_other_service: bool,
) {
    const BEFORE: u64 = 3_795_288_605_643_026_168;
    assert_eq!(checksum(percent, is_other_service), BEFORE);
}

/// Returns a prompt of two parts of which nothing is cached.
fn unread(tokens: u32, number: u64) -> [PromptPart; 2] {
    [PromptPart { id: number, tokens }, PromptPart { id: 1_000 + number, tokens: 100 }]
}

/// Streams on a slow VM pause for longest when it reads a long prompt beside them; short prompts, and long
/// ones whose prefix is cached there, would only have to be read again elsewhere.
#[test]
fn long_unread_prompts_avoid_endpoints_that_are_slow_now() {
    let mut gateway = Gateway::new(10, 64);
    for endpoint in gateway.hashes.clone() {
        gateway.state(endpoint, 100, MonoMs(NOW.0 - 60_000));
    }
    let place = |gateway: &Gateway, tokens| -> Vec<_> {
        (0..400).map(|it| gateway.pick(&unread(tokens, it), it)).collect()
    };
    let before = (place(&gateway, 1_000), place(&gateway, 6_000));
    let slow = gateway.hashes[3];
    let load = StatedLoad { running: 0, waiting: 0, slots: 64, percent: Some(250) };
    gateway.speeds.record_answer(slow, &load, MonoMs(NOW.0 + 1));
    assert_eq!(place(&gateway, 1_000), before.0);
    let after = place(&gateway, 6_000);
    assert!(before.1.contains(&slow) && !after.contains(&slow));
    let stayed = before.1.iter().zip(&after).filter(|(before, _)| **before != slow);
    assert!(stayed.into_iter().all(|(before, after)| before == after));
    let parts = prompt(1, 1);
    gateway.prefixes.record(&parts, slow, NOW);
    assert_eq!(gateway.pick(&prompt(1, 2), 5), slow);
}

/// Gateways whose counts differ by a long prompt have to choose the same endpoint, or the prompt's prefix is read
/// again at each of theirs; a long queue is left all the same.
#[rstest]
#[case::stated(true)]
#[case::not_stated(false)]
fn long_unread_prompts_leave_only_long_queues(#[case] is_stated: bool) {
    let mut gateway = Gateway::new(10, 64);
    if is_stated {
        for endpoint in gateway.hashes.clone() {
            gateway.state(endpoint, 100, MonoMs(NOW.0 - 10_000));
        }
    }
    for draw in 0..50 {
        gateway.load(Vec::new());
        let first = gateway.pick(&unread(5_000, draw), draw);
        let has = |unread_tokens| vec![(first, EndpointLoad { requests: 1, unread_tokens })];
        gateway.load(has(3_000));
        assert_eq!(gateway.pick(&unread(5_000, draw), draw), first);
        gateway.load(has(9_000));
        assert_eq!(gateway.pick(&unread(5_000, draw), draw), first);
        gateway.load(has(40_000));
        assert_ne!(gateway.pick(&unread(5_000, draw), draw), first);
    }
}

/// A slower model takes longer for each request: with as many as the others, it would have the longest
/// queue. The others must not get more than their bound for it.
#[test]
fn always_slower_endpoints_get_less_load() {
    let mut gateway = Gateway::new(9, 16);
    for (number, endpoint) in gateway.hashes.clone().into_iter().enumerate() {
        gateway.state(endpoint, if number < 3 { 130 } else { 100 }, MonoMs(NOW.0 - 90_000));
    }
    let slow = gateway.hashes[..3].to_vec();
    let is_slow = |it: &EndpointHash| slow.contains(it);
    // Calls fill the endpoints one after another.
    for draw in 0..90_u64 {
        let picked = gateway.pick(&[], draw.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        gateway.loads.begin(picked, 0);
    }
    let counts: Vec<_> = gateway.hashes.iter().map(|it| gateway.loads.own(*it)).collect();
    assert!(counts[..3].iter().all(|it| *it == 9), "{counts:?}");
    assert!(counts[3..].iter().all(|it| (10..=11).contains(it)), "{counts:?}");
    // Prompts with the same rank at all endpoints follow the speed too.
    let place = |it: u64| gateway.pick(&unread(500, it), it);
    let at_slow = (0..3_000).map(place).filter(is_slow).count();
    assert!((800..960).contains(&at_slow), "{at_slow} of 3,000");
    // An idle slot is of use at any speed; a queue isn't.
    let gateway = &mut gateway;
    gateway.loads = LoadTracker::new();
    let load = |requests| EndpointLoad { requests, unread_tokens: 0 };
    let full = |it: &EndpointHash| (*it, load(if is_slow(it) { 15 } else { 16 }));
    gateway.load(gateway.hashes.iter().map(full).collect());
    assert!((0..50).all(|draw| is_slow(&gateway.pick_within(&[], 1.0, draw).unwrap())));
    gateway.load(gateway.hashes.iter().map(|it| (*it, load(21))).collect());
    assert!((0..50).all(|draw| !is_slow(&gateway.pick_within(&[], 1.4, draw).unwrap())));
}
