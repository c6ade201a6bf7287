//! Tests of gateway processes with endpoints that name a limit on the rate of requests.

use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{
    Behaviour, Deployment, EndpointStandin, GatewayFixture, ReceivedRequest, wait_until,
};
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_persimmonmountd");
/// Time from the first answer that names a limit until it must be kept.
const CONTACT: Duration = Duration::from_secs(3);
/// Span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor on the limit, and requests on top of it, that are allowed in a window.
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Callers at each gateway, and the pause between the requests of one.
const CALLERS: usize = 3;
const PAUSE: Duration = Duration::from_millis(60);
/// Share of callers that must be served while other endpoints have no limit.
const MIN_SERVED: f64 = 0.95;
/// Time within which a caller that can't be served is told so.
const REFUSED_WITHIN: Duration = Duration::from_millis(500);
const GATEWAYS: u8 = 4;
/// Maximum number of rounds of load until something has happened that depends on chance.
const MAX_ROUNDS: usize = 6;

/// What a caller got.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    at: Instant,
    status: u16,
    is_complete: bool,
    took: Duration,
    has_retry_after: bool,
}

impl Outcome {
    fn is_served(&self) -> bool {
        self.status == 200 && self.is_complete
    }
}

/// Starts gateways before endpoints that stream on routes for streams.
fn start(gateways: u8, is_isolated: bool, names: &[&str]) -> GatewayFixture {
    let mut deployment = Deployment::new(PROGRAM, gateways).unwrap();
    if is_isolated {
        deployment.isolate_gateways();
    }
    let fixture = GatewayFixture::start_on(deployment, names).unwrap();
    fixture.set_behaviours(&serving());
    fixture
}

fn serving() -> Behaviour {
    Behaviour::Mixed { events: 4, pause: Duration::from_millis(2), body: "done".to_owned() }
}

/// Sends requests through the gateways for `lasting`; all have ended when it returns.
fn load(
    fixture: &GatewayFixture,
    gateways: &[usize],
    path: &str,
    lasting: Duration,
) -> Vec<Outcome> {
    let until = Instant::now() + lasting;
    thread::scope(|scope| {
        let callers: Vec<_> = gateways
            .iter()
            .flat_map(|gateway| (0..CALLERS).map(move |number| (*gateway, number)))
            .map(|(gateway, number)| {
                scope.spawn(move || call_until(fixture, gateway, number, path, until))
            })
            .collect();
        callers.into_iter().flat_map(|it| it.join().unwrap()).collect()
    })
}

fn call_until(
    fixture: &GatewayFixture,
    gateway: usize,
    caller: usize,
    path: &str,
    until: Instant,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while Instant::now() < until {
        let at = Instant::now();
        let id = format!("{gateway}-{caller}-{}", outcomes.len());
        let answer = fixture.call(gateway, path, &id);
        outcomes.push(Outcome {
            at,
            status: answer.as_ref().map_or(0, |it| it.status),
            is_complete: answer.as_ref().is_ok_and(|it| it.is_complete),
            took: at.elapsed(),
            has_retry_after: answer.as_ref().is_ok_and(|it| it.retry_after_s.is_some()),
        });
        thread::sleep(PAUSE.saturating_sub(at.elapsed()));
    }
    outcomes
}

/// Returns the share of callers that were served.
fn served(outcomes: &[Outcome]) -> f64 {
    let served = outcomes.iter().filter(|it| it.is_served()).count();
    served as f64 / outcomes.len() as f64
}

fn arrivals(endpoint: &EndpointStandin) -> Vec<Instant> {
    endpoint.received().iter().map(|it| it.at).collect()
}

/// Returns the most requests that an endpoint got in a window that began at `from` or later.
fn most_in_window(endpoint: &EndpointStandin, from: Instant) -> usize {
    let arrivals = arrivals(endpoint);
    let of_window = |start: &Instant| {
        arrivals.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
    };
    arrivals.iter().filter(|at| **at >= from).map(of_window).max().unwrap_or(0)
}

fn assert_limit_kept(endpoint: &EndpointStandin, limit: f64, from: Instant) {
    let most = most_in_window(endpoint, from);
    let allowed = limit * WINDOW.as_secs_f64() * FACTOR + SLACK;
    assert!(most as f64 <= allowed, "{}: {most} requests, allowed {allowed}", endpoint.id());
}

/// Returns an endpoint's share of the requests that all of them got from `from` on.
fn share_of(fixture: &GatewayFixture, number: usize, from: Instant) -> f64 {
    let got = |endpoint: &EndpointStandin| {
        arrivals(endpoint).into_iter().filter(|at| *at >= from).count() as f64
    };
    got(&fixture.endpoints[number]) / fixture.endpoints.iter().map(got).sum::<f64>()
}

#[rstest]
fn limited_endpoints_get_no_more_than_they_take_beside_served_callers(
    #[values("/commit/x", "/lookup/x", "/draft/x", "/chat/x")] path: &str,
    #[values(false, true)] is_isolated: bool,
) {
    let fixture = start(GATEWAYS, is_isolated, &["one", "two", "three", "four", "five"]);
    let limits = [("2", 2.0), ("0.5", 0.5), ("0", 0.0)];
    for (endpoint, (text, _)) in fixture.endpoints.iter().zip(limits) {
        endpoint.set_limit(Some(text));
    }
    let began = Instant::now();
    let outcomes = load(&fixture, &[0, 1, 2, 3], path, Duration::from_secs(9));
    for (endpoint, (_, limit)) in fixture.endpoints.iter().zip(limits) {
        assert_limit_kept(endpoint, limit, began + CONTACT);
    }
    assert!(served(&outcomes) >= MIN_SERVED, "{} served", served(&outcomes));
    assert!(arrivals(&fixture.endpoints[0]).len() > 8, "the limited endpoint is hardly used");
    fixture.deployment.close();
}

/// Refusals name the limit too, and each sends its request to another endpoint.
#[rstest]
#[case::refused("/lookup/x", Behaviour::NotRun)]
#[case::failed("/lookup/x", Behaviour::Answer { status: 500, body: "failed".to_owned() })]
#[case::not_run_once("/commit/x", Behaviour::NotRun)]
fn retries_count_under_the_limit(#[case] path: &str, #[case] behaviour: Behaviour) {
    let fixture = start(GATEWAYS, false, &["one", "two", "three"]);
    fixture.endpoints[0].set_limit(Some("2"));
    fixture.endpoints[0].set_behaviour(behaviour);
    let began = Instant::now();
    let outcomes = load(&fixture, &[0, 1, 2, 3], path, Duration::from_secs(8));
    assert_limit_kept(&fixture.endpoints[0], 2.0, began + CONTACT);
    assert!(served(&outcomes) >= MIN_SERVED, "{} served", served(&outcomes));
    fixture.deployment.close();
}

/// Each stream of the endpoint without a limit breaks and has to go on at a limited one. New streams, of
/// which most go to the limited ones as those don't fail, compete for the same limit: which of both gets
/// a turn is chance, so the load goes on until each endpoint has resumed a stream.
#[test]
fn resumed_streams_count_under_the_limit() {
    let fixture = start(GATEWAYS, false, &["one", "two", "three"]);
    let cut = Behaviour::Stream { events: 4, pause: Duration::from_millis(2), cut_after: Some(2) };
    fixture.endpoints[2].set_behaviour(cut);
    fixture.endpoints[0].set_limit(Some("2"));
    fixture.endpoints[1].set_limit(Some("2"));
    let limited = &fixture.endpoints[..2];
    let began = Instant::now();
    let resumed = |endpoint: &EndpointStandin| {
        let is_resumed =
            |it: &&ReceivedRequest| it.last_event.is_some() && it.at >= began + CONTACT;
        endpoint.received().iter().filter(is_resumed).count()
    };
    let mut outcomes = Vec::new();
    for _ in 0..MAX_ROUNDS {
        outcomes.extend(load(&fixture, &[0, 1, 2, 3], "/draft/x", Duration::from_secs(8)));
        if limited.iter().all(|it| resumed(it) > 0) {
            break;
        }
    }
    for endpoint in limited {
        assert_limit_kept(endpoint, 2.0, began + CONTACT);
        assert!(resumed(endpoint) > 0, "none resumed");
    }
    assert!(outcomes.iter().any(Outcome::is_served));
    fixture.deployment.close();
}

#[test]
fn callers_are_refused_at_once_while_every_limit_is_reached() {
    let fixture = start(GATEWAYS, false, &["one", "two", "three", "four"]);
    fixture.endpoints.iter().for_each(|it| it.set_limit(Some("3")));
    let began = Instant::now();
    let lasting = Duration::from_secs(9);
    let outcomes = load(&fixture, &[0, 1, 2, 3], "/commit/x", lasting);
    fixture.endpoints.iter().for_each(|it| assert_limit_kept(it, 3.0, began + CONTACT));
    let refused: Vec<_> = outcomes.iter().filter(|it| it.status != 200).collect();
    assert!(refused.iter().all(|it| it.status == 503 && it.has_retry_after), "{refused:?}");
    assert!(refused.iter().all(|it| it.took < REFUSED_WITHIN), "{refused:?}");
    // What the endpoints still take is used.
    let late = outcomes.iter().filter(|it| it.at >= began + CONTACT && it.is_served()).count();
    let taken = 4.0 * 3.0 * (lasting - CONTACT).as_secs_f64();
    assert!(late as f64 >= 0.6 * taken, "{late} served of {taken}");
    fixture.deployment.close();
}

#[test]
fn restarted_gateway_keeps_the_limit() {
    let mut fixture = start(GATEWAYS, false, &["one", "two", "three"]);
    fixture.endpoints[0].set_limit(Some("2"));
    let began = Instant::now();
    let mut outcomes = load(&fixture, &[0, 1, 2, 3], "/lookup/x", Duration::from_secs(4));
    for gateway in [0, 1] {
        fixture.deployment.kill(gateway).unwrap();
        fixture.deployment.restart(gateway).unwrap();
        fixture.deployment.wait_ready(gateway).unwrap();
        outcomes.extend(load(&fixture, &[0, 1, 2, 3], "/lookup/x", Duration::from_secs(3)));
    }
    assert_limit_kept(&fixture.endpoints[0], 2.0, began + CONTACT);
    assert!(served(&outcomes) >= MIN_SERVED, "{} served", served(&outcomes));
    fixture.deployment.close();
}

#[rstest]
#[case::ends("1", None)]
#[case::rises("1", Some("1000"))]
fn endpoint_gets_its_share_again_when_its_limit(#[case] before: &str, #[case] after: Option<&str>) {
    let fixture = start(2, false, &["one", "two"]);
    fixture.endpoints[0].set_limit(Some(before));
    load(&fixture, &[0, 1], "/lookup/x", Duration::from_secs(4));
    fixture.endpoints[0].set_limit(after);
    load(&fixture, &[0, 1], "/lookup/x", Duration::from_secs(4));
    let from = Instant::now();
    let outcomes = load(&fixture, &[0, 1], "/lookup/x", Duration::from_secs(3));
    let share = share_of(&fixture, 0, from);
    assert!(share > 0.3, "{share}");
    assert!(served(&outcomes) >= MIN_SERVED);
    fixture.deployment.close();
}

#[rstest]
#[case::falls("20", "1", 1.0)]
#[case::becomes_unreadable("1", "soon", 1.0)]
fn endpoint_gets_no_more_when_its_limit(
    #[case] before: &str,
    #[case] after: &str,
    #[case] limit: f64,
) {
    let fixture = start(2, false, &["one", "two"]);
    fixture.endpoints[0].set_limit(Some(before));
    load(&fixture, &[0, 1], "/lookup/x", Duration::from_secs(2));
    fixture.endpoints[0].set_limit(Some(after));
    let changed = Instant::now();
    load(&fixture, &[0, 1], "/lookup/x", Duration::from_secs(8));
    assert_limit_kept(&fixture.endpoints[0], limit, changed + CONTACT);
    fixture.deployment.close();
}

#[rstest]
#[case::text("soon")]
#[case::negative("-3")]
#[case::not_a_number("NaN")]
#[case::infinite("inf")]
#[case::empty("")]
fn unreadable_limit_is_none(#[case] limit: &str) {
    let fixture = start(1, false, &["one", "two"]);
    fixture.endpoints[0].set_limit(Some(limit));
    load(&fixture, &[0], "/lookup/x", Duration::from_secs(2));
    let from = Instant::now();
    load(&fixture, &[0], "/lookup/x", Duration::from_secs(2));
    assert!(share_of(&fixture, 0, from) > 0.3);
    fixture.deployment.close();
}

#[test]
fn limit_of_an_earlier_start_doesnt_hold() {
    let fixture = start(2, false, &["one", "two"]);
    fixture.endpoints[0].set_limit(Some("0"));
    load(&fixture, &[0, 1], "/lookup/x", Duration::from_secs(4));
    fixture.endpoints[0].set_limit(None);
    fixture.deployment.publish_restarted_endpoint(&fixture.endpoints[0], 1_700_000_000_000);
    let published = |gateway| fixture.deployment.count_published(gateway, "one");
    assert!(wait_until(|| published(0) > 1 && published(1) > 1));
    let from = Instant::now();
    load(&fixture, &[0, 1], "/lookup/x", Duration::from_secs(2));
    assert!(share_of(&fixture, 0, from) > 0.3);
    fixture.deployment.close();
}
