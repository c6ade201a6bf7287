//! Requests that crash endpoints.

use persimmon_decide::forward::CrashWatch;
use persimmon_decide::load::EndpointHash;
use persimmon_decide::{Fingerprint, MonoMs};

const BAD: Fingerprint = Fingerprint(7);
const ONE: EndpointHash = EndpointHash(1);
const TWO: EndpointHash = EndpointHash(2);

fn crash(watch: &mut CrashWatch, endpoint: EndpointHash, at: u64) {
    watch.record_broken(BAD, endpoint, MonoMs(at));
    watch.record_refused(endpoint, MonoMs(at + 20));
}

#[test]
fn refuses_after_two_endpoints_crashed() {
    let mut watch = CrashWatch::new();
    crash(&mut watch, ONE, 1_000);
    assert!(!watch.refuses(BAD, MonoMs(1_100)));
    crash(&mut watch, TWO, 2_000);
    assert!(watch.refuses(BAD, MonoMs(2_100)));
    assert!(!watch.refuses(Fingerprint(8), MonoMs(2_100)));
}

#[test]
fn refuses_broken_connections_alone_dont_count() {
    let mut watch = CrashWatch::new();
    for endpoint in 1..10 {
        watch.record_broken(BAD, EndpointHash(endpoint), MonoMs(1_000));
    }
    assert!(!watch.refuses(BAD, MonoMs(1_100)));
}

#[test]
fn refuses_late_refusal_isnt_blamed() {
    let mut watch = CrashWatch::new();
    for endpoint in [ONE, TWO] {
        watch.record_broken(BAD, endpoint, MonoMs(1_000));
        watch.record_refused(endpoint, MonoMs(5_000));
    }
    assert!(!watch.refuses(BAD, MonoMs(5_100)));
}

#[test]
fn refuses_same_endpoint_twice_counts_once() {
    let mut watch = CrashWatch::new();
    crash(&mut watch, ONE, 1_000);
    crash(&mut watch, ONE, 9_000);
    assert!(!watch.refuses(BAD, MonoMs(9_100)));
}

#[test]
fn absorb_marks_of_others_add_up() {
    let (mut here, mut there) = (CrashWatch::new(), CrashWatch::new());
    crash(&mut here, ONE, 1_000);
    crash(&mut there, TWO, 1_000);
    for (content, endpoint) in there.newest(16, MonoMs(1_100)) {
        here.absorb(content, endpoint, MonoMs(1_100));
    }
    assert!(here.refuses(BAD, MonoMs(1_200)));
}

#[test]
fn refuses_is_forgotten_after_minutes() {
    let mut watch = CrashWatch::new();
    crash(&mut watch, ONE, 1_000);
    crash(&mut watch, TWO, 1_000);
    assert!(watch.refuses(BAD, MonoMs(200_000)));
    assert!(!watch.refuses(BAD, MonoMs(400_000)));
}
