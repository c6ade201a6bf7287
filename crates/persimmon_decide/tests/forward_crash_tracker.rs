//! Detection of requests that crash endpoints.

use persimmon_decide::forward::CrashTracker;
use persimmon_decide::load::EndpointHash;
use persimmon_decide::{Fingerprint, MonoMs};

const BAD: Fingerprint = Fingerprint(7);
const ONE: EndpointHash = EndpointHash(1);
const TWO: EndpointHash = EndpointHash(2);

fn crash(tracker: &mut CrashTracker, endpoint: EndpointHash, at: u64) {
    tracker.record_broken(BAD, endpoint, MonoMs(at));
    tracker.record_refused(endpoint, MonoMs(at + 20));
}

#[test]
fn refuses_after_two_endpoints_crashed() {
    let mut tracker = CrashTracker::new();
    crash(&mut tracker, ONE, 1_000);
    assert!(!tracker.refuses(BAD, MonoMs(1_100)));
    crash(&mut tracker, TWO, 2_000);
    assert!(tracker.refuses(BAD, MonoMs(2_100)));
    assert!(!tracker.refuses(Fingerprint(8), MonoMs(2_100)));
}

#[test]
fn refuses_ignores_broken_connections_alone() {
    let mut tracker = CrashTracker::new();
    for endpoint in 1..10 {
        tracker.record_broken(BAD, EndpointHash(endpoint), MonoMs(1_000));
    }
    assert!(!tracker.refuses(BAD, MonoMs(1_100)));
}

#[test]
fn refuses_ignores_late_connection_refusal() {
    let mut tracker = CrashTracker::new();
    for endpoint in [ONE, TWO] {
        tracker.record_broken(BAD, endpoint, MonoMs(1_000));
        tracker.record_refused(endpoint, MonoMs(5_000));
    }
    assert!(!tracker.refuses(BAD, MonoMs(5_100)));
}

#[test]
fn refuses_same_endpoint_twice_counts_once() {
    let mut tracker = CrashTracker::new();
    crash(&mut tracker, ONE, 1_000);
    crash(&mut tracker, ONE, 9_000);
    assert!(!tracker.refuses(BAD, MonoMs(9_100)));
}

#[test]
fn record_peer_crash_adds_to_own_crashes() {
    let (mut here, mut there) = (CrashTracker::new(), CrashTracker::new());
    crash(&mut here, ONE, 1_000);
    crash(&mut there, TWO, 1_000);
    for (content, endpoint) in there.newest(16, MonoMs(1_100)) {
        here.record_peer_crash(content, endpoint, MonoMs(1_100));
    }
    assert!(here.refuses(BAD, MonoMs(1_200)));
}

#[test]
fn refuses_expires_after_minutes() {
    let mut tracker = CrashTracker::new();
    crash(&mut tracker, ONE, 1_000);
    crash(&mut tracker, TWO, 1_000);
    assert!(tracker.refuses(BAD, MonoMs(200_000)));
    assert!(!tracker.refuses(BAD, MonoMs(400_000)));
}

/// Many callers request the same content while endpoints crash for another reason.
#[test]
fn refuses_ignores_content_answered_elsewhere() {
    const CRASHES: u64 = 20;
    let mut tracker = CrashTracker::new();
    for number in 1..=CRASHES {
        let at = number * 10_000;
        tracker.record_answered(BAD, MonoMs(at - 500));
        // Two endpoints at a time, as when a rack fails.
        crash(&mut tracker, EndpointHash(2 * number), at);
        crash(&mut tracker, EndpointHash(2 * number + 1), at);
        assert!(!tracker.refuses(BAD, MonoMs(at + 100)), "after {number} pairs of crashes");
    }
}

#[test]
fn refuses_content_that_starts_to_crash_endpoints() {
    let mut tracker = CrashTracker::new();
    tracker.record_answered(BAD, MonoMs(1_000));
    for endpoint in 1..=3 {
        crash(&mut tracker, EndpointHash(endpoint), 1_000 + endpoint);
        assert!(!tracker.refuses(BAD, MonoMs(1_100)));
    }
    crash(&mut tracker, EndpointHash(4), 1_010);
    assert!(tracker.refuses(BAD, MonoMs(1_100)));
}

/// The crashes come from a gateway that has never seen a complete answer to the content.
#[test]
fn record_peer_crash_does_not_refuse_content_answered_here() {
    let (mut here, mut there) = (CrashTracker::new(), CrashTracker::new());
    here.record_answered(BAD, MonoMs(1_000));
    crash(&mut there, ONE, 1_000);
    crash(&mut there, TWO, 1_000);
    for (content, endpoint) in there.newest(16, MonoMs(1_100)) {
        here.record_peer_crash(content, endpoint, MonoMs(1_100));
    }
    assert!(!here.refuses(BAD, MonoMs(1_200)));
    // Without further answers, the two crashes are enough again.
    assert!(here.refuses(BAD, MonoMs(62_000)));
}
