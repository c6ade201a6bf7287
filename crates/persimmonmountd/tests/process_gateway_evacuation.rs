//! Tests of gateway processes while the operator evacuates a zone.

use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{
    Behaviour, Caller, Deployment, EndpointStandin, RouteSpec, StoreMode, wait_until,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_persimmonmountd");
const KEY: &str = "key-1";
const GATEWAYS: usize = 3;
/// Calls to each gateway that must avoid a zone, or that reach every endpoint.
const CALLS: usize = 20;
/// Streams that run while the zone is evacuated, and the time that each takes.
const STREAMS: usize = 4;
const EVENTS: u64 = 30;
const PAUSE: Duration = Duration::from_millis(100);
/// Time for which removals are held back after the store has come back, with the time to notice it.
const GRACE: Duration = Duration::from_millis(3_000);

struct Fleet {
    deployment: Deployment,
    left: EndpointStandin,
    kept: EndpointStandin,
}

impl Fleet {
    fn start() -> Self {
        let left = EndpointStandin::start("left", Behaviour::ok()).unwrap();
        let kept = EndpointStandin::start("kept", Behaviour::ok()).unwrap();
        let mut deployment = Deployment::new(PROGRAM, GATEWAYS as u8).unwrap();
        deployment.publish_endpoint_in(&left, "zone-a");
        deployment.publish_endpoint_in(&kept, "zone-b");
        let routes = [RouteSpec::once("commit"), RouteSpec::stream("draft", false)];
        deployment.publish_routes(&routes, &[KEY]);
        deployment.start_all().unwrap();
        let fleet = Self { deployment, left, kept };
        for gateway in 0..GATEWAYS {
            let is_known = |it: &EndpointStandin| fleet.deployment.knows(gateway, it.id());
            assert!(wait_until(|| is_known(&fleet.left) && is_known(&fleet.kept)));
        }
        fleet
    }

    fn wait_until_evacuated(&self, gateway: usize, zone: &str) {
        let named = format!("\"zone\":\"{zone}\",\"since_ms\"");
        let says_so = || self.deployment.status(gateway).is_ok_and(|it| it.contains(&named));
        assert!(wait_until(says_so), "{:#?}", self.deployment.log(gateway));
    }

    fn evacuate(&self, zone: &str) {
        self.deployment.evacuate(zone);
        (0..GATEWAYS).for_each(|gateway| self.wait_until_evacuated(gateway, zone));
    }

    fn caller(&self, gateway: usize, path: &str, id: &str) -> Caller {
        let caller = self.deployment.caller(gateway).unwrap().request("POST", path, id);
        caller.with_key(KEY).with_deadline_ms(8_000)
    }

    /// Sends calls through a gateway, all of which must be answered with `status`.
    fn call(&self, gateway: usize, status: u16) {
        for number in 0..CALLS {
            let id = format!("call-{gateway}-{number}");
            let answer = self.caller(gateway, "/commit/x", &id).call("body").unwrap();
            assert_eq!(answer.status, status, "{:#?}", self.deployment.log(gateway));
            assert_eq!(answer.retry_after_s.is_some(), status == 503);
        }
    }

    fn has_logged(&self, gateway: usize, text: &str) -> bool {
        wait_until(|| self.deployment.log(gateway).iter().any(|line| line.contains(text)))
    }
}

/// Guards against requests to a zone that is about to be lost, and against requests cut off there.
#[test]
fn evacuated_zone_gets_no_requests_and_ends_those_that_run() {
    let fleet = Fleet::start();
    let streaming = Behaviour::Stream { events: EVENTS, pause: PAUSE, cut_after: None };
    fleet.left.set_behaviour(streaming.clone());
    fleet.kept.set_behaviour(streaming);
    let begin = |number| {
        let mut stream = fleet.caller(0, "/draft/x", &format!("stream-{number}"));
        stream.send("body").unwrap();
        stream.wait_for("id: 1").unwrap();
        stream
    };
    let streams: Vec<_> = (0..STREAMS).map(begin).collect();
    fleet.left.set_behaviour(Behaviour::ok());
    fleet.kept.set_behaviour(Behaviour::ok());
    let before = fleet.left.received().len();
    assert!(before > 0, "no stream runs in the zone");
    fleet.evacuate("zone-a");
    let metric = format!("persimmon_gateway_evacuated_requests{{zone=\"zone-a\"}} {before}");
    let says_so = || fleet.deployment.metrics(0).is_ok_and(|it| it.contains(&metric));
    assert!(wait_until(says_so), "{metric}");
    (0..GATEWAYS).for_each(|gateway| fleet.call(gateway, 200));
    assert_eq!(fleet.left.received().len(), before);
    for mut stream in streams {
        stream.wait_for(&format!("id: {EVENTS}")).unwrap();
    }
    assert!(fleet.has_logged(0, "requests still run in an evacuated zone"));
    assert!(fleet.has_logged(0, "no request of this gateway runs in an evacuated zone"));
    // Without another zone, requests are refused at once.
    fleet.evacuate("zone-b");
    let refused_from = Instant::now();
    fleet.call(1, 503);
    assert!(refused_from.elapsed() < Duration::from_secs(8), "requests waited");
    fleet.deployment.take_back("zone-a");
    fleet.deployment.take_back("zone-b");
    for gateway in 0..GATEWAYS {
        assert!(fleet.has_logged(gateway, "zone taken back"));
        fleet.call(gateway, 200);
    }
    assert!(fleet.left.received().len() > before, "the zone isn't in use again");
    fleet.deployment.close();
}

/// Guards against a gateway that starts without its peers' knowledge.
#[test]
fn gateway_that_starts_while_the_store_is_away_avoids_the_evacuated_zone() {
    let mut fleet = Fleet::start();
    fleet.evacuate("zone-a");
    fleet.deployment.store.set_mode(StoreMode::Silent);
    fleet.deployment.kill(2).unwrap();
    fleet.deployment.restart(2).unwrap();
    fleet.deployment.wait_ready(2).unwrap();
    let before = fleet.left.received().len();
    fleet.call(2, 200);
    assert_eq!(fleet.left.received().len(), before);
    fleet.wait_until_evacuated(2, "zone-a");
    fleet.deployment.close();
}

/// Guards against a zone that is in use again because the store has lost the record. The operator writes it
/// again within the grace period.
#[test]
fn evacuation_that_a_restored_store_lost_stays_in_force() {
    let fleet = Fleet::start();
    let copy = fleet.deployment.store.copy();
    fleet.evacuate("zone-a");
    let before = fleet.left.received().len();
    fleet.deployment.store.set_mode(StoreMode::Silent);
    thread::sleep(Duration::from_millis(300));
    fleet.deployment.store.restore(&copy);
    fleet.deployment.store.set_mode(StoreMode::Serving);
    let restored = Instant::now();
    let mut is_written = false;
    while restored.elapsed() < GRACE {
        (0..GATEWAYS).for_each(|gateway| fleet.call(gateway, 200));
        if !is_written && restored.elapsed() > Duration::from_millis(800) {
            fleet.deployment.evacuate("zone-a");
            is_written = true;
        }
    }
    assert_eq!(fleet.left.received().len(), before);
    fleet.deployment.take_back("zone-a");
    assert!((0..GATEWAYS).all(|gateway| fleet.has_logged(gateway, "zone taken back")));
    fleet.deployment.close();
}
