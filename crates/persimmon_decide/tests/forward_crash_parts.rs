//! Detection of prompt parts that crash endpoints.

use std::net::IpAddr;

use persimmon_decide::forward::{
    AnswerReport, CrashReport, CrashReports, CrashTracker, PromptPart, Quarantined,
    RequestSignature,
};
use persimmon_decide::load::EndpointHash;
use persimmon_decide::{Fingerprint, MonoMs};

/// Part of the prompts of all requests.
const SHARED: u64 = 1;
/// Part that crashes endpoints.
const BAD: u64 = 2;
/// Part of few sound requests.
const RARE: u64 = 3;
const ENDPOINTS: u64 = 18;
/// Time from the sending of a request to the crash, in milliseconds.
const RUN_MS: u64 = 200;

/// Returns a request that differs from those with other numbers in its content and its own part.
fn request(parts: &[u64], number: u64) -> RequestSignature {
    let own = 1_000_000 + number;
    let part = |id: &u64| PromptPart { id: *id, tokens: 100 };
    let prompt: Vec<_> = parts.iter().chain([&own]).map(part).collect();
    RequestSignature::new(Fingerprint(own), &prompt)
}

/// Crashes the endpoint with this number under a request with `parts`.
fn crash(tracker: &mut CrashTracker, parts: &[u64], number: u64, at: u64) {
    let endpoint = EndpointHash(number);
    let sent_at = MonoMs(at - RUN_MS);
    tracker.record_unanswered(&request(parts, number), endpoint, sent_at, MonoMs(at));
    tracker.record_refused(endpoint, MonoMs(at));
}

fn answer(tracker: &mut CrashTracker, parts: &[u64], number: u64, at: u64) {
    tracker.record_answered(&request(parts, number), MonoMs(at));
}

fn refuses(tracker: &CrashTracker, parts: &[u64], at: u64) -> bool {
    tracker.refuses(&request(parts, u64::from(u32::MAX)), MonoMs(at))
}

/// Passes what `from` tells its peers to `to`.
fn send_digest(from: &CrashTracker, to: &mut CrashTracker, at: u64) {
    to.record_peer_reports(&from.reports(64, MonoMs(at)), MonoMs(at));
}

#[test]
fn refuses_part_that_unlike_requests_have_in_common() {
    let mut tracker = CrashTracker::new();
    for number in 0..4 {
        let at = 1_000 + number * 300;
        answer(&mut tracker, &[SHARED, RARE], 100 + number, at);
        crash(&mut tracker, &[SHARED, BAD], number, at + 100);
    }
    assert!(refuses(&tracker, &[SHARED, BAD], 2_100));
    assert!(refuses(&tracker, &[RARE, BAD, SHARED], 2_100));
    assert!(!refuses(&tracker, &[SHARED, RARE], 2_100));
    assert_eq!(tracker.refused(MonoMs(2_100)).collect::<Vec<_>>(), [Quarantined::Part(BAD)]);
    assert_eq!(tracker.take_newly_refused(), [Quarantined::Part(BAD)]);
}

#[test]
fn refuses_ignores_the_last_part() {
    let mut tracker = CrashTracker::new();
    for number in 0..8 {
        crash(&mut tracker, &[], number, 1_000 + 1_000 * number);
    }
    assert_eq!(tracker.refused(MonoMs(9_000)).count(), 0);
}

/// A rack, or all endpoints, fail within a moment, with requests of every kind in progress.
#[test]
fn refuses_ignores_parts_of_endpoints_that_fail_together() {
    for is_answered in [true, false] {
        let mut tracker = CrashTracker::new();
        if is_answered {
            answer(&mut tracker, &[SHARED, RARE], 100, 900);
        }
        for number in 0..ENDPOINTS {
            crash(&mut tracker, &[SHARED, RARE], number, 1_000 + number * 10);
        }
        assert!(!refuses(&tracker, &[SHARED, RARE], 1_300));
    }
}

/// Endpoints fail one after the other for another reason, and requests are answered in between.
#[test]
fn refuses_ignores_parts_that_are_answered_in_between() {
    let mut tracker = CrashTracker::new();
    for number in 0..ENDPOINTS {
        let at = 1_000 + number * 1_000;
        crash(&mut tracker, &[SHARED], number, at);
        assert!(!refuses(&tracker, &[SHARED], at + 1));
        if number % 3 == 0 {
            answer(&mut tracker, &[SHARED], 100 + number, at + 500);
        }
    }
}

/// So many endpoints crash that no sound request is answered for a while.
#[test]
fn refuses_ignores_shared_part_while_nothing_is_answered() {
    let mut tracker = CrashTracker::new();
    answer(&mut tracker, &[SHARED, RARE], 100, 900);
    for number in 0..12 {
        let at = 1_000 + number * 600;
        crash(&mut tracker, &[SHARED, BAD], 2 * number, at);
        let other = EndpointHash(2 * number);
        let sound = request(&[SHARED, RARE], 200 + number);
        tracker.record_unanswered(&sound, other, MonoMs(at - RUN_MS), MonoMs(at));
        tracker.record_refused(other, MonoMs(at));
    }
    assert!(refuses(&tracker, &[SHARED, BAD], 8_000));
    assert!(!refuses(&tracker, &[SHARED, RARE], 8_000));
}

#[test]
fn refuses_part_that_starts_to_crash_endpoints() {
    let mut tracker = CrashTracker::new();
    answer(&mut tracker, &[SHARED, BAD], 100, 1_000);
    for number in 0..4 {
        assert!(!refuses(&tracker, &[BAD], 2_000 + number * 600));
        crash(&mut tracker, &[SHARED, BAD], number, 2_000 + number * 600);
        answer(&mut tracker, &[SHARED], 200 + number, 2_300 + number * 600);
    }
    assert!(refuses(&tracker, &[BAD], 4_200));
    assert!(!refuses(&tracker, &[SHARED], 4_200));
}

/// Requests that were in progress at two endpoints that a part crashed may be sent again.
#[test]
fn refuses_ignores_content_whose_crashes_a_part_explains() {
    let mut tracker = CrashTracker::new();
    let sound = request(&[SHARED, RARE], 500);
    for number in 0..5 {
        let (endpoint, at) = (EndpointHash(number), MonoMs(1_000 + number * 300));
        let sent_at = MonoMs(at.0 - RUN_MS);
        answer(&mut tracker, &[SHARED], 100 + number, 1_000 + number * 300);
        tracker.record_unanswered(&request(&[SHARED, BAD], number), endpoint, sent_at, at);
        if number >= 3 {
            tracker.record_unanswered(&sound, endpoint, sent_at, at);
        }
        tracker.record_refused(endpoint, at);
    }
    assert!(refuses(&tracker, &[BAD], 2_300));
    assert!(!tracker.refuses(&sound, MonoMs(2_300)));
}

/// Each crash is seen by another gateway, and a gateway that has just started learns of all.
#[test]
fn peers_refuse_part_together() {
    let mut trackers: Vec<_> = (0..4).map(|_| CrashTracker::new()).collect();
    for number in 0..4 {
        crash(&mut trackers[number as usize], &[SHARED, BAD], number, 1_000 + number * 300);
    }
    answer(&mut trackers[0], &[SHARED], 100, 2_000);
    let mut started = CrashTracker::new();
    for from in &trackers {
        send_digest(from, &mut started, 5_000);
    }
    assert!(refuses(&started, &[BAD], 5_000));
    let mut second = CrashTracker::new();
    send_digest(&started, &mut second, 6_000);
    assert!(refuses(&second, &[BAD], 6_000));
    assert!(!refuses(&started, &[SHARED], 6_000));
}

#[test]
fn record_peer_part_answer_clears_earlier_crashes_only() {
    let mut here = CrashTracker::new();
    (0..4).for_each(|number| crash(&mut here, &[RARE], number, 1_000 + number * 300));
    assert!(refuses(&here, &[RARE], 2_000));
    // The answer came before the last crash.
    let answers = vec![AnswerReport { suspect: RARE, age_ms: 1_000 }];
    let reports = CrashReports { part_answers: answers, ..CrashReports::default() };
    here.record_peer_reports(&reports, MonoMs(2_700));
    assert!(!refuses(&here, &[RARE], 2_700));
    // A peer that hasn't heard of the answer repeats a crash before it.
    let old = CrashReport {
        suspect: RARE,
        endpoint: EndpointHash(9),
        age_ms: 2_000,
        ran_ms: 9,
        requests: 1,
    };
    let reports = CrashReports { parts: vec![old], ..CrashReports::default() };
    here.record_peer_reports(&reports, MonoMs(2_800));
    let left = here.reports(64, MonoMs(2_800)).parts;
    assert_eq!(left.iter().map(|it| it.endpoint.0).collect::<Vec<_>>(), [3]);
}

#[test]
fn cleared_parts_names_answered_suspects() {
    let mut tracker = CrashTracker::new();
    crash(&mut tracker, &[SHARED, RARE], 1, 1_000);
    answer(&mut tracker, &[SHARED], 100, 2_000);
    let cleared = tracker.reports(64, MonoMs(3_000)).part_answers;
    assert_eq!(cleared, [AnswerReport { suspect: SHARED, age_ms: 1_000 }]);
    assert!(tracker.reports(64, MonoMs(9_000)).part_answers.is_empty());
}

/// Each of many crashes adds new suspects; those with single crashes make room for the cause.
#[test]
fn refuses_part_beside_more_suspects_than_are_stored() {
    const SUSPECTS: u64 = 2_000;
    let mut tracker = CrashTracker::new();
    for number in 0..SUSPECTS {
        crash(&mut tracker, &[1_000 + number], 10_000 + number, 1_000 + number);
    }
    for number in 0..4 {
        crash(&mut tracker, &[BAD], number, 4_000 + number * 300);
    }
    assert!(refuses(&tracker, &[BAD], 5_000));
}

/// Digests are short again after many crashes, and still tell a gateway that starts what is refused.
#[test]
fn reports_long_after_crashes_are_few() {
    const MAX_OLD: usize = 12;
    let mut tracker = CrashTracker::new();
    for number in 0..40 {
        let at = 1_000 + number * 300;
        crash(&mut tracker, &[BAD], number, at);
        for other in 0..10 {
            let sound = request(&[1_000 + number], 10_000 + 10 * number + other);
            let endpoint = EndpointHash(100 + number);
            tracker.record_unanswered(&sound, endpoint, MonoMs(at - RUN_MS), MonoMs(at));
            tracker.record_refused(endpoint, MonoMs(at));
        }
    }
    assert!(tracker.reports(64, MonoMs(13_000)).contents.len() >= 64);
    let later = MonoMs(60_000);
    let reports = tracker.reports(64, later);
    assert!(reports.parts.len() <= MAX_OLD && reports.contents.len() <= MAX_OLD, "{reports:?}");
    let mut started = CrashTracker::new();
    started.record_peer_reports(&reports, later);
    assert!(refuses(&started, &[BAD], later.0));
}

/// Requests share parts of their prompts, which therefore crash endpoints more often than the cause.
#[test]
fn reports_name_the_cause_beside_parts_that_all_requests_share() {
    const PARTS: [u64; 6] = [11, 12, 13, 14, 15, BAD];
    let mut tracker = CrashTracker::new();
    for number in 0..20 {
        let (endpoint, at) = (EndpointHash(number), 1_000 + number * 300);
        for other in 0..3 {
            let sound = request(&PARTS[..5], 1_000 + 3 * number + other);
            tracker.record_unanswered(&sound, endpoint, MonoMs(at - RUN_MS), MonoMs(at));
        }
        // Some endpoints crash for another reason.
        let parts = if number % 5 == 0 { &PARTS[..5] } else { &PARTS };
        crash(&mut tracker, parts, number, at);
    }
    let reports = tracker.reports(64, MonoMs(7_000));
    let named = reports.parts.iter().filter(|it| it.suspect == BAD).count();
    assert!(named >= 5, "{named} of {} crashes", reports.parts.len());
}

/// What is refused is no longer answered; gateways take turns to find out that it is sound.
#[test]
fn refuses_lets_one_gateway_try_a_part_again() {
    let mut gateways = gateways(4);
    crash_all(&mut gateways, 6, 1_000);
    let trying: Vec<_> = (0..4).filter(|it| !refuses(&gateways[*it], &[SHARED], 5_000)).collect();
    let [own] = trying[..] else { panic!("{trying:?} try the part") };
    gateways[own].begin(&request(&[SHARED], 300), EndpointHash(50), MonoMs(5_000));
    assert!(refuses(&gateways[own], &[SHARED], 5_000));
    answer(&mut gateways[own], &[SHARED], 300, 5_100);
    let reports = gateways[own].reports(64, MonoMs(5_200));
    for gateway in &mut gateways {
        gateway.record_peer_reports(&reports, MonoMs(5_200));
        assert!(!refuses(gateway, &[SHARED], 5_200));
    }
}

/// A part that was tried with success is refused again for other crashes.
#[test]
fn refuses_tries_a_part_again_after_each_answer() {
    let mut gateways = gateways(1);
    for (number, from) in [(0, 1_000), (10, 5_000)] {
        for number in number..number + 6 {
            crash(&mut gateways[0], &[SHARED], number, from + (number % 10) * 250);
        }
        let now = from + 3_000;
        assert!(!refuses(&gateways[0], &[SHARED], now), "not tried at {now}");
        gateways[0].begin(&request(&[SHARED], 300), EndpointHash(50 + number), MonoMs(now));
        answer(&mut gateways[0], &[SHARED], 300, now + 100);
    }
}

/// Requests with the part were sent, and lost, while a likelier suspect explained its crashes.
#[test]
fn refuses_tries_a_part_again_that_was_not_refused_for_a_while() {
    let mut tracker = gateways(1).remove(0);
    crash_all(std::slice::from_mut(&mut tracker), 6, 1_000);
    // The cause appears, and explains these crashes as well as the earlier ones.
    for number in 0..14 {
        let endpoint = if number < 6 { number } else { 100 + number };
        crash(&mut tracker, &[SHARED, BAD], endpoint, 2_600 + number * 250);
    }
    assert!(!tracker.refused(MonoMs(6_000)).any(|it| it == Quarantined::Part(SHARED)));
    for number in 0..6 {
        crash(&mut tracker, &[SHARED], 200 + number, 6_100 + number * 250);
    }
    assert!(refuses(&tracker, &[SHARED], 7_500));
    assert!(!refuses(&tracker, &[SHARED], 9_500), "not tried");
}

/// The trials of a part that does crash endpoints end.
#[test]
fn refuses_ends_trials_that_crash_endpoints() {
    const END_MS: u64 = 120_000;
    let mut gateways = gateways(4);
    crash_all(&mut gateways, 6, 1_000);
    let mut trials = 0;
    for now in (3_000..END_MS).step_by(100) {
        for own in 0..gateways.len() {
            if refuses(&gateways[own], &[SHARED], now) {
                continue;
            }
            trials += 1;
            let (sound, endpoint) = (request(&[SHARED], 300 + trials), EndpointHash(50 + trials));
            gateways[own].begin(&sound, endpoint, MonoMs(now));
            gateways[own].record_unanswered(&sound, endpoint, MonoMs(now), MonoMs(now + 20));
            gateways[own].record_refused(endpoint, MonoMs(now + 30));
            let reports = gateways[own].reports(64, MonoMs(now + 40));
            for peer in &mut gateways {
                peer.record_peer_reports(&reports, MonoMs(now + 40));
            }
        }
    }
    assert_eq!(trials, 2);
}

/// A request that may be the cause by itself tells nothing of a part that all requests share.
#[test]
fn refuses_tries_no_request_with_another_suspect() {
    let mut gateways = gateways(1);
    crash_all(&mut gateways, 6, 1_000);
    for number in 0..2 {
        crash(&mut gateways[0], &[SHARED, BAD], 20 + number, 2_300 + number * 50);
    }
    assert!(!refuses(&gateways[0], &[SHARED], 5_000));
    assert!(refuses(&gateways[0], &[SHARED, BAD], 5_000));
}

/// All endpoints fall silent before any request is answered, so that every part is suspected.
#[test]
fn refuses_tries_a_part_again_beside_parts_that_all_requests_share() {
    const MORE: u64 = 4;
    let mut tracker = CrashTracker::new();
    for number in 0..6 {
        crash(&mut tracker, &[MORE, SHARED], number, 1_000 + number * 250);
    }
    assert!(refuses(&tracker, &[MORE, SHARED], 2_400));
    assert!(!refuses(&tracker, &[MORE, SHARED], 5_000));
}

/// Returns the trackers of gateways that hear each other.
fn gateways(count: u8) -> Vec<CrashTracker> {
    let ip = |number| IpAddr::from([10, 0, 0, number]);
    let tracker = |own| {
        let mut tracker = CrashTracker::new();
        tracker.set_gateways(ip(own), (0..count).map(ip));
        answer(&mut tracker, &[SHARED], 100, 500);
        tracker
    };
    (0..count).map(tracker).collect()
}

/// Crashes endpoints one after the other under requests with the shared part, which all gateways know.
fn crash_all(gateways: &mut [CrashTracker], endpoints: u64, from: u64) {
    for gateway in gateways {
        for number in 0..endpoints {
            crash(gateway, &[SHARED], number, from + number * 250);
        }
        assert!(refuses(gateway, &[SHARED], from + endpoints * 250));
    }
}
