//! Requests that crash endpoints.

use persimmon_decide::forward::CrashTracker;
use persimmon_decide::load::EndpointHash;
use persimmon_decide::{Fingerprint, MonoMs};

const BAD: Fingerprint = Fingerprint(7);
const ONE: EndpointHash = EndpointHash(1);
const TWO: EndpointHash = EndpointHash(2);

fn crash(watch: &mut CrashTracker, endpoint: EndpointHash, at: u64) {
    watch.record_broken(BAD, endpoint, MonoMs(at));
    watch.record_refused(endpoint, MonoMs(at + 20));
}

#[test]
fn refuses_after_two_endpoints_crashed() {
    let mut watch = CrashTracker::new();
    crash(&mut watch, ONE, 1_000);
    assert!(!watch.refuses(BAD, MonoMs(1_100)));
    crash(&mut watch, TWO, 2_000);
    assert!(watch.refuses(BAD, MonoMs(2_100)));
    assert!(!watch.refuses(Fingerprint(8), MonoMs(2_100)));
}

#[test]
fn refuses_broken_connections_alone_dont_count() {
    let mut watch = CrashTracker::new();
    for endpoint in 1..10 {
        watch.record_broken(BAD, EndpointHash(endpoint), MonoMs(1_000));
    }
    assert!(!watch.refuses(BAD, MonoMs(1_100)));
}

#[test]
fn refuses_late_refusal_isnt_blamed() {
    let mut watch = CrashTracker::new();
    for endpoint in [ONE, TWO] {
        watch.record_broken(BAD, endpoint, MonoMs(1_000));
        watch.record_refused(endpoint, MonoMs(5_000));
    }
    assert!(!watch.refuses(BAD, MonoMs(5_100)));
}

#[test]
fn refuses_same_endpoint_twice_counts_once() {
    let mut watch = CrashTracker::new();
    crash(&mut watch, ONE, 1_000);
    crash(&mut watch, ONE, 9_000);
    assert!(!watch.refuses(BAD, MonoMs(9_100)));
}

#[test]
fn absorb_marks_of_others_add_up() {
    let (mut here, mut there) = (CrashTracker::new(), CrashTracker::new());
    crash(&mut here, ONE, 1_000);
    crash(&mut there, TWO, 1_000);
    for (content, endpoint) in there.newest(16, MonoMs(1_100)) {
        here.record_peer_crash(content, endpoint, MonoMs(1_100));
    }
    assert!(here.refuses(BAD, MonoMs(1_200)));
}

#[test]
fn refuses_is_forgotten_after_minutes() {
    let mut watch = CrashTracker::new();
    crash(&mut watch, ONE, 1_000);
    crash(&mut watch, TWO, 1_000);
    assert!(watch.refuses(BAD, MonoMs(200_000)));
    assert!(!watch.refuses(BAD, MonoMs(400_000)));
}

/// Content that many ask for, while endpoints crash for another reason.
#[test]
fn refuses_content_that_is_answered_elsewhere_is_not_blamed() {
    const CRASHES: u64 = 20;
    let mut watch = CrashTracker::new();
    for number in 1..=CRASHES {
        let at = number * 10_000;
        watch.record_answered(BAD, MonoMs(at - 500));
        // Two at a time, as when a rack fails.
        crash(&mut watch, EndpointHash(2 * number), at);
        crash(&mut watch, EndpointHash(2 * number + 1), at);
        assert!(!watch.refuses(BAD, MonoMs(at + 100)), "after {number} pairs of crashes");
    }
}

#[test]
fn refuses_content_that_has_turned_bad() {
    let mut watch = CrashTracker::new();
    watch.record_answered(BAD, MonoMs(1_000));
    for endpoint in 1..=3 {
        crash(&mut watch, EndpointHash(endpoint), 1_000 + endpoint);
        assert!(!watch.refuses(BAD, MonoMs(1_100)));
    }
    crash(&mut watch, EndpointHash(4), 1_010);
    assert!(watch.refuses(BAD, MonoMs(1_100)));
}

/// Marks of a gateway that has never seen the content answered.
#[test]
fn absorb_marks_dont_refuse_what_is_answered_here() {
    let (mut here, mut there) = (CrashTracker::new(), CrashTracker::new());
    here.record_answered(BAD, MonoMs(1_000));
    crash(&mut there, ONE, 1_000);
    crash(&mut there, TWO, 1_000);
    for (content, endpoint) in there.newest(16, MonoMs(1_100)) {
        here.record_peer_crash(content, endpoint, MonoMs(1_100));
    }
    assert!(!here.refuses(BAD, MonoMs(1_200)));
    // Without further answers the marks count again.
    assert!(here.refuses(BAD, MonoMs(62_000)));
}
