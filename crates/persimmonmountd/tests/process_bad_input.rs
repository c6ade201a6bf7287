//! Tests that bad input gets a clear 4xx status, reaches no endpoint and terminates no process.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use minreq::Method;
use persimmon_records::{UnixMs, WorkspaceBuilder};
use persimmon_standins::Engine;
use persimmon_standins::fleet::{CALLER_KEY, Caller, ChatRequest, Fleet, Reply};

const MODEL: &str = "chat-large";
const OTHER_MODEL: &str = "chat-small";
const SERVICE: &str = "booking";
const OTHER_SERVICE: &str = "registry";
const EXPIRED_KEY: &str = "wk-expired-for-tests";

const CHAT_PATH: &str = "/v1/chat/completions";
const CALLS_PATH: &str = "/v1/services/booking/calls";
const CLAIMS_PATH: &str = "/v1/services/booking/claims";
const GOOD_CHAT: &str =
    r#"{"model":"chat-large","messages":[{"role":"user","content":"hello"}],"max_tokens":4}"#;
const GOOD_CALL: &str = r#"{"operation":"book","body":{}}"#;

/// Body size just over the limit, so that a caller can send the whole body.
const OVERSIZED_BODY_BYTES: usize = 1024 * 1024 + 1;

/// Size over every limit on a head.
const OVERSIZED_HEAD_BYTES: usize = 1024 * 1024;

/// Read time-out of a raw reply.
const RAW_DEADLINE: Duration = Duration::from_secs(30);

/// A bad request and the expected status.
struct Case {
    name: &'static str,
    status: u16,
    key: &'static str,
    method: Method,
    path: String,
    headers: Vec<(&'static str, &'static str)>,
    body: String,
}

impl Case {
    fn new(name: &'static str, status: u16, path: &str, body: &str) -> Self {
        let (path, body) = (path.to_owned(), body.to_owned());
        Self { name, status, key: CALLER_KEY, method: Method::Post, path, headers: vec![], body }
    }

    fn with_header(mut self, name: &'static str, value: &'static str) -> Self {
        self.headers.push((name, value));
        self
    }

    fn with_key(mut self, key: &'static str) -> Self {
        self.key = key;
        self
    }

    fn with_method(mut self, method: Method) -> Self {
        self.method = method;
        self
    }

    fn send(&self, fleet: &Fleet) -> Reply {
        let caller = Caller::new(fleet.daemons.listen("router-1").unwrap(), self.key);
        let request = caller.request(self.method.clone(), &self.path);
        let request = request.with_headers(self.headers.iter().copied());
        caller.send(request.with_body(self.body.as_str())).unwrap()
    }
}

fn start_fleet() -> Fleet {
    let workspace = WorkspaceBuilder::new("swap-desk").with_key(CALLER_KEY).with_service(SERVICE);
    let expired = WorkspaceBuilder::new("expired").with_key(EXPIRED_KEY).with_model(MODEL);
    Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_router("router-1", "zone-a")
        .with_engine("engine-1", "zone-a", Engine::builder(MODEL))
        .with_engine("engine-2", "zone-a", Engine::builder(OTHER_MODEL))
        .with_service("booking-1", "zone-a", SERVICE)
        .with_service("registry-1", "zone-a", OTHER_SERVICE)
        .with_workspace(workspace.with_model(MODEL).build())
        .with_workspace(expired.with_expires_at(UnixMs(1)).build())
        .start()
        .unwrap()
}

fn chat_cases() -> Vec<Case> {
    let chat = |name, status, body: &str| Case::new(name, status, CHAT_PATH, body);
    let good = |name, status| Case::new(name, status, CHAT_PATH, GOOD_CHAT);
    let model = |model: &str| GOOD_CHAT.replace(MODEL, model);
    vec![
        good("unknown key", 401).with_key("wk-unknown"),
        good("empty key", 401).with_key(""),
        good("expired workspace", 403).with_key(EXPIRED_KEY),
        chat("unknown model", 404, &model("chat-none")),
        chat("model of others", 404, &model(OTHER_MODEL)),
        chat("empty body", 400, ""),
        chat("malformed body", 400, "{\"model\":"),
        chat("body of the wrong type", 400, "[1,2]"),
        chat("no messages", 400, r#"{"model":"chat-large","messages":[]}"#),
        chat("no tokens", 400, &GOOD_CHAT.replace(":4}", ":0}")),
        chat("negative tokens", 400, &GOOD_CHAT.replace(":4}", ":-1}")),
        chat("oversized body", 413, &" ".repeat(OVERSIZED_BODY_BYTES)),
        good("unknown class", 400).with_header("Persimmon-Class", "urgent"),
        good("zero deadline", 400).with_header("Persimmon-Deadline-Ms", "0"),
        good("malformed deadline", 400).with_header("Persimmon-Deadline-Ms", "soon"),
        good("short request id", 400).with_header("Persimmon-Request-Id", "12"),
        good("wrong method", 405).with_method(Method::Put),
        Case::new("unknown path", 404, "/v1/chat", GOOD_CHAT),
        Case::new("overlong path", 414, &format!("/v1/{}", "x".repeat(16_384)), GOOD_CHAT),
        Case::new("unknown answer", 400, "/v1/answers/00?offset=0", "").with_method(Method::Get),
    ]
}

fn service_cases() -> Vec<Case> {
    let call = |name, status, body: &str| Case::new(name, status, CALLS_PATH, body);
    vec![
        Case::new("claim without key", 400, CLAIMS_PATH, "{}"),
        Case::new("claim at unknown service", 404, "/v1/services/none/claims", "{}")
            .with_header("Idempotency-Key", "k"),
        Case::new("claim at service of others", 404, "/v1/services/registry/claims", "{}")
            .with_header("Idempotency-Key", "k"),
        Case::new("call of unknown service", 404, "/v1/services/none/calls", GOOD_CALL),
        call("call without claim", 400, GOOD_CALL),
        call("bad claim", 400, GOOD_CALL).with_header("Persimmon-Claim", "made-up"),
        call("malformed call", 400, "{").with_header("Idempotency-Key", "k"),
        call("call without operation", 400, "{}").with_header("Idempotency-Key", "k"),
        call("oversized call", 413, &" ".repeat(OVERSIZED_BODY_BYTES)),
        call("call with expired workspace", 403, GOOD_CALL).with_key(EXPIRED_KEY),
    ]
}

/// Returns what is wrong with the reply to `case`, if anything.
fn fault(case: &Case, reply: &Reply) -> Option<String> {
    let wrong =
        |what: &str| Some(format!("{}: {what}: {} {}", case.name, reply.status, reply.body));
    if reply.status != case.status {
        return wrong(&format!("expected status {}", case.status));
    }
    let Some(failure) = reply.failure() else {
        return wrong("the body contains no failure");
    };
    if failure.outcome != "not-run" || failure.kind.is_empty() || failure.message.is_empty() {
        return wrong("the failure is incomplete");
    }
    None
}

fn assert_no_endpoint_reached(fleet: &Fleet) {
    for (name, engine) in fleet.engines() {
        assert_eq!(engine.counts().generate_calls, 0, "{name} received a request");
    }
    for (name, service) in fleet.services() {
        assert_eq!(service.counts().calls, 0, "{name} received a request");
    }
}

fn assert_serves(fleet: &Fleet) {
    let request = ChatRequest::new(MODEL, "hello");
    let reply = fleet.caller("router-1").unwrap().chat(&request).unwrap();
    assert_eq!(reply.text(), request.expected_answer(), "{}", reply.body);
}

/// Sends `head` unchanged and returns the status of the reply.
fn raw_status(fleet: &Fleet, head: &[u8]) -> u16 {
    let mut stream = TcpStream::connect(fleet.daemons.listen("router-1").unwrap()).unwrap();
    stream.set_read_timeout(Some(RAW_DEADLINE)).unwrap();
    // The router may refuse the request before it has read everything.
    let _ = stream.write_all(head);
    let mut reply = [0; 12];
    stream.read_exact(&mut reply).unwrap();
    let reply = String::from_utf8_lossy(&reply).into_owned();
    reply.strip_prefix("HTTP/1.1 ").and_then(|status| status.trim().parse().ok()).unwrap_or(0)
}

#[test]
fn bad_requests_get_4xx_and_reach_no_endpoint() {
    let fleet = start_fleet();
    let cases: Vec<Case> = chat_cases().into_iter().chain(service_cases()).collect();
    let faults: Vec<String> =
        cases.iter().filter_map(|case| fault(case, &case.send(&fleet))).collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
    assert_no_endpoint_reached(&fleet);
    assert_serves(&fleet);
    fleet.close();
}

#[test]
fn malformed_heads_get_4xx_and_reach_no_endpoint() {
    let fleet = start_fleet();
    let long_header = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(OVERSIZED_HEAD_BYTES));
    let no_key = format!("POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    let heads: [(&[u8], u16); 4] = [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (long_header.as_bytes(), 431),
        (no_key.as_bytes(), 401),
    ];
    for (head, status) in heads {
        let start = String::from_utf8_lossy(&head[..head.len().min(40)]).into_owned();
        assert_eq!(raw_status(&fleet, head), status, "{start:?}");
    }
    assert_no_endpoint_reached(&fleet);
    assert_serves(&fleet);
    fleet.close();
}
