//! Tests of calls that may be repeated, under steady load on long-lived connections and with frozen
//! workers.

use std::time::{Duration, Instant};

use persimmon_records::{Limits, PerClass, WorkspaceBuilder};
use persimmon_standins::ServiceSwitch;
use persimmon_standins::fleet::{CALLER_KEY, Fleet};

const SERVICE: &str = "registry";
/// Longer than a stamp is valid, so that a connection outlives the stamp that the sidecar sent when
/// it was opened.
const LOAD_DURATION: Duration = Duration::from_secs(36);
const CALL_INTERVAL: Duration = Duration::from_secs(1);

/// Publishes records that allow calls to every worker to be repeated.
fn allow_repeats(fleet: &mut Fleet) {
    fleet.publish_change(|records| {
        records.endpoints.iter_mut().for_each(|endpoint| endpoint.repeatable = true);
    });
    fleet.wait_in_force().unwrap();
}

#[test]
fn lookups_under_steady_load_are_answered() {
    let mut fleet = Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_router("router-1", "zone-a")
        .with_service("registry-1", "zone-a", SERVICE)
        .start()
        .unwrap();
    allow_repeats(&mut fleet);
    let caller = fleet.caller("router-1").unwrap();
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < LOAD_DURATION {
        let key = format!("prefix-{number}");
        let reply = caller.call_service(SERVICE, ("Idempotency-Key", &key), "look-up").unwrap();
        let elapsed = started.elapsed();
        assert_eq!(reply.status, 200, "call {number} after {elapsed:?}: {}", reply.body);
        number += 1;
        std::thread::sleep(CALL_INTERVAL);
    }
    fleet.close();
}

/// All workers accept calls and never answer them.
#[test]
fn lookup_with_workers_frozen_is_answered_by_deadline() {
    const DEADLINE_MS: &str = "1500";
    /// The deadline with a margin for a busy machine; two consecutive deadlines take longer.
    const ANSWER_LIMIT: Duration = Duration::from_millis(2_500);
    /// Number of first attempts, enough for the retry budget to allow more than one retry.
    const CALLS_BEFORE_FREEZE: usize = 40;
    let limits = Limits { requests_per_second: 10_000, in_progress: 10_000 };
    let per_class = PerClass { quick: limits, conversation: limits, drafting: limits };
    let workspace =
        WorkspaceBuilder::new("registry-desk").with_key(CALLER_KEY).with_service(SERVICE);
    let mut fleet = Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_router("router-1", "zone-a")
        .with_workspace(workspace.with_limits(per_class).with_total_limits(limits).build())
        .with_service("registry-1", "zone-a", SERVICE)
        .with_service("registry-2", "zone-a", SERVICE)
        .with_service("registry-3", "zone-a", SERVICE)
        .start()
        .unwrap();
    allow_repeats(&mut fleet);
    let caller = fleet.caller("router-1").unwrap();
    for number in 0..CALLS_BEFORE_FREEZE {
        let key = format!("before-{number}");
        let reply = caller.call_service(SERVICE, ("Idempotency-Key", &key), "look-up").unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    fleet.services().for_each(|(_, service)| service.switch(ServiceSwitch::Freeze));
    let request = caller
        .request(minreq::Method::Post, "/v1/services/registry/calls")
        .with_header("Idempotency-Key", "frozen")
        .with_header("Persimmon-Deadline-Ms", DEADLINE_MS)
        .with_body(r#"{"operation":"look-up","body":{}}"#);
    let started = Instant::now();
    let reply = caller.send(request).unwrap();
    let elapsed = started.elapsed();
    assert!(elapsed < ANSWER_LIMIT, "answered after {elapsed:?}: {}", reply.body);
    let failure = reply.failure().expect("a failure with its outcome");
    assert_eq!(failure.outcome, "unknown", "{failure:?}");
    fleet.close();
}
