//! Tests of the whole request path through real processes: caller, router, sidecar and stand-ins.

use std::thread;

use persimmon_records::{Generation, RecordSet};
use persimmon_standins::fleet::{
    ChatRequest, Daemons, Fleet, IN_FORCE_DEADLINE, RECORDS_KEY, wait_until,
};
use persimmon_standins::{Engine, Message, Platform, prompt_tokens};
use rstest::rstest;

const MODEL: &str = "chat-large";
const SERVICE: &str = "booking";

/// Number of chats in progress at once.
const CONCURRENT_CHATS: usize = 12;

fn start_fleet() -> Fleet {
    Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_router("router-1", "zone-a")
        .with_router("router-2", "zone-b")
        .with_engine("engine-1", "zone-a", Engine::builder(MODEL).with_slots(8))
        .with_engine("engine-2", "zone-b", Engine::builder(MODEL).with_slots(8))
        .with_service("booking-1", "zone-a", SERVICE)
        .with_service("booking-2", "zone-b", SERVICE)
        .start()
        .unwrap()
}

#[rstest]
#[case::short(1)]
#[case::long(500)]
fn unstreamed_chat_is_complete(#[case] max_tokens: u32) {
    let fleet = start_fleet();
    let request = ChatRequest::new(MODEL, "a week on the coast").with_max_tokens(max_tokens);
    let reply = fleet.caller("router-1").unwrap().chat(&request).unwrap();
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(reply.text(), request.expected_answer());
    let request_id = reply.header("Persimmon-Request-Id").unwrap();
    let runs: u64 =
        fleet.engines().filter_map(|(_, one)| one.counts().runs.remove(request_id)).sum();
    assert_eq!(runs, 1);
    fleet.close();
}

#[rstest]
#[case::short(1)]
#[case::long(500)]
fn streamed_chat_is_complete(#[case] max_tokens: u32) {
    let fleet = start_fleet();
    let request = ChatRequest::new(MODEL, "keys for a house").with_max_tokens(max_tokens);
    let stream = fleet.caller("router-2").unwrap().stream(&request).unwrap();
    assert_eq!(stream.status(), 200);
    assert!(stream.header("Persimmon-Chat").is_some());
    let answer = stream.read_rest();
    assert!(answer.done, "the stream is incomplete");
    assert_eq!(answer.text, request.expected_answer());
    let offsets: Vec<u64> = answer.events.iter().filter_map(|event| event.id).collect();
    assert!(offsets.is_sorted_by(|a, b| a < b), "offsets don't increase: {offsets:?}");
    assert!(offsets.len() >= max_tokens as usize, "tokens without an offset");
    fleet.close();
}

#[test]
fn concurrent_chats_each_get_their_own_answer() {
    let fleet = start_fleet();
    let ask = |index: usize| {
        let router = if index.is_multiple_of(2) { "router-1" } else { "router-2" };
        let caller = fleet.caller(router).unwrap();
        let request = ChatRequest::new(MODEL, &format!("chat {index}")).with_max_tokens(64);
        move || {
            let stream = caller.stream(&request).unwrap();
            if stream.status() != 200 {
                return (stream.into_reply().unwrap().body, request.expected_answer());
            }
            (stream.read_rest().text, request.expected_answer())
        }
    };
    let asked: Vec<_> = (0..CONCURRENT_CHATS).map(|index| thread::spawn(ask(index))).collect();
    for chat in asked {
        let (text, expected) = chat.join().unwrap();
        assert_eq!(text, expected);
    }
    fleet.close();
}

#[test]
fn returning_chat_reuses_cache_through_other_router() {
    let fleet = start_fleet();
    let first = ChatRequest::new(MODEL, "a long dossier about a house on the coast");
    let reply = fleet.caller("router-1").unwrap().chat(&first).unwrap();
    let mut messages = first.messages().to_vec();
    messages.push(Message::new("assistant", reply.text()));
    let known_tokens = prompt_tokens(&messages);
    messages.push(Message::new("user", "and the keys?"));
    let chat = reply.header("Persimmon-Chat").unwrap();
    let second = ChatRequest::with_messages(MODEL, messages).with_header("Persimmon-Chat", chat);
    let reply = fleet.caller("router-2").unwrap().chat(&second).unwrap();
    assert_eq!(reply.text(), second.expected_answer());
    let request_id = reply.header("Persimmon-Request-Id").unwrap();
    let counts: Vec<_> = fleet.engines().map(|(_, engine)| engine.counts()).collect();
    let mut admissions = counts.iter().flat_map(|counts| &counts.admissions);
    let admission = admissions.find(|one| one.request_id == request_id).unwrap();
    assert_eq!(admission.cached_tokens, known_tokens, "ran at: {counts:#?}");
    fleet.close();
}

#[test]
fn booking_sent_again_through_other_router_runs_once() {
    let fleet = start_fleet();
    let [first, second] = ["router-1", "router-2"].map(|router| fleet.caller(router).unwrap());
    let claim = first.claim(SERVICE, "week-14").unwrap();
    assert_eq!(claim.status, 200, "{}", claim.body);
    let claim = claim.json()["claim"].as_str().unwrap().to_owned();
    let header = ("Persimmon-Claim", claim.as_str());
    let booked = first.call_service(SERVICE, header, "book").unwrap();
    let repeated = second.call_service(SERVICE, header, "book").unwrap();
    assert_eq!((booked.status, repeated.status), (200, 200), "{}", repeated.body);
    assert_eq!(booked.json()["confirmation"], repeated.json()["confirmation"]);
    let runs: u64 = fleet.services().flat_map(|(_, one)| one.counts().runs.into_values()).sum();
    assert_eq!(runs, 1);
    fleet.close();
}

#[test]
fn first_records_published_after_start_are_applied() {
    let platform = Platform::start().unwrap();
    let mut daemons = Daemons::new(env!("CARGO_BIN_EXE_persimmonmountd"), platform.address());
    daemons.start_router("router-1", "zone-a").unwrap();
    let has_asked = wait_until(IN_FORCE_DEADLINE, || platform.counts().values > 0);
    assert!(has_asked, "the router never requested records");
    let records = RecordSet { generation: Generation(1), ..RecordSet::empty() };
    platform.publish(RECORDS_KEY, records.to_text());
    daemons.wait_in_force(1, IN_FORCE_DEADLINE).unwrap();
    drop(daemons);
    platform.close();
}
