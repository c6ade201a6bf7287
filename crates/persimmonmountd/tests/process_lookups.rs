//! Calls that may be repeated, sent steadily over connections that stay in use.

use std::time::{Duration, Instant};

use persimmon_standins::fleet::Fleet;

const SERVICE: &str = "registry";
/// Longer than a stamp can be presented, so that a connection outlives the stamp of its greeting.
const STEADY: Duration = Duration::from_secs(36);
const BETWEEN_CALLS: Duration = Duration::from_secs(1);

#[test]
fn lookups_sent_steadily_are_answered() {
    let mut fleet = Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_router("router-1", "zone-a")
        .with_service("registry-1", "zone-a", SERVICE)
        .start()
        .unwrap();
    fleet.publish_change(|records| {
        records.endpoints.iter_mut().for_each(|endpoint| endpoint.repeatable = true);
    });
    fleet.wait_in_force().unwrap();
    let caller = fleet.caller("router-1").unwrap();
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < STEADY {
        let key = format!("prefix-{number}");
        let reply = caller.call_service(SERVICE, ("Idempotency-Key", &key), "look-up").unwrap();
        let elapsed = started.elapsed();
        assert_eq!(reply.status, 200, "call {number} after {elapsed:?}: {}", reply.body);
        number += 1;
        std::thread::sleep(BETWEEN_CALLS);
    }
    fleet.close();
}
