//! Tests that each caller gets its own complete answer when connections go silent or are cut and
//! processes freeze or are killed.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use persimmon_standins::fleet::{CALLER_KEY, ChatRequest, ChatStream, Fleet, SseEvent, wait_until};
use persimmon_standins::{Direction, Engine, EngineSwitch, Relay};
use rstest::rstest;

const MODEL: &str = "chat-large";
const DEADLINE: Duration = Duration::from_secs(10);
/// Long enough that a fault occurs in the middle of the answer.
const TOKEN_INTERVAL: Duration = Duration::from_millis(40);
const TOKENS: u32 = 40;
/// Length of an answer that takes far longer than [`SLOT_RELEASE_LIMIT`].
const LONG_TOKENS: u32 = 4_000;
/// Maximum time until a request ends whose answer nobody reads: the time-out for silent readers,
/// with a margin for a busy machine.
const SLOT_RELEASE_LIMIT: Duration = Duration::from_secs(45);
const CONCURRENT_STREAMS: usize = 12;

/// Starts a fleet whose routers reach `engine-1` through the returned relay.
fn fleet() -> (Fleet, Relay) {
    let engine = || {
        Engine::builder(MODEL).with_slots(CONCURRENT_STREAMS).with_token_interval(TOKEN_INTERVAL)
    };
    let mut fleet = Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_router("router-1", "zone-a")
        .with_router("router-2", "zone-b")
        .with_engine("engine-1", "zone-a", engine())
        .start()
        .expect("the fleet starts");
    let relay = Relay::start(fleet.daemons.peer("engine-1").unwrap()).unwrap();
    let address = relay.address();
    fleet.publish_change(|records| records.endpoints[0].address = address);
    fleet.wait_in_force().unwrap();
    (fleet, relay)
}

fn request(content: &str) -> ChatRequest {
    ChatRequest::new(MODEL, content).with_max_tokens(TOKENS)
}

/// Starts a stream and reads until some text has arrived.
fn start_stream(fleet: &Fleet, router: &str, request: &ChatRequest) -> (ChatStream, Vec<SseEvent>) {
    let mut stream = fleet.caller(router).unwrap().stream(request).unwrap();
    assert_eq!(stream.status(), 200);
    let mut events = Vec::new();
    while text(&events).is_empty() {
        events.push(stream.next_event().unwrap().expect("a first token"));
    }
    (stream, events)
}

fn text(events: &[SseEvent]) -> String {
    events.iter().map(SseEvent::text).collect()
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    SilentToSidecar,
    SilentFromSidecar,
    Cut,
}

impl Fault {
    fn inject(self, relay: &Relay) {
        match self {
            Self::SilentToSidecar => relay.silence_open(Direction::ToTarget),
            Self::SilentFromSidecar => relay.silence_open(Direction::FromTarget),
            Self::Cut => relay.cut(),
        }
    }
}

#[rstest]
#[case::silent_to_sidecar(Fault::SilentToSidecar)]
#[case::silent_from_sidecar(Fault::SilentFromSidecar)]
#[case::cut(Fault::Cut)]
fn stream_through_fault(#[case] fault: Fault) {
    let (fleet, relay) = fleet();
    let request = request("a dossier for the guesthouse");
    let (stream, events) = start_stream(&fleet, "router-1", &request);
    let accepted = relay.accepted();
    fault.inject(&relay);
    let rest = stream.read_rest();
    assert!(rest.done, "the answer is incomplete: {:?}", rest.events.last());
    assert_eq!(text(&events) + &rest.text, request.expected_answer());
    assert!(relay.accepted() > accepted, "the stream wasn't resumed on a new connection");
    fleet.close();
    relay.close();
}

#[rstest]
#[case::silent(Fault::SilentFromSidecar)]
#[case::cut(Fault::Cut)]
fn concurrent_streams_through_fault(#[case] fault: Fault) {
    let (fleet, relay) = fleet();
    let requests: Vec<_> =
        (0..CONCURRENT_STREAMS).map(|number| request(&format!("dossier {number}"))).collect();
    let started: Vec<_> = requests
        .iter()
        .enumerate()
        .map(|(number, request)| {
            start_stream(&fleet, ["router-1", "router-2"][number % 2], request)
        })
        .collect();
    fault.inject(&relay);
    let reading = started
        .into_iter()
        .map(|(stream, events)| thread::spawn(move || (text(&events), stream.read_rest())));
    let read: Vec<_> =
        reading.collect::<Vec<_>>().into_iter().map(|one| one.join().unwrap()).collect();
    for (request, (first, rest)) in requests.iter().zip(read) {
        assert!(rest.done, "{:?}", rest.events.last());
        assert_eq!(
            first + &rest.text,
            request.expected_answer(),
            "a caller got an incorrect answer"
        );
    }
    fleet.close();
    relay.close();
}

#[test]
fn stream_with_sidecar_frozen() {
    let (fleet, relay) = fleet();
    let request = request("a reply to a family");
    let (stream, events) = start_stream(&fleet, "router-1", &request);
    let accepted = relay.accepted();
    fleet.daemons.freeze("engine-1").unwrap();
    assert!(
        wait_until(DEADLINE, || relay.accepted() > accepted),
        "the router didn't detect the silence"
    );
    fleet.daemons.thaw("engine-1").unwrap();
    let rest = stream.read_rest();
    assert!(rest.done, "{:?}", rest.events.last());
    assert_eq!(text(&events) + &rest.text, request.expected_answer());
    fleet.close();
    relay.close();
}

#[test]
fn stream_with_sidecar_killed() {
    let (mut fleet, relay) = fleet();
    let request = request("a draft that is lost");
    let (stream, events) = start_stream(&fleet, "router-1", &request);
    fleet.daemons.kill("engine-1").unwrap();
    let rest = stream.read_rest();
    let got = text(&events) + &rest.text;
    let expected = request.expected_answer();
    assert!(!rest.done && expected.starts_with(&got) && got != expected, "{got}");
    let last = rest.events.last().expect("an explicit failure");
    assert!(last.data.contains("\"outcome\":\"unknown\""), "{}", last.data);
    fleet.close();
    relay.close();
}

#[test]
fn stream_resumed_through_other_router() {
    let (mut fleet, relay) = fleet();
    let request = request("a chat that goes on");
    let (stream, events) = start_stream(&fleet, "router-1", &request);
    let token = stream.header("Persimmon-Answer").expect("an answer token").to_owned();
    let next = events.last().and_then(|event| event.id).expect("an offset") + 1;
    fleet.daemons.kill("router-1").unwrap();
    assert!(!stream.read_rest().done, "the stream completed without its router");
    let resumed = fleet.caller("router-2").unwrap().resume(&token, next).unwrap();
    assert_eq!(resumed.status(), 200);
    let rest = resumed.read_rest();
    assert!(rest.done, "{:?}", rest.events.last());
    assert_eq!(text(&events) + &rest.text, request.expected_answer());
    fleet.close();
    relay.close();
}

#[test]
fn stream_with_engine_cut() {
    let (fleet, relay) = fleet();
    let request = request("an answer that the engine leaves");
    let (stream, events) = start_stream(&fleet, "router-1", &request);
    fleet.engine("engine-1").switch(EngineSwitch::Crash);
    let rest = stream.read_rest();
    let got = text(&events) + &rest.text;
    assert!(!rest.done && request.expected_answer().starts_with(&got), "{got}");
    let last = rest.events.last().expect("an explicit failure");
    assert!(last.data.contains("\"outcome\":\"unknown\""), "{}", last.data);
    fleet.close();
    relay.close();
}

/// If a router is killed or frozen, nobody reads its answers, and the engine must free their slots.
#[rstest]
#[case::killed(true)]
#[case::frozen(false)]
fn slot_is_freed_after_router_loss(#[case] killed: bool) {
    let (mut fleet, relay) = fleet();
    let request =
        ChatRequest::new(MODEL, "a dossier that nobody reads").with_max_tokens(LONG_TOKENS);
    let (_stream, _) = start_stream(&fleet, "router-1", &request);
    if killed {
        fleet.daemons.kill("router-1").unwrap();
    } else {
        fleet.daemons.freeze("router-1").unwrap();
    }
    let has_ended = || {
        let counts = fleet.engine("engine-1").counts();
        counts.cancelled + counts.cut > 0
    };
    assert!(wait_until(SLOT_RELEASE_LIMIT, has_ended), "the engine didn't stop the request");
    assert_eq!(fleet.engine("engine-1").counts().finished, 0);
    fleet.close();
    relay.close();
}

/// Starts a stream as HTTP/1.0, where a response of unknown length ends with its connection.
fn start_http_1_0_stream(fleet: &Fleet, request: &ChatRequest) -> BufReader<TcpStream> {
    let mut writer = TcpStream::connect(fleet.daemons.listen("router-1").unwrap()).unwrap();
    writer.set_read_timeout(Some(DEADLINE)).unwrap();
    let body = request.body(true);
    let head = format!(
        "POST /v1/chat/completions HTTP/1.0\r\nHost: router\r\nAuthorization: Bearer {CALLER_KEY}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    writer.write_all(head.as_bytes()).unwrap();
    writer.write_all(body.as_bytes()).unwrap();
    BufReader::new(writer)
}

#[test]
fn stream_of_killed_router_doesnt_look_complete_over_http_1_0() {
    let (mut fleet, relay) = fleet();
    let mut reader = start_http_1_0_stream(&fleet, &request("a dossier"));
    let mut line = String::new();
    while !line.starts_with("data:") {
        line.clear();
        assert!(reader.read_line(&mut line).unwrap() > 0, "the stream ended");
    }
    fleet.daemons.kill("router-1").unwrap();
    let ended = reader.read_to_end(&mut Vec::new());
    assert!(ended.is_err(), "the connection closed in order");
    fleet.close();
    relay.close();
}

#[test]
fn whole_stream_closes_in_order_over_http_1_0() {
    let (fleet, relay) = fleet();
    let mut reader = start_http_1_0_stream(&fleet, &request("a dossier"));
    let mut text = String::new();
    reader.read_to_string(&mut text).unwrap();
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    fleet.close();
    relay.close();
}
