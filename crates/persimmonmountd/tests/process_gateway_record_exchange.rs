//! Tests of gateway processes that exchange records with peers of an earlier build, with bad sources, and
//! beside odd datagrams.

mod record_peer;

use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use persimmon_decide::forward::{
    ChangeNotice, RecordContent, RecordPatch, RecordUpdate, StoreDelta, StoreUpdate, ValuePatch,
};
use persimmon_platform::standin::{Deployment, GatewayFixture, RouteSpec, StoreMode, wait_until};
use rstest::rstest;

use record_peer::{RecordPeer, Script, Source, get_records};

const PROGRAM: &str = env!("CARGO_BIN_EXE_persimmonmountd");
const REVOKED_KEY: &str = "key-2";
const ROUTES: usize = 400;
/// Number of routes that a change adds, more than fit into a notice.
const ADDED_ROUTES: usize = 60;
/// Number of the stand-in's address, after those of all gateways.
const PEER: usize = 40;
/// Time from the first gateway that has a change to the last one.
const SPREAD_LIMIT: Duration = Duration::from_secs(1);
/// Version of the routes that only the stand-in has.
const PEER_VERSION: u64 = 77;
/// Time in which fetches from a bad source have begun.
const ASKED: Duration = Duration::from_millis(500);
/// Time for which what odd datagrams cause is observed.
const OBSERVED: Duration = Duration::from_millis(800);
/// Time in which what follows a change, such as repeated notices, has ended.
const SETTLED: Duration = Duration::from_millis(800);
const PAUSE: Duration = Duration::from_millis(20);

/// A few gateways with a large configuration.
struct Fleet {
    fixture: GatewayFixture,
    routes: usize,
    version: u64,
}

impl Fleet {
    fn start(gateways: u8) -> Self {
        let deployment = Deployment::new(PROGRAM, gateways).unwrap();
        let fixture = GatewayFixture::start_on(deployment, &["one"]).unwrap();
        let mut fleet = Self { fixture, routes: ROUTES - ADDED_ROUTES, version: 1 };
        fleet.add_routes(&[GatewayFixture::KEY]);
        fleet.wait_for_version(0..gateways.into());
        fleet
    }

    fn deployment(&self) -> &Deployment {
        &self.fixture.deployment
    }

    fn all(&self) -> std::ops::Range<usize> {
        0..self.deployment().len()
    }

    /// Publishes a change that adds routes.
    fn add_routes(&mut self, keys: &[&str]) {
        self.routes += ADDED_ROUTES;
        let added = (0..self.routes).map(|it| RouteSpec::repeatable(&format!("route-{it}")));
        let routes: Vec<_> = [RouteSpec::once("commit")].into_iter().chain(added).collect();
        self.fixture.deployment.publish_routes(&routes, keys);
        self.version += 1;
    }

    fn version_of(&self, gateway: usize) -> Option<u64> {
        let status = self.deployment().status(gateway).ok()?;
        serde_json::from_str::<serde_json::Value>(&status).ok()?["generation"].as_u64()
    }

    /// Waits until these gateways have the last version in force. Returns the time from the first one to the
    /// last one.
    fn wait_for_version(&self, gateways: impl Iterator<Item = usize>) -> Duration {
        let mut missing: Vec<_> = gateways.collect();
        let (count, mut first) = (missing.len(), None);
        let all_have_it = wait_until(|| {
            missing.retain(|it| self.version_of(*it) != Some(self.version));
            if missing.len() < count {
                first.get_or_insert_with(Instant::now);
            }
            missing.is_empty()
        });
        let logs = || missing.iter().map(|it| self.deployment().log(*it)).collect::<Vec<_>>();
        assert!(all_have_it, "gateways {missing:?} lack version {}: {:#?}", self.version, logs());
        first.unwrap().elapsed()
    }

    /// Returns the records of a gateway.
    fn records(&self, since: u64) -> StoreDelta {
        get_records(self.deployment().peers_address(0), since)
    }

    /// Returns all records of a later position, with a version of the routes that no gateway has.
    fn later_records(&self) -> StoreDelta {
        let mut delta = self.records(0);
        delta.revision += 1;
        for record in &mut delta.records {
            let text = String::from_utf8(record.value.take().unwrap()).unwrap();
            let version = format!("\"Version\":{}}}", self.version);
            if text.contains(&version) {
                record.revision = delta.revision;
            }
            let later = text.replace(&version, &format!("\"Version\":{PEER_VERSION}}}"));
            record.value = Some(later.into_bytes());
        }
        assert!(delta.records.iter().any(|it| it.revision == delta.revision), "no configuration");
        delta
    }

    /// Starts a stand-in for another gateway, and waits until the gateways count it.
    fn start_peer(&self, reads_notices: bool, script: Script) -> RecordPeer {
        let gateways = self.all().map(|it| self.deployment().peers_address(it)).collect();
        let address = self.deployment().peers_address(PEER);
        let peer = RecordPeer::start(address, gateways, reads_notices, script);
        let known = format!("\"gateways\":{},", 1 + self.deployment().len());
        let is_known = |it| self.deployment().status(it).is_ok_and(|text| text.contains(&known));
        assert!(wait_until(|| self.all().all(is_known)));
        peer
    }

    /// Returns the number of notices that all gateways have sent.
    fn notices_sent(&self) -> usize {
        let of_gateway = |gateway| {
            let metrics = self.deployment().metrics(gateway).unwrap();
            let is_sent = |it: &&str| {
                it.starts_with("persimmon_gateway_record_notices_total") && it.contains("sent")
            };
            let line = metrics.lines().find(is_sent);
            line.map_or(0, |it| it.rsplit(' ').next().unwrap().parse::<usize>().unwrap())
        };
        self.all().map(of_gateway).sum()
    }

    fn count_in_logs(&self, text: &str) -> usize {
        let lines = self.all().flat_map(|it| self.deployment().log(it));
        lines.filter(|line| line.contains(text)).count()
    }

    fn close(self) {
        self.fixture.deployment.close();
    }
}

/// Returns a whole update with the records of a delta, or one that patches the first large record.
fn update_of(delta: &StoreDelta, patch: Option<&ValuePatch>) -> StoreUpdate {
    let revision = delta.revision;
    let mut records = Vec::new();
    for record in delta.records.iter().filter(|it| patch.is_none() || it.revision == revision) {
        let content = match patch {
            Some(patch) => {
                let patch = RecordPatch { from: revision - 1, to: revision, patch: patch.clone() };
                RecordContent::Patched(vec![patch])
            }
            None => RecordContent::Written(record.value.clone().unwrap()),
        };
        records.push(RecordUpdate { key: record.key.clone(), revision: record.revision, content });
    }
    let is_whole = patch.is_none();
    let since = if is_whole { 0 } else { revision - 1 };
    StoreUpdate {
        since,
        revision,
        is_whole,
        grace_ms: 0,
        deferred: Vec::new(),
        records,
        gaps: Vec::new(),
    }
}

fn script(source: Source, delta: &StoreDelta, patch: Option<&ValuePatch>) -> Script {
    // An update that isn't compressed.
    let changes = postcard::to_extend(&update_of(delta, patch), vec![0]).unwrap();
    Script { source, changes, records: delta.to_bytes().unwrap() }
}

#[test]
fn peer_of_an_earlier_build_gets_whole_records() {
    let mut fleet = Fleet::start(3);
    let before = fleet.records(0);
    let peer = fleet.start_peer(false, script(Source::Silent, &before, None));
    peer.claim(before.revision);
    fleet.add_routes(&[GatewayFixture::KEY]);
    fleet.wait_for_version(fleet.all());
    let is_announced = || peer.highest_position() > before.revision;
    assert!(wait_until(is_announced), "no digest names the change");
    assert_eq!(peer.notices(), 0);
    for gateway in fleet.all() {
        let since = get_records(fleet.deployment().peers_address(gateway), before.revision);
        let changed: Vec<_> = since.records.iter().filter_map(|it| it.value.as_ref()).collect();
        let version = format!("\"Version\":{}}}", fleet.version);
        assert_eq!(changed.len(), 1, "{gateway}");
        let text = String::from_utf8_lossy(changed[0]);
        assert!(text.contains(&version) && text.matches("route-").count() >= fleet.routes);
        let whole = get_records(fleet.deployment().peers_address(gateway), 0);
        assert!(whole.is_whole && whole.records.len() == before.records.len(), "{gateway}");
    }
    peer.close();
    fleet.close();
}

#[rstest]
#[case::earlier_build(false, Source::Sound, "/records?since=")]
#[case::present_build(true, Source::Sound, "/changes?since=")]
#[case::earlier_build_that_trickles(false, Source::Trickles, "/records?since=")]
#[case::present_build_that_trickles(true, Source::Trickles, "/changes?since=")]
fn records_come_from_the_only_peer_that_has_them(
    #[case] reads_notices: bool,
    #[case] source: Source,
    #[case] path: &str,
) {
    let mut fleet = Fleet::start(3);
    let later = fleet.later_records();
    let peer = fleet.start_peer(reads_notices, script(source, &later, None));
    fleet.deployment().store.set_mode(StoreMode::Silent);
    let claimed_at = Instant::now();
    peer.claim(later.revision);
    fleet.version = PEER_VERSION;
    fleet.wait_for_version(fleet.all());
    let took = claimed_at.elapsed();
    let is_slow = matches!(source, Source::Trickles);
    assert!(!is_slow || took > RecordPeer::TRICKLED, "the answer came at once: {took:?}");
    let requests = peer.requests();
    assert!(!requests.is_empty() && requests.iter().all(|it| it.starts_with(path)), "{requests:?}");
    peer.close();
    fleet.close();
}

#[rstest]
#[case::sends_nothing(Source::Silent)]
#[case::stops_in_the_middle(Source::StopsInTheMiddle)]
#[case::closes_in_the_middle(Source::ClosesInTheMiddle)]
#[case::sends_garbage(Source::Garbage)]
#[case::sends_wrong_patch(Source::Sound)]
fn bad_source_delays_no_change(#[case] source: Source) {
    let mut fleet = Fleet::start(4);
    let later = fleet.later_records();
    let patch = ValuePatch::between(b"a value that no gateway has", b"another one");
    let patch = matches!(source, Source::Sound).then_some(patch);
    let peer = fleet.start_peer(true, script(source, &later, patch.as_ref()));
    peer.claim(later.revision);
    let notice = ChangeNotice { position: later.revision, relay_to: Vec::new(), update: None };
    peer.send_all(&notice.to_bytes().unwrap());
    thread::sleep(ASKED);
    let asked = peer.requests().len();
    assert!(asked > 0, "the stand-in wasn't asked");
    // Each gateway asks again after each digest, which come every 50 ms.
    assert!(asked < 4 * 2 * (3 + ASKED.as_millis() as usize / 50), "asked {asked} times");
    for _ in 0..2 {
        fleet.add_routes(&[GatewayFixture::KEY]);
        let spread = fleet.wait_for_version(fleet.all());
        assert!(spread < SPREAD_LIMIT, "{spread:?} from the first gateway to the last one");
        peer.claim(fleet.records(0).revision + 1);
        thread::sleep(ASKED);
    }
    assert_eq!(fleet.count_in_logs(&format!("\"version\":{PEER_VERSION}")), 0);
    assert!(fleet.all().all(|it| fleet.version_of(it) == Some(fleet.version)));
    peer.close();
    fleet.close();
}

/// Returns notices that no sound gateway sends, each with the number of datagrams that one may cause.
fn odd_notices(
    position: u64,
    (sink, gateways): (IpAddr, &[IpAddr]),
    update: &StoreUpdate,
) -> Vec<(Vec<u8>, usize)> {
    /// Maximum number of gateways to which one passes a notice on.
    const FAN_OUT: usize = 8;
    let notice = |position, relay_to, update| {
        ChangeNotice { position, relay_to, update }.to_bytes().unwrap()
    };
    let sound = notice(position + 1, Vec::new(), Some(update.clone()));
    let mut odd = Vec::new();
    for length in (0..sound.len()).step_by(7) {
        odd.push((sound[..length].to_vec(), 0));
    }
    for at in 0..sound.len() {
        let mut damaged = sound.clone();
        damaged[at] ^= 0x21;
        odd.push((damaged, 0));
    }
    odd.push((notice(u64::MAX, Vec::new(), None), 0));
    odd.push((notice(position + 1_000, vec![sink; 2_000], None), 0));
    odd.push((notice(position, vec![sink; 2_000], None), FAN_OUT));
    odd.push((notice(0, vec![sink; 2_000], None), FAN_OUT));
    // Each of the gateways passes it on, too.
    odd.push((notice(position, gateways.repeat(500), None), FAN_OUT * (1 + gateways.len())));
    odd
}

#[rstest]
#[case::of_a_stranger(false)]
#[case::of_a_gateway(true)]
fn odd_datagrams_do_no_harm(#[case] is_gateway: bool) {
    let mut fleet = Fleet::start(3);
    let later = fleet.later_records();
    let position = later.revision - 1;
    let before = fleet.records(0);
    // A sound update of a small record; only damaged copies of it are sent.
    let mut update = update_of(&later, None);
    (update.since, update.is_whole) = (position, false);
    update
        .records
        .retain(|it| matches!(&it.content, RecordContent::Written(value) if value.len() < 500));
    update.records.iter_mut().for_each(|it| it.revision = later.revision);
    assert_eq!(update.records.len(), 1);
    let sink = UdpSocket::bind(fleet.deployment().peers_address(PEER + 1)).unwrap();
    sink.set_nonblocking(true).unwrap();
    let peer = is_gateway.then(|| {
        let peer = fleet.start_peer(true, script(Source::Silent, &later, None));
        peer.claim(position);
        peer
    });
    let own = match &peer {
        Some(peer) => peer.socket(),
        None => UdpSocket::bind(fleet.deployment().peers_address(PEER)).unwrap(),
    };
    let sink_ip = sink.local_addr().unwrap().ip();
    let gateways: Vec<_> = fleet.all().map(|it| IpAddr::from(fleet.deployment().ip(it))).collect();
    thread::sleep(SETTLED);
    let sent_before = fleet.notices_sent();
    let mut allowed = 0;
    let count = |sink: &UdpSocket| {
        let mut buf = [0; 64 * 1024];
        let received = || sink.recv_from(&mut buf).ok().map(|_: (usize, SocketAddr)| ());
        std::iter::from_fn(received).count()
    };
    let mut received = 0;
    for (bytes, causes) in odd_notices(position, (sink_ip, &gateways), &update) {
        for gateway in fleet.all() {
            own.send_to(&bytes, fleet.deployment().peers_address(gateway)).unwrap();
            allowed += causes;
        }
        thread::sleep(Duration::from_millis(2));
        received += count(&sink);
    }
    let until = Instant::now() + OBSERVED;
    while Instant::now() < until {
        received += count(&sink);
        thread::sleep(PAUSE);
    }
    assert!((1..=allowed).contains(&received), "{received} datagrams, at most {allowed}");
    let sent = fleet.notices_sent() - sent_before;
    assert!(sent <= allowed, "{sent} notices sent, at most {allowed}");
    for gateway in fleet.all() {
        assert_eq!(get_records(fleet.deployment().peers_address(gateway), 0), before);
    }
    fleet.add_routes(&[GatewayFixture::KEY]);
    let spread = fleet.wait_for_version(fleet.all());
    assert!(spread < SPREAD_LIMIT, "{spread:?} from the first gateway to the last one");
    assert_eq!(fleet.fixture.call(2, "/commit/x", "request").unwrap().status, 200);
    if let Some(peer) = peer {
        peer.close();
    }
    fleet.close();
}

/// With eight gateways, those that read the store pass a change on to three each, which pass it on.
#[test]
fn stopped_gateway_delays_no_change() {
    let mut fleet = Fleet::start(8);
    for stopped in [2, 5, 0] {
        fleet.deployment().pause(stopped).unwrap();
        fleet.add_routes(&[GatewayFixture::KEY]);
        let spread = fleet.wait_for_version(fleet.all().filter(|it| *it != stopped));
        fleet.deployment().resume(stopped).unwrap();
        assert!(spread < SPREAD_LIMIT, "{spread:?} while gateway {stopped} was stopped");
        fleet.wait_for_version(fleet.all());
    }
    fleet.close();
}

#[test]
fn removed_key_stays_removed_while_the_store_is_restored_in_a_series_of_changes() {
    const CHANGES: usize = 12;
    let mut fleet = Fleet::start(4);
    fleet.add_routes(&[GatewayFixture::KEY, REVOKED_KEY]);
    fleet.wait_for_version(fleet.all());
    let copy = fleet.deployment().store.copy();
    let status = |fleet: &Fleet, gateway| {
        let caller = fleet.deployment().caller(gateway).ok()?;
        let caller = caller.request("POST", "/commit/x", "request").with_key(REVOKED_KEY);
        Some(caller.with_deadline_ms(2_000).call("body").ok()?.status)
    };
    fleet.add_routes(&[GatewayFixture::KEY]);
    fleet.wait_for_version(fleet.all());
    let mut refused = 0;
    for change in 0..CHANGES {
        match change % 4 {
            1 => fleet.deployment().store.set_mode(StoreMode::Silent),
            2 => {
                fleet.deployment().store.restore(&copy);
                fleet.deployment().store.set_mode(StoreMode::Serving);
            }
            _ => fleet.add_routes(&[GatewayFixture::KEY]),
        }
        let until = Instant::now() + Duration::from_millis(300);
        while Instant::now() < until {
            for gateway in fleet.all() {
                let status = status(&fleet, gateway);
                assert_eq!(status, Some(401), "gateway {gateway} at change {change}");
                refused += 1;
            }
            thread::sleep(PAUSE);
        }
    }
    fleet.add_routes(&[GatewayFixture::KEY]);
    fleet.wait_for_version(fleet.all());
    assert!(fleet.all().all(|it| status(&fleet, it) == Some(401)), "after {refused} refusals");
    fleet.close();
}
