//! Tests of a gateway process that hears the others while nothing that it sends gets to them.

use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{Deployment, GatewayFixture, PeerLink, RouteSpec, wait_until};
use rstest::rstest;

const GATEWAYS: u8 = 4;
/// Gateway that the others don't hear. It can't open a connection to any of them.
const UNHEARD: usize = 3;
/// Number of routes that a change adds, more than fit into a notice.
const ADDED_ROUTES: usize = 60;
/// Time in which a change must be in force: the shortest bound of the deployments.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Time after which the other gateways count the unheard one as silent, and send it no notices.
const SILENT: Duration = Duration::from_millis(2_500);

struct Fleet {
    fixture: GatewayFixture,
    link: PeerLink,
}

impl Fleet {
    /// Starts gateways that all know each other, of which the first two watch the store.
    fn start() -> Self {
        let mut deployment =
            Deployment::new(env!("CARGO_BIN_EXE_persimmonmountd"), GATEWAYS).unwrap();
        let link = deployment.link_gateway(UNHEARD).unwrap();
        let fixture = GatewayFixture::start_on(deployment, &["one", "two", "three"]).unwrap();
        let known = format!("\"gateways\":{GATEWAYS}");
        for gateway in 0..usize::from(GATEWAYS) {
            let knows_all =
                || fixture.deployment.status(gateway).is_ok_and(|it| it.contains(&known));
            assert!(wait_until(knows_all), "gateway {gateway} doesn't know all others");
        }
        fixture.wait_for_log(UNHEARD, "other gateways watch the store").unwrap();
        Self { fixture, link }
    }

    /// Publishes routes that don't fit into a notice.
    fn publish_large_change(&mut self) {
        let added = (0..ADDED_ROUTES).map(|it| RouteSpec::repeatable(&format!("route-{it}")));
        let routes: Vec<_> = [RouteSpec::once("commit")].into_iter().chain(added).collect();
        self.fixture.deployment.publish_routes(&routes, &[GatewayFixture::KEY]);
    }

    fn has_change(&self, gateway: usize) -> bool {
        let status = self.fixture.deployment.status(gateway);
        status.is_ok_and(|it| it.contains("\"generation\":2"))
    }

    /// Returns the log of the unheard gateway.
    fn log(&self) -> Vec<String> {
        self.fixture.deployment.log(UNHEARD)
    }

    /// Returns the number of reads of the unheard gateway from the store in place of its peers.
    fn reads(&self) -> usize {
        let lines = self.log();
        lines.iter().filter(|it| it.contains("read changes from the store")).count()
    }

    fn close(self) {
        self.link.close();
        self.fixture.deployment.close();
    }
}

/// Guards against a gateway that waits for peers to which it can't connect, while the store is within reach.
#[rstest]
#[case::just_before_the_change(Duration::ZERO)]
#[case::long_before_the_change(SILENT)]
fn unheard_gateway_applies_large_change_in_time(#[case] silent_for: Duration) {
    let mut fleet = Fleet::start();
    fleet.link.cut_outgoing();
    thread::sleep(silent_for);
    assert_eq!(fleet.reads(), 0);
    fleet.publish_large_change();
    let published_at = Instant::now();
    assert!(wait_until(|| fleet.has_change(UNHEARD)), "{:#?}", fleet.log());
    let took = published_at.elapsed();
    let reads = fleet.reads();
    fleet.close();
    assert!(took < APPLY_LIMIT, "in force after {took:?}");
    assert_eq!(reads, 1);
}

/// Guards against a gateway that asks again and again for changes of which the store has no history.
#[test]
fn unheard_gateway_lists_records_without_history_in_time() {
    let mut fleet = Fleet::start();
    fleet.link.cut_outgoing();
    thread::sleep(SILENT);
    fleet.publish_large_change();
    let published_at = Instant::now();
    assert!(wait_until(|| fleet.has_change(0) && fleet.has_change(1)));
    fleet.fixture.deployment.store.compact_history();
    assert!(!fleet.has_change(UNHEARD));
    assert!(wait_until(|| fleet.has_change(UNHEARD)), "{:#?}", fleet.log());
    let took = published_at.elapsed();
    let lists = fleet.log().iter().filter(|it| it.contains("peers don't send; listing")).count();
    // Afterwards, it waits for the other gateways again.
    let waits = |it: &&String| it.contains("other gateways watch the store");
    assert!(wait_until(|| fleet.log().iter().filter(waits).count() == 2), "{:#?}", fleet.log());
    fleet.close();
    assert!(took < APPLY_LIMIT, "in force after {took:?}");
    assert_eq!(lists, 1);
}

/// Guards against requests to an endpoint that has left, by a gateway to which nobody sends the removal.
#[test]
fn unheard_gateway_stops_using_removed_endpoint_in_time() {
    let fleet = Fleet::start();
    fleet.link.cut_outgoing();
    thread::sleep(SILENT);
    let one = &fleet.fixture.endpoints[0];
    fleet.fixture.deployment.withdraw_endpoint(one);
    let removed_at = Instant::now();
    thread::sleep(APPLY_LIMIT);
    for number in 0..50 {
        fleet.fixture.call(UNHEARD, "/lookup/x", &format!("request-{number}")).unwrap();
    }
    let late = one.received().iter().filter(|it| it.at > removed_at + APPLY_LIMIT).count();
    fleet.close();
    assert_eq!(late, 0, "requests reached an endpoint that had left");
}
