//! Streams that callers take up again at gateways before endpoints of two software versions.

use std::io;
use std::ops::Range;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{Behaviour, Caller, GatewayFixture, wait_until};

/// Program of the gateways and holders.
pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_persimmonmountd");
/// Number of gateways.
pub(crate) const GATEWAYS: u8 = 3;
/// Endpoints, whose names begin with their version.
pub(crate) const ENDPOINTS: [&str; 4] = ["v1-a", "v1-b", "v2-a", "v2-b"];
/// Events of a stream, and the pause before each.
pub(crate) const EVENTS: u64 = 30;
const PAUSE: Duration = Duration::from_millis(5);
/// Event after which a caller's connection breaks.
pub(crate) const BREAK_AT: u64 = 4;
/// Streams that begin together.
pub(crate) const STREAMS: usize = 24;
/// Share of the streams that must go on where their version is known.
pub(crate) const MIN_TAKEN_UP: f64 = 0.9;
/// Time within which a caller is told that a stream can't go on.
const REFUSED_WITHIN: Duration = Duration::from_millis(1_000);

/// A stream of which a caller has received a part.
#[derive(Debug, Clone)]
pub(crate) struct Stream {
    /// Id of its first attempt.
    pub(crate) first_id: String,
    /// Whether its caller names the first attempt when it takes the stream up again.
    pub(crate) is_named: bool,
    /// Last event that the caller has received.
    pub(crate) last_event: u64,
    /// Endpoints that sent its events.
    pub(crate) endpoints: Vec<String>,
}

impl Stream {
    /// Creates a stream without events.
    pub(crate) fn new(first_id: &str) -> Self {
        let (last_event, endpoints) = (0, Vec::new());
        Self { first_id: first_id.to_owned(), is_named: true, last_event, endpoints }
    }

    /// Returns the versions whose events the stream holds.
    pub(crate) fn versions(&self) -> Vec<&str> {
        let mut versions: Vec<_> = self.endpoints.iter().map(|it| &it[..2]).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }
}

/// Sets the versions of a fixture's endpoints and publishes them, until these gateways have them.
pub(crate) fn publish_versions(fixture: &GatewayFixture, gateways: Range<usize>) {
    fixture.set_behaviours(&streaming(None));
    for endpoint in &fixture.endpoints {
        endpoint.set_version(&endpoint.id()[..2]);
        fixture.deployment.publish_endpoint(endpoint, false);
    }
    for gateway in gateways {
        wait_until_published(fixture, gateway, 2);
    }
}

/// Returns the behaviour of an endpoint that streams, and breaks off after event `cut_after`, if any.
pub(crate) fn streaming(cut_after: Option<u64>) -> Behaviour {
    Behaviour::Stream { events: EVENTS, pause: PAUSE, cut_after }
}

/// Waits until a gateway has logged each endpoint at least `times` times.
pub(crate) fn wait_until_published(fixture: &GatewayFixture, gateway: usize, times: usize) {
    let count = |name: &&str| fixture.deployment.count_published(gateway, name);
    assert!(wait_until(|| ENDPOINTS.iter().all(|name| count(name) >= times)));
}

/// Result of taking up a stream.
#[derive(Debug)]
pub(crate) enum TakenUp {
    /// The stream went on.
    GoesOn,
    /// The gateway refused with this status.
    Refused(u16),
    /// The gateway broke the stream off.
    Broken,
}

/// Requests a stream, or the rest of one, and reads it up to event `until`.
pub(crate) fn read_stream(
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
pub(crate) fn begin(
    fixture: &GatewayFixture,
    gateway: usize,
    prefix: &str,
    count: usize,
) -> Vec<Stream> {
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
pub(crate) fn take_up(
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
