//! Tests of streams that callers take up again at a gateway that is out of step with the others while
//! endpoints of a new software version join.

mod version_streams;

use std::thread;
use std::time::Duration;

use persimmon_platform::standin::{
    Deployment, EndpointStandin, GatewayFixture, PeerLink, StoreMode, wait_until,
};
use rstest::rstest;

use version_streams::{
    BREAK_AT, ENDPOINTS, EVENTS, GATEWAYS, MIN_TAKEN_UP, PROGRAM, STREAMS, Stream, TakenUp, begin,
    publish_versions, read_stream, streaming, take_up, wait_until_published,
};

/// Gateway that gets out of step; the first one in address order watches the store.
const OUT_OF_STEP: usize = 0;
/// Gateway at which streams begin.
const IN_STEP: usize = 1;
/// Time for which versions that have served count, with the interval of the check.
const VERSIONS_KEPT: Duration = Duration::from_millis(61_500);

/// How a gateway gets out of step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// It doesn't reach the store and the other gateways.
    CutOff,
    /// Its process stands still.
    StandsStill,
}

struct Fleet {
    fixture: GatewayFixture,
    link: PeerLink,
}

impl Fleet {
    /// Starts gateways before endpoints of one version, which have served for `age`.
    fn start(age: Duration) -> Self {
        let mut deployment = Deployment::new(PROGRAM, GATEWAYS).unwrap();
        let link = deployment.link_gateway(OUT_OF_STEP).unwrap();
        let fixture = GatewayFixture::start_on(deployment, &ENDPOINTS[..2]).unwrap();
        fixture.set_behaviours(&streaming(None));
        for endpoint in &fixture.endpoints {
            endpoint.set_version("v1");
            fixture.deployment.publish_endpoint(endpoint, false);
        }
        let is_published = |it| {
            fixture.endpoints.iter().all(|e| fixture.deployment.count_published(it, e.id()) >= 2)
        };
        assert!(wait_until(|| (0..usize::from(GATEWAYS)).all(is_published)));
        // Until then, the version before the first one counts too.
        thread::sleep(age);
        Self { fixture, link }
    }

    fn begin_trouble(&self, trouble: Trouble) {
        match trouble {
            Trouble::CutOff => {
                let refused = StoreMode::Refusing(vec![self.fixture.deployment.ip(OUT_OF_STEP)]);
                self.fixture.deployment.store.set_mode(refused);
                self.link.cut();
            }
            Trouble::StandsStill => self.fixture.deployment.pause(OUT_OF_STEP).unwrap(),
        }
    }

    fn end_trouble(&self, trouble: Trouble) {
        match trouble {
            Trouble::CutOff => {
                self.fixture.deployment.store.set_mode(StoreMode::Serving);
                self.link.restore();
            }
            Trouble::StandsStill => self.fixture.deployment.resume(OUT_OF_STEP).unwrap(),
        }
    }

    /// Lets the endpoints of a new version join, until the gateways in step have their records.
    fn join_new_version(&mut self) {
        for (number, name) in ENDPOINTS.iter().enumerate().skip(2) {
            let ip = self.fixture.deployment.endpoint_ip(number);
            let endpoint = EndpointStandin::start_at(name, ip, streaming(None)).unwrap();
            endpoint.set_version("v2");
            self.fixture.deployment.publish_endpoint(&endpoint, false);
            self.fixture.endpoints.push(endpoint);
        }
        let in_step = IN_STEP..GATEWAYS.into();
        in_step.clone().for_each(|it| wait_until_published(&self.fixture, it, 1));
        publish_versions(&self.fixture, in_step);
    }

    /// Requests streams, or the rest of each, all at one moment. Returns the share that went on.
    fn read_all(&self, gateway: usize, streams: &mut [Stream], until: u64, round: &str) -> f64 {
        let read = |stream: &mut Stream| {
            let id = match stream.last_event {
                0 => stream.first_id.clone(),
                _ => format!("{}-{round}", stream.first_id),
            };
            read_stream(&self.fixture, gateway, &id, stream, until).unwrap()
        };
        let ends: Vec<_> = thread::scope(|scope| {
            let threads: Vec<_> = streams.iter_mut().map(|it| scope.spawn(|| read(it))).collect();
            threads.into_iter().map(|it| it.join().unwrap()).collect()
        });
        let went_on = ends.iter().filter(|it| matches!(it, TakenUp::GoesOn)).count();
        went_on as f64 / streams.len() as f64
    }

    /// Begins streams at a gateway in step, on endpoints of both versions.
    fn begin(&self) -> Vec<Stream> {
        let mut streams: Vec<_> =
            (0..STREAMS).map(|number| Stream::new(&format!("stream-{number}"))).collect();
        assert_eq!(self.read_all(IN_STEP, &mut streams, BREAK_AT, "first"), 1.0);
        for version in ["v1", "v2"] {
            assert!(streams.iter().any(|it| it.versions() == [version]), "none of {version}");
        }
        streams
    }

    fn close(self) {
        self.link.close();
        self.fixture.deployment.close();
    }
}

/// Returns the number of streams with events of two versions.
fn joined(streams: &[Stream]) -> usize {
    streams.iter().filter(|it| it.versions().len() > 1).count()
}

/// Streams are taken up a moment after the gateway got out of step, before the others count as silent
/// there, and again once it is in step.
#[rstest]
#[case::cut_off(Trouble::CutOff)]
#[case::standing_still(Trouble::StandsStill)]
fn stream_stays_at_its_version_at_a_gateway_out_of_step(#[case] trouble: Trouble) {
    let mut fleet = Fleet::start(VERSIONS_KEPT);
    fleet.begin_trouble(trouble);
    fleet.join_new_version();
    let mut streams = fleet.begin();
    if trouble == Trouble::StandsStill {
        fleet.end_trouble(trouble);
    }
    let mut taken_up = streams.clone();
    let share = fleet.read_all(OUT_OF_STEP, &mut taken_up, EVENTS, "out-of-step");
    assert_eq!(joined(&taken_up), 0, "of {STREAMS} hold events of two versions; {share} went on");
    if trouble == Trouble::CutOff {
        fleet.end_trouble(trouble);
    }
    wait_until_published(&fleet.fixture, OUT_OF_STEP, 1);
    let share = take_up(&fleet.fixture, OUT_OF_STEP, &mut streams, EVENTS, "in-step");
    assert!(share >= MIN_TAKEN_UP, "{share} went on");
    // New streams begin as before.
    begin(&fleet.fixture, OUT_OF_STEP, "new", STREAMS);
    fleet.close();
}
