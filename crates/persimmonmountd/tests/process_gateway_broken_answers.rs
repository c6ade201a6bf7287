//! Tests of gateway processes with answers that endpoints break off, in each framing.

use std::time::Duration;

use persimmon_decide::forward::StreamProgress;
use persimmon_platform::standin::{Answer, Behaviour, BodyEnd, BodyFraming, GatewayFixture};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const KEY: &str = GatewayFixture::KEY;
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
const CRLF_EVENTS: &str =
    "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\nid: 3\r\ndata: c\r\n\r\n";
/// Length of the first event.
const ONE_EVENT: usize = 15;
/// A length within the second event.
const INSIDE_EVENT: usize = 24;

/// Number of requests after which one of two endpoints has certainly been chosen.
const MAX_REQUESTS: usize = 100;

/// Starts one gateway before the endpoints `one` and `two`.
fn start() -> GatewayFixture {
    GatewayFixture::start(env!("CARGO_BIN_EXE_persimmonmountd"), 1, &["one", "two"]).unwrap()
}

/// Calls as HTTP/1.0, where a stream has neither a length nor chunks.
fn call_http_1_0(fixture: &GatewayFixture, path: &str, id: &str) -> Answer {
    let caller = fixture.deployment.caller(0).unwrap().request("POST", path, id).with_http_1_0();
    caller.with_key(KEY).with_deadline_ms(4_000).call("the body").unwrap()
}

fn body(framing: BodyFraming, body: &str, sent_bytes: usize, end: BodyEnd) -> Behaviour {
    Behaviour::Body { headers: "", framing, body: body.to_owned(), sent_bytes, end }
}

#[rstest]
#[case::length_closed(BodyFraming::Length, EVENTS, INSIDE_EVENT, BodyEnd::Closed)]
#[case::length_reset(BodyFraming::Length, EVENTS, INSIDE_EVENT, BodyEnd::Reset)]
#[case::length_between_events(BodyFraming::Length, EVENTS, ONE_EVENT, BodyEnd::Closed)]
#[case::chunked_closed(BodyFraming::Chunked, EVENTS, INSIDE_EVENT, BodyEnd::Closed)]
#[case::chunked_reset(BodyFraming::Chunked, EVENTS, INSIDE_EVENT, BodyEnd::Reset)]
#[case::chunked_between_events(BodyFraming::Chunked, EVENTS, ONE_EVENT, BodyEnd::Closed)]
#[case::chunked_last_chunk(BodyFraming::Chunked, EVENTS, INSIDE_EVENT, BodyEnd::Framed)]
#[case::until_close_closed(BodyFraming::UntilClose, EVENTS, INSIDE_EVENT, BodyEnd::Closed)]
#[case::until_close_reset(BodyFraming::UntilClose, EVENTS, INSIDE_EVENT, BodyEnd::Reset)]
#[case::until_close_reset_between(BodyFraming::UntilClose, EVENTS, ONE_EVENT, BodyEnd::Reset)]
#[case::until_close_after_line(BodyFraming::UntilClose, EVENTS, ONE_EVENT - 1, BodyEnd::Closed)]
#[case::until_close_crlf(BodyFraming::UntilClose, CRLF_EVENTS, INSIDE_EVENT, BodyEnd::Closed)]
#[case::until_close_no_event(BodyFraming::UntilClose, EVENTS, 0, BodyEnd::Closed)]
#[case::http_1_0_closed(BodyFraming::Http10, EVENTS, INSIDE_EVENT, BodyEnd::Closed)]
#[case::http_1_0_reset(BodyFraming::Http10, EVENTS, INSIDE_EVENT, BodyEnd::Reset)]
fn broken_off_stream_isnt_framed_as_complete(
    #[case] framing: BodyFraming,
    #[case] events: &str,
    #[case] sent_bytes: usize,
    #[case] end: BodyEnd,
) {
    let fixture = start();
    fixture.set_behaviours(&body(framing, events, sent_bytes, end));
    let answer = fixture.call(0, "/chat/x", "request-1").unwrap();
    assert!(!(answer.status == 200 && answer.is_complete), "{answer:?}");
    let runs = fixture.endpoints[0].received().len() + fixture.endpoints[1].received().len();
    assert_eq!(runs, 1, "a stream that may run only once was repeated");
    fixture.deployment.close();
}

#[rstest]
#[case::length(BodyFraming::Length, EVENTS, BodyEnd::Framed)]
#[case::chunked(BodyFraming::Chunked, EVENTS, BodyEnd::Framed)]
#[case::until_close(BodyFraming::UntilClose, EVENTS, BodyEnd::Closed)]
#[case::until_close_crlf(BodyFraming::UntilClose, CRLF_EVENTS, BodyEnd::Closed)]
#[case::http_1_0(BodyFraming::Http10, EVENTS, BodyEnd::Closed)]
fn whole_stream_is_framed_as_complete(
    #[case] framing: BodyFraming,
    #[case] events: &str,
    #[case] end: BodyEnd,
    #[values("/chat/x", "/draft/x")] path: &str,
) {
    let fixture = start();
    fixture.set_behaviours(&body(framing, events, events.len(), end));
    let answer = fixture.call(0, path, "request-1").unwrap();
    assert_eq!((answer.status, &*answer.body), (200, events));
    assert!(answer.is_complete);
    fixture.deployment.close();
}

#[rstest]
#[case::length(BodyFraming::Length, EVENTS, INSIDE_EVENT, BodyEnd::Closed)]
#[case::chunked(BodyFraming::Chunked, EVENTS, INSIDE_EVENT, BodyEnd::Closed)]
#[case::chunked_last_chunk(BodyFraming::Chunked, EVENTS, INSIDE_EVENT, BodyEnd::Framed)]
#[case::until_close_closed(BodyFraming::UntilClose, EVENTS, INSIDE_EVENT, BodyEnd::Closed)]
#[case::until_close_reset(BodyFraming::UntilClose, EVENTS, INSIDE_EVENT, BodyEnd::Reset)]
#[case::until_close_no_event(BodyFraming::UntilClose, EVENTS, 0, BodyEnd::Closed)]
#[case::http_1_0(BodyFraming::Http10, EVENTS, INSIDE_EVENT, BodyEnd::Closed)]
#[case::until_close_crlf(BodyFraming::UntilClose, CRLF_EVENTS, INSIDE_EVENT, BodyEnd::Closed)]
fn broken_off_resumable_stream_is_resumed(
    #[case] framing: BodyFraming,
    #[case] events: &str,
    #[case] sent_bytes: usize,
    #[case] end: BodyEnd,
) {
    let fixture = start();
    let whole = Behaviour::Stream { events: 3, pause: Duration::ZERO, cut_after: None };
    fixture.endpoints[1].set_behaviour(whole);
    fixture.endpoints[0].set_behaviour(body(framing, events, sent_bytes, end));
    // The gateway chooses at random between the two.
    let mut number = 0;
    while fixture.endpoints[0].received().is_empty() {
        assert!(number < MAX_REQUESTS, "no stream was broken off");
        let answer = fixture.call(0, "/draft/x", &format!("request-{number}")).unwrap();
        assert_eq!(answer.status, 200);
        let ids = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
        assert_eq!(ids.collect::<Vec<_>>(), ["1", "2", "3"], "{answer:?}");
        assert!(answer.is_complete);
        number += 1;
    }
    fixture.deployment.close();
}

/// The wrong bytes come in one read with the sound events before them. The other endpoint has
/// nothing after the third event, so an event that was dropped but counted would be missing from a
/// complete answer.
#[rstest]
#[case::second_answer("HTTP/1.1 200 x\r\nA: b\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n", 3)]
#[case::second_events("id: 1\ndata: a\n\n", 3)]
#[case::number_skipped("id: 5\ndata: e\n\n", 3)]
#[case::no_event("garbage", 3)]
#[case::after_two_events("id: 1\ndata: a\n\n", 2)]
fn sound_events_before_wrong_bytes_are_delivered(
    #[case] wrong: &str,
    #[case] sound_events: usize,
    #[values(BodyFraming::Length, BodyFraming::Chunked, BodyFraming::UntilClose)]
    framing: BodyFraming,
) {
    let events = format!("{}{wrong}", &EVENTS[..sound_events * ONE_EVENT]);
    check_resumed_after(framing, &events);
}

#[rstest]
fn sound_events_before_an_endless_one_are_delivered(
    #[values(BodyFraming::Length, BodyFraming::Chunked, BodyFraming::UntilClose)]
    framing: BodyFraming,
) {
    let events = format!("{EVENTS}data: {}", "x".repeat(StreamProgress::MAX_EVENT_BYTES + 1));
    check_resumed_after(framing, &events);
}

#[rstest]
fn sound_events_of_a_stream_that_cant_be_resumed_are_delivered(
    #[values(BodyFraming::Length, BodyFraming::Chunked, BodyFraming::UntilClose)]
    framing: BodyFraming,
) {
    let fixture = start();
    let events = format!("{EVENTS}data: {}", "x".repeat(StreamProgress::MAX_EVENT_BYTES + 1));
    fixture.set_behaviours(&body(framing, &events, events.len(), BodyEnd::Framed));
    let answer = fixture.call(0, "/chat/x", "request-1").unwrap();
    assert!(!answer.is_complete && answer.body.starts_with(EVENTS), "{answer:?}");
    fixture.deployment.close();
}

/// Checks that streams are whole while one of two endpoints sends `events` in one write.
fn check_resumed_after(framing: BodyFraming, events: &str) {
    let fixture = start();
    let whole = Behaviour::Stream { events: 3, pause: Duration::ZERO, cut_after: None };
    fixture.endpoints[1].set_behaviour(whole);
    let end = if framing == BodyFraming::UntilClose { BodyEnd::Closed } else { BodyEnd::Framed };
    fixture.endpoints[0].set_behaviour(body(framing, events, events.len(), end));
    let mut number = 0;
    while fixture.endpoints[0].received().is_empty() {
        assert!(number < MAX_REQUESTS, "no stream was broken off");
        let answer = fixture.call(0, "/draft/x", &format!("request-{number}")).unwrap();
        let ids = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
        assert_eq!(ids.collect::<Vec<_>>(), ["1", "2", "3"], "{answer:?}");
        assert_eq!((answer.status, answer.is_complete), (200, true), "{answer:?}");
        number += 1;
    }
    fixture.deployment.close();
}

#[rstest]
#[case::length_closed(BodyFraming::Length, BodyEnd::Closed)]
#[case::length_reset(BodyFraming::Length, BodyEnd::Reset)]
#[case::chunked_closed(BodyFraming::Chunked, BodyEnd::Closed)]
#[case::chunked_reset(BodyFraming::Chunked, BodyEnd::Reset)]
#[case::until_close_reset(BodyFraming::UntilClose, BodyEnd::Reset)]
#[case::http_1_0_reset(BodyFraming::Http10, BodyEnd::Reset)]
fn broken_off_short_answer_is_a_failure(
    #[case] framing: BodyFraming,
    #[case] end: BodyEnd,
    #[values("/commit/x", "/lookup/x")] path: &str,
) {
    let fixture = start();
    fixture.set_behaviours(&body(framing, "the whole answer", 7, end));
    let answer = fixture.call(0, path, "request-1").unwrap();
    assert_eq!(answer.status, 502, "{answer:?}");
    assert!(!answer.is_signed);
    fixture.deployment.close();
}

#[rstest]
#[case::until_close(BodyFraming::UntilClose)]
#[case::http_1_0(BodyFraming::Http10)]
fn short_answer_that_ends_with_its_connection_is_delivered(#[case] framing: BodyFraming) {
    let fixture = start();
    fixture.set_behaviours(&body(framing, "done", 4, BodyEnd::Closed));
    for number in 0..3 {
        let answer = fixture.call(0, "/commit/x", &format!("request-{number}")).unwrap();
        assert_eq!((answer.status, &*answer.body), (200, "done"));
        assert!(answer.is_complete && answer.is_signed);
    }
    fixture.deployment.close();
}

/// An answer without events on a route for streams ends as its framing says.
#[rstest]
#[case::length(BodyFraming::Length)]
#[case::chunked(BodyFraming::Chunked)]
#[case::until_close(BodyFraming::UntilClose)]
fn answer_of_another_type_on_a_stream_route_is_delivered(
    #[case] framing: BodyFraming,
    #[values("/chat/x", "/draft/x")] path: &str,
) {
    const JSON: &str = "{\"done\":true}";
    let fixture = start();
    fixture.set_behaviours(&Behaviour::Body {
        headers: "Content-Type: application/json\r\n",
        framing,
        body: JSON.to_owned(),
        sent_bytes: JSON.len(),
        end: BodyEnd::Framed,
    });
    let answer = fixture.call(0, path, "request-1").unwrap();
    assert_eq!((answer.status, &*answer.body, answer.is_complete), (200, JSON, true));
    fixture.deployment.close();
}

/// The body as forwarded would not be the endpoint's, since the coding applies to one connection.
#[rstest]
#[case::coding_and_chunks("Transfer-Encoding: gzip, chunked\r\n")]
#[case::coding_alone("Transfer-Encoding: gzip\r\n")]
fn answer_with_another_transfer_coding_is_a_failure(
    #[case] headers: &'static str,
    #[values("/commit/x", "/chat/x")] path: &str,
) {
    let fixture = start();
    // Chunked by hand, since the stand-in would add its own header.
    let body = format!("{:x}\r\n{EVENTS}\r\n0\r\n\r\n", EVENTS.len());
    let (framing, sent_bytes) = (BodyFraming::UntilClose, body.len());
    let end = BodyEnd::Closed;
    fixture.set_behaviours(&Behaviour::Body { headers, framing, body, sent_bytes, end });
    let answer = fixture.call(0, path, "request-1").unwrap();
    assert_eq!(answer.status, 502, "{answer:?}");
    fixture.deployment.close();
}

#[rstest]
#[case::chunked(BodyFraming::Chunked)]
#[case::until_close(BodyFraming::UntilClose)]
fn broken_off_stream_doesnt_look_complete_over_http_1_0(
    #[case] framing: BodyFraming,
    #[values(BodyEnd::Closed, BodyEnd::Reset)] end: BodyEnd,
) {
    let fixture = start();
    fixture.set_behaviours(&body(framing, EVENTS, INSIDE_EVENT, end));
    let answer = call_http_1_0(&fixture, "/chat/x", "request-1");
    assert!(!answer.is_complete, "{answer:?}");
    fixture.deployment.close();
}

#[rstest]
#[case::chat("/chat/x")]
#[case::draft("/draft/x")]
fn whole_stream_is_complete_over_http_1_0(#[case] path: &str) {
    let fixture = start();
    let events =
        Behaviour::Stream { events: 200, pause: Duration::from_millis(1), cut_after: None };
    fixture.set_behaviours(&events);
    let answer = call_http_1_0(&fixture, path, "request-1");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body.matches("id: ").count(), 200);
    fixture.deployment.close();
}

#[test]
fn stream_of_a_killed_gateway_doesnt_look_complete_over_http_1_0() {
    let mut fixture = start();
    fixture.set_behaviours(&Behaviour::Stream {
        events: 10_000,
        pause: Duration::from_millis(1),
        cut_after: None,
    });
    let caller = fixture.deployment.caller(0).unwrap().request("POST", "/chat/x", "request-1");
    let mut caller = caller.with_http_1_0().with_key(KEY).with_deadline_ms(4_000);
    caller.send("the body").unwrap();
    caller.wait_for("id: 3").unwrap();
    fixture.deployment.kill(0).unwrap();
    let ended = caller.read_to_close();
    assert!(ended.is_err(), "the connection closed in order");
    fixture.deployment.close();
}

/// Only an answer that ends in order with its connection, and between events, can't be told from a
/// whole one.
#[test]
fn stream_cut_anywhere_is_whole_or_visibly_broken() {
    const SEED: u64 = 17;
    const CASES: usize = 400;
    let framings =
        [BodyFraming::Length, BodyFraming::Chunked, BodyFraming::UntilClose, BodyFraming::Http10];
    let fixture = start();
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    for number in 0..CASES {
        let framing = framings[rng.random_range(0..framings.len())];
        let end = [BodyEnd::Framed, BodyEnd::Closed, BodyEnd::Reset][rng.random_range(0..3)];
        let sent_bytes = rng.random_range(0..=EVENTS.len());
        let is_http_1_0 = rng.random_ratio(1, 4);
        fixture.set_behaviours(&body(framing, EVENTS, sent_bytes, end));
        let id = format!("request-{number}");
        let answer = match is_http_1_0 {
            true => call_http_1_0(&fixture, "/chat/x", &id),
            false => fixture.call(0, "/chat/x", &id).unwrap(),
        };
        let is_between_events = sent_bytes > 0 && EVENTS[..sent_bytes].ends_with("\n\n");
        let ends_with_connection = matches!(framing, BodyFraming::UntilClose | BodyFraming::Http10);
        let looks_whole = match framing {
            BodyFraming::Chunked => {
                end == BodyEnd::Framed && (is_between_events || sent_bytes == 0)
            }
            _ => ends_with_connection && end != BodyEnd::Reset && is_between_events,
        };
        let claims_whole = answer.status == 200 && answer.is_complete;
        assert!(
            !claims_whole || answer.body == EVENTS || looks_whole,
            "case {number}: {framing:?}, {end:?} after {sent_bytes} bytes: {answer:?}"
        );
        if sent_bytes == EVENTS.len() && end == BodyEnd::Framed {
            assert!(claims_whole, "case {number}: {framing:?}: {answer:?}");
        }
    }
    fixture.deployment.close();
}
