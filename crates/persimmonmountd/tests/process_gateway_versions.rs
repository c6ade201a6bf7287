//! Tests of gateway processes before endpoints of several software versions.

use std::io;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{
    Behaviour, Caller, Deployment, GatewayFixture, RouteSpec, wait_until,
};
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_persimmonmountd");
const GATEWAYS: u8 = 3;
/// Endpoints, whose names begin with their version.
const ENDPOINTS: [&str; 4] = ["v1-a", "v1-b", "v2-a", "v2-b"];
/// Events of a stream, and the pause before each.
const EVENTS: u64 = 30;
const PAUSE: Duration = Duration::from_millis(5);
/// Event after which a caller's connection breaks.
const BREAK_AT: u64 = 4;
const STREAMS: usize = 24;
/// Share of the streams that must go on where their version is known.
const MIN_TAKEN_UP: f64 = 0.9;
/// Time within which a caller is told that a stream can't go on.
const REFUSED_WITHIN: Duration = Duration::from_millis(1_000);

/// A stream of which a caller has received a part.
#[derive(Debug, Clone)]
struct Stream {
    first_id: String,
    /// Whether its caller names the first attempt when it takes the stream up again.
    is_named: bool,
    last_event: u64,
    /// Endpoints that sent its events.
    endpoints: Vec<String>,
}

impl Stream {
    fn new(first_id: &str) -> Self {
        let (last_event, endpoints) = (0, Vec::new());
        Self { first_id: first_id.to_owned(), is_named: true, last_event, endpoints }
    }

    /// Returns the versions whose events the stream holds.
    fn versions(&self) -> Vec<&str> {
        let mut versions: Vec<_> = self.endpoints.iter().map(|it| &it[..2]).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }
}

/// Starts gateways before endpoints of two versions.
fn start(is_isolated: bool) -> GatewayFixture {
    let mut deployment = Deployment::new(PROGRAM, GATEWAYS).unwrap();
    if is_isolated {
        deployment.isolate_gateways();
    }
    let fixture = GatewayFixture::start_on(deployment, &ENDPOINTS).unwrap();
    fixture.set_behaviours(&streaming(None));
    for endpoint in &fixture.endpoints {
        endpoint.set_version(&endpoint.id()[..2]);
        fixture.deployment.publish_endpoint(endpoint, false);
    }
    for gateway in 0..usize::from(GATEWAYS) {
        wait_until_published(&fixture, gateway, 2);
    }
    fixture
}

fn streaming(cut_after: Option<u64>) -> Behaviour {
    Behaviour::Stream { events: EVENTS, pause: PAUSE, cut_after }
}

/// Waits until a gateway has logged each endpoint at least `times` times.
fn wait_until_published(fixture: &GatewayFixture, gateway: usize, times: usize) {
    let count = |name: &&str| fixture.deployment.count_published(gateway, name);
    assert!(wait_until(|| ENDPOINTS.iter().all(|name| count(name) >= times)));
}

/// Result of taking up a stream.
#[derive(Debug)]
enum TakenUp {
    GoesOn,
    /// The gateway refused with this status.
    Refused(u16),
    /// The gateway broke the stream off.
    Broken,
}

/// Requests a stream, or the rest of one, and reads it up to event `until`.
fn read_stream(
    fixture: &GatewayFixture,
    gateway: usize,
    id: &str,
    stream: &mut Stream,
    until: u64,
) -> io::Result<TakenUp> {
    let caller = fixture.deployment.caller(gateway)?.request("POST", "/draft/x", id);
    let mut caller = caller.with_key(GatewayFixture::KEY).with_deadline_ms(4_000);
    if stream.last_event > 0 {
        caller = caller.with_last_event(stream.last_event);
        if stream.is_named {
            caller = caller.with_first_id(&stream.first_id);
        }
    }
    caller.send("the body")?;
    let status = caller.wait_for("HTTP/1.1 ")?.split(' ').nth(1).unwrap().parse().unwrap();
    if status != 200 {
        return Ok(TakenUp::Refused(status));
    }
    while stream.last_event < until {
        let Ok(line) = wait_for_event(&mut caller) else { return Ok(TakenUp::Broken) };
        let number: u64 = line.trim().trim_start_matches("id: ").parse().unwrap();
        assert_eq!(number, stream.last_event + 1, "an event is missing or comes twice");
        let Ok(line) = caller.wait_for("data: ") else { return Ok(TakenUp::Broken) };
        stream.endpoints.push(line.trim().rsplit(' ').next().unwrap().to_owned());
        stream.last_event = number;
    }
    Ok(TakenUp::GoesOn)
}

/// Returns the line with the number of the next event.
fn wait_for_event(caller: &mut Caller) -> io::Result<String> {
    loop {
        let line = caller.wait_for("id: ")?;
        if line.starts_with("id: ") {
            return Ok(line);
        }
    }
}

/// Begins streams at a gateway; each breaks after a few events.
fn begin(fixture: &GatewayFixture, gateway: usize, prefix: &str, count: usize) -> Vec<Stream> {
    let begin = |number| {
        let first_id = format!("{prefix}-{number}");
        let mut stream = Stream::new(&first_id);
        let begun = read_stream(fixture, gateway, &first_id, &mut stream, BREAK_AT).unwrap();
        assert!(matches!(begun, TakenUp::GoesOn), "{begun:?}");
        stream
    };
    let streams: Vec<_> = (0..count).map(begin).collect();
    for version in ["v1", "v2"] {
        assert!(streams.iter().any(|it| it.versions() == [version]), "none of {version}");
    }
    streams
}

/// Takes streams up at a gateway, up to event `until`, and returns the share that went on.
fn take_up(
    fixture: &GatewayFixture,
    gateway: usize,
    streams: &mut [Stream],
    until: u64,
    round: &str,
) -> f64 {
    let mut went_on = 0;
    for stream in &mut *streams {
        let id = format!("{}-{round}", stream.first_id);
        let started = Instant::now();
        match read_stream(fixture, gateway, &id, stream, until).unwrap() {
            TakenUp::GoesOn => went_on += 1,
            TakenUp::Refused(status) => {
                assert_eq!(status, 503);
                assert!(started.elapsed() < REFUSED_WITHIN, "refused late");
            }
            TakenUp::Broken => {}
        }
        assert_eq!(stream.versions().len(), 1, "{stream:?}");
    }
    f64::from(went_on) / streams.len() as f64
}

#[rstest]
#[case::at_others(&[1, 2])]
#[case::at_the_same(&[0, 0])]
#[case::there_and_back(&[1, 0])]
fn stream_taken_up_twice_stays_at_its_version(#[case] gateways: &[usize]) {
    let fixture = start(false);
    let mut streams = begin(&fixture, 0, "stream", STREAMS);
    for (round, gateway) in gateways.iter().enumerate() {
        let until = if round == 1 { EVENTS } else { 2 * BREAK_AT };
        let share = take_up(&fixture, *gateway, &mut streams, until, &format!("round-{round}"));
        assert!(share >= MIN_TAKEN_UP, "{share} went on");
    }
    // New streams begin as before.
    begin(&fixture, 1, "new", STREAMS);
    fixture.deployment.close();
}

#[rstest]
#[case::at_others(false)]
#[case::where_it_began(true)]
fn stream_of_a_killed_gateway_stays_at_its_version(#[case] is_restarted: bool) {
    let mut fixture = start(false);
    let mut streams = begin(&fixture, 0, "stream", STREAMS);
    fixture.deployment.kill(0).unwrap();
    let gateway = if is_restarted {
        fixture.deployment.restart(0).unwrap();
        fixture.deployment.wait_ready(0).unwrap();
        wait_until_published(&fixture, 0, 1);
        0
    } else {
        1
    };
    let share = take_up(&fixture, gateway, &mut streams, EVENTS, "again");
    assert!(share >= MIN_TAKEN_UP, "{share} went on");
    fixture.deployment.close();
}

#[test]
fn stream_stays_at_its_version_at_a_gateway_that_hears_no_peers() {
    let fixture = start(true);
    let mut streams = begin(&fixture, 0, "stream", STREAMS);
    take_up(&fixture, 1, &mut streams, EVENTS, "elsewhere");
    let mut streams = begin(&fixture, 0, "own", STREAMS);
    let share = take_up(&fixture, 0, &mut streams, EVENTS, "again");
    assert!(share >= MIN_TAKEN_UP, "{share} went on");
    fixture.deployment.close();
}

#[test]
fn stream_stays_at_its_version_at_a_restarted_gateway_that_hears_no_peers() {
    let mut fixture = start(true);
    let mut streams = begin(&fixture, 0, "stream", STREAMS);
    fixture.deployment.kill(0).unwrap();
    // Only one version is left for the new process to see.
    fixture.endpoints[..2].iter().for_each(|it| fixture.deployment.withdraw_endpoint(it));
    fixture.deployment.restart(0).unwrap();
    fixture.deployment.wait_ready(0).unwrap();
    fixture.wait_for_log(0, "\"endpoint\":\"v2-b\"").unwrap();
    take_up(&fixture, 0, &mut streams, EVENTS, "again");
    fixture.deployment.close();
}

#[test]
fn stream_whose_version_is_gone_is_refused() {
    let fixture = start(false);
    let mut streams = begin(&fixture, 0, "stream", STREAMS);
    fixture.endpoints[..2].iter().for_each(|it| fixture.deployment.withdraw_endpoint(it));
    for gateway in 0..usize::from(GATEWAYS) {
        fixture.wait_for_log(gateway, "endpoint removed").unwrap();
    }
    take_up(&fixture, 1, &mut streams, EVENTS, "again");
    let (ended, open): (Vec<_>, Vec<_>) =
        streams.into_iter().partition(|it| it.last_event == EVENTS);
    assert!(ended.iter().all(|it| it.versions() == ["v2"]));
    assert!(open.iter().all(|it| it.versions() == ["v1"]));
    assert!(!ended.is_empty() && !open.is_empty());
    fixture.deployment.close();
}

/// One endpoint after the other goes, and comes back.
#[test]
fn stream_stays_at_its_version_while_versions_change() {
    let fixture = start(false);
    for (round, changed) in fixture.endpoints.iter().enumerate().take(3) {
        let mut streams = begin(&fixture, round, &format!("stream-{round}"), STREAMS);
        let mut later = streams.clone();
        fixture.deployment.withdraw_endpoint(changed);
        let share = take_up(&fixture, (round + 1) % 3, &mut streams, EVENTS, "again");
        assert!(share >= MIN_TAKEN_UP, "{share} went on");
        fixture.deployment.publish_endpoint(changed, false);
        take_up(&fixture, (round + 2) % 3, &mut later, EVENTS, "later");
    }
    fixture.deployment.close();
}

#[test]
fn stream_resumed_inside_an_answer_stays_at_its_version() {
    let fixture = start(false);
    // The first endpoint of each version breaks its streams, and its second goes on with them.
    for number in [0, 2] {
        fixture.endpoints[number].set_behaviour(streaming(Some(BREAK_AT)));
    }
    let mut complete = 0;
    let mut resumed = 0;
    for number in 0..2 * STREAMS {
        let id = format!("stream-{number}");
        let mut stream = Stream::new(&id);
        let end = read_stream(&fixture, number % 3, &id, &mut stream, EVENTS).unwrap();
        assert_eq!(stream.versions().len(), 1, "{stream:?}");
        complete += usize::from(matches!(end, TakenUp::GoesOn));
        resumed += usize::from(stream.endpoints.first() != stream.endpoints.last());
    }
    assert!(resumed > 0, "no stream was resumed");
    assert!(complete >= STREAMS, "{complete} complete");
    fixture.deployment.close();
}

/// Callers that don't name the first attempt are served as long as there is one version.
#[rstest]
#[case::one_version(true)]
#[case::two_versions(false)]
fn stream_without_the_id_of_its_first_attempt(#[case] has_one_version: bool) {
    let mut fixture = start(false);
    if has_one_version {
        fixture.endpoints[..2].iter().for_each(|it| fixture.deployment.withdraw_endpoint(it));
        fixture.wait_for_log(1, "endpoint removed").unwrap();
        fixture.deployment.kill(0).unwrap();
        fixture.deployment.restart(0).unwrap();
        fixture.deployment.wait_ready(0).unwrap();
        fixture.wait_for_log(0, "\"endpoint\":\"v2-b\"").unwrap();
    }
    for number in 0..STREAMS {
        let id = format!("stream-{number}");
        let mut stream = Stream { is_named: false, ..Stream::new(&id) };
        read_stream(&fixture, 0, &id, &mut stream, BREAK_AT).unwrap();
        let again = format!("{id}-again");
        let end = read_stream(&fixture, 0, &again, &mut stream, EVENTS).unwrap();
        assert_eq!(stream.versions().len(), 1, "{stream:?}");
        assert!(!has_one_version || matches!(end, TakenUp::GoesOn), "{end:?}");
    }
    fixture.deployment.close();
}

/// Endpoints of both services have the same version, and only the second one's have a name with v2.
#[test]
fn stream_of_a_route_with_two_services_stays_at_its_service() {
    let mut fixture = start(false);
    fixture.deployment.publish_routes(
        &[RouteSpec::stream("draft", true).with_unrelated_service()],
        &[GatewayFixture::KEY],
    );
    for (endpoint, is_unrelated) in fixture.endpoints.iter().zip([false, false, true, true]) {
        endpoint.set_version("v1");
        match is_unrelated {
            false => fixture.deployment.publish_endpoint(endpoint, false),
            true => fixture.deployment.publish_unrelated_endpoint(endpoint),
        }
    }
    for gateway in 0..usize::from(GATEWAYS) {
        wait_until_published(&fixture, gateway, 3);
        fixture.wait_for_log(gateway, "\"version\":2").unwrap();
    }
    let mut streams = begin(&fixture, 0, "stream", STREAMS);
    let share = take_up(&fixture, 1, &mut streams, EVENTS, "again");
    assert!(share >= MIN_TAKEN_UP, "{share} went on");
    fixture.deployment.close();
}
