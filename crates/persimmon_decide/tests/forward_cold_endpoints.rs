//! Tests of the requests that gateways send to cold endpoints.

mod cold_model;

use std::net::IpAddr;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    ColdBound, ColdEndpoints, ColdTerms, Endpoint, EndpointDirectory, EndpointLimits,
    EndpointPauses, EndpointSpeeds, FleetView, HealthSettings, HealthTracker, KnownGateways,
    LoadTracker, NoChoice, PickRequest, Picker, PickerSettings, PrefixMap,
};
use rstest::rstest;

use cold_model::{Fault, Model, Trouble};

const SERVICE: &str = "chat";
const BOUND: ColdBound = ColdBound { factor: 1.5, slack: 5.0 };
const TERMS: ColdTerms = ColdTerms { per_s: 13.0, start_ms: 3_000 };
/// Most requests that a cold endpoint may get in one second.
const MAX_PER_S: usize = 24;
/// Age of records that the store has just confirmed.
const CONFIRMED: Option<u64> = Some(0);
/// Time at which a gateway alone knows that it is, and may send.
const STARTED: MonoMs = MonoMs(10_000);

fn ip(number: u16) -> IpAddr {
    let [high, low] = number.to_be_bytes();
    IpAddr::from([10, 0, high, low])
}

fn endpoint(number: u16) -> Endpoint {
    Endpoint::new(&format!("e-{number}"), Some(1), SERVICE.into(), (ip(number), 80).into())
}

fn cold_endpoint() -> Endpoint {
    endpoint(1).with_cold_ms(3_000)
}

fn known(all: &[IpAddr], heard: usize) -> KnownGateways<'_> {
    KnownGateways { own: ip(0), all, heard }
}

/// Returns the state of a gateway that has long been running beside `gateways - 1` others, of which it hears
/// all but `unheard`.
fn running(gateways: u16, unheard: usize) -> ColdEndpoints {
    let mut cold = ColdEndpoints::new(Some(BOUND));
    cold.set_terms([(SERVICE.into(), TERMS)].into_iter());
    let all: Vec<_> = (0..gateways).map(ip).collect();
    cold.set_gateways(known(&all, all.len()), CONFIRMED, MonoMs(0));
    cold.set_gateways(known(&all, all.len()), CONFIRMED, STARTED);
    cold.set_gateways(known(&all, all.len() - unheard), CONFIRMED, STARTED);
    cold
}

/// Returns the number of requests that a gateway sends at once.
fn send_all(cold: &mut ColdEndpoints, endpoint: &Endpoint, age: Option<u64>, now: MonoMs) -> usize {
    let mut sent = 0;
    while sent < 100 && cold.wait_ms(endpoint, age, now).is_none() {
        cold.record_sent(endpoint, now);
        sent += 1;
    }
    sent
}

/// Without the bound in the settings, or without a rate in the configuration, nothing changes.
#[rstest]
#[case::no_bound(None, TERMS.per_s)]
#[case::no_rate(Some(BOUND), 0.0)]
fn endpoint_without_a_bound_is_never_limited(#[case] bound: Option<ColdBound>, #[case] per_s: f64) {
    let mut cold = ColdEndpoints::new(bound);
    cold.set_terms([(SERVICE.into(), ColdTerms { per_s, ..TERMS })].into_iter());
    cold.record_published(&cold_endpoint(), MonoMs(0));
    cold.record_suspected(&cold_endpoint(), MonoMs(0));
    assert_eq!(send_all(&mut cold, &cold_endpoint(), None, MonoMs(0)), 100);
    assert_eq!(cold.cold_ms(&cold_endpoint(), MonoMs(0)).is_some(), bound.is_some() && per_s > 0.0);
}

/// A gateway alone has the whole limit, and knows when its next request may be sent.
#[test]
fn lone_gateway_sends_the_whole_limit() {
    let mut cold = running(1, 0);
    cold.record_published(&cold_endpoint(), STARTED);
    assert_eq!(send_all(&mut cold, &cold_endpoint(), CONFIRMED, STARTED), 13);
    let wait_ms = cold.wait_ms(&cold_endpoint(), CONFIRMED, STARTED.plus_ms(100));
    assert_eq!(wait_ms, Some(ColdEndpoints::WINDOW_MS - 100));
    let next = STARTED.plus_ms(ColdEndpoints::WINDOW_MS);
    assert_eq!(send_all(&mut cold, &cold_endpoint(), CONFIRMED, next), 13);
    assert_eq!(send_all(&mut cold, &cold_endpoint(), CONFIRMED, STARTED.plus_ms(3_000)), 100);
}

/// Requests that it sent while the endpoint was warm arrive in the same second.
#[test]
fn requests_before_an_endpoint_became_cold_count() {
    let mut cold = running(1, 0);
    cold.record_published(&endpoint(1), STARTED);
    (0..10).for_each(|_| cold.record_sent(&endpoint(1), STARTED));
    cold.record_published(&cold_endpoint(), STARTED.plus_ms(500));
    assert_eq!(send_all(&mut cold, &cold_endpoint(), CONFIRMED, STARTED.plus_ms(500)), 3);
}

#[rstest]
#[case::confirmed(CONFIRMED, 100)]
#[case::nearly_unconfirmed(Some(ColdEndpoints::UNCONFIRMED_MS), 100)]
#[case::unconfirmed(Some(ColdEndpoints::UNCONFIRMED_MS + 1), MAX_PER_S)]
#[case::never_confirmed(None, MAX_PER_S)]
fn endpoint_may_be_cold_while_records_arent_confirmed(
    #[case] age: Option<u64>,
    #[case] expected: usize,
) {
    let mut cold = running(1, 0);
    cold.record_published(&endpoint(1), STARTED);
    assert_eq!(send_all(&mut cold, &endpoint(1), age, STARTED), expected);
}

/// The record that comes first may have been written before; the next one was not.
#[test]
fn suspected_endpoint_counts_as_cold_until_its_second_record() {
    let mut cold = running(1, 0);
    cold.record_published(&endpoint(1), STARTED);
    cold.record_suspected(&endpoint(1), STARTED);
    cold.record_published(&endpoint(1), STARTED.plus_ms(100));
    assert_eq!(cold.cold_ms(&endpoint(1), STARTED.plus_ms(100)), Some(2_900));
    cold.record_published(&endpoint(1), STARTED.plus_ms(1_300));
    assert_eq!(cold.cold_ms(&endpoint(1), STARTED.plus_ms(1_300)), None);
    cold.record_suspected(&endpoint(1), STARTED);
    assert_eq!(cold.cold_ms(&endpoint(1), STARTED.plus_ms(3_000)), None, "without a record");
}

#[test]
fn endpoint_that_is_reached_again_is_suspected() {
    let mut cold = running(1, 0);
    cold.record_published(&endpoint(1), STARTED);
    cold.record_connection(&endpoint(1), true, STARTED);
    cold.record_connection(&endpoint(1), false, STARTED);
    assert_eq!(cold.cold_ms(&endpoint(1), STARTED), None);
    cold.record_connection(&endpoint(1), true, STARTED.plus_ms(5_000));
    assert_eq!(cold.cold_ms(&endpoint(1), STARTED.plus_ms(5_000)), Some(TERMS.start_ms));
}

/// An endpoint whose record is missing for a moment isn't sent the limit again.
#[test]
fn requests_to_an_endpoint_that_isnt_published_count() {
    let mut cold = running(1, 0);
    cold.record_published(&cold_endpoint(), STARTED);
    send_all(&mut cold, &cold_endpoint(), CONFIRMED, STARTED);
    cold.retain(|_| false, STARTED.plus_ms(100));
    cold.record_published(&cold_endpoint(), STARTED.plus_ms(200));
    let now = STARTED.plus_ms(200);
    assert_eq!(send_all(&mut cold, &cold_endpoint(), CONFIRMED, now), 0);
    cold.retain(|_| false, STARTED.plus_ms(10_000));
    assert_eq!(cold.cold_ms(&cold_endpoint(), STARTED), None, "forgotten");
}

/// At the start, a gateway knows its seeds at most, and one of the seeds not even those.
#[rstest]
fn gateway_that_starts_sends_cold_endpoints_nothing(#[values(1, 4)] seeds: u16) {
    let mut cold = ColdEndpoints::new(Some(BOUND));
    cold.set_terms([(SERVICE.into(), TERMS)].into_iter());
    cold.record_published(&cold_endpoint().with_cold_ms(60_000), MonoMs(0));
    cold.record_published(&endpoint(2), MonoMs(0));
    let all: Vec<_> = (0..seeds).map(ip).collect();
    for at in (0..ColdEndpoints::STARTUP_MS).step_by(100).map(MonoMs) {
        cold.set_gateways(known(&all, all.len()), CONFIRMED, at);
        assert!(cold.wait_ms(&cold_endpoint(), CONFIRMED, at).is_some());
        assert!(cold.wait_ms(&endpoint(2), CONFIRMED, at).is_none(), "it is warm");
    }
    // Nothing says whether the other endpoint is cold: it gets one request in each window.
    let at = MonoMs(ColdEndpoints::STARTUP_MS - 1);
    assert_eq!(send_all(&mut cold, &endpoint(2), None, at), 1);
    // More gateways become known, and are heard only later.
    let (more, at) = ((0..seeds + 8).map(ip).collect::<Vec<_>>(), MonoMs(3_000));
    cold.set_gateways(known(&more, 1), CONFIRMED, at);
    let mut sends = |heard, at| {
        cold.set_gateways(known(&more, heard), CONFIRMED, at);
        (1..100).any(|it| {
            let endpoint = endpoint(it).with_cold_ms(60_000);
            cold.record_published(&endpoint, at);
            cold.wait_ms(&endpoint, CONFIRMED, at).is_none()
        })
    };
    assert!(!sends(more.len(), at.plus_ms(ColdEndpoints::SETTLED_MS - 1)));
    assert!(!sends(1, at.plus_ms(60_000)), "it hears none");
    assert!(sends(more.len(), at.plus_ms(60_001)));
}

/// Others may be cut off with it that it doesn't know.
#[rstest]
#[case::hears_most(4, 10, 1)]
#[case::hears_half(5, 10, 0)]
#[case::hears_half_of_few(2, 4, 1)]
fn gateway_that_hears_few_sends_less(
    #[case] unheard: usize,
    #[case] gateways: u16,
    #[case] min_share: usize,
) {
    let mut whole = running(gateways, 0);
    let mut cut_off = running(gateways, unheard);
    let mut sums = (0, 0);
    for number in 1..200 {
        let endpoint = endpoint(number).with_cold_ms(3_000);
        let send = |cold: &mut ColdEndpoints| {
            cold.record_published(&endpoint, STARTED);
            send_all(cold, &endpoint, CONFIRMED, STARTED)
        };
        let (all, few) = (send(&mut whole), send(&mut cut_off));
        assert!(all >= 13 / usize::from(gateways));
        sums = (sums.0 + all, sums.1 + few);
    }
    assert_eq!(2 * unheard >= usize::from(gateways), 2 * sums.1 <= sums.0, "{sums:?}");
    assert!(sums.1 > 0 || min_share == 0);
}

/// The gateways from which this one is cut off for long still send their shares.
#[test]
fn gateways_arent_forgotten_while_records_arent_confirmed() {
    let sent_beside = |age| {
        let mut cold = running(24, 0);
        cold.set_gateways(known(&[ip(0)], 1), age, STARTED);
        cold.record_published(&endpoint(1), STARTED);
        send_all(&mut cold, &endpoint(1), None, STARTED)
    };
    assert_eq!(sent_beside(None), 1);
    assert_eq!(sent_beside(CONFIRMED), MAX_PER_S);
}

#[test]
fn request_to_cold_endpoints_is_told_when_to_return() {
    let mut endpoints = EndpointDirectory::new();
    let mut cold = running(1, 0);
    for number in [1, 2] {
        let endpoint = endpoint(number).with_cold_ms(3_000);
        cold.record_published(&endpoint, STARTED);
        let at = STARTED.plus_ms(100 * u64::from(number));
        assert_eq!(send_all(&mut cold, &endpoint, CONFIRMED, at), 13);
        endpoints.insert(endpoint);
    }
    let pick = |now| {
        let req = PickRequest {
            service: SERVICE,
            parts: &[],
            may_repeat: true,
            max_fill: f64::INFINITY,
            version: None,
            tried: &[],
            zone: "zone-a",
            count_weight: 1.0,
            draw: 0,
        };
        let view = FleetView {
            endpoints: &endpoints,
            loads: &LoadTracker::new(),
            health: &HealthTracker::new(HealthSettings::default()),
            pauses: &EndpointPauses::new(),
            limits: &EndpointLimits::new(),
            cold: &cold,
            records_age_ms: CONFIRMED,
            speeds: &EndpointSpeeds::new(),
            load_interval_ms: 100,
            prefixes: &PrefixMap::new(),
            now,
        };
        Picker::new(PickerSettings::default()).pick(&req, view)
    };
    let left_ms = ColdEndpoints::WINDOW_MS - 200;
    assert_eq!(pick(STARTED.plus_ms(300)).unwrap_err(), NoChoice::Cold { left_ms });
    let first = pick(STARTED.plus_ms(300 + left_ms)).unwrap();
    assert_eq!(&*first.endpoint.id, "e-1");
}

/// Guards against a zone whose endpoints crash again as they come back, whatever happens to the gateways
/// meanwhile.
#[rstest]
fn cold_zone_gets_no_more_than_it_bears(
    #[values(1, 5, 22, 100, 300)] gateways: u16,
    #[values(
        Trouble::None,
        Trouble::SomeRestart,
        Trouble::AllRestart,
        Trouble::AllRestartCutOff,
        Trouble::PartCutOff,
        Trouble::AllCutOff,
        Trouble::SomeUnaware,
        Trouble::AllUnaware,
        Trouble::SomeFrozen,
        Trouble::AllFrozen,
        Trouble::RestartsBesideUnaware
    )]
    trouble: Trouble,
    #[values(1, 2)] seed: u64,
) {
    let outcome = Model::new(gateways, trouble, None, seed).play();
    assert!(outcome.most_per_s <= MAX_PER_S, "{outcome:?}");
    // Gateways that start without hearing their peers send nothing, if they did so before.
    let may_be_silent = trouble == Trouble::AllRestartCutOff;
    assert!(outcome.least_sent > 0 || may_be_silent, "{outcome:?}");
    if trouble == Trouble::None {
        assert!(outcome.most_per_s <= 13, "{outcome:?}");
        // What the rule leaves in windows that allow for requests sent late, less the last window.
        let windows = cold_model::COLD_MS / ColdEndpoints::WINDOW_MS - 1;
        assert!(outcome.least_sent >= 13 * windows as usize, "{outcome:?}");
    }
}

/// The model has to notice versions that don't keep the limit.
#[rstest]
#[case::whole_limit(Trouble::None, Fault::WholeLimit)]
#[case::share_among_the_known(Trouble::AllRestartCutOff, Fault::NoStartup)]
#[case::old_records_trusted(Trouble::SomeUnaware, Fault::OldRecordsTrusted)]
fn model_detects_a_broken_version(
    #[values(22, 100, 300)] gateways: u16,
    #[case] trouble: Trouble,
    #[case] fault: Fault,
    #[values(1, 2)] seed: u64,
) {
    let outcome = Model::new(gateways, trouble, Some(fault), seed).play();
    assert!(outcome.most_per_s > MAX_PER_S, "{outcome:?}");
}
