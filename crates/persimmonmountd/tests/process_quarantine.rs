//! Tests of a request that crashes every engine that runs it and is sent again through any router.

use std::thread;
use std::time::Duration;

use persimmon_standins::Engine;
use persimmon_standins::fleet::{ChatRequest, Fleet, wait_until};
use rstest::rstest;

const MODEL: &str = "chat-large";
const MARKER: &str = "crash-the-engine";
const ENGINES: [&str; 5] = ["engine-1", "engine-2", "engine-3", "engine-4", "engine-5"];
const ROUTERS: [&str; 3] = ["router-1", "router-2", "router-3"];
/// Maximum number of engines that one request may crash.
const MAX_LOST: usize = 2;
const DEADLINE: Duration = Duration::from_secs(30);

/// When an engine crashes that runs a request with the marker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Crash {
    /// After it sends the head of its answer.
    InAnswer,
    /// Before it sends the head of its answer.
    BeforeHead,
    /// The sidecar sees the engine's next incarnation before the answer is cut.
    SeenFirst,
}

fn start_fleet(crash: Crash) -> Fleet {
    let engine = || {
        Engine::builder(MODEL)
            .with_slots(8)
            .with_crash_marker(MARKER)
            .with_crashes_before_head(crash == Crash::BeforeHead)
            .with_cut_after_health_check(crash == Crash::SeenFirst)
    };
    let mut builder = Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"));
    for router in ROUTERS {
        builder = builder.with_router(router, "zone-a");
    }
    for name in ENGINES {
        builder = builder.with_engine(name, "zone-a", engine());
    }
    let fleet = builder.start().unwrap();
    fleet.wait_serving().unwrap();
    fleet
}

fn lost(fleet: &Fleet) -> usize {
    fleet.engines().filter(|(_, engine)| engine.counts().crashes > 0).count()
}

/// The caller ignores `Retry-After`.
#[rstest]
#[case::at_once(Duration::ZERO, Crash::InAnswer)]
#[case::each_second(Duration::from_secs(1), Crash::InAnswer)]
#[case::before_the_head(Duration::ZERO, Crash::BeforeHead)]
#[case::seen_first(Duration::ZERO, Crash::SeenFirst)]
fn crashing_request_takes_down_two_engines_at_most(#[case] pause: Duration, #[case] crash: Crash) {
    const TRIES: usize = 12;
    let fleet = start_fleet(crash);
    let request = ChatRequest::new(MODEL, MARKER).with_max_tokens(4);
    for attempt in 0..TRIES {
        let router = ROUTERS[attempt % ROUTERS.len()];
        let reply = fleet.caller(router).unwrap().chat(&request).unwrap();
        assert_ne!(reply.status, 200, "{}", reply.body);
        let failure = reply.failure().expect("a failure with its outcome");
        assert!(["not-run", "unknown"].contains(&failure.outcome.as_str()), "{failure:?}");
        thread::sleep(pause);
    }
    assert!(lost(&fleet) >= 1, "the request never ran");
    assert!(lost(&fleet) <= MAX_LOST, "{} engines crashed", lost(&fleet));
    let innocent = ChatRequest::new(MODEL, "a week on the coast").with_max_tokens(4);
    let is_served = wait_until(DEADLINE, || {
        let reply = fleet.caller("router-1").unwrap().chat(&innocent).unwrap();
        reply.text() == innocent.expected_answer()
    });
    assert!(is_served, "a harmless request isn't served");
    fleet.close();
}

#[rstest]
#[case::in_the_answer(Crash::InAnswer)]
#[case::before_the_head(Crash::BeforeHead)]
#[case::seen_first(Crash::SeenFirst)]
fn caller_is_told_when_to_come_back(#[case] crash: Crash) {
    let fleet = start_fleet(crash);
    let request = ChatRequest::new(MODEL, MARKER).with_max_tokens(4);
    let reply = fleet.caller("router-1").unwrap().chat(&request).unwrap();
    let failure = reply.failure().expect("a failure with its outcome");
    assert!(failure.retry_after_s >= Some(10), "{failure:?}");
    fleet.close();
}
