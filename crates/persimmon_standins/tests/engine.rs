//! Tests of the engine stand-in over its HTTP interface.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use persimmon_standins::{Engine, EngineSwitch, Message, expected_answer, prompt_tokens};
use rstest::rstest;
use serde_json::{Value, json};

const DEADLINE: Duration = Duration::from_secs(10);

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

fn post(address: SocketAddr, path: &str, body: &Value) -> minreq::Response {
    let request = minreq::post(url(address, path)).with_body(body.to_string());
    request.with_timeout(DEADLINE.as_secs()).send().unwrap()
}

fn generate_body(request_id: &str, messages: &[Message], max_tokens: u32) -> Value {
    json!({"request_id": request_id, "model": "m", "messages": messages, "max_tokens": max_tokens})
}

fn generate(engine: &Engine, body: &Value) -> Vec<Value> {
    let reply = post(engine.address(), "/v1/generate", body);
    assert_eq!(reply.status_code, 200);
    reply.as_str().unwrap().lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

fn text(lines: &[Value]) -> String {
    lines.iter().filter_map(|line| line["token"]["text"].as_str()).collect()
}

fn wait_until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + DEADLINE;
    while !condition() {
        assert!(Instant::now() < deadline, "the condition wasn't met within {DEADLINE:?}");
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn generate_complete_answer() {
    let engine = Engine::builder("m").start().unwrap();
    let messages = [Message::new("user", "a week on the coast")];
    let lines = generate(&engine, &generate_body("r1", &messages, 20));
    assert_eq!(text(&lines), expected_answer(&messages, 20));
    assert_eq!(lines[0]["start"], json!({"prompt_tokens": 6, "cached_tokens": 0}));
    assert_eq!(lines[21]["end"], json!({"reason": "length", "completion_tokens": 20}));
    assert_eq!(engine.counts().runs["r1"], 1);
    engine.close();
}

#[test]
fn generate_resumed_answer_has_same_end() {
    let engine = Engine::builder("m").start().unwrap();
    let messages = [Message::new("user", "hello")];
    let mut body = generate_body("r1", &messages, 8);
    body["resume_from"] = 5.into();
    let lines = generate(&engine, &body);
    assert_eq!(lines[1]["token"]["index"], 5);
    assert!(expected_answer(&messages, 8).ends_with(&text(&lines)));
    engine.close();
}

#[rstest]
#[case::fits(1_000, true)]
#[case::too_small(1, false)]
fn cache_second_turn(#[case] cache_tokens: u64, #[case] reused: bool) {
    let engine = Engine::builder("m").with_cache_tokens(cache_tokens).start().unwrap();
    let mut messages = vec![Message::new("user", "hello there")];
    let answer = text(&generate(&engine, &generate_body("r1", &messages, 4)));
    messages.push(Message::new("assistant", answer));
    let known_tokens = if reused { prompt_tokens(&messages) } else { 0 };
    messages.push(Message::new("user", "go on"));
    let lines = generate(&engine, &generate_body("r2", &messages, 4));
    assert_eq!(lines[0]["start"]["cached_tokens"], known_tokens);
    engine.close();
}

#[test]
fn cache_exported_and_imported() {
    let [from, to] = [(), ()].map(|()| Engine::builder("m").start().unwrap());
    let messages = [Message::new("user", "hello there")];
    generate(&from, &generate_body("r1", &messages, 1));
    let events = minreq::get(url(from.address(), "/v1/cache/events?after=0")).send().unwrap();
    let events: Value = serde_json::from_slice(events.as_bytes()).unwrap();
    // The cache publishes the longest prefix first.
    let prefix = events["events"][1]["prefix"].as_str().unwrap();
    let exported = minreq::get(url(from.address(), &format!("/v1/cache/export/{prefix}")));
    let exported = exported.send().unwrap().into_bytes();
    let import = minreq::post(url(to.address(), &format!("/v1/cache/import/{prefix}")));
    assert_eq!(import.with_body(exported).send().unwrap().status_code, 200);
    let lines = generate(&to, &generate_body("r2", &messages, 1));
    assert_eq!(lines[0]["start"]["cached_tokens"], 3);
    from.close();
    to.close();
}

#[test]
fn generate_full_slots_urgent_first() {
    let engine = Engine::builder("m").with_slots(1).with_queue(2).start().unwrap();
    engine.switch(EngineSwitch::HoldAfter { tokens: 0 });
    let address = engine.address();
    let messages = [Message::new("user", "hello")];
    let mut callers = Vec::new();
    for (index, priority) in [1, 2, 0].into_iter().enumerate() {
        let mut body = generate_body(&format!("r{priority}"), &messages, 2);
        body["priority"] = priority.into();
        callers.push(thread::spawn(move || post(address, "/v1/generate", &body)));
        wait_until(|| {
            let load = minreq::get(url(address, "/v1/load")).send().unwrap();
            let load: Value = serde_json::from_slice(load.as_bytes()).unwrap();
            load["running"] == 1 && load["waiting"] == index
        });
    }
    let refused = post(address, "/v1/generate", &generate_body("r3", &messages, 2));
    assert_eq!(refused.status_code, 503);
    engine.switch(EngineSwitch::Up);
    for caller in callers {
        assert_eq!(caller.join().unwrap().status_code, 200);
    }
    let counts = engine.counts();
    let order: Vec<&str> = counts.admissions.iter().map(|one| one.request_id.as_str()).collect();
    assert_eq!(order, ["r1", "r0", "r2"]);
    assert_eq!((counts.most_running, counts.refused), (1, 1));
    engine.close();
}

#[test]
fn cancel_ends_stream() {
    let engine = Engine::builder("m").start().unwrap();
    engine.switch(EngineSwitch::HoldAfter { tokens: 1 });
    let address = engine.address();
    let body = generate_body("r1", &[Message::new("user", "hello")], 9);
    let caller = thread::spawn(move || post(address, "/v1/generate", &body));
    wait_until(|| engine.counts().runs.contains_key("r1"));
    let answer = post(address, "/v1/cancel", &json!({"request_id": "r1"}));
    assert_eq!(answer.as_str().unwrap(), r#"{"cancelled":true}"#);
    assert!(caller.join().unwrap().as_str().unwrap().contains(r#""reason":"cancelled""#));
    assert_eq!(engine.counts().cancelled, 1);
    engine.close();
}

#[test]
fn crash_cuts_streams_and_restarts() {
    let builder = Engine::builder("m").with_crash_marker("poison");
    let engine = builder.with_crash_downtime(Duration::from_millis(300)).start().unwrap();
    let before = engine.counts().incarnation;
    let body = generate_body("r1", &[Message::new("user", "poison")], 9);
    let sent = minreq::post(url(engine.address(), "/v1/generate")).with_body(body.to_string());
    assert!(!sent.send().is_ok_and(|reply| reply.as_str().unwrap().contains("\"end\"")));
    assert!(minreq::get(url(engine.address(), "/v1/health")).send().is_err());
    wait_until(|| minreq::get(url(engine.address(), "/v1/health")).send().is_ok());
    assert_eq!(engine.counts().incarnation, before + 1);
    engine.close();
}

#[rstest]
#[case::checked(true, 409)]
#[case::ignored(false, 200)]
fn order_old_fence(#[case] checks_fence: bool, #[case] status: u16) {
    let engine = Engine::builder("m").with_fence_check(checks_fence).start().unwrap();
    let order = |generation: u64| {
        let fence = json!({"generation": generation, "incarnation": 1});
        let body = json!({"fence": fence, "order": {"load_model": "n"}});
        post(engine.address(), "/v1/orders", &body).status_code
    };
    assert_eq!(order(2), 200);
    assert_eq!(order(1), status);
    engine.close();
}

#[rstest]
#[case::unknown_model(r#"{"request_id":"r","model":"x","messages":[],"max_tokens":1}"#, 404)]
#[case::malformed("{", 400)]
fn generate_refused(#[case] body: &str, #[case] status: u16) {
    let engine = Engine::builder("m").start().unwrap();
    let sent = minreq::post(url(engine.address(), "/v1/generate")).with_body(body);
    assert_eq!(sent.send().unwrap().status_code, status);
    assert!(engine.counts().admissions.is_empty());
    engine.close();
}
