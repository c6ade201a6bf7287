//! Tests of gateway processes with answers that are none: those that an endpoint sends and resets while its
//! request is still being written, and those whose status isn't one of an answer.

use std::time::Duration;

use persimmon_platform::standin::{
    AttemptScript, Behaviour, BodyEnd, Deployment, EndpointStandin, GatewayFixture,
};
use rstest::rstest;

const EVENT_STREAM: &str = "Content-Type: text/event-stream\r\n";
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// Size of an upload, in bytes: more than the system buffers for a connection (4.3 MB).
const UPLOAD_BYTES: usize = 8_000_000;
const MAX_BODY_BYTES: u64 = 8_388_608;
/// Number of chunks of an upload without a length.
const CHUNKS: usize = 100;

fn start(max_body_bytes: Option<u64>) -> GatewayFixture {
    let mut deployment = Deployment::new(env!("CARGO_BIN_EXE_persimmonmountd"), 1).unwrap();
    deployment.set_retry_slack(100_000);
    if let Some(bytes) = max_body_bytes {
        deployment.set_max_body_bytes(bytes);
    }
    GatewayFixture::start_on(deployment, &["one", "two"]).unwrap()
}

fn runs(fixture: &GatewayFixture, id: &str) -> usize {
    let received = fixture.endpoints.iter().flat_map(EndpointStandin::received);
    received.filter(|it| it.id == id).count()
}

/// Guards against a part of an answer that passes for a whole one: without a length, only the connection's
/// error shows that it broke, and the error of writing the request must not hide it.
#[rstest]
fn early_answer_that_breaks_off_is_never_complete(
    #[values("/commit/x", "/lookup/x", "/chat/x", "/draft/x")] path: &str,
    #[values(false, true)] is_chunked: bool,
    #[values(BodyEnd::Framed, BodyEnd::Closed, BodyEnd::Reset)] end: BodyEnd,
) {
    let fixture = start(Some(MAX_BODY_BYTES));
    let is_stream = matches!(path, "/chat/x" | "/draft/x");
    let upload = "u".repeat(UPLOAD_BYTES);
    let chunks: Vec<_> = (0..CHUNKS).map(|_| &upload[..UPLOAD_BYTES / CHUNKS]).collect();
    let mut faults = Vec::new();
    for part in ["", "part of it", EVENTS] {
        for read_bytes in [0, 100_000] {
            for pause_ms in [0, 1, 30] {
                let headers = if is_stream { EVENT_STREAM } else { "" };
                let (part, pause) = (part.to_owned(), Duration::from_millis(pause_ms));
                let name = format!("{part:?} after {read_bytes} bytes, {pause_ms} ms");
                fixture.set_behaviours(&Behaviour::Early { headers, part, read_bytes, pause, end });
                let caller = fixture.deployment.caller(0).unwrap().request("POST", path, &name);
                let mut caller = caller.with_key(GatewayFixture::KEY).with_deadline_ms(4_000);
                match is_chunked {
                    true => caller.send_chunks(&chunks, Duration::ZERO).unwrap(),
                    false => caller.send(&upload).unwrap(),
                }
                // A connection that breaks before the answer's end shows that it is none.
                let Ok(Some(answer)) = caller.receive() else { continue };
                if answer.status < 400 && answer.is_complete {
                    faults.push(format!("{name}: {answer:?}"));
                }
            }
        }
    }
    let received = fixture.received_count();
    fixture.deployment.close();
    assert!(faults.is_empty(), "{} of {received}: {faults:#?}", faults.len());
    assert!(received > 0, "no upload reached an endpoint");
}

/// Statuses that no answer has. An interim answer isn't the last one of its request, and 101 answers no request
/// of a gateway, which asks for no other protocol.
const INVALID: [&str; 17] = [
    "000", "001", "099", "100", "101", "102", "103", "150", "199", "600", "601", "700", "999",
    "20", "2000", "abc", "",
];

fn invalid(status: &str, headers: &str) -> Behaviour {
    let bytes = format!("HTTP/1.1 {status} x\r\n{headers}Content-Length: 7\r\n\r\ninvalid");
    Behaviour::Raw { bytes, sent_bytes: None, end: BodyEnd::Closed }
}

/// Guards against statuses that reach a caller as an answer although none is defined for it. What such a
/// message says beside its status counts as little: a request that may have run isn't sent again.
#[rstest]
#[case::call_that_runs_once("/commit/x", false)]
#[case::stream_that_runs_once("/chat/x", false)]
#[case::call("/lookup/x", true)]
#[case::resumable_stream("/draft/x", true)]
fn invalid_status_is_no_answer(
    #[case] path: &str,
    #[case] is_repeatable: bool,
    #[values(
        "{signed}",
        "{not_run}Retry-After: 9\r\n",
        "{signed}Content-Type: text/event-stream\r\n"
    )]
    headers: &str,
) {
    let fixture = start(None);
    let sound = match path {
        "/draft/x" => Behaviour::Stream { events: 3, pause: Duration::ZERO, cut_after: None },
        _ => Behaviour::ok(),
    };
    let mut faults = Vec::new();
    for status in INVALID {
        let script = AttemptScript::new(&[invalid(status, headers), sound.clone()]);
        fixture.set_behaviours(&Behaviour::Attempts(script));
        let id = format!("request-{status}");
        let answer = fixture.call(0, path, &id).unwrap();
        let expected = if is_repeatable { (200, true, 2) } else { (502, true, 1) };
        let found = (answer.status, answer.is_complete, runs(&fixture, &id));
        if found != expected || answer.body.contains("invalid") {
            let log = fixture.deployment.log(0);
            let lines: Vec<_> = log.iter().filter(|line| line.contains(&id)).collect();
            faults.push(format!("{status:?}: {found:?}: {answer:?}: {lines:#?}"));
        }
    }
    fixture.deployment.close();
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

/// Guards against a connection that is used again after such a status: after 101 the endpoint may speak
/// another protocol on it.
#[rstest]
fn connection_isnt_reused_after_an_invalid_status(#[values(101, 600, 999)] status: u16) {
    const REQUESTS: u64 = 6;
    let fixture = start(None);
    fixture.set_behaviours(&Behaviour::Answer { status, body: String::new() });
    let before: u64 = fixture.endpoints.iter().map(EndpointStandin::connections).sum();
    for number in 0..REQUESTS {
        let answer = fixture.call(0, "/commit/x", &format!("request-{number}")).unwrap();
        assert_eq!(answer.status, 502, "{answer:?}");
    }
    let connections: u64 = fixture.endpoints.iter().map(EndpointStandin::connections).sum();
    fixture.deployment.close();
    assert!(connections - before >= REQUESTS, "{connections} connections, {before} before");
}

/// Interim answers come before an answer, which is delivered; what follows 101 isn't an answer.
#[rstest]
#[case::processing("102", 200)]
#[case::early_hints("103", 200)]
#[case::last_interim("199", 200)]
#[case::switching_protocols("101", 502)]
fn answer_after_an_interim_one(#[case] status: &str, #[case] expected: u16) {
    let fixture = start(None);
    let bytes = format!(
        "HTTP/1.1 {status} x\r\nX-Interim: 1\r\n\r\nHTTP/1.1 200 x\r\n{{signed}}Content-Length: 4\r\n\r\ndone"
    );
    fixture.set_behaviours(&Behaviour::Raw { bytes, sent_bytes: None, end: BodyEnd::Closed });
    let answer = fixture.call(0, "/commit/x", "request-1").unwrap();
    fixture.deployment.close();
    assert_eq!((answer.status, answer.is_complete), (expected, true), "{answer:?}");
}
