//! Tests that one trace id passes from the caller through router and sidecar to the endpoint.

use std::time::Duration;

use persimmon_standins::Engine;
use persimmon_standins::fleet::{ChatRequest, Fleet, wait_until};
use rstest::rstest;

const MODEL: &str = "chat-large";
const SERVICE: &str = "registry";
const GIVEN_TRACE_ID: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const GIVEN_TRACEPARENT: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

/// Maximum time until a process writes a log line.
const LOG_DEADLINE: Duration = Duration::from_secs(5);

fn start_fleet() -> Fleet {
    Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_router("router-1", "zone-a")
        .with_engine("engine-1", "zone-a", Engine::builder(MODEL))
        .with_service("registry-1", "zone-a", SERVICE)
        .start()
        .unwrap()
}

/// Returns the trace id and the parent's span id of a `traceparent`.
fn parts(traceparent: &str) -> (String, String) {
    let parts: Vec<&str> = traceparent.split('-').collect();
    assert_eq!(parts.len(), 4, "{traceparent} isn't a traceparent");
    (parts[1].to_owned(), parts[2].to_owned())
}

fn assert_logged(fleet: &Fleet, daemon: &str, trace_id: &str) {
    let logged = || fleet.daemons.log(daemon).unwrap().iter().any(|line| line.contains(trace_id));
    assert!(wait_until(LOG_DEADLINE, logged), "{daemon} never logged the trace {trace_id}");
}

#[rstest]
#[case::given(Some(GIVEN_TRACEPARENT))]
#[case::started_by_router(None)]
#[case::unreadable_is_started_anew(Some("00-xyz"))]
fn trace_id_at_every_hop_of_chat(#[case] traceparent: Option<&str>) {
    let fleet = start_fleet();
    let mut request = ChatRequest::new(MODEL, "a week on the coast");
    if let Some(traceparent) = traceparent {
        request = request.with_header("traceparent", traceparent);
    }
    let reply = fleet.caller("router-1").unwrap().chat(&request).unwrap();
    let (trace_id, _) = parts(reply.header("traceparent").unwrap());
    if traceparent == Some(GIVEN_TRACEPARENT) {
        assert_eq!(trace_id, GIVEN_TRACE_ID);
    }
    let admission = fleet.engine("engine-1").counts().admissions.remove(0);
    let (engine_trace_id, parent) = parts(&admission.traceparent.unwrap());
    assert_eq!(engine_trace_id, trace_id);
    assert_ne!(parent, "00f067aa0ba902b7", "the sidecar passed on the caller's span id");
    assert_logged(&fleet, "router-1", &trace_id);
    assert_logged(&fleet, "engine-1", &trace_id);
    fleet.close();
}

#[test]
fn trace_id_at_every_hop_of_call() {
    let fleet = start_fleet();
    let caller = fleet.caller("router-1").unwrap();
    let claim = caller.claim(SERVICE, "block-7").unwrap().json();
    let path = format!("/v1/services/{SERVICE}/calls");
    let call = caller
        .request(minreq::Method::Post, &path)
        .with_header("Persimmon-Claim", claim["claim"].as_str().unwrap())
        .with_header("traceparent", GIVEN_TRACEPARENT)
        .with_body(r#"{"operation":"allocate","body":{}}"#);
    let reply = caller.send(call).unwrap();
    assert_eq!(reply.status, 200, "{}", reply.body);
    let traceparents = fleet.service("registry-1").counts().traceparents;
    let (trace_id, _) = parts(traceparents.values().next().unwrap());
    assert_eq!(trace_id, GIVEN_TRACE_ID);
    assert_logged(&fleet, "router-1", GIVEN_TRACE_ID);
    assert_logged(&fleet, "registry-1", GIVEN_TRACE_ID);
    fleet.close();
}
