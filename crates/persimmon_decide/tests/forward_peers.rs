//! The other gateways: which of them watch the store, and whose counts are valid.

use std::net::IpAddr;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    Digest, DigestFreshness, PeerAddress, PeerTable, RecordsVersion, ServiceRetries,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Excludes no peer.
const NONE: fn(&IpAddr) -> bool = |_| false;

fn ip(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

fn digest(sequence: u64) -> Digest {
    Digest { incarnation: 1, sequence, ..Digest::default() }
}

/// Milliseconds between two checks of the gateways whether to watch the store, and from the cut to the
/// digests that show it, and time after which a call that isn't answered has failed.
const CHECK_MS: u64 = 100;
const NOTICED_MS: u64 = 1_200;
const CALL_TIMEOUT_MS: u64 = 600;

/// Guards against a time until some gateway watches the store again that grows with the number of
/// neighbours that are cut off from it together.
#[rstest]
#[case::both_of_four(4, 2)]
#[case::three_of_five(5, 3)]
#[case::a_third_of_eighteen(18, 6)]
#[case::a_third_of_103(103, 34)]
fn should_watch_is_taken_over_in_one_wave(#[case] gateways: u16, #[case] cut_off: u16) {
    let address = |number: u16| IpAddr::from([10, (number / 20) as u8, 0, (number % 20) as u8]);
    let mut fleet: Vec<_> =
        (0..gateways).map(|own| PeerTable::new(address(own), vec![address(0)])).collect();
    // Time of the first call of each gateway that watches.
    let mut watching: Vec<Option<u64>> = (0..gateways).map(|it| (it < 2).then_some(0)).collect();
    let mut most = 0;
    for step in 0..40 {
        let at = step * CHECK_MS;
        let now = MonoMs(10_000 + at);
        let age_ms = |number: u16, since: u64| match number < cut_off {
            true if since == 0 => Some((NOTICED_MS + at) as u32),
            true => (at >= since + CALL_TIMEOUT_MS).then_some(u32::MAX),
            false => Some(50),
        };
        for own in 0..gateways {
            let peers = &mut fleet[usize::from(own)];
            for other in (0..gateways).filter(|it| *it != own) {
                let store_age_ms = watching[usize::from(other)].and_then(|it| age_ms(other, it));
                let latest = Digest { store_age_ms, ..digest(step + 1) };
                peers.record_digest(address(other), &latest, now);
            }
        }
        for own in 0..gateways {
            let known = watching[usize::from(own)];
            let watches = fleet[usize::from(own)].should_watch(known.is_some(), u64::MAX, now);
            watching[usize::from(own)] = watches.then_some(known.unwrap_or(at));
        }
        most = most.max(watching.iter().flatten().count());
        if (cut_off..gateways).any(|it| watching[usize::from(it)].is_some()) {
            assert!(at < CALL_TIMEOUT_MS, "taken over {at} ms after it was noticed");
            assert!(most <= 2 + 8 + 2, "{most} gateways watched at one time");
            return;
        }
    }
    panic!("no gateway took the watch over");
}

/// In an outage of the store, gateways try it a few at a time.
#[test]
fn should_watch_limits_the_stand_ins_in_an_outage() {
    let mut peers = PeerTable::new(IpAddr::from([10, 1, 0, 1]), vec![ip(1)]);
    let cut_off = |sequence| Digest { store_age_ms: Some(9_000), ..digest(sequence) };
    for number in 1..=16 {
        peers.record_digest(ip(number), &cut_off(1), MonoMs(1_000));
    }
    for number in 17..=80 {
        peers.record_digest(ip(number), &digest(1), MonoMs(1_000));
    }
    assert!(!peers.should_watch(false, u64::MAX, MonoMs(1_050)));
}

#[test]
fn store_lost_since_is_the_latest_answer_to_any_gateway() {
    let mut peers = last_of_five(|_| digest(1));
    assert_eq!(peers.store_lost_since(MonoMs(1_000)), None);
    let age = |sequence, ms| Digest { store_age_ms: Some(ms), ..digest(sequence) };
    peers.record_digest(ip(1), &age(2, 900), MonoMs(2_000));
    peers.record_digest(ip(2), &age(2, 300), MonoMs(2_000));
    // One that never got an answer.
    peers.record_digest(ip(3), &age(2, u32::MAX), MonoMs(2_000));
    assert_eq!(peers.store_lost_since(MonoMs(2_000)), Some(MonoMs(1_700)));
    // Both are cut off.
    peers.record_digest(ip(1), &age(3, 1_900), MonoMs(3_000));
    peers.record_digest(ip(2), &age(3, 1_300), MonoMs(3_000));
    assert_eq!(peers.store_lost_since(MonoMs(3_000)), Some(MonoMs(1_700)));
}

/// Guards against a gateway that takes the end of an outage, which another one noticed before it, for a
/// sign that there was none.
#[test]
fn store_lost_since_spans_an_outage_that_another_gateway_saw_end() {
    let mut peers = last_of_five(|_| digest(1));
    let age = |sequence, ms| Digest { store_age_ms: Some(ms), ..digest(sequence) };
    peers.record_digest(ip(1), &age(2, 100), MonoMs(2_100));
    peers.record_store_contact(MonoMs(2_050));
    // The store is down from 2,100 to 6,000; gateway 1 reaches it first.
    peers.record_digest(ip(1), &age(3, 50), MonoMs(6_100));
    assert_eq!(peers.store_lost_since(MonoMs(6_500)), Some(MonoMs(2_050)));
    peers.record_digest(ip(1), &age(4, 50), MonoMs(6_600));
    assert_eq!(peers.store_lost_since(MonoMs(7_700)), Some(MonoMs(2_050)));
    // By then, endpoints have written their records again.
    assert_eq!(peers.store_lost_since(MonoMs(7_800)), Some(MonoMs(6_550)));
}

/// Returns the table of gateway 9, which has just received digests from gateways 1 to 4.
fn last_of_five(digest_of: impl Fn(u8) -> Digest) -> PeerTable {
    let mut peers = PeerTable::new(ip(9), vec![ip(1)]);
    for number in 1..=4 {
        peers.record_digest(ip(number), &digest_of(number), MonoMs(1_000));
    }
    peers
}

#[rstest]
#[case::first_two_idle(|_| digest(1), false)]
#[case::first_two_watch(|_| Digest { store_age_ms: Some(100), ..digest(1) }, false)]
#[case::one_cut_off(
    |number| Digest { store_age_ms: (number == 1).then_some(5_000), ..digest(1) }, false)]
#[case::three_cut_off(
    |number| Digest { store_age_ms: (number <= 3).then_some(5_000), ..digest(1) }, true)]
#[case::three_leaving(|number| Digest { is_leaving: number <= 3, ..digest(1) }, true)]
fn should_watch_replaces_unavailable_watchers(
    #[case] digest_of: impl Fn(u8) -> Digest,
    #[case] expected: bool,
) {
    assert_eq!(last_of_five(digest_of).should_watch(false, u64::MAX, MonoMs(1_050)), expected);
}

#[test]
fn should_watch_replaces_silent_peers() {
    let peers = last_of_five(|_| digest(1));
    assert!(peers.should_watch(false, u64::MAX, MonoMs(1_000 + PeerTable::SILENT_MS + 1)));
}

/// A peer never counts as silent between two of its digests, however large the fleet is.
#[rstest]
#[case::small(4)]
#[case::grown(28)]
#[case::designed_for(350)]
fn should_watch_large_fleet_has_two_watchers(#[case] gateways: u16) {
    let address = |number: u16| {
        let [high, low] = number.to_be_bytes();
        IpAddr::from([10, 0, high, low])
    };
    let mut watchers = 0;
    for own in 0..gateways {
        let mut peers = PeerTable::new(address(own), Vec::new());
        for other in (0..gateways).filter(|other| *other != own) {
            peers.record_digest(address(other), &digest(1), MonoMs(1_000));
        }
        let before_next = MonoMs(1_000 + peers.interval_ms(false) + 50);
        for watcher in (0..2).filter(|other| *other != own) {
            let latest = Digest { store_age_ms: Some(100), ..digest(2) };
            peers.record_digest(address(watcher), &latest, MonoMs(before_next.0 - 400));
        }
        assert_eq!(peers.gateways(before_next), usize::from(gateways));
        watchers += usize::from(peers.should_watch(false, u64::MAX, before_next));
    }
    assert_eq!(watchers, 2);
}

/// All gateways of a large fleet but a few end at one moment. The others count as running for seconds,
/// among them all that are first in order.
#[rstest]
#[case::few_are_left(3)]
#[case::some_are_left(15)]
#[case::only_the_watchers_end(101)]
fn should_watch_begins_soon_when_watchers_end(#[case] left: u16) {
    const GATEWAYS: u16 = 103;
    const CHECK_MS: u64 = 100;
    const MAX_MS: u64 = 4_000;
    let address = |number: u16| IpAddr::from([10, 0, 0, number as u8]);
    let mut rng = Pcg64Mcg::seed_from_u64(u64::from(left));
    let mut fleet: Vec<_> = (GATEWAYS - left..GATEWAYS)
        .map(|own| {
            let mut peers = PeerTable::new(address(own), Vec::new());
            for other in (0..GATEWAYS).filter(|other| *other != own) {
                let store_age_ms = (other < 2).then_some(100);
                peers.record_digest(
                    address(other),
                    &Digest { store_age_ms, ..digest(1) },
                    MonoMs(1_000),
                );
            }
            (own, peers, false)
        })
        .collect();
    let (mut first, mut most) = (None, 0);
    for check in 0..100 {
        let now = MonoMs(1_000 + check * CHECK_MS);
        for (_, peers, is_watching) in &mut fleet {
            *is_watching = peers.should_watch(*is_watching, rng.random(), now);
        }
        let watching: Vec<_> = fleet.iter().filter(|it| it.2).map(|it| it.0).collect();
        if !watching.is_empty() {
            first.get_or_insert(now.0 - 1_000);
            most = most.max(watching.len());
        }
        // The digests of those that are left.
        for own in GATEWAYS - left..GATEWAYS {
            let store_age_ms = watching.contains(&own).then_some(50);
            let next = Digest { store_age_ms, ..digest(2 + check) };
            for (_, peers, _) in fleet.iter_mut().filter(|it| it.0 != own) {
                peers.record_digest(address(own), &next, now);
            }
        }
    }
    let at_end: Vec<_> = fleet.iter().filter(|it| it.2).map(|it| it.0).collect();
    assert!(first.is_some_and(|ms| ms <= MAX_MS), "{first:?}");
    assert!(most <= 24, "{most} gateways watched at one time");
    assert_eq!(at_end, [GATEWAYS - left, GATEWAYS - left + 1]);
}

/// The load of those that lack a change is shared by all that have it.
#[test]
fn ahead_of_draws_among_all_peers_heard_lately() {
    let mut peers = PeerTable::new(ip(250), Vec::new());
    for number in 1..=100 {
        let at = MonoMs(1_000 + u64::from(number));
        peers.record_digest(ip(number), &Digest { revision: 9, ..digest(1) }, at);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(44);
    let mut asked = std::collections::BTreeMap::<_, u32>::new();
    for _ in 0..1_000 {
        let ahead = peers.ahead_of(7, rng.random(), NONE, MonoMs(1_200)).unwrap();
        *asked.entry(ahead).or_default() += 1;
    }
    assert_eq!(asked.len(), 100);
    assert!(asked.values().all(|it| *it < 40), "{asked:?}");
    let excluded = |it: &IpAddr| *it != ip(7);
    assert_eq!(peers.ahead_of(7, rng.random(), excluded, MonoMs(1_200)), Some(ip(7)));
}

/// Guards against gateways that fetch all records of a peer because a change is on its way.
#[test]
fn change_on_its_way_is_no_reason_to_adopt_routes() {
    let mut peers = PeerTable::new(ip(250), Vec::new());
    let own = RecordsVersion { position: 6, routes: 7 };
    let later = Digest { routes_version: 8, revision: 7, ..digest(1) };
    peers.record_digest(ip(1), &later, MonoMs(1_000));
    assert_eq!(peers.ahead_in_routes(own, 0, MonoMs(1_000)), None);
    let kept = Digest { routes_version: 8, revision: 6, ..digest(1) };
    peers.record_digest(ip(2), &kept, MonoMs(1_000));
    assert_eq!(peers.ahead_in_routes(own, 0, MonoMs(1_000)), Some(ip(2)));
    peers.record_fetch_failed(ip(2), MonoMs(1_100));
    assert_eq!(peers.ahead_in_routes(own, 0, MonoMs(1_100)), None);
}

#[test]
fn sender_of_notice_reads_notices() {
    let mut peers = PeerTable::new(ip(250), Vec::new());
    peers.record_digest(ip(1), &digest(1), MonoMs(1_000));
    assert!(!peers.reads_notices(ip(1)));
    peers.record_notice(ip(1), 7, MonoMs(1_100));
    assert!(peers.reads_notices(ip(1)));
    assert_eq!(peers.position(ip(1)), Some(7));
}

/// Peers that have ended still count as live for seconds in a large fleet.
#[test]
fn ahead_of_prefers_peers_that_were_heard_last() {
    let mut peers = PeerTable::new(ip(250), Vec::new());
    for number in 1..=100 {
        peers.record_digest(ip(number), &Digest { revision: 9, ..digest(1) }, MonoMs(1_000));
    }
    peers.record_digest(ip(50), &Digest { revision: 9, ..digest(2) }, MonoMs(2_000));
    for number in 60..=62 {
        peers.record_digest(ip(number), &Digest { revision: 8, ..digest(2) }, MonoMs(1_900));
    }
    let chosen: Vec<_> =
        (0..4).filter_map(|it| peers.ahead_of(7, it, NONE, MonoMs(2_100))).collect();
    assert_eq!(chosen, [ip(50), ip(60), ip(61), ip(62)]);
    peers.record_fetch_failed(ip(50), MonoMs(2_200));
    let chosen = (0..4).filter_map(|it| peers.ahead_of(7, it, NONE, MonoMs(2_200)));
    assert!(chosen.into_iter().all(|it| it != ip(50)));
    peers.record_digest(ip(50), &Digest { revision: 9, ..digest(3) }, MonoMs(2_300));
    assert_eq!(peers.ahead_of(7, 0, NONE, MonoMs(2_300)), Some(ip(50)));
}

#[test]
fn addresses_limits_each_draw_and_covers_all_peers() {
    let mut peers = PeerTable::new(ip(250), Vec::new());
    for number in 1..=60 {
        peers.record_digest(ip(number), &digest(1), MonoMs(1_000));
    }
    let mut listed = std::collections::BTreeSet::new();
    for draw in 0..60 {
        let addresses = peers.addresses(draw, MonoMs(1_100));
        assert!(addresses.len() <= 8);
        listed.extend(addresses.into_iter().map(|it| it.ip));
    }
    assert_eq!(listed.len(), 60);
}

#[test]
fn should_watch_alone() {
    assert!(PeerTable::new(ip(9), vec![ip(9)]).should_watch(false, u64::MAX, MonoMs(0)));
}

#[test]
fn record_digest_overtaken_is_stale() {
    let mut peers = PeerTable::new(ip(9), Vec::new());
    assert_eq!(peers.record_digest(ip(1), &digest(5), MonoMs(0)), DigestFreshness::NewIncarnation);
    assert_eq!(peers.record_digest(ip(1), &digest(6), MonoMs(1)), DigestFreshness::Newer);
    assert_eq!(peers.record_digest(ip(1), &digest(5), MonoMs(2)), DigestFreshness::Stale);
    let restarted = Digest { incarnation: 2, ..digest(1) };
    assert_eq!(peers.record_digest(ip(1), &restarted, MonoMs(3)), DigestFreshness::NewIncarnation);
    assert_eq!(peers.record_digest(ip(9), &digest(9), MonoMs(4)), DigestFreshness::Stale);
}

#[test]
fn targets_include_reported_peers() {
    let mut peers = PeerTable::new(ip(9), vec![ip(1), ip(9)]);
    let reported = PeerAddress { ip: ip(3), age_ms: 200 };
    peers.record_digest(ip(2), &Digest { peers: vec![reported], ..digest(1) }, MonoMs(1_000));
    assert_eq!(peers.targets(), [ip(1), ip(2), ip(3)]);
    peers.expire(MonoMs(60_000));
    assert_eq!(peers.targets(), [ip(1)]);
}

#[test]
fn ahead_of_returns_live_peer_with_later_revision() {
    let peers = last_of_five(|number| Digest { revision: u64::from(number), ..digest(1) });
    for draw in 0..20 {
        let ahead = peers.ahead_of(2, draw, NONE, MonoMs(1_100)).expect("two peers are ahead");
        assert!([ip(3), ip(4)].contains(&ahead));
    }
    assert_eq!(peers.ahead_of(4, 0, NONE, MonoMs(1_100)), None);
    assert_eq!(peers.ahead_of(2, 0, NONE, MonoMs(9_000)), None);
}

#[test]
fn retries_sum_over_live_peers() {
    let counts = ServiceRetries { fresh: 10, repeated: 2 };
    let peers = last_of_five(|_| Digest { retries: vec![("engines".into(), counts)], ..digest(1) });
    let sum = peers.retries("engines", MonoMs(1_100));
    assert_eq!(sum, ServiceRetries { fresh: 40, repeated: 8 });
    assert_eq!(peers.retries("other", MonoMs(1_100)), ServiceRetries::default());
    assert_eq!(peers.retries("engines", MonoMs(9_000)), ServiceRetries::default());
    assert_eq!(peers.gateways(MonoMs(1_100)), 5);
}

/// Five gateways shut down one second apart; the last one refuses a caller.
#[rstest]
#[case::first_is_back_in_two_seconds(6_000, Some(3_500))]
#[case::first_is_due(8_000, Some(1_500))]
#[case::first_is_late(9_000, Some(1_500))]
fn return_ms_counts_from_first_shutdown(#[case] at: u64, #[case] expected: Option<u64>) {
    const GRACE_MS: u64 = 8_000;
    let mut table = PeerTable::new(ip(5), vec![ip(1)]);
    for last in 1..=4 {
        let since = MonoMs(u64::from(last - 1) * 1_000);
        let leaving = |sequence| Digest { is_leaving: true, ..digest(sequence) };
        table.record_digest(ip(last), &leaving(1), since);
        // Later digests don't change the time at which the shutdown began.
        table.record_digest(ip(last), &leaving(2), since.plus_ms(500));
    }
    assert_eq!(table.return_ms(MonoMs(4_000), GRACE_MS, MonoMs(at)), expected);
}

#[test]
fn return_ms_none_while_another_gateway_stays() {
    let mut table = PeerTable::new(ip(3), vec![ip(1)]);
    table.record_digest(ip(1), &Digest { is_leaving: true, ..digest(1) }, MonoMs(0));
    table.record_digest(ip(2), &digest(1), MonoMs(0));
    assert_eq!(table.return_ms(MonoMs(100), 8_000, MonoMs(200)), None);
}

/// A restarted gateway accepts requests again.
#[test]
fn return_ms_none_after_restart() {
    let mut table = PeerTable::new(ip(2), vec![ip(1)]);
    table.record_digest(ip(1), &Digest { is_leaving: true, ..digest(1) }, MonoMs(0));
    assert_eq!(table.return_ms(MonoMs(0), 8_000, MonoMs(100)), Some(9_400));
    table.record_digest(ip(1), &Digest { incarnation: 99, ..digest(1) }, MonoMs(8_200));
    assert_eq!(table.return_ms(MonoMs(0), 8_000, MonoMs(8_300)), None);
}

/// A gateway of four that doesn't hear the others any more is probably cut off from them.
#[rstest]
#[case::none_heard(0, 4)]
#[case::one_heard(1, 4)]
#[case::all_but_one_heard(2, 3)]
fn fleet_of_a_gateway_that_hears(#[case] heard: u8, #[case] gateways: usize) {
    let mut table = PeerTable::new(ip(9), Vec::new());
    (1..=3).for_each(|number| _ = table.record_digest(ip(number), &digest(1), MonoMs(0)));
    (1..=heard).for_each(|number| _ = table.record_digest(ip(number), &digest(2), MonoMs(60_000)));
    table.expire(MonoMs(60_000));
    assert_eq!(table.fleet().len(), gateways);
    table.expire(MonoMs(661_000));
    assert_eq!(table.fleet(), [ip(9)]);
}
