//! Tests that a call that must not be repeated runs at most once when real processes are killed,
//! restarted or frozen, or connections go silent.

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use persimmon_decide::outcome::ClaimSealer;
use persimmon_records::{EndpointName, WorkspaceBuilder};
use persimmon_standins::fleet::{
    CALLER_KEY, CallError, Caller, Fleet, FleetBuilder, Reply, wait_until,
};
use persimmon_standins::{Direction, Relay, ServiceSwitch};
use rstest::rstest;

const SERVICE: &str = "booking";
const FLEET_KEY: &str = "fleet-key-for-tests-only";
const DEADLINE: Duration = Duration::from_secs(10);
/// Deadline of a call that is expected to fail.
const SHORT_DEADLINE_MS: &str = "1500";
const LONG_DEADLINE_MS: &str = "20000";
/// Maximum time until a call with the short deadline gets its final answer.
const FINAL_ANSWER_LIMIT: Duration = Duration::from_millis(2_500);
const ANSWER_DELAY_MS: u64 = 4_000;
const CONCURRENT_CALLS: usize = 8;
const OTHER_KEY: &str = "wk-of-another-workspace";
/// Maximum time to detect a silent connection: the time-outs for silence and for a first frame,
/// with a margin for a busy machine.
const SILENCE_DETECTION_LIMIT: Duration = Duration::from_secs(5);

/// Starts a fleet with two routers and the given workers of the service.
fn fleet(workers: &[&str]) -> Fleet {
    let builder = Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_variable("PERSIMMON_FLEET_KEY", FLEET_KEY)
        .with_router("router-1", "zone-a")
        .with_router("router-2", "zone-b");
    let with_worker =
        |builder: FleetBuilder, name: &&str| builder.with_service(name, "zone-a", SERVICE);
    workers.iter().fold(builder, with_worker).start().expect("the fleet starts")
}

/// Returns the only worker that may run the call of this claim.
fn owner(claim: &str) -> EndpointName {
    ClaimSealer::new(FLEET_KEY).open(claim).expect("a claim of this fleet").owner
}

fn claim(fleet: &Fleet, router: &str, key: &str) -> String {
    let reply = fleet.caller(router).unwrap().claim(SERVICE, key).unwrap();
    assert_eq!(reply.status, 200, "{}", reply.body);
    reply.json()["claim"].as_str().expect("a claim").to_owned()
}

fn call(caller: &Caller, claim: &str, deadline_ms: &str) -> Result<Reply, CallError> {
    let request = caller.request(minreq::Method::Post, "/v1/services/booking/calls");
    let request = request
        .with_header("Persimmon-Claim", claim)
        .with_header("Persimmon-Deadline-Ms", deadline_ms)
        .with_body(r#"{"operation":"book","body":{"week":11}}"#);
    caller.send(request)
}

fn call_in_background(
    fleet: &Fleet,
    router: &str,
    claim: &str,
) -> JoinHandle<Result<Reply, CallError>> {
    let (caller, claim) = (fleet.caller(router).unwrap(), claim.to_owned());
    thread::spawn(move || call(&caller, &claim, LONG_DEADLINE_MS))
}

/// Returns the number of runs of all keys at all workers; each test runs calls of one key.
fn runs(fleet: &Fleet) -> u64 {
    fleet.services().map(|(_, service)| service.counts().runs.values().sum::<u64>()).sum()
}

/// Delays all answers by [`ANSWER_DELAY_MS`], so that a test can observe a run before its answer.
fn delay_answers(fleet: &Fleet) {
    let switch = ServiceSwitch::Slow { delay_ms: ANSWER_DELAY_MS };
    fleet.services().for_each(|(_, service)| service.switch(switch));
}

fn outcome(reply: &Reply) -> (String, String) {
    let failure = reply.failure().unwrap_or_else(|| panic!("a failure: {}", reply.body));
    (failure.outcome, failure.kind)
}

#[test]
fn call_repeated_through_other_router() {
    let fleet = fleet(&["booking-1", "booking-2"]);
    let claim = claim(&fleet, "router-1", "week-11");
    let first = call(&fleet.caller("router-1").unwrap(), &claim, "8000").unwrap();
    let second = call(&fleet.caller("router-2").unwrap(), &claim, "8000").unwrap();
    assert_eq!((first.status, second.status), (200, 200), "{} {}", first.body, second.body);
    assert_eq!(first.body, second.body, "the recorded answer wasn't repeated");
    assert_eq!(runs(&fleet), 1);
    fleet.close();
}

/// A truncated answer must neither look like the call's result nor be recorded as such.
#[rstest]
#[case::length(false)]
#[case::chunked(true)]
fn call_with_truncated_answer_has_unknown_outcome(#[case] chunked: bool) {
    let fleet = fleet(&["booking-1"]);
    let claim = claim(&fleet, "router-1", "week-12");
    fleet.services().for_each(|(_, service)| service.switch(ServiceSwitch::Truncate { chunked }));
    for router in ["router-1", "router-2"] {
        let reply = call(&fleet.caller(router).unwrap(), &claim, LONG_DEADLINE_MS).unwrap();
        assert_eq!(outcome(&reply).0, "unknown", "{}", reply.body);
    }
    assert_eq!(runs(&fleet), 1);
    fleet.close();
}

#[test]
fn call_concurrently() {
    let fleet = fleet(&["booking-1", "booking-2"]);
    let claim = claim(&fleet, "router-1", "week-20");
    delay_answers(&fleet);
    let routers = ["router-1", "router-2"].iter().cycle().take(CONCURRENT_CALLS);
    let calls: Vec<_> = routers.map(|router| call_in_background(&fleet, router, &claim)).collect();
    let replies: Vec<_> = calls.into_iter().map(|call| call.join().unwrap().unwrap()).collect();
    for reply in &replies {
        assert_eq!((reply.status, &reply.body), (200, &replies[0].body));
    }
    assert_eq!(runs(&fleet), 1);
    fleet.close();
}

#[test]
fn call_with_router_frozen() {
    let fleet = fleet(&["booking-1", "booking-2"]);
    let claim = claim(&fleet, "router-1", "week-21");
    fleet.daemons.freeze("router-1").unwrap();
    let late = call_in_background(&fleet, "router-1", &claim);
    let prompt = call(&fleet.caller("router-2").unwrap(), &claim, "8000").unwrap();
    assert_eq!(prompt.status, 200, "{}", prompt.body);
    fleet.daemons.thaw("router-1").unwrap();
    let late = late.join().unwrap().unwrap();
    assert_eq!((late.status, &late.body), (200, &prompt.body), "the delayed call ran again");
    assert_eq!(runs(&fleet), 1);
    fleet.close();
}

#[test]
fn call_with_claim_of_other_workspace() {
    let workspace = |name: &str, key: &str| {
        WorkspaceBuilder::new(name).with_key(key).with_service(SERVICE).build()
    };
    let fleet = Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_router("router-1", "zone-a")
        .with_service("booking-1", "zone-a", SERVICE)
        .with_workspace(workspace("swap-desk", CALLER_KEY))
        .with_workspace(workspace("registry-desk", OTHER_KEY))
        .start()
        .expect("the fleet starts");
    let claim = claim(&fleet, "router-1", "week-22");
    let other = Caller::new(fleet.daemons.listen("router-1").unwrap(), OTHER_KEY);
    let refused = call(&other, &claim, "8000").unwrap();
    assert!((400..500).contains(&refused.status), "{}", refused.body);
    assert_eq!(runs(&fleet), 0);
    let own = call(&fleet.caller("router-1").unwrap(), &claim, "8000").unwrap();
    assert_eq!(own.status, 200, "{}", own.body);
    let refused = call(&other, &claim, "8000").unwrap();
    assert!(
        !refused.body.contains("confirm"),
        "contains another workspace's answer: {}",
        refused.body
    );
    assert_ne!(outcome(&refused).0, "not-run", "the call ran for its own workspace");
    assert_eq!(runs(&fleet), 1);
    fleet.close();
}

#[test]
fn call_with_router_killed() {
    let mut fleet = fleet(&["booking-1"]);
    let claim = claim(&fleet, "router-1", "week-12");
    delay_answers(&fleet);
    let first = call_in_background(&fleet, "router-1", &claim);
    assert!(wait_until(DEADLINE, || runs(&fleet) == 1), "the call didn't run");
    fleet.daemons.kill("router-1").unwrap();
    // The client reports a connection that is closed without a reply as an empty 503.
    let response = first.join().unwrap();
    let is_empty = response.as_ref().map_or(true, |reply| reply.headers.is_empty());
    assert!(is_empty, "the caller got a reply: {response:?}");
    let second = call_in_background(&fleet, "router-2", &claim);
    let second = second.join().unwrap().unwrap();
    assert_eq!(second.status, 200, "{}", second.body);
    assert_eq!(runs(&fleet), 1);
    fleet.close();
}

#[rstest]
#[case::before_the_call(false)]
#[case::during_the_call(true)]
fn call_with_sidecar_restarted(#[case] during: bool) {
    let mut fleet = fleet(&["booking-1"]);
    let claim = claim(&fleet, "router-1", "week-13");
    if during {
        delay_answers(&fleet);
        let first = call_in_background(&fleet, "router-1", &claim);
        assert!(wait_until(DEADLINE, || runs(&fleet) == 1), "the call didn't run");
        fleet.daemons.kill("booking-1").unwrap();
        let first = first.join().unwrap().unwrap();
        assert_eq!(outcome(&first).0, "unknown", "{}", first.body);
    }
    fleet.daemons.restart("booking-1").unwrap();
    fleet.wait_in_force().unwrap();
    for router in ["router-1", "router-2"] {
        let again = call(&fleet.caller(router).unwrap(), &claim, "8000").unwrap();
        let expected = ("unknown".to_owned(), "wrong-incarnation".to_owned());
        assert_eq!(outcome(&again), expected, "{}", again.body);
    }
    assert_eq!(runs(&fleet), u64::from(during), "the new incarnation ran the call");
    fleet.close();
}

#[test]
fn call_with_sidecar_frozen() {
    let fleet = fleet(&["booking-1"]);
    let claim = claim(&fleet, "router-1", "week-14");
    fleet.daemons.freeze("booking-1").unwrap();
    let frozen = call(&fleet.caller("router-1").unwrap(), &claim, SHORT_DEADLINE_MS).unwrap();
    assert_eq!(outcome(&frozen).0, "unknown", "{}", frozen.body);
    fleet.daemons.thaw("booking-1").unwrap();
    // The sidecar reads its records before it admits calls, so its reply states a definite outcome.
    let again = call(&fleet.caller("router-2").unwrap(), &claim, "8000").unwrap();
    let was_run = again.status == 200;
    assert!(was_run || outcome(&again).0 == "not-run", "{}", again.body);
    fleet.wait_in_force().unwrap();
    let is_served =
        || call_with_new_claim(&fleet, "week-14").is_some_and(|reply| reply.status == 200);
    assert!(was_run || wait_until(DEADLINE, is_served), "a new claim isn't served");
    assert_eq!(runs(&fleet), 1);
    fleet.close();
}

/// Obtains a claim and sends a call with it. Returns `None` if no worker issues a claim.
fn call_with_new_claim(fleet: &Fleet, key: &str) -> Option<Reply> {
    let caller = fleet.caller("router-2").unwrap();
    let claim = caller.claim(SERVICE, key).unwrap().json()["claim"].as_str()?.to_owned();
    Some(call(&caller, &claim, "8000").unwrap())
}

#[test]
fn call_with_owner_removed() {
    let mut fleet = fleet(&["booking-1", "booking-2"]);
    let claim = claim(&fleet, "router-1", "week-15");
    let owner = owner(&claim);
    fleet.publish_change(|records| records.endpoints.retain(|endpoint| endpoint.name != owner));
    fleet.daemons.kill(owner.as_str()).unwrap();
    fleet.wait_in_force().unwrap();
    let reply = call(&fleet.caller("router-2").unwrap(), &claim, "8000").unwrap();
    assert_eq!(outcome(&reply).0, "unknown", "{}", reply.body);
    assert_eq!(runs(&fleet), 0, "another worker ran the call");
    fleet.close();
}

#[test]
fn call_with_owner_draining() {
    let mut fleet = fleet(&["booking-1"]);
    let (running, unused) =
        (claim(&fleet, "router-1", "week-16"), claim(&fleet, "router-1", "week-17"));
    delay_answers(&fleet);
    let first = call_in_background(&fleet, "router-1", &running);
    assert!(wait_until(DEADLINE, || runs(&fleet) == 1), "the call didn't run");
    fleet.publish_drain("booking-1");
    fleet.wait_in_force().unwrap();
    for (router, kind) in [("router-1", "leaving"), ("router-2", "tombstoned")] {
        let refused = call(&fleet.caller(router).unwrap(), &unused, "8000").unwrap();
        assert_eq!(outcome(&refused), ("not-run".into(), kind.into()), "{}", refused.body);
    }
    let first = first.join().unwrap().unwrap();
    assert_eq!(first.status, 200, "the call in progress was cut: {}", first.body);
    assert_eq!(runs(&fleet), 1);
    fleet.close();
}

#[rstest]
#[case::to_sidecar(Direction::ToTarget)]
#[case::from_sidecar(Direction::FromTarget)]
fn call_over_silent_connection(#[case] direction: Direction) {
    let mut fleet = fleet(&["booking-1"]);
    let relay = Relay::start(fleet.daemons.peer("booking-1").unwrap()).unwrap();
    let address = relay.address();
    fleet.publish_change(|records| records.endpoints[0].address = address);
    fleet.wait_in_force().unwrap();
    let claim = claim(&fleet, "router-1", "week-17");
    relay.silence_open(direction);
    let started = Instant::now();
    let reply = call(&fleet.caller("router-1").unwrap(), &claim, "20000").unwrap();
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(runs(&fleet), 1);
    assert!(started.elapsed() < SILENCE_DETECTION_LIMIT, "it took {:?}", started.elapsed());
    relay.close();
    fleet.close();
}

#[test]
fn call_with_connection_silenced_midway() {
    let mut fleet = fleet(&["booking-1"]);
    let relay = Relay::start(fleet.daemons.peer("booking-1").unwrap()).unwrap();
    let address = relay.address();
    fleet.publish_change(|records| records.endpoints[0].address = address);
    fleet.wait_in_force().unwrap();
    let claim = claim(&fleet, "router-1", "week-23");
    delay_answers(&fleet);
    let started = Instant::now();
    let running = call_in_background(&fleet, "router-1", &claim);
    assert!(wait_until(DEADLINE, || runs(&fleet) == 1), "the call didn't run");
    relay.silence_open(Direction::FromTarget);
    let reply = running.join().unwrap().unwrap();
    let elapsed = started.elapsed();
    assert_eq!(reply.status, 200, "after {elapsed:?}: {}", reply.body);
    assert_eq!(runs(&fleet), 1);
    let limit = Duration::from_millis(ANSWER_DELAY_MS) + SILENCE_DETECTION_LIMIT;
    assert!(elapsed < limit, "it took {elapsed:?}");
    relay.close();
    fleet.close();
}

#[test]
fn call_past_deadline() {
    let fleet = fleet(&["booking-1"]);
    let claim = claim(&fleet, "router-1", "week-24");
    fleet.service("booking-1").switch(ServiceSwitch::Freeze);
    let started = Instant::now();
    let reply = call(&fleet.caller("router-1").unwrap(), &claim, SHORT_DEADLINE_MS).unwrap();
    let elapsed = started.elapsed();
    assert_eq!(outcome(&reply).0, "unknown", "{}", reply.body);
    assert!(elapsed < FINAL_ANSWER_LIMIT, "the final answer came after {elapsed:?}");
    fleet.close();
}

#[test]
fn call_without_claim() {
    let fleet = fleet(&["booking-1", "booking-2"]);
    let caller = fleet.caller("router-1").unwrap();
    let reply = caller.call_service(SERVICE, ("Idempotency-Key", "week-18"), "book").unwrap();
    assert_eq!(outcome(&reply), ("not-run".into(), "needs-claim".into()), "{}", reply.body);
    assert_eq!(runs(&fleet), 0);
    fleet.close();
}

#[test]
fn call_with_other_body() {
    let fleet = fleet(&["booking-1", "booking-2"]);
    let claim = claim(&fleet, "router-1", "week-19");
    let caller = fleet.caller("router-2").unwrap();
    assert_eq!(call(&caller, &claim, "8000").unwrap().status, 200);
    let other = caller.call_service(SERVICE, ("Persimmon-Claim", &claim), "hand-over").unwrap();
    assert_eq!(outcome(&other), ("unknown".into(), "body-mismatch".into()), "{}", other.body);
    assert_eq!(runs(&fleet), 1);
    fleet.close();
}
