//! Executes one call to a plain service: performs the actions of its [`Dispatch`] and reports the
//! resulting events to it.

use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use persimmon_decide::outcome::{
    Action, Cause, Dispatch, DispatchLimits, Event, FinalResult, Outcome, Repeatability, StreamEnd,
};
use persimmon_decide::{Attempt, MonoMs};
use persimmon_records::Class;
use persimmon_wire::{CallReply, ServiceCall};
use tokio::time::timeout;

use super::body::{self, Reply};
use super::command::{Command, PlannedEndpoint};
use super::context::TrafficCx;
use super::failure::Failure;
use super::head::Head;
use super::pool::Link;

/// Maximum number of times that a call is sent again to its owner over a new connection: once, in
/// case the pooled connection was lost while it was idle.
const MAX_RECONNECTS: u32 = 1;

/// A worker's answer to a call.
#[derive(Debug)]
struct Answer {
    status: u16,
    body: Arc<str>,
    /// Whether it is the recorded answer to an earlier send of the call.
    repeated: bool,
}

/// One call in progress.
pub(crate) struct CallExchange {
    cx: Rc<TrafficCx>,
    /// The call without the fields that differ between sends.
    call: ServiceCall,
    endpoints: Vec<PlannedEndpoint>,
    dispatch: Dispatch,
    deadline: MonoMs,
    /// The attempt of the last send.
    sent: Option<Attempt>,
    answer: Option<Answer>,
    /// The reason that the last worker gave for an unknown outcome.
    unknown: Option<String>,
}

impl CallExchange {
    /// Creates an exchange whose call hasn't been sent. A call with a claim goes only to the
    /// claim's owner.
    pub(crate) fn new(
        cx: Rc<TrafficCx>,
        head: &Head,
        endpoints: Vec<PlannedEndpoint>,
        call: ServiceCall,
    ) -> Self {
        let repeatability = match call.claim {
            Some(_) => Repeatability::Once,
            None => Repeatability::Repeatable,
        };
        let limits = DispatchLimits { max_reconnects: MAX_RECONNECTS, ..DispatchLimits::default() };
        let dispatch =
            Dispatch::new(repeatability, endpoints.len(), limits).with_sidecar_deduplication();
        let deadline = cx.clock.now().plus_ms(head.deadline_ms(Class::Quick));
        Self { cx, call, endpoints, dispatch, deadline, sent: None, answer: None, unknown: None }
    }

    /// Runs the call and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns a failure if the call was refused, or if it may have run without an answer.
    pub(crate) async fn run(mut self) -> Result<Response<Reply>, Failure> {
        let mut actions: VecDeque<_> = self.dispatch.start().into();
        while let Some(action) = actions.pop_front() {
            let event = match action {
                Action::Submit { candidate, attempt } => self.submit(candidate, attempt).await,
                Action::AskBudget => Event::Budget { granted: self.cx.ask_budget().await },
                Action::Finish(end) => return self.finish(&end),
                // No cancellation is sent: a call that may be repeated runs to its end.
                Action::Cancel { .. } => continue,
                // The dispatch doesn't request these, since sidecars deduplicate the call.
                Action::Resume { attempt, .. } | Action::Settle { attempt, .. } => {
                    Event::Lost { attempt }
                }
            };
            actions.extend(self.dispatch.handle(event));
        }
        Err(Failure::stopped())
    }

    async fn submit(&mut self, candidate: usize, attempt: Attempt) -> Event {
        let Some(endpoint) = self.endpoints.get(candidate).cloned() else {
            return Event::ConnectFailed { attempt };
        };
        // When an attempt is sent again, the pooled connection may be the one that was lost.
        let link = match self.sent == Some(attempt) {
            true => self.cx.pool.new_link(&endpoint).await,
            false => self.cx.pool.link(&endpoint).await,
        };
        let Some(link) = self.cx.link_or_suspect(&endpoint, link) else {
            return Event::ConnectFailed { attempt };
        };
        self.sent = Some(attempt);
        match self.send(&link).await {
            Some(reply) => self.on_reply(attempt, reply),
            None => self.on_connection_lost(&endpoint, attempt),
        }
    }

    /// Sends the call. Returns `None` if the deadline passed or the connection was lost before the
    /// reply.
    async fn send(&self, link: &Link) -> Option<CallReply> {
        let _link = link.keep_open();
        let left_ms = self.deadline.ms_since(self.cx.clock.now());
        let mut message = self.call.clone();
        message.id.stamp = link.stamp;
        message.deadline_ms = left_ms;
        let mut call = link.sidecar.call_request();
        message.write(call.get().init_call());
        let reply = tokio::select! {
            reply = timeout(Duration::from_millis(left_ms), call.send().promise) => reply.ok()?.ok()?,
            () = link.wait_until_silent() => return None,
        };
        CallReply::read(reply.get().ok()?.get_reply().ok()?).ok()
    }

    fn on_reply(&mut self, attempt: Attempt, reply: CallReply) -> Event {
        match reply {
            CallReply::Answered { status, body, repeated } => {
                self.answer = Some(Answer { status, body, repeated });
                Event::Ended { attempt, end: StreamEnd::Whole }
            }
            CallReply::Refused(refused) => {
                let retry_after_ms = (refused.retry_after_ms > 0).then_some(refused.retry_after_ms);
                Event::Refused { attempt, refusal: refused.refusal, retry_after_ms }
            }
            CallReply::Unknown(reason) => {
                self.unknown = Some(reason);
                match self.has_time() {
                    true => Event::Ended { attempt, end: StreamEnd::Cut },
                    false => Event::DeadlinePassed,
                }
            }
        }
    }

    fn on_connection_lost(&self, endpoint: &PlannedEndpoint, attempt: Attempt) -> Event {
        self.cx.pool.discard(&endpoint.name);
        if !self.has_time() {
            return Event::DeadlinePassed;
        }
        self.cx.send(Command::Suspect { endpoint: endpoint.hash });
        Event::Lost { attempt }
    }

    fn has_time(&self) -> bool {
        self.cx.clock.now() < self.deadline
    }

    fn finish(self, end: &FinalResult) -> Result<Response<Reply>, Failure> {
        self.cx.send(Command::Ended { outcome: end.outcome });
        let Some(answer) = self.answer.filter(|_| end.outcome == Outcome::Done) else {
            return Err(failure_of(end, self.call.claim.is_some(), self.unknown));
        };
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
        let mut response = body::json(status, answer.body.to_string());
        let repeated = HeaderValue::from_static(if answer.repeated { "true" } else { "false" });
        response.headers_mut().insert("persimmon-repeated", repeated);
        Ok(response)
    }
}

/// Returns the failure of a call without an answer. `unknown` is the reason that the last worker
/// gave for an unknown outcome.
fn failure_of(end: &FinalResult, has_claim: bool, unknown: Option<String>) -> Failure {
    match (end.cause, unknown) {
        (Cause::NoEndpoint, _) if has_claim => Failure::owner_gone(),
        (Cause::NoEndpoint, _) => Failure::no_worker(end.outcome),
        (Cause::Unreachable, Some(reason)) => {
            Failure::failed(StatusCode::BAD_GATEWAY, "unknown-outcome", Outcome::Unknown, reason)
        }
        _ => Failure::from_result(end),
    }
}
