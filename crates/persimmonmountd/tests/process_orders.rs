//! Tests that sidecars order their engines to load another model within the weight store's rate
//! limit.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use persimmon_records::{Fencing, Policy, RecordSet, Serves};
use persimmon_standins::fleet::{ChatRequest, Fleet, wait_until};
use persimmon_standins::{Engine, EngineCounts, EngineSwitch, Fence, Platform};
use rstest::rstest;
use serde_json::json;

const OLD: &str = "chat-large";
const NEW: &str = "chat-small";
const ENGINES: [&str; 4] = ["engine-1", "engine-2", "engine-3", "engine-4"];
/// Maximum number of reads of weights per second at the stand-in of the weight store.
const MAX_WEIGHT_READS_PER_SECOND: u64 = 1;
/// Rate configured for the sidecars. It is below the store's limit by more than a tick of their
/// control threads.
const LOADS_PER_MINUTE: u32 = 45;
/// Rate far above the store's limit.
const HIGH_LOADS_PER_MINUTE: u32 = 6_000;
/// Rate at which a load waits up to [`SLOW_SLOT_MS`] for its slot.
const SLOW_LOADS_PER_MINUTE: u32 = 1;
/// One minute plus the maximum difference between clocks.
const SLOW_SLOT_MS: u64 = 63_000;
/// Minimum remaining wait of a slow load when a test first checks it.
const MIN_WAIT_MS: u64 = 15_000;
/// Sum of the quiet period after a sidecar's start, four slots and the control thread's ticks, with
/// a margin.
const DEADLINE: Duration = Duration::from_secs(30);

fn start_fleet(engines: &[&str], checks_fence: bool, loads_per_minute: u32) -> Fleet {
    let platform = Platform::builder().with_weights_per_second(MAX_WEIGHT_READS_PER_SECOND);
    let policy = Policy { loads_per_minute, ..Policy::default() };
    let mut builder = Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_platform(platform)
        .with_policy(policy)
        .with_router("router-1", "zone-a");
    for name in engines {
        let engine = Engine::builder(OLD).with_fence_check(checks_fence);
        builder = builder.with_engine(name, "zone-a", engine);
    }
    builder.start().unwrap()
}

fn assign_new_model(records: &mut RecordSet) {
    for endpoint in &mut records.endpoints {
        endpoint.serves = Serves::Model(NEW.into());
    }
    records.workspaces[0].models = vec![NEW.into()];
}

fn counts(fleet: &Fleet, engine: &str) -> EngineCounts {
    fleet.engine(engine).counts()
}

fn load_wait(fleet: &Fleet, sidecar: &str) -> serde_json::Value {
    fleet.daemons.status(sidecar).unwrap_or_default()["load_wait"].clone()
}

fn waits_for(fleet: &Fleet, sidecar: &str, reason: &str) -> bool {
    wait_until(DEADLINE, || load_wait(fleet, sidecar)["reason"] == reason)
}

/// Waits until the next slot of a slow load is more than [`MIN_WAIT_MS`] away.
fn wait_until_next_slot_is_distant() {
    let is_distant = || {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        since_epoch.as_millis() % u128::from(SLOW_SLOT_MS) < u128::from(SLOW_SLOT_MS - MIN_WAIT_MS)
    };
    assert!(wait_until(DEADLINE, is_distant));
}

fn orders_load_once(fleet: &Fleet, engine: &str) -> bool {
    wait_until(DEADLINE, || !counts(fleet, engine).orders.is_empty())
        && wait_until(DEADLINE, || load_wait(fleet, engine).is_null())
        && counts(fleet, engine).orders == [json!({ "load_model": NEW })]
}

#[test]
fn new_model_is_ordered_once_within_rate_limit() {
    let mut fleet = start_fleet(&ENGINES, false, LOADS_PER_MINUTE);
    let generation = fleet.publish_change(assign_new_model);
    assert!(
        wait_until(DEADLINE, || {
            ENGINES.iter().any(|name| {
                let wait = load_wait(&fleet, name);
                wait["model"] == NEW && wait["starts_in_ms"].as_u64().is_some_and(|ms| ms > 0)
            })
        }),
        "no status shows a waiting load: {:?}",
        fleet.daemons.status(ENGINES[0])
    );
    for name in ENGINES {
        assert!(orders_load_once(&fleet, name), "{name}: {:?}", counts(&fleet, name).orders);
        assert_eq!(counts(&fleet, name).fences[0].generation, generation.0);
    }
    let platform = fleet.platform.counts();
    assert_eq!((platform.weights, platform.weights_refused), (4, 0));
    let request = ChatRequest::new(NEW, "the model is loaded");
    let caller = fleet.caller("router-1").unwrap();
    assert!(wait_until(DEADLINE, || {
        caller.chat(&request).is_ok_and(|reply| reply.text() == request.expected_answer())
    }));
    fleet.close();
}

#[test]
fn request_for_model_with_waiting_load_is_refused_as_not_run() {
    let mut fleet = start_fleet(&ENGINES[..1], false, SLOW_LOADS_PER_MINUTE);
    wait_until_next_slot_is_distant();
    fleet.publish_change(assign_new_model);
    assert!(waits_for(&fleet, ENGINES[0], "slot"), "{:?}", fleet.daemons.status(ENGINES[0]));
    fleet.wait_in_force().unwrap();
    let reply = fleet.caller("router-1").unwrap().chat(&ChatRequest::new(NEW, "too early"));
    let failure = reply.unwrap().failure().unwrap();
    assert_eq!(failure.outcome, "not-run");
    assert!(failure.retry_after_s.is_some(), "{failure:?}");
    let counts = counts(&fleet, ENGINES[0]);
    assert_eq!((counts.generate_calls, counts.orders.len()), (0, 0));
    fleet.close();
}

/// The sidecar is killed while its load waits. Its next incarnation doesn't see the records change,
/// but the engine reports that the model isn't loaded.
#[rstest]
#[case::refuses(Fencing::Refuses)]
#[case::ignores(Fencing::Ignores)]
fn restarted_sidecar_orders_with_higher_fence(#[case] fencing: Fencing) {
    let mut fleet = start_fleet(&ENGINES[..1], fencing == Fencing::Refuses, LOADS_PER_MINUTE);
    let name = ENGINES[0];
    let set_fencing = |records: &mut RecordSet| records.endpoints[0].fencing = fencing;
    fleet.publish_change(|records| {
        set_fencing(records);
        assign_new_model(records);
    });
    assert!(orders_load_once(&fleet, name), "{:?}", fleet.daemons.status(name));
    wait_until_next_slot_is_distant();
    fleet.publish_change(|records| {
        records.policy.loads_per_minute = SLOW_LOADS_PER_MINUTE;
        records.endpoints[0].serves = Serves::Model("chat-third".into());
        records.workspaces[0].models = vec!["chat-third".into()];
    });
    assert!(waits_for(&fleet, name, "slot"), "{:?}", fleet.daemons.status(name));
    fleet.daemons.restart(name).unwrap();
    let generation = fleet.publish_change(|records| {
        records.policy.loads_per_minute = LOADS_PER_MINUTE;
    });
    fleet.wait_in_force().unwrap();
    let caller = fleet.caller("router-1").unwrap();
    let request = ChatRequest::new("chat-third", "who has it");
    let is_answered = wait_until(DEADLINE, || {
        caller.chat(&request).is_ok_and(|reply| reply.text() == request.expected_answer())
    });
    assert!(is_answered, "{:?}", counts(&fleet, name).orders);
    let counts = counts(&fleet, name);
    assert_eq!(counts.orders[1..], [json!({ "load_model": "chat-third" })]);
    assert_eq!(counts.fences[1].generation, generation.0);
    assert!(counts.fences[1].incarnation > counts.fences[0].incarnation);
    fleet.close();
}

#[test]
fn crashed_engine_loads_its_model_again() {
    let fleet = start_fleet(&ENGINES[..1], false, LOADS_PER_MINUTE);
    let incarnation_before_crash = counts(&fleet, ENGINES[0]).incarnation;
    // Once a request is answered, the sidecar's health check has seen the first incarnation.
    let request = ChatRequest::new(OLD, "before the crash");
    let caller = fleet.caller("router-1").unwrap();
    assert_eq!(caller.chat(&request).unwrap().text(), request.expected_answer());
    fleet.engine(ENGINES[0]).switch(EngineSwitch::Crash);
    assert!(wait_until(DEADLINE, || !counts(&fleet, ENGINES[0]).orders.is_empty()));
    let counts = counts(&fleet, ENGINES[0]);
    assert!(counts.incarnation > incarnation_before_crash);
    assert_eq!(counts.orders, [json!({ "load_model": OLD })]);
    fleet.close();
}

/// If the configured rate is above the store's limit, the store's refusals spread out the loads.
#[test]
fn refused_reads_of_weights_are_retried() {
    let mut fleet = start_fleet(&ENGINES, false, HIGH_LOADS_PER_MINUTE);
    fleet.publish_change(assign_new_model);
    assert!(wait_until(DEADLINE, || {
        ENGINES.iter().any(|name| load_wait(&fleet, name)["reason"] == "throttled")
    }));
    for name in ENGINES {
        assert!(orders_load_once(&fleet, name), "{name}: {:?}", counts(&fleet, name).orders);
    }
    let platform = fleet.platform.counts();
    assert!(platform.weights_refused > 0);
    assert_eq!(platform.weights - platform.weights_refused, 4);
    fleet.close();
}

#[test]
fn order_without_answer_is_sent_again() {
    let mut fleet = start_fleet(&ENGINES[..1], false, LOADS_PER_MINUTE);
    let name = ENGINES[0];
    fleet.engine(name).switch(EngineSwitch::Freeze);
    fleet.publish_change(assign_new_model);
    let is_lost = wait_until(DEADLINE, || {
        let wait = load_wait(&fleet, name);
        wait["reason"] == "engine" && wait["starts_in_ms"].as_u64().is_some_and(|ms| ms > 0)
    });
    assert!(is_lost, "{:?}", fleet.daemons.status(name));
    fleet.engine(name).switch(EngineSwitch::Up);
    assert!(wait_until(DEADLINE, || load_wait(&fleet, name).is_null()));
    let orders = counts(&fleet, name).orders;
    assert!(
        !orders.is_empty() && orders.iter().all(|order| *order == json!({ "load_model": NEW }))
    );
    fleet.close();
}

#[test]
fn engine_that_checks_fences_refuses_older_fence() {
    let mut fleet = start_fleet(&ENGINES[..1], true, LOADS_PER_MINUTE);
    let name = ENGINES[0];
    let newer = Fence { generation: 1_000, incarnation: u64::MAX };
    let body = json!({ "fence": newer, "order": { "load_model": "chat-third" } });
    let url = format!("http://{}/v1/orders", fleet.engine(name).address());
    assert_eq!(minreq::post(url).with_json(&body).unwrap().send().unwrap().status_code, 200);
    fleet.publish_change(|records| {
        records.endpoints[0].fencing = Fencing::Refuses;
        assign_new_model(records);
    });
    assert!(waits_for(&fleet, name, "superseded"), "{:?}", fleet.daemons.status(name));
    let counts = counts(&fleet, name);
    assert_eq!((counts.orders_refused, counts.fences), (1, vec![newer]));
    assert!(counts.orders.iter().all(|order| order["load_model"] != NEW));
    fleet.close();
}
