//! Tests of how a change of the records is passed on.

use std::collections::BTreeSet;
use std::net::IpAddr;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    ChangeNotice, Digest, FanOut, FanOutInput, FetchEnd, NoticeTo, PeerTable, Relay,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const START: MonoMs = MonoMs(10_000);

fn ip(number: usize) -> IpAddr {
    IpAddr::from([10, 0, (number / 250) as u8, (number % 250) as u8])
}

fn digest(revision: u64) -> Digest {
    Digest { incarnation: 1, sequence: 1, revision, reads_notices: true, ..Digest::default() }
}

/// Returns the table of gateway 0 of a fleet whose other gateways are at `revision`.
fn peers(gateways: usize, revision: u64) -> PeerTable {
    let mut peers = PeerTable::new(ip(0), Vec::new());
    for number in 1..gateways {
        peers.record_digest(ip(number), &digest(revision), START);
    }
    peers
}

/// Returns the input of a gateway at position `own`, `ms` after the start.
fn input(peers: &PeerTable, own: u64, ms: u64) -> FanOutInput<'_> {
    FanOutInput { own, is_small: true, is_watching: false, peers, now: START.plus_ms(ms) }
}

fn relay(position: u64, group: Vec<IpAddr>) -> Relay {
    Relay { position, group }
}

/// Passes a notice on to its whole group; returns the gateways that got it and the number of hops.
fn deliver(first: Vec<NoticeTo>, is_small: bool) -> (Vec<IpAddr>, usize) {
    let (mut reached, mut hops) = (Vec::new(), 0);
    let peers = peers(1, 0);
    let input = FanOutInput { is_small, ..input(&peers, 7, 0) };
    let mut wave = first;
    while !wave.is_empty() {
        hops += 1;
        let mut next = Vec::new();
        for notice in wave {
            reached.push(notice.to);
            let relay_to = notice.relay_to;
            let relay = relay(7, relay_to);
            next.extend(FanOut::new().record_notice(ip(0), relay, &input, || 0));
        }
        wave = next;
    }
    (reached, hops)
}

#[rstest]
#[case::five_small(5, true, 4, 1)]
#[case::five_large(5, false, 3, 2)]
#[case::hundred_small(103, true, 4, 4)]
#[case::hundred_large(103, false, 3, 5)]
#[case::hundreds_small(300, true, 4, 5)]
#[case::hundreds_large(300, false, 3, 5)]
fn notices_reach_each_gateway_once_in_few_hops(
    #[case] gateways: usize,
    #[case] is_small: bool,
    #[case] max_sent: usize,
    #[case] max_hops: usize,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(44);
    let peers = peers(gateways, 6);
    let input = FanOutInput { is_small, ..input(&peers, 7, 0) };
    let first = FanOut::new().record_position(&input, true, || rng.random());
    assert!(first.len() <= max_sent);
    let (reached, hops) = deliver(first, is_small);
    assert_eq!(reached.len(), gateways - 1);
    assert_eq!(reached.iter().collect::<BTreeSet<_>>().len(), gateways - 1);
    assert!(hops <= max_hops, "{hops} hops");
}

#[test]
fn notice_that_names_gateways_many_times_reaches_each_once() {
    let peers = peers(4, 6);
    let group = (1..4).map(ip).collect::<Vec<_>>().repeat(500);
    let first = FanOut::new().record_notice(ip(9), relay(7, group), &input(&peers, 7, 0), || 0);
    let (mut reached, _) = deliver(first, true);
    reached.sort_unstable();
    assert_eq!(reached, [ip(1), ip(2), ip(3)]);
}

/// What the first notices name of a fleet grows far slower than the fleet.
#[test]
fn notice_names_hundreds_of_gateways_in_few_bytes() {
    let size = |gateways: usize| {
        let relay_to: Vec<_> = (1..gateways).step_by(8).map(ip).collect();
        let notice = ChangeNotice { position: 7, relay_to: relay_to.clone(), update: None };
        let bytes = notice.to_bytes().unwrap();
        let decoded = ChangeNotice::from_bytes(&bytes).unwrap().unwrap();
        assert_eq!(decoded, notice);
        bytes.len()
    };
    assert!(size(300) < 80, "{} bytes", size(300));
    assert!(size(300) < 3 * size(30), "{} and {} bytes", size(30), size(300));
}

/// Two gateways that read the store choose different ways, so that one broken way leaves the other.
#[test]
fn notices_take_ways_drawn_at_random() {
    let first = |seed| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let peers = peers(103, 6);
        let sent = FanOut::new().record_position(&input(&peers, 7, 0), true, || rng.random());
        sent.into_iter().map(|it| it.to).collect::<BTreeSet<_>>()
    };
    assert!(first(1).intersection(&first(2)).count() < 4);
}

#[test]
fn notice_waits_until_its_change_is_here() {
    let mut fan_out = FanOut::new();
    let peers = peers(9, 6);
    let group = vec![ip(3), ip(4)];
    assert_eq!(
        fan_out.record_notice(ip(1), relay(7, group.clone()), &input(&peers, 6, 0), || 0),
        []
    );
    let sent = fan_out.record_position(&input(&peers, 7, 40), false, || 0);
    let reached: BTreeSet<_> = sent.into_iter().map(|it| it.to).collect();
    assert_eq!(reached, group.into_iter().collect());
}

#[test]
fn notice_that_waited_too_long_is_not_passed_on() {
    let (mut fan_out, peers) = (FanOut::new(), peers(9, 6));
    fan_out.record_notice(ip(1), relay(7, vec![ip(3)]), &input(&peers, 6, 0), || 0);
    assert_eq!(fan_out.record_position(&input(&peers, 7, 5_000), false, || 0), []);
}

#[test]
fn rounds_notify_few_gateways_that_lack_the_change() {
    let mut peers = peers(103, 6);
    (1..=90).for_each(|it| peers.record_notice(ip(it), 7, START));
    let mut rng = Pcg64Mcg::seed_from_u64(44);
    let mut fan_out = FanOut::new();
    fan_out.record_position(&input(&peers, 7, 0), false, || rng.random());
    let mut rounds = Vec::new();
    for ms in 0..3_000 {
        let sent = fan_out.due(&input(&peers, 7, ms), || rng.random());
        rounds.extend((!sent.is_empty()).then_some(sent));
    }
    assert_eq!(rounds.len(), 2);
    for sent in rounds {
        assert_eq!(sent.len(), 3);
        assert!(sent.iter().all(|it| it.to > ip(90) && it.relay_to.is_empty()));
    }
}

/// Guards against notices that are never repeated while changes follow each other.
#[test]
fn rounds_go_on_in_a_series_of_changes() {
    let (mut fan_out, peers) = (FanOut::new(), peers(103, 1));
    let mut rounds = 0;
    for change in 0..40 {
        let input = input(&peers, 10 + change, change * 80);
        fan_out.record_position(&input, false, || 0);
        rounds += usize::from(!fan_out.due(&input, || 0).is_empty());
    }
    assert!(rounds >= 10, "{rounds} rounds in 3.2 s");
}

/// Guards against checks without a pause while nobody can be asked.
#[test]
fn next_check_lies_ahead_though_nobody_can_be_asked() {
    let (mut fan_out, mut peers) = (FanOut::new(), peers(9, 7));
    for number in 1..9 {
        peers.record_fetch_failed(ip(number), START);
    }
    fan_out.record_notice(ip(99), relay(7, Vec::new()), &input(&peers, 6, 0), || 0);
    assert_eq!(next(&mut fan_out, &peers, 0), Some(ip(99)));
    for ms in (0..2_000).step_by(50) {
        next(&mut fan_out, &peers, ms);
        let checked_at = START.plus_ms(ms);
        assert!(fan_out.next_at(checked_at).is_none_or(|at| at > checked_at));
    }
}

fn next(fan_out: &mut FanOut, peers: &PeerTable, ms: u64) -> Option<IpAddr> {
    fan_out.next_fetch(&input(peers, 6, ms), || 0)
}

#[test]
fn fetch_starts_at_sender_of_notice_at_once() {
    let (mut fan_out, peers) = (FanOut::new(), peers(103, 6));
    assert_eq!(next(&mut fan_out, &peers, 0), None);
    fan_out.record_notice(ip(42), relay(7, Vec::new()), &input(&peers, 6, 0), || 0);
    assert_eq!(next(&mut fan_out, &peers, 0), Some(ip(42)));
    assert_eq!(next(&mut fan_out, &peers, 0), None);
}

/// A gateway that only hears in digests that others are ahead leaves its notice time to arrive.
#[test]
fn fetch_without_notice_waits_a_moment() {
    let (mut fan_out, peers) = (FanOut::new(), peers(103, 7));
    assert_eq!(next(&mut fan_out, &peers, 0), None);
    assert_eq!(next(&mut fan_out, &peers, 200), None);
    assert!(next(&mut fan_out, &peers, 250).is_some());
}

#[test]
fn watcher_waits_for_its_own_watch() {
    let (mut fan_out, peers) = (FanOut::new(), peers(103, 6));
    fan_out.record_notice(ip(42), relay(7, Vec::new()), &input(&peers, 6, 0), || 0);
    let mut at = |ms| {
        let input = FanOutInput { is_watching: true, ..input(&peers, 6, ms) };
        fan_out.next_fetch(&input, || 0)
    };
    assert_eq!(at(100), None);
    assert_eq!(at(250), Some(ip(42)));
}

/// Guards against a source that is frozen or cut off holding up a change until a time-out.
#[test]
fn silent_source_delays_fetch_by_a_fraction_of_its_timeout() {
    let (mut fan_out, peers) = (FanOut::new(), peers(103, 6));
    fan_out.record_notice(ip(1), relay(7, Vec::new()), &input(&peers, 6, 0), || 0);
    fan_out.record_notice(ip(2), relay(7, Vec::new()), &input(&peers, 6, 0), || 0);
    let first = next(&mut fan_out, &peers, 0).unwrap();
    assert_eq!(next(&mut fan_out, &peers, 150), None);
    let second = next(&mut fan_out, &peers, 200).unwrap();
    assert_ne!(first, second);
}

/// Guards against a source on a very narrow path that holds up a change as long as a few bytes come.
#[test]
fn slow_source_is_hedged_once_and_goes_on() {
    let (mut fan_out, peers) = (FanOut::new(), peers(103, 6));
    for number in 1..=3 {
        fan_out.record_notice(ip(number), relay(7, Vec::new()), &input(&peers, 6, 0), || 0);
    }
    let first = next(&mut fan_out, &peers, 0).unwrap();
    let mut hedges = Vec::new();
    for ms in (0..10_000).step_by(100) {
        fan_out.record_fetch_progress(first, START.plus_ms(ms));
        let hedge = next(&mut fan_out, &peers, ms + 50);
        hedges.extend(hedge.map(|it| (it, ms)));
        hedges.iter().for_each(|(it, _)| fan_out.record_fetch_progress(*it, START.plus_ms(ms)));
        assert!(fan_out.take_needless(6).is_empty());
    }
    assert_eq!(hedges.len(), 1);
    assert!(hedges[0].0 != first && hedges[0].1 <= 500, "{hedges:?}");
}

/// Guards against a fetch that is thrown away as the source's digests are lost while its bytes come.
#[test]
fn fetch_is_needless_only_once_its_change_is_here() {
    let mut peers = peers(5, 6);
    peers.record_digest(ip(1), &Digest { sequence: 2, ..digest(7) }, START);
    let mut fan_out = FanOut::new();
    assert_eq!(next(&mut fan_out, &peers, 0), None);
    assert_eq!(next(&mut fan_out, &peers, 250), Some(ip(1)));
    for ms in (250..10_000).step_by(50) {
        fan_out.record_fetch_progress(ip(1), START.plus_ms(ms));
        next(&mut fan_out, &peers, ms);
        assert!(fan_out.take_needless(6).is_empty());
    }
    assert_eq!(fan_out.take_needless(7), [ip(1)]);
}

/// Guards against gateways that end with the part of the fleet that they should have notified.
#[rstest]
#[case::leaving(Digest { sequence: 2, is_leaving: true, ..digest(6) }, 0)]
#[case::silent(Digest { sequence: 2, ..digest(6) }, 1_400)]
fn doubtful_gateway_relays_nothing(#[case] doubtful: Digest, #[case] silent_ms: u64) {
    let mut peers = peers(40, 6);
    for number in 1..=8 {
        peers.record_digest(ip(number), &doubtful, START);
    }
    for number in 9..40 {
        let heard = Digest { sequence: 2, ..digest(6) };
        peers.record_digest(ip(number), &heard, START.plus_ms(silent_ms));
    }
    let mut rng = Pcg64Mcg::seed_from_u64(44);
    let input = input(&peers, 7, silent_ms);
    let sent = FanOut::new().record_position(&input, true, || rng.random());
    let all: usize = sent.iter().map(|it| 1 + it.relay_to.len()).sum();
    assert_eq!(all, 39);
    assert!(sent.iter().all(|it| it.to > ip(8)));
}

#[test]
fn busy_source_is_asked_again_after_others() {
    let (mut fan_out, peers) = (FanOut::new(), peers(103, 6));
    fan_out.record_notice(ip(1), relay(7, Vec::new()), &input(&peers, 6, 0), || 0);
    fan_out.record_notice(ip(2), relay(7, Vec::new()), &input(&peers, 6, 0), || 0);
    let first = next(&mut fan_out, &peers, 0).unwrap();
    assert!(!fan_out.record_fetch_end(first, FetchEnd::Busy, START));
    let second = next(&mut fan_out, &peers, 0).unwrap();
    assert_ne!(first, second);
    fan_out.record_fetch_end(second, FetchEnd::Busy, START);
    assert_eq!(next(&mut fan_out, &peers, 10), None);
    assert!(next(&mut fan_out, &peers, 100).is_some());
}

/// Guards against a source that is taken for failed since its fetch was ended once more.
#[test]
fn fetch_that_has_ended_is_not_ended_again() {
    let (mut fan_out, peers) = (FanOut::new(), peers(103, 6));
    fan_out.record_notice(ip(1), relay(7, Vec::new()), &input(&peers, 6, 0), || 0);
    assert_eq!(next(&mut fan_out, &peers, 0), Some(ip(1)));
    fan_out.record_fetch_end(ip(1), FetchEnd::Busy, START);
    assert!(!fan_out.record_fetch_end(ip(1), FetchEnd::Failed, START));
    assert_eq!(next(&mut fan_out, &peers, 100), Some(ip(1)));
}

#[test]
fn failed_source_is_not_asked_again() {
    let (mut fan_out, peers) = (FanOut::new(), peers(103, 6));
    fan_out.record_notice(ip(1), relay(7, Vec::new()), &input(&peers, 6, 0), || 0);
    assert_eq!(next(&mut fan_out, &peers, 0), Some(ip(1)));
    assert!(fan_out.record_fetch_end(ip(1), FetchEnd::Failed, START));
    assert_eq!(next(&mut fan_out, &peers, 1_000), None);
}

#[test]
fn patch_that_does_not_fit_makes_fetches_ask_for_values() {
    let (mut fan_out, peers) = (FanOut::new(), peers(103, 6));
    fan_out.record_notice(ip(1), relay(7, Vec::new()), &input(&peers, 6, 0), || 0);
    assert_eq!(next(&mut fan_out, &peers, 0), Some(ip(1)));
    assert!(!fan_out.record_fetch_end(ip(1), FetchEnd::OtherBase, START));
    assert_eq!(next(&mut fan_out, &peers, 0), Some(ip(1)));
    assert!(fan_out.asks_for_values(ip(1)));
    fan_out.record_position(&input(&peers, 7, 0), false, || 0);
    fan_out.record_fetch_end(ip(1), FetchEnd::Applied, START);
    fan_out.record_notice(ip(1), relay(8, Vec::new()), &input(&peers, 7, 0), || 0);
    assert_eq!(next(&mut fan_out, &peers, 0), Some(ip(1)));
    assert!(!fan_out.asks_for_values(ip(1)));
}

#[test]
fn source_that_sends_patches_in_place_of_values_is_not_asked_again() {
    let (mut fan_out, peers) = (FanOut::new(), peers(103, 6));
    fan_out.record_notice(ip(1), relay(7, Vec::new()), &input(&peers, 6, 0), || 0);
    assert_eq!(next(&mut fan_out, &peers, 0), Some(ip(1)));
    assert!(!fan_out.record_fetch_end(ip(1), FetchEnd::OtherBase, START));
    assert_eq!(next(&mut fan_out, &peers, 0), Some(ip(1)));
    assert!(fan_out.record_fetch_end(ip(1), FetchEnd::OtherBase, START));
    assert_eq!(next(&mut fan_out, &peers, 1_000), None);
}

#[test]
fn update_bases_cover_the_changes_of_the_last_moment() {
    let (mut fan_out, peers) = (FanOut::new(), PeerTable::new(ip(0), Vec::new()));
    for (position, ms) in [(1, 0), (2, 3_000), (5, 4_500), (6, 4_900)] {
        fan_out.record_position(&input(&peers, position, ms), false, || 0);
    }
    let bases: Vec<_> = fan_out.update_bases(7, START.plus_ms(5_000)).collect();
    assert_eq!(bases, [2, 6]);
}

/// A link shared by more transfers makes each of them late.
#[test]
fn answers_of_considerable_size_are_limited() {
    assert!(FanOut::may_send(1_000, 100));
    assert!(FanOut::may_send(500_000, 3));
    assert!(!FanOut::may_send(500_000, 4));
}
