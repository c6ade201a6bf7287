//! Tests that all processes apply published records in time, also during platform outages and stale
//! reads, after restarts, and when two operators publish at once.

use std::time::Duration;

use persimmon_records::{Generation, KeyDigest, RecordSet};
use persimmon_standins::fleet::{
    Caller, ChatRequest, Fleet, IN_FORCE_DEADLINE, RECORDS_KEY, wait_until,
};
use persimmon_standins::{Engine, PlatformSwitch};
use rstest::rstest;

const MODEL: &str = "chat-large";
const ROUTERS: [&str; 2] = ["router-1", "router-2"];
const DEADLINE: Duration = Duration::from_secs(20);

fn start_fleet() -> Fleet {
    let fleet = Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_router("router-1", "zone-a")
        .with_router("router-2", "zone-b")
        .with_engine("engine-1", "zone-a", Engine::builder(MODEL))
        .with_engine("engine-2", "zone-b", Engine::builder(MODEL))
        .start()
        .unwrap();
    fleet.wait_serving().unwrap();
    fleet
}

fn generation(fleet: &Fleet, daemon: &str) -> u64 {
    fleet.daemons.status(daemon).unwrap()["generation"].as_u64().unwrap()
}

fn chat_status(fleet: &Fleet, router: &str) -> u16 {
    let request = ChatRequest::new(MODEL, "still there?").with_max_tokens(1);
    fleet.caller(router).unwrap().chat(&request).unwrap().status
}

#[test]
fn every_change_is_applied_in_time() {
    let mut fleet = start_fleet();
    for _ in 0..5 {
        fleet.publish_change(|records| records.policy.load_floor += 1);
        fleet.wait_in_force().unwrap();
    }
    fleet.close();
}

/// After a change, the platform returns stale records, is down or doesn't answer. A process that
/// starts then must not serve with records older than those of its peers.
#[rstest]
#[case::stale(PlatformSwitch::Stale { versions_behind: 2 })]
#[case::down(PlatformSwitch::Down)]
#[case::silent(PlatformSwitch::Silent)]
fn new_process_starts_with_records_of_peers(#[case] switch: PlatformSwitch) {
    let mut fleet = start_fleet();
    fleet.publish_change(|records| records.policy.load_floor += 1);
    let published = fleet.publish_change(|records| records.policy.load_floor += 1);
    fleet.wait_in_force().unwrap();
    fleet.platform.switch(switch).unwrap();
    for daemon in ["router-2", "engine-2"] {
        fleet.daemons.restart(daemon).unwrap();
    }
    fleet.wait_serving().unwrap();
    for daemon in fleet.daemons.names() {
        assert_eq!(generation(&fleet, &daemon), published.0, "{daemon}");
    }
    assert_eq!(chat_status(&fleet, "router-2"), 200);
    fleet.close();
}

#[test]
fn faulty_records_are_refused_and_reported() {
    let mut fleet = start_fleet();
    let good = fleet.records().clone();
    let mut faulty = good.clone();
    faulty.generation.0 += 1;
    faulty.policy.load_multiple = -1.0;
    fleet.publish(faulty);
    for daemon in fleet.daemons.names() {
        let is_reported = wait_until(DEADLINE, || {
            let status = fleet.daemons.status(&daemon).unwrap();
            status["refused_records"].as_str().is_some_and(|text| text.contains("load_multiple"))
        });
        assert!(is_reported, "{daemon} doesn't report the invalid field");
        assert_eq!(generation(&fleet, &daemon), good.generation.0);
    }
    assert_eq!(chat_status(&fleet, "router-1"), 200);
    fleet.publish(RecordSet { generation: Generation(9), ..good });
    fleet.wait_in_force().unwrap();
    let status = fleet.daemons.status("router-1").unwrap();
    assert!(status["refused_records"].is_null(), "{status}");
    fleet.close();
}

/// Two operators publish the same generation with different keys for the workspace. All routers
/// must accept the same one of the two keys and report the conflict.
#[test]
fn concurrent_publications_have_one_winner() {
    let fleet = start_fleet();
    let with_key = |key: &str| {
        let mut records = fleet.records().clone();
        records.generation.0 += 1;
        records.workspaces[0].key_digests = vec![KeyDigest::of_key(key)];
        records
    };
    let keys = ["key-of-operator-one", "key-of-operator-two"];
    let sets = keys.map(with_key);
    let winner = if sets[0].version() > sets[1].version() { 0 } else { 1 };
    fleet.platform.publish(RECORDS_KEY, sets[0].to_text());
    fleet.platform.publish(RECORDS_KEY, sets[1].to_text());
    fleet.daemons.wait_in_force(sets[0].generation.0, IN_FORCE_DEADLINE).unwrap();
    // The platform stores the second set. If the first one has the higher digest, the routers may
    // not have read it, so the test publishes it again, as its operator would.
    fleet.platform.publish(RECORDS_KEY, sets[winner].to_text());
    let is_valid = |router: &str, key: &str| {
        let caller = Caller::new(fleet.daemons.listen(router).unwrap(), key);
        caller.chat(&ChatRequest::new(MODEL, "hello").with_max_tokens(1)).unwrap().status == 200
    };
    for router in ROUTERS {
        let has_winner = wait_until(IN_FORCE_DEADLINE, || is_valid(router, keys[winner]));
        assert!(has_winner, "{router} doesn't apply the winning records");
        assert!(!is_valid(router, keys[1 - winner]), "{router} accepts both keys");
    }
    fleet.platform.publish(RECORDS_KEY, sets[1 - winner].to_text());
    for router in ROUTERS {
        let is_reported = wait_until(DEADLINE, || {
            let status = fleet.daemons.status(router).unwrap();
            status["refused_records"]
                .as_str()
                .is_some_and(|text| text.contains("published at once"))
        });
        assert!(is_reported, "{router} doesn't report the conflict");
        assert!(is_valid(router, keys[winner]), "{router} no longer applies the winning records");
    }
    fleet.close();
}
