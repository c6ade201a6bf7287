//! Tests of the limits that endpoints name on the rate of requests.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    ColdEndpoints, Endpoint, EndpointDirectory, EndpointLimits, EndpointPauses, EndpointSpeeds,
    FleetView, HealthSettings, HealthTracker, LimitReport, LoadTracker, NamedLimit, NoChoice,
    PickRequest, Picker, PickerSettings, PrefixMap,
};
use persimmon_decide::load::EndpointHash;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const ENDPOINT: EndpointHash = EndpointHash(77);
/// Span in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

fn ip(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

/// Returns the limits of the only gateway, which was told one.
fn told(per_s: f32, now: MonoMs) -> EndpointLimits {
    let mut limits = EndpointLimits::new();
    limits.set_gateways(ip(1), &[ip(1)], 1, now);
    limits.record_answer(ENDPOINT, NamedLimit::PerS(per_s), now, now);
    limits
}

#[rstest]
#[case::absent(&[], NamedLimit::Absent)]
#[case::number(&[Some("3.5")], NamedLimit::PerS(3.5))]
#[case::spaces(&[Some(" 2 ")], NamedLimit::PerS(2.0))]
#[case::zero(&[Some("0")], NamedLimit::PerS(0.0))]
#[case::lowest(&[Some("9"), Some("2"), Some("4")], NamedLimit::PerS(2.0))]
#[case::one_readable(&[Some("soon"), Some("2"), None], NamedLimit::PerS(2.0))]
#[case::text(&[Some("soon")], NamedLimit::Unreadable)]
#[case::list(&[Some("1,2")], NamedLimit::Unreadable)]
#[case::negative(&[Some("-1")], NamedLimit::Unreadable)]
#[case::not_a_number(&[Some("NaN")], NamedLimit::Unreadable)]
#[case::too_large(&[Some("1e99")], NamedLimit::Unreadable)]
#[case::not_text(&[None], NamedLimit::Unreadable)]
fn limit_is_parsed(#[case] values: &[Option<&str>], #[case] named: NamedLimit) {
    assert_eq!(NamedLimit::parse(values.iter().copied()), named);
}

#[test]
fn limit_spaces_requests() {
    let mut limits = told(2.0, MonoMs(1_000));
    assert_eq!(limits.wait_ms(ENDPOINT, MonoMs(1_000)), Some(500));
    assert_eq!(limits.wait_ms(ENDPOINT, MonoMs(1_500)), None);
    limits.record_sent(ENDPOINT, MonoMs(1_500));
    assert_eq!(limits.wait_ms(ENDPOINT, MonoMs(1_600)), Some(400));
    assert_eq!(limits.wait_ms(EndpointHash(5), MonoMs(1_600)), None);
}

#[rstest]
#[case::sent_after(MonoMs(1_001), None)]
#[case::sent_before(MonoMs(1_000), Some(2.0))]
fn answer_without_limit_ends_it_only_if_sent_after(
    #[case] sent_at: MonoMs,
    #[case] left: Option<f32>,
) {
    let mut limits = told(2.0, MonoMs(1_000));
    let is_changed = limits.record_answer(ENDPOINT, NamedLimit::Absent, sent_at, MonoMs(1_100));
    assert_eq!((limits.per_s(ENDPOINT), is_changed), (left, left.is_none()));
    assert_eq!(limits.wait_ms(ENDPOINT, MonoMs(1_100)).is_none(), left.is_none());
}

#[test]
fn unreadable_limit_keeps_the_known_one() {
    let mut limits = told(2.0, MonoMs(0));
    assert!(!limits.record_answer(ENDPOINT, NamedLimit::Unreadable, MonoMs(1), MonoMs(9)));
    assert_eq!(limits.per_s(ENDPOINT), Some(2.0));
    let mut limits = EndpointLimits::new();
    limits.record_answer(ENDPOINT, NamedLimit::Unreadable, MonoMs(1), MonoMs(9));
    assert_eq!(limits.wait_ms(ENDPOINT, MonoMs(9)), None);
}

#[rstest]
#[case::later(Some(5.0), 100, Some(5.0))]
#[case::earlier(Some(5.0), 2_000, Some(2.0))]
#[case::ended(None, 0, None)]
#[case::ended_earlier(None, 5_000, Some(2.0))]
#[case::absurd(Some(f32::NAN), 0, Some(2.0))]
#[case::negative(Some(-1.0), 0, Some(2.0))]
fn later_answer_counts_among_gateways(
    #[case] per_s: Option<f32>,
    #[case] age_ms: u32,
    #[case] known: Option<f32>,
) {
    let mut limits = told(2.0, MonoMs(10_000));
    let report = LimitReport { endpoint: ENDPOINT, per_s, age_ms };
    limits.record_peer(&report, MonoMs(11_000));
    assert_eq!(limits.per_s(ENDPOINT), known);
}

#[test]
fn gateway_reports_only_what_it_was_told_itself() {
    let mut limits = told(2.0, MonoMs(1_000));
    let report = LimitReport { endpoint: EndpointHash(1), per_s: Some(1.0), age_ms: 0 };
    limits.record_peer(&report, MonoMs(1_000));
    let own = LimitReport { endpoint: ENDPOINT, per_s: Some(2.0), age_ms: 500 };
    assert_eq!(limits.reports(9, MonoMs(1_500)), [own]);
    limits.record_answer(ENDPOINT, NamedLimit::Absent, MonoMs(1_600), MonoMs(1_700));
    let ended = LimitReport { endpoint: ENDPOINT, per_s: None, age_ms: 300 };
    assert_eq!(limits.reports(9, MonoMs(2_000)), [ended]);
    assert_eq!(limits.reports(9, MonoMs(20_000)), []);
}

#[test]
fn retain_drops_ended_limits_and_those_of_endpoints_long_gone() {
    let mut limits = told(2.0, MonoMs(0));
    limits.retain(|_| true, MonoMs(100_000));
    limits.retain(|_| false, MonoMs(219_999));
    assert_eq!(limits.len(), 1);
    limits.retain(|_| false, MonoMs(220_000));
    assert!(limits.is_empty());
    let mut limits = told(2.0, MonoMs(0));
    limits.record_answer(ENDPOINT, NamedLimit::Absent, MonoMs(1), MonoMs(5));
    limits.retain(|_| true, MonoMs(10_005));
    assert!(limits.is_empty());
}

#[test]
fn endpoint_that_takes_nothing_is_asked_now_and_then() {
    let mut limits = told(0.0, MonoMs(0));
    let mut sent = 0;
    for at in (0..60_000).map(MonoMs) {
        if limits.wait_ms(ENDPOINT, at).is_none() {
            limits.record_sent(ENDPOINT, at);
            sent += 1;
        }
    }
    assert!((5..=15).contains(&sent), "{sent}");
}

#[rstest]
#[case::limit(None, NoChoice::Limited { left_ms: 500 })]
#[case::limit_after_pause(Some(400), NoChoice::Limited { left_ms: 500 })]
#[case::pause_after_limit(Some(700), NoChoice::Limited { left_ms: 700 })]
fn request_at_a_reached_limit_is_told_when_to_return(
    #[case] pause_ms: Option<u64>,
    #[case] expected: NoChoice,
) {
    let address = SocketAddr::from(([10, 0, 0, 1], 8_000));
    let endpoint = Endpoint::new("one", None, "chat".into(), address);
    let mut limits = EndpointLimits::new();
    limits.set_gateways(ip(1), &[ip(1)], 1, MonoMs(0));
    limits.record_answer(endpoint.hash, NamedLimit::PerS(2.0), MonoMs(0), MonoMs(0));
    let mut pauses = EndpointPauses::new();
    pause_ms.into_iter().for_each(|ms| pauses.record(endpoint.hash, ms, MonoMs(0)));
    let mut endpoints = EndpointDirectory::new();
    endpoints.insert(endpoint);
    let pick = |now| {
        let req = PickRequest {
            service: "chat",
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
            pauses: &pauses,
            limits: &limits,
            cold: &ColdEndpoints::new(None),
            records_age_ms: Some(0),
            speeds: &EndpointSpeeds::new(),
            load_interval_ms: 100,
            prefixes: &PrefixMap::new(),
            now,
        };
        Picker::new(PickerSettings::default()).pick(&req, view)
    };
    assert_eq!(pick(MonoMs(0)).unwrap_err(), expected);
    assert!(pick(MonoMs(700)).is_ok());
}

/// How the gateways of a fleet see one another.
#[derive(Debug, Clone, Copy, PartialEq)]
enum View {
    /// Each knows all others.
    Whole,
    /// Each knows all others, and hears none.
    NoneHeard,
    /// Each knows only three seeds and itself, and hears none.
    SeedsOnly,
    /// Each knows all others, and hears some, drawn anew every second.
    SomeHeard,
}

/// Gateways before one limited endpoint that any of them would send any number of requests.
struct Fleet {
    limits: Vec<EndpointLimits>,
    view: View,
    rng: Pcg64Mcg,
    arrivals: VecDeque<u64>,
    most: usize,
    total: usize,
}

impl Fleet {
    fn new(gateways: u8, view: View, seed: u64) -> Self {
        let limits = (0..gateways).map(|_| EndpointLimits::new()).collect();
        let (rng, arrivals) = (Pcg64Mcg::seed_from_u64(seed), VecDeque::new());
        Self { limits, view, rng, arrivals, most: 0, total: 0 }
    }

    fn update_views(&mut self, now: MonoMs) {
        let count = u8::try_from(self.limits.len()).unwrap();
        for own in 0..count {
            let knows = |other: u8| match self.view {
                View::SeedsOnly => other < 3 || other == own,
                _ => true,
            };
            let all: Vec<_> = (0..count).filter(|it| knows(*it)).map(ip).collect();
            let heard = match self.view {
                View::Whole => all.len(),
                View::SomeHeard => self.rng.random_range(1..=all.len()),
                View::NoneHeard | View::SeedsOnly => 1,
            };
            self.limits[usize::from(own)].set_gateways(ip(own), &all, heard, now);
        }
    }

    fn try_send(&mut self, gateway: usize, now: MonoMs) {
        let limits = &mut self.limits[gateway];
        if limits.wait_ms(ENDPOINT, now).is_some() {
            return;
        }
        limits.record_sent(ENDPOINT, now);
        self.total += 1;
        self.arrivals.push_back(now.0);
        while self.arrivals.front().is_some_and(|at| now.0 - at >= WINDOW_MS) {
            self.arrivals.pop_front();
        }
        self.most = self.most.max(self.arrivals.len());
    }

    /// Plays 30 s in which `per_s` holds. Each gateway is idle for random spans, and then has many
    /// requests at once.
    fn play(&mut self, per_s: f32) {
        self.update_views(MonoMs(0));
        for limits in &mut self.limits {
            limits.record_answer(ENDPOINT, NamedLimit::PerS(per_s), MonoMs(0), MonoMs(0));
        }
        let mut is_busy = vec![true; self.limits.len()];
        for at in 0..30_000 {
            if at % 1_000 == 0 {
                self.update_views(MonoMs(at));
                let all_busy = self.rng.random_bool(0.3);
                for it in &mut is_busy {
                    *it = all_busy || self.rng.random_bool(0.6);
                }
            }
            for (gateway, _) in is_busy.iter().enumerate().filter(|(_, it)| **it) {
                self.try_send(gateway, MonoMs(at));
            }
        }
    }

    /// Checks the requests in each window against the limit that held.
    fn assert_kept(&self, per_s: f32) {
        let allowed = f64::from(per_s) * 1.5 * 4.0 + 5.0;
        assert!(self.most as f64 <= allowed, "{} of {allowed}", self.most);
    }
}

#[rstest]
fn fleet_keeps_a_limit_and_uses_it(
    #[values(1, 4, 23, 103)] gateways: u8,
    #[values(0.0, 0.3, 0.75, 2.0, 3.5, 12.0, 80.0)] per_s: f32,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(gateways, View::Whole, seed);
    fleet.play(per_s);
    fleet.assert_kept(per_s);
    let taken = f64::from(per_s) * 30.0;
    assert!(fleet.total as f64 >= 0.5 * taken, "{} of {taken}", fleet.total);
}

#[rstest]
fn gateways_that_hear_few_others_keep_a_limit(
    #[values(2, 4, 8, 23)] gateways: u8,
    #[values(0.0, 0.3, 0.75, 2.0, 3.5, 12.0, 80.0)] per_s: f32,
    #[values(View::NoneHeard, View::SomeHeard)] view: View,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(gateways, view, seed);
    fleet.play(per_s);
    fleet.assert_kept(per_s);
}

/// The number of gateways that nobody names can only be guessed.
#[rstest]
fn gateways_that_know_only_seeds_keep_a_limit(
    #[values(2, 4, 5, 8)] gateways: u8,
    #[values(0.0, 0.3, 0.75, 2.0, 3.5, 12.0, 80.0)] per_s: f32,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(gateways, View::SeedsOnly, seed);
    fleet.play(per_s);
    fleet.assert_kept(per_s);
}
