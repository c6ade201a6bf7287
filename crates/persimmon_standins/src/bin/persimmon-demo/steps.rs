//! Demo steps that send one request at a time.

use std::error::Error;
use std::time::Instant;

use persimmon_standins::fleet::{CallError, ChatRequest, ChatStream};
use persimmon_standins::{Message, prompt_tokens};

use crate::demo_fleet::{DemoFleet, MODEL, SERVICE};
use crate::report::{Observation, StepResult};

/// Number of tokens of the streamed answer.
const STREAMED_TOKENS: u32 = 50;

/// Minimum share of a stream's duration that must follow its first token, in percent. A router or
/// sidecar that buffered tokens would lower the share.
const SPREAD_PERCENT: u128 = 80;

/// Reads events up to the first one with text and returns the text.
pub(crate) fn first_token(stream: &mut ChatStream) -> Result<String, Box<dyn Error>> {
    loop {
        let event = stream.next_event()?.ok_or("the stream ended before its first token")?;
        if !event.text().is_empty() {
            return Ok(event.text());
        }
    }
}

/// Returns the id that the router assigned to the request of `stream`.
pub(crate) fn request_id(stream: &ChatStream) -> Result<String, Box<dyn Error>> {
    let id = stream.header("Persimmon-Request-Id");
    Ok(id
        .ok_or_else(|| format!("the reply with status {} has no request id", stream.status()))?
        .to_owned())
}

/// Streams a chat through the first router. Checks that the answer is complete and that its tokens
/// arrive one by one.
pub(crate) fn streamed_chat(fleet: &DemoFleet) -> StepResult {
    let request = ChatRequest::new(MODEL, "a week in a guesthouse on the coast")
        .with_max_tokens(STREAMED_TOKENS);
    let sent_at = Instant::now();
    let mut stream = fleet.caller("router-1")?.stream(&request)?;
    let mut text = first_token(&mut stream)?;
    let first = sent_at.elapsed();
    let rest = stream.read_rest();
    let last = sent_at.elapsed();
    text.push_str(&rest.text);
    let is_complete = rest.done && text == request.expected_answer();
    let spread = (last - first).as_millis() * 100 >= last.as_millis() * SPREAD_PERCENT;
    let observed = format!(
        "{STREAMED_TOKENS} tokens, complete: {is_complete}, first after {} ms, last after {} ms",
        first.as_millis(),
        last.as_millis()
    );
    Ok(Observation::new(observed, is_complete && spread))
}

/// Sends the second turn of a chat through the other router. Checks that the engine had the prefix
/// cached.
pub(crate) fn returning_chat(fleet: &DemoFleet) -> StepResult {
    let first = ChatRequest::new(MODEL, "a long dossier about a house on the coast and its keys");
    let reply = fleet.caller("router-1")?.chat(&first)?;
    let chat = reply.header("Persimmon-Chat").ok_or("the first reply has no chat token")?;
    let mut messages = first.messages().to_vec();
    messages.push(Message::new("assistant", reply.text()));
    let known_tokens = prompt_tokens(&messages);
    messages.push(Message::new("user", "and the keys?"));
    let second = ChatRequest::with_messages(MODEL, messages).with_header("Persimmon-Chat", chat);
    let reply = fleet.caller("router-2")?.chat(&second)?;
    let request_id =
        reply.header("Persimmon-Request-Id").ok_or("the second reply has no request id")?;
    let counts = fleet.engine_counts()?;
    let mut admissions = counts.values().flat_map(|counts| &counts.admissions);
    let admission = admissions.find(|one| one.request_id == request_id);
    let admission = admission.ok_or("no engine ran the second turn")?;
    let is_complete = reply.text() == second.expected_answer();
    let observed = format!(
        "{} of {} prompt tokens cached, {known_tokens} expected, complete: {is_complete}",
        admission.cached_tokens, admission.prompt_tokens
    );
    Ok(Observation::new(observed, is_complete && admission.cached_tokens == known_tokens))
}

/// Books through the first router. Returns the booking too, for [`same_booking`].
pub(crate) fn booking(fleet: &DemoFleet) -> (StepResult, Option<Booking>) {
    match book(fleet) {
        Ok((observation, booking)) => (Ok(observation), Some(booking)),
        Err(error) => (Err(error), None),
    }
}

/// A claim and the confirmation of its call.
#[derive(Debug)]
pub(crate) struct Booking {
    claim: String,
    confirmation: String,
}

fn book(fleet: &DemoFleet) -> Result<(Observation, Booking), Box<dyn Error>> {
    let caller = fleet.caller("router-1")?;
    let reply = caller.claim(SERVICE, "week-14")?;
    let claim = reply.json()["claim"].as_str().map(str::to_owned);
    let claim = claim.ok_or_else(|| {
        format!("the reply has no claim: status {}, body {}", reply.status, reply.body)
    })?;
    let confirmation = confirm(fleet, "router-1", &claim)?;
    let runs = fleet.service_runs()?;
    let observed = format!("confirmed as {confirmation}, runs: {runs}");
    Ok((Observation::new(observed, runs == 1), Booking { claim, confirmation }))
}

/// Sends the same booking with the same claim through the other router. Checks that the service
/// didn't run it again.
pub(crate) fn same_booking(fleet: &DemoFleet, booking: &Option<Booking>) -> StepResult {
    let booking = booking.as_ref().ok_or("the booking failed, so it can't be sent again")?;
    let confirmation = confirm(fleet, "router-2", &booking.claim)?;
    let runs = fleet.service_runs()?;
    let observed = format!("confirmed as {confirmation}, runs in total: {runs}");
    Ok(Observation::new(observed, runs == 1 && confirmation == booking.confirmation))
}

fn confirm(fleet: &DemoFleet, router: &str, claim: &str) -> Result<String, Box<dyn Error>> {
    let caller = fleet.caller(router)?;
    let reply: Result<_, CallError> =
        caller.call_service(SERVICE, ("Persimmon-Claim", claim), "book");
    let reply = reply?;
    let confirmation = reply.json()["confirmation"].as_str().map(str::to_owned);
    Ok(confirmation.ok_or_else(|| {
        format!("the reply has no confirmation: status {}, body {}", reply.status, reply.body)
    })?)
}
