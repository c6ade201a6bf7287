//! Tests of gateway processes with endpoints that send a refusal twice: the second copy is nobody's
//! answer.

use std::thread;
use std::time::Duration;

use persimmon_platform::standin::{
    Answer, Behaviour, CopyMoment, EndpointStandin, GatewayFixture, Refusal,
};
use rstest::rstest;

/// Time between two requests; a second copy for an idle connection comes within it.
const REQUEST_GAP: Duration = Duration::from_millis(40);
/// Number of requests. After the first one, one of two endpoints gets at least three of them.
const REQUESTS: usize = 8;
/// Status codes that promise that the request hasn't run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
const FULL: Refusal =
    Refusal { status: 503, headers: "", body: "", is_named: false, has_interim: false, copy: None };

/// Starts one gateway before endpoints with these names.
fn start(names: &[&str]) -> GatewayFixture {
    GatewayFixture::start(env!("CARGO_BIN_EXE_persimmonmountd"), 1, names).unwrap()
}

fn id(number: usize) -> String {
    format!("request-{number}")
}

/// Returns how often endpoints have run a request.
fn runs(fixture: &GatewayFixture, id: &str) -> usize {
    let received = fixture.endpoints.iter().flat_map(EndpointStandin::received);
    received.filter(|it| it.ran && it.id == id).count()
}

/// Sends requests to two endpoints that refuse one each, twice, and returns the answers.
fn call_refused_twice(fixture: &GatewayFixture, path: &str, refusal: Refusal) -> Vec<Answer> {
    fixture.endpoints.iter().for_each(|it| it.queue_behaviour(Behaviour::Refuse(refusal)));
    let call = |number| {
        let answer = fixture.call(0, path, &id(number)).unwrap();
        thread::sleep(REQUEST_GAP);
        answer
    };
    (0..REQUESTS).map(call).collect()
}

/// Checks that no request ran twice or was refused although it ran, and that the answers are those to
/// their requests.
fn check(fixture: &GatewayFixture, answers: &[Answer]) {
    for (number, answer) in answers.iter().enumerate() {
        let runs = runs(fixture, &id(number));
        assert!(runs <= 1, "request {number} ran {runs} times: {answers:#?}");
        let is_refused = NOT_RUN.contains(&answer.status);
        assert!(!is_refused || runs == 0, "request {number} ran: {answers:#?}");
        if answer.status == 200 {
            assert_eq!((runs, answer.id.clone()), (1, Some(id(number))), "{answers:#?}");
        }
    }
}

#[rstest]
#[case::full(FULL)]
#[case::with_body(Refusal { body: "full", ..FULL })]
#[case::pause(Refusal { headers: "Retry-After: 0.1\r\n", ..FULL })]
#[case::interim(Refusal { has_interim: true, ..FULL })]
#[case::too_many(Refusal { status: 429, body: "too many", ..FULL })]
#[case::bad(Refusal { status: 400, ..FULL })]
#[case::misdirected(Refusal { status: 421, ..FULL })]
fn once_request_is_not_refused_by_copy(
    #[case] refusal: Refusal,
    #[values(false, true)] is_named: bool,
    #[values(
        CopyMoment::AtOnce,
        CopyMoment::Idle,
        CopyMoment::NextRequest,
        CopyMoment::SecondNextRequest
    )]
    moment: CopyMoment,
) {
    let fixture = start(&["one", "two"]);
    let refusal = Refusal { is_named, copy: Some(moment), ..refusal };
    let answers = call_refused_twice(&fixture, "/commit/x", refusal);
    check(&fixture, &answers);
    let count = |status| answers.iter().filter(|it| it.status == status).count();
    // A copy with an id shows only that the endpoint is faulty.
    let max_unknown = if is_named { fixture.endpoints.len() } else { 0 };
    assert!(count(502) <= max_unknown, "{answers:#?}");
    // Endpoints at whose addresses other processes answer aren't used for some seconds.
    assert!(count(200) > 0 || refusal.status == 421, "{answers:#?}");
    fixture.deployment.close();
}

/// Without another endpoint, a refusal is what the caller gets.
#[rstest]
fn running_request_is_not_refused_by_copy(
    #[values("/commit/x", "/lookup/x")] path: &str,
    #[values(CopyMoment::NextRequest, CopyMoment::SecondNextRequest)] copy: CopyMoment,
) {
    let fixture = start(&["one"]);
    let answers = call_refused_twice(&fixture, path, Refusal { copy: Some(copy), ..FULL });
    check(&fixture, &answers);
    assert!(answers[1..].iter().all(|it| it.status == 200), "{answers:#?}");
    fixture.deployment.close();
}

#[rstest]
#[case::lookup("/lookup/x")]
#[case::draft("/draft/x")]
#[case::chat("/chat/x")]
fn request_of_other_kind_is_not_refused_by_copy(
    #[case] path: &str,
    #[values(CopyMoment::NextRequest, CopyMoment::SecondNextRequest)] moment: CopyMoment,
) {
    let fixture = start(&["one", "two"]);
    let events =
        Behaviour::Mixed { events: 3, pause: Duration::from_millis(1), body: "done".to_owned() };
    fixture.set_behaviours(&events);
    let answers = call_refused_twice(&fixture, path, Refusal { copy: Some(moment), ..FULL });
    check(&fixture, &answers);
    // Both endpoints refuse the first request, and none after it.
    assert!(answers[1..].iter().all(|it| it.status == 200 && it.is_complete), "{answers:#?}");
    fixture.deployment.close();
}

/// An endpoint refuses a third of the requests, each once. A refusal with its request's id leaves the
/// connection open, since an endpoint pays for each new one.
#[rstest]
#[case::named(true)]
#[case::unnamed(false)]
fn refusal_ends_its_connection(#[case] is_named: bool) {
    const ROUNDS: usize = 60;
    let fixture = start(&["one"]);
    let refusal = Behaviour::Refuse(Refusal { is_named, ..FULL });
    let before = fixture.endpoints[0].connections();
    for number in 0..ROUNDS * 3 {
        if number % 3 == 0 {
            fixture.endpoints[0].queue_behaviour(refusal.clone());
        }
        let status = fixture.call(0, "/commit/x", &id(number)).unwrap().status;
        assert_eq!(status, if number % 3 == 0 { 503 } else { 200 }, "request {number}");
    }
    let opened = fixture.endpoints[0].connections() - before;
    println!("{opened} connections for {} requests", ROUNDS * 3);
    let max_opened = if is_named { 1 } else { ROUNDS as u64 + 1 };
    assert!(opened <= max_opened, "{opened} connections");
    fixture.deployment.close();
}
