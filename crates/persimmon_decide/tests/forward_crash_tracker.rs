//! Detection of requests that crash endpoints.

use persimmon_decide::forward::{CrashTracker, RequestSignature};
use persimmon_decide::load::EndpointHash;
use persimmon_decide::{Fingerprint, MonoMs};
use rstest::rstest;

const BAD: Fingerprint = Fingerprint(7);
const ONE: EndpointHash = EndpointHash(1);
const TWO: EndpointHash = EndpointHash(2);

/// Returns a request without a prompt.
fn request(content: Fingerprint) -> RequestSignature {
    RequestSignature::new(content, &[])
}

fn bad() -> RequestSignature {
    request(BAD)
}

fn crash(tracker: &mut CrashTracker, endpoint: EndpointHash, at: u64) {
    tracker.record_unanswered(&bad(), endpoint, MonoMs(at), MonoMs(at));
    tracker.record_refused(endpoint, MonoMs(at + 20));
}

#[test]
fn refuses_after_two_endpoints_crashed() {
    let mut tracker = CrashTracker::new();
    crash(&mut tracker, ONE, 1_000);
    assert!(!tracker.refuses(&bad(), MonoMs(1_100)));
    crash(&mut tracker, TWO, 2_000);
    assert!(tracker.refuses(&bad(), MonoMs(2_100)));
    assert!(!tracker.refuses(&request(Fingerprint(8)), MonoMs(2_100)));
}

#[test]
fn refuses_ignores_broken_connections_alone() {
    let mut tracker = CrashTracker::new();
    for endpoint in 1..10 {
        tracker.record_unanswered(&bad(), EndpointHash(endpoint), MonoMs(1_000), MonoMs(1_000));
    }
    assert!(!tracker.refuses(&bad(), MonoMs(1_100)));
}

#[test]
fn refuses_ignores_late_connection_refusal() {
    let mut tracker = CrashTracker::new();
    for endpoint in [ONE, TWO] {
        tracker.record_unanswered(&bad(), endpoint, MonoMs(1_000), MonoMs(1_000));
        tracker.record_refused(endpoint, MonoMs(5_000));
    }
    assert!(!tracker.refuses(&bad(), MonoMs(5_100)));
}

#[test]
fn refuses_same_endpoint_twice_counts_once() {
    let mut tracker = CrashTracker::new();
    crash(&mut tracker, ONE, 1_000);
    crash(&mut tracker, ONE, 9_000);
    assert!(!tracker.refuses(&bad(), MonoMs(9_100)));
}

#[test]
fn record_peer_crash_adds_to_own_crashes() {
    let (mut here, mut there) = (CrashTracker::new(), CrashTracker::new());
    crash(&mut here, ONE, 1_000);
    crash(&mut there, TWO, 1_000);
    here.record_peer_reports(&there.reports(16, MonoMs(1_100)), MonoMs(1_100));
    assert!(here.refuses(&bad(), MonoMs(1_200)));
}

#[test]
fn refuses_expires_after_minutes() {
    let mut tracker = CrashTracker::new();
    crash(&mut tracker, ONE, 1_000);
    crash(&mut tracker, TWO, 1_000);
    assert!(tracker.refuses(&bad(), MonoMs(200_000)));
    assert!(!tracker.refuses(&bad(), MonoMs(400_000)));
}

/// Many callers request the same content while endpoints crash for another reason.
#[test]
fn refuses_ignores_content_answered_elsewhere() {
    const CRASHES: u64 = 20;
    let mut tracker = CrashTracker::new();
    for number in 1..=CRASHES {
        let at = number * 10_000;
        tracker.record_answered(&bad(), MonoMs(at - 500));
        // Two endpoints at a time, as when a rack fails.
        crash(&mut tracker, EndpointHash(2 * number), at);
        crash(&mut tracker, EndpointHash(2 * number + 1), at);
        assert!(!tracker.refuses(&bad(), MonoMs(at + 100)), "after {number} pairs of crashes");
    }
}

#[test]
fn refuses_content_that_starts_to_crash_endpoints() {
    let mut tracker = CrashTracker::new();
    tracker.record_answered(&bad(), MonoMs(1_000));
    for endpoint in 1..=3 {
        crash(&mut tracker, EndpointHash(endpoint), 1_000 + endpoint);
        assert!(!tracker.refuses(&bad(), MonoMs(1_100)));
    }
    crash(&mut tracker, EndpointHash(4), 1_010);
    assert!(tracker.refuses(&bad(), MonoMs(1_100)));
}

/// The crashes come from a gateway that has never seen a complete answer to the content.
#[test]
fn record_peer_crash_does_not_refuse_content_answered_here() {
    let (mut here, mut there) = (CrashTracker::new(), CrashTracker::new());
    here.record_answered(&bad(), MonoMs(1_000));
    crash(&mut there, ONE, 1_000);
    crash(&mut there, TWO, 1_000);
    here.record_peer_reports(&there.reports(16, MonoMs(1_100)), MonoMs(1_100));
    assert!(!here.refuses(&bad(), MonoMs(1_200)));
    // Without further answers, the two crashes are enough again.
    assert!(here.refuses(&bad(), MonoMs(62_000)));
}

/// Other content that is often answered was in progress at all endpoints that one request crashed.
#[test]
fn refuses_ignores_answered_content_beside_the_cause() {
    const SOUND: Fingerprint = Fingerprint(8);
    let mut tracker = CrashTracker::new();
    tracker.record_answered(&request(SOUND), MonoMs(1_000));
    for endpoint in (1..=8).map(EndpointHash) {
        tracker.begin(&request(SOUND), endpoint, MonoMs(1_500));
        tracker.begin(&bad(), endpoint, MonoMs(1_500));
        tracker.record_ended(endpoint, Some(MonoMs(1_500)), MonoMs(2_000));
    }
    assert!(tracker.refuses(&bad(), MonoMs(2_100)));
    assert!(!tracker.refuses(&request(SOUND), MonoMs(2_100)));
}

/// An endpoint ended; the request had broken off before, still waits, or breaks off afterwards.
#[rstest]
#[case::before(|tracker: &mut CrashTracker| {
    tracker.record_unanswered(&bad(), TWO, MonoMs(2_000), MonoMs(2_000));
    tracker.record_ended(TWO, None, MonoMs(6_000));
})]
#[case::waiting(|tracker: &mut CrashTracker| {
    tracker.begin(&bad(), TWO, MonoMs(1_500));
    tracker.record_ended(TWO, Some(MonoMs(1_500)), MonoMs(6_000));
})]
#[case::after(|tracker: &mut CrashTracker| {
    tracker.record_ended(TWO, None, MonoMs(2_000));
    tracker.record_unanswered(&bad(), TWO, MonoMs(6_000), MonoMs(6_000));
})]
#[case::silent_until_the_caller_left(|tracker: &mut CrashTracker| {
    tracker.begin(&bad(), TWO, MonoMs(1_500));
    tracker.record_silent(&bad(), TWO, MonoMs(1_500), MonoMs(1_600));
    tracker.end(&bad(), TWO, MonoMs(1_500));
    tracker.record_ended(TWO, None, MonoMs(6_000));
})]
#[case::closed_in_order_after(|tracker: &mut CrashTracker| {
    tracker.record_ended(TWO, None, MonoMs(2_000));
    tracker.record_closed(&bad(), TWO, MonoMs(2_000), MonoMs(2_010));
})]
#[case::closed_in_order(|tracker: &mut CrashTracker| {
    tracker.record_closed(&bad(), TWO, MonoMs(2_000), MonoMs(2_000));
    tracker.expire(MonoMs(3_000));
    tracker.record_ended(TWO, None, MonoMs(6_000));
})]
fn record_ended_blames_unanswered_request(#[case] crash_second: fn(&mut CrashTracker)) {
    let mut tracker = CrashTracker::new();
    crash(&mut tracker, ONE, 1_000);
    crash_second(&mut tracker);
    assert!(tracker.refuses(&bad(), MonoMs(6_100)));
}

/// Requests that an endpoint answered, or goes on to answer, aren't blamed for its end.
#[rstest]
#[case::still_sending(|tracker: &mut CrashTracker| {
    tracker.begin(&bad(), TWO, MonoMs(1_500));
    tracker.record_ended(TWO, None, MonoMs(6_000));
})]
#[case::answered(|tracker: &mut CrashTracker| {
    tracker.begin(&bad(), TWO, MonoMs(1_500));
    tracker.end(&bad(), TWO, MonoMs(1_500));
    tracker.record_ended(TWO, Some(MonoMs(1_500)), MonoMs(6_000));
})]
#[case::broken_long_before(|tracker: &mut CrashTracker| {
    tracker.record_unanswered(&bad(), TWO, MonoMs(2_000), MonoMs(2_000));
    tracker.record_ended(TWO, Some(MonoMs(1_500)), MonoMs(60_000));
})]
#[case::sent_to_an_endpoint_that_was_silent(|tracker: &mut CrashTracker| {
    tracker.begin(&bad(), TWO, MonoMs(5_000));
    tracker.record_silent(&bad(), TWO, MonoMs(5_000), MonoMs(2_000));
    tracker.record_ended(TWO, Some(MonoMs(2_000)), MonoMs(6_000));
})]
#[case::published_again(|tracker: &mut CrashTracker| {
    tracker.record_ended(TWO, None, MonoMs(2_000));
    tracker.record_published(TWO);
    tracker.record_unanswered(&bad(), TWO, MonoMs(2_500), MonoMs(3_000));
})]
#[case::outlived(|tracker: &mut CrashTracker| {
    tracker.record_closed(&bad(), TWO, MonoMs(2_000), MonoMs(2_000));
    tracker.expire(MonoMs(9_000));
    tracker.record_ended(TWO, None, MonoMs(9_100));
})]
fn record_ended_ignores_answered_request(#[case] end_second: fn(&mut CrashTracker)) {
    let mut tracker = CrashTracker::new();
    crash(&mut tracker, ONE, 1_000);
    end_second(&mut tracker);
    assert!(!tracker.refuses(&bad(), MonoMs(60_100)));
}

/// An endpoint crashes under many requests at once, among them the one that crashed another before.
#[test]
fn most_urgent_keeps_the_cause_among_many_suspects() {
    const SUSPECTS: u64 = 100;
    let mut tracker = CrashTracker::new();
    crash(&mut tracker, ONE, 1_000);
    crash(&mut tracker, TWO, 2_000);
    for fingerprint in (100..100 + SUSPECTS).map(Fingerprint) {
        tracker.record_unanswered(
            &request(fingerprint),
            EndpointHash(3),
            MonoMs(2_500),
            MonoMs(2_500),
        );
    }
    tracker.record_refused(EndpointHash(3), MonoMs(2_510));
    let urgent = tracker.reports(16, MonoMs(2_520)).contents;
    let names = |endpoint| urgent.iter().any(|it| it.suspect == BAD.0 && it.endpoint == endpoint);
    assert!(names(ONE) && names(TWO), "{urgent:?}");
}

/// An endpoint that sends data later was only slow, whatever ends it then.
#[rstest]
#[case::silent_until_its_end(false, true)]
#[case::slow(true, false)]
fn request_that_was_given_up(#[case] is_slow: bool, #[case] is_blamed: bool) {
    let mut tracker = CrashTracker::new();
    for endpoint in [ONE, TWO] {
        tracker.begin(&bad(), endpoint, MonoMs(1_000));
        tracker.record_silent(&bad(), endpoint, MonoMs(1_000), MonoMs(1_000));
        tracker.end(&bad(), endpoint, MonoMs(1_000));
        if is_slow {
            tracker.record_alive(endpoint, MonoMs(1_500));
        }
        assert_eq!(tracker.record_ended(endpoint, None, MonoMs(4_000)), is_blamed);
    }
    assert_eq!(tracker.refuses(&bad(), MonoMs(4_000)), is_blamed);
}

/// One gateway refuses content whose requests others have answered since the crashes.
#[test]
fn refuses_ignores_reported_crashes_that_an_answer_here_followed() {
    let (mut here, mut there) = (CrashTracker::new(), CrashTracker::new());
    for tracker in [&mut here, &mut there] {
        tracker.record_answered(&bad(), MonoMs(500));
    }
    for endpoint in 1..=4 {
        crash(&mut there, EndpointHash(endpoint), 1_000 + endpoint);
    }
    assert!(there.refuses(&bad(), MonoMs(1_100)));
    here.record_answered(&bad(), MonoMs(1_500));
    here.record_peer_reports(&there.reports(16, MonoMs(1_600)), MonoMs(1_600));
    assert!(!here.refuses(&bad(), MonoMs(1_600)));
    there.record_peer_reports(&here.reports(16, MonoMs(1_700)), MonoMs(1_700));
    assert!(!there.refuses(&bad(), MonoMs(1_700)));
}

/// Crashes of content are older than the digest that reports them.
#[test]
fn refuses_ignores_crashes_that_peers_report_again_after_an_answer() {
    let mut gateways: Vec<_> = (0..3).map(|_| CrashTracker::new()).collect();
    for (endpoint, at) in (1..=4).map(|it| (EndpointHash(it), 1_000 * it)) {
        gateways[0].record_answered(&bad(), MonoMs(at - 500));
        crash(&mut gateways[0], endpoint, at);
        let reports = gateways[0].reports(16, MonoMs(at + 100));
        gateways[0].record_answered(&bad(), MonoMs(at + 110));
        for peer in &mut gateways[1..] {
            peer.record_peer_reports(&reports, MonoMs(at + 120));
        }
        // Peers without requests of their own repeat what they have been told.
        let repeated = gateways[1].reports(16, MonoMs(at + 200));
        gateways[0].record_peer_reports(&repeated, MonoMs(at + 210));
        gateways[2].record_peer_reports(&repeated, MonoMs(at + 210));
    }
    for gateway in &gateways {
        assert!(!gateway.refuses(&bad(), MonoMs(4_300)));
    }
}

/// Many endpoints fail at one moment, all with the same popular content in progress.
#[test]
fn refuses_ignores_answered_content_at_endpoints_that_fail_together() {
    let (mut here, mut there) = (CrashTracker::new(), CrashTracker::new());
    for tracker in [&mut here, &mut there] {
        tracker.record_answered(&bad(), MonoMs(900));
    }
    for endpoint in (1..=12).map(EndpointHash) {
        here.record_unanswered(&bad(), endpoint, MonoMs(1_000), MonoMs(1_100 + endpoint.0));
        here.record_refused(endpoint, MonoMs(1_100 + endpoint.0));
    }
    there.record_peer_reports(&here.reports(64, MonoMs(1_200)), MonoMs(1_200));
    assert!(!here.refuses(&bad(), MonoMs(1_200)) && !there.refuses(&bad(), MonoMs(1_200)));
}
