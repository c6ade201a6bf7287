//! Decisions about a request before it is sent: its route, its caller and whether to accept it.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use persimmon_decide::forward::{
    BodyLoss, CallerLookup, EndpointPauses, Rank, RequestSignature, Route, RouteTable, StreamKey,
    Workspace,
};
use persimmon_decide::{Fingerprint, MonoMs};

use crate::exchange::NO_ENDPOINT_RETRY_MS;
use crate::gateway::Gateway;
use crate::head::RequestHead;
use crate::platform::Platform;
use crate::refusal::Refusal;
use crate::shutdown::{self, Step};
use persimmon_process::CallerConnection;
use persimmon_process::ReadError;
use persimmon_process::{BodyBuffer, BodyError};

/// Delay after which a caller whose body was given up for lack of memory or connections may return, in
/// milliseconds. It is spread out. Other bodies are sent to endpoints, or given up as stalled, meanwhile.
const GIVEN_UP_RETRY_MS: u64 = 300;
/// Maximum time that a request waits for the routes after the gateway's start, in milliseconds.
const START_WAIT_MS: u64 = 1_000;
/// Divisor of the time until the caller's deadline; the wait doesn't exceed the quotient.
const START_WAIT_DIVISOR: u64 = 3;

/// Highest rank that engines distinguish.
const MAX_URGENCY: u64 = 9;

/// The data of a request that all its attempts share.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) head: RequestHead,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) workspace: Option<Workspace>,
    pub(crate) rank: Rank,
    pub(crate) body: Bytes,
    /// Keeps the memory of the body reserved while a retry may need it.
    _buffer: BodyBuffer,
    pub(crate) signature: RequestSignature,
    pub(crate) arrived: MonoMs,
    /// Time that the caller has probably spent on the request before, in milliseconds.
    pub(crate) spent_ms: u64,
    /// Time at which the caller's deadline or the route's timeout expires, whichever is earlier.
    pub(crate) deadline: MonoMs,
}

impl Plan {
    /// Sends the request to this service if its route allows it.
    pub(crate) fn prefer_service(&mut self, service: &Arc<str>) {
        if self.route.services.iter().any(|share| share.service == *service) {
            self.service = service.clone();
        }
    }

    /// Returns the request's urgency for an engine, from 0 (first) to 9.
    pub(crate) fn urgency(&self) -> u64 {
        (self.rank.position as u64).min(MAX_URGENCY)
    }

    /// Returns the key of the stream that the request begins or takes up again.
    pub(crate) fn stream(&self) -> StreamKey {
        let first_id = self.head.first_id.as_ref().unwrap_or(&self.head.id);
        StreamKey::of(&self.workspace_name(), first_id)
    }

    /// Returns the name of the caller's workspace; empty for a caller without a key.
    pub(crate) fn workspace_name(&self) -> Arc<str> {
        self.workspace.as_ref().map_or_else(|| "".into(), |it| it.name.clone())
    }
}

/// Routes a request of a caller, reads its body and decides whether to accept it.
pub(crate) async fn plan<P: Platform>(
    gw: &Rc<Gateway<P>>,
    head: RequestHead,
    body: &mut Incoming,
    caller: &CallerConnection,
    arrived: MonoMs,
) -> Result<Plan, Refusal> {
    wait_until_configured(gw, head.deadline_ms).await;
    let routes = gw.control.borrow().routes_in_force().ok_or(Refusal::NotConfigured)?;
    let (route, workspace) = find_route(&routes, &head)?;
    let deadline = deadline_of(&head, &route, arrived);
    shutdown::check(gw, Step::Arrival, &head.id, &route, deadline)?;
    let max_bytes = routes.limits.max_body_bytes;
    let buffer = BodyBuffer::begin(&gw.bodies, caller.address(), head.bytes);
    caller.record_body(buffer.key());
    let body = read_request_body(gw, &buffer, body, max_bytes, deadline).await?;
    let content = content_of(&head, workspace.as_ref(), &body);
    let signature = RequestSignature::new(content, &head.parts);
    let now = gw.clock.now();
    let mut control = gw.control.borrow_mut();
    if control.crashes.refuses(&signature, now) {
        control.crashes.record_turned_away(&signature, now);
        return Err(Refusal::Crashing);
    }
    let draw = control.draw();
    let service = route.service_for(draw).cloned();
    let service = service.ok_or(Refusal::NoEndpoint { retry_after_ms: NO_ENDPOINT_RETRY_MS })?;
    control.record_request(&service, now);
    let stated_ms = head.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let spent_ms = control.stated_deadlines.spent_ms(&route.name, stated_ms, arrived);
    let own_priority = workspace.as_ref().and_then(|it| it.priority);
    let rank = routes.rank(&service, own_priority, route.priority);
    Ok(Plan {
        head,
        route,
        service,
        workspace,
        rank,
        body,
        _buffer: buffer,
        signature,
        arrived,
        spent_ms,
        deadline,
    })
}

/// Waits until a gateway that has just started knows its routes and endpoints, which takes a few
/// round trips.
async fn wait_until_configured<P: Platform>(gw: &Rc<Gateway<P>>, deadline_ms: Option<u64>) {
    let part_ms = deadline_ms.map_or(u64::MAX, |ms| ms / START_WAIT_DIVISOR);
    let until = gw.clock.now().plus_ms(START_WAIT_MS.min(part_ms));
    let until = gw.clock.instant(until).into();
    while !gw.control.borrow().can_route() {
        let configured = gw.configured.notified();
        // If the wait times out without routes, `plan` refuses the request.
        if tokio::time::timeout_at(until, configured).await.is_err() {
            return;
        }
    }
}

fn find_route(
    routes: &RouteTable,
    head: &RequestHead,
) -> Result<(Arc<Route>, Option<Workspace>), Refusal> {
    let route = routes.find(&head.host, head.target.path()).ok_or(Refusal::NoRoute)?;
    match routes.caller(route, head.key.as_deref()) {
        CallerLookup::Known(workspace) => Ok((route.clone(), Some(workspace))),
        CallerLookup::Anonymous => Ok((route.clone(), None)),
        CallerLookup::Unknown => Err(Refusal::UnknownKey),
    }
}

fn deadline_of(head: &RequestHead, route: &Route, arrived: MonoMs) -> MonoMs {
    let caller_ms = head.deadline_ms.unwrap_or(u64::MAX);
    arrived.plus_ms(caller_ms.min(route.timeout_ms))
}

/// Reads the whole body, so that a retry can send it again.
async fn read_request_body<P: Platform>(
    gw: &Rc<Gateway<P>>,
    buffer: &BodyBuffer,
    body: &mut Incoming,
    max_bytes: usize,
    deadline: MonoMs,
) -> Result<Bytes, Refusal> {
    let reading = buffer.read(body, max_bytes);
    let read = tokio::time::timeout_at(gw.clock.instant(deadline).into(), reading).await;
    match read.map_err(|_| Refusal::BodyTooSlow)? {
        Ok(body) => Ok(body),
        Err(BodyError::Read(ReadError::TooLong)) => Err(Refusal::BodyTooLarge),
        Err(BodyError::Read(ReadError::TooManyPieces)) => {
            Err(Refusal::BadRequest("the body consists of too many small chunks"))
        }
        Err(BodyError::Read(ReadError::Broken(_))) => {
            Err(Refusal::BadRequest("the body is incomplete or malformed"))
        }
        Err(BodyError::GivenUp(loss)) => Err(refuse_given_up(gw, loss)),
    }
}

/// Logs that a body was given up, and returns the refusal of its request.
fn refuse_given_up<P: Platform>(gw: &Gateway<P>, loss: BodyLoss) -> Refusal {
    if let Some(suppressed) = gw.log_limiter.admit("body_given_up", gw.clock.now()) {
        let memory = gw.memory.borrow();
        tracing::warn!(target: "request", bodies = memory.bodies().held_bytes(),
            max_bodies = memory.max_body_bytes(), answers = memory.answers().held_bytes(),
            connections = gw.callers.len(), suppressed,
            "memory is short or too many connections are open; a body was given up");
    }
    let draw = gw.control.borrow_mut().draw();
    let retry_after_ms = EndpointPauses::retry_after_ms(GIVEN_UP_RETRY_MS, draw);
    match loss {
        BodyLoss::Stalled => Refusal::BodyStalled,
        BodyLoss::NoMemory => Refusal::NoMemory { retry_after_ms },
        BodyLoss::NoConnection => Refusal::NoConnection { retry_after_ms },
    }
}

/// Returns a fingerprint that is equal for a request and its repetitions by the caller.
fn content_of(head: &RequestHead, workspace: Option<&Workspace>, body: &[u8]) -> Fingerprint {
    let target = head.target.to_string();
    let workspace = workspace.map_or("", |it| &it.name);
    Fingerprint::of_parts(&[target.as_bytes(), &[0], workspace.as_bytes(), &[0], body])
}
