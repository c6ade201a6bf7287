//! One request's way: read, route, decide, send, answer.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Request, Response, StatusCode};
use persimmon_decide::forward::{
    AttemptLog, AttemptOutcome, CallerLookup, Choice, Endpoint, FailureKind, NextStep, PickRequest,
    Repeatable, Route, RouteTable, Workspace,
};
use persimmon_decide::load::EndpointHash;
use persimmon_decide::{Fingerprint, MonoMs};
use tokio::sync::mpsc;

use crate::body::AnswerBody;
use crate::gateway::Gateway;
use crate::head::{RequestHead, number};
use crate::platform::Platform;
use crate::refusal::Refusal;
use crate::relay;
use crate::upstream::{Line, SendError};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Largest answer that is gathered whole before it is passed on, in bytes. A gathered answer that
/// breaks off can still be asked for again.
const MAX_GATHERED_BYTES: usize = 1024 * 1024;
/// Pieces of a stream that wait for the caller; a caller that doesn't read holds the endpoint back.
const STREAM_PIECES: usize = 8;
/// Time that an answer needs at least, in milliseconds; with less left, nothing is sent any more.
const MIN_ATTEMPT_MS: u64 = 15;
/// Time after which a caller may come back when no endpoint takes its request, in milliseconds:
/// about the time in which an endpoint that was unreachable is tried again.
const NO_ENDPOINT_RETRY_MS: u64 = 300;
/// Longest time that a connection after a broken one may take, in milliseconds: a few round trips
/// between zones. An endpoint that takes longer is taken for unreachable.
const BROKEN_CHECK_MS: u64 = 30;
/// Longest time that a request waits for a gateway that has just started, in milliseconds.
const START_WAIT_MS: u64 = 250;
/// Silence after which a call that may be repeated goes elsewhere, as a multiple of its route's
/// target, and at least, in milliseconds.
const PATIENCE_TARGETS: u64 = 2;
const MIN_PATIENCE_MS: u64 = 250;
/// Time between two looks at a request that waits longer, in milliseconds.
const LOOK_MS: u64 = 100;
/// Silence of an endpoint over all requests after which it counts as unreachable, in milliseconds.
/// A live engine sends something several times a second.
const ENDPOINT_SILENT_MS: u64 = 600;

/// What stays the same over all attempts of one request.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) head: RequestHead,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) workspace: Option<Workspace>,
    pub(crate) body: Bytes,
    pub(crate) content: Fingerprint,
    pub(crate) arrived: MonoMs,
    /// When the caller or the route's timeout gives the request up.
    pub(crate) deadline: MonoMs,
}

/// Counts a request at an endpoint while it is there.
#[derive(Debug)]
pub(crate) struct InFlight<P: Platform> {
    gw: Rc<Gateway<P>>,
    pub(crate) endpoint: Arc<Endpoint>,
    /// Tokens of its prompt that the endpoint has yet to read.
    unread_tokens: u32,
    began: MonoMs,
}

impl<P: Platform> InFlight<P> {
    fn begin(gw: &Rc<Gateway<P>>, choice: &Choice) -> Self {
        let endpoint = choice.endpoint.clone();
        let unread_tokens = choice.unread_tokens;
        let mut control = gw.control.borrow_mut();
        control.loads.begin(endpoint.hash, unread_tokens);
        let began = gw.clock.now();
        control.health.record_sent(endpoint.hash, began);
        Self { gw: gw.clone(), endpoint, unread_tokens, began }
    }

    /// The answer has begun, so the prompt has been read.
    fn record_head(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        self.gw.control.borrow_mut().loads.record_read(self.endpoint.hash, unread_tokens);
        self.record_heard();
    }

    /// Something was received.
    pub(crate) fn record_heard(&self) {
        self.gw.control.borrow_mut().health.record_heard(
            self.endpoint.hash,
            true,
            self.gw.clock.now(),
        );
    }
}

impl<P: Platform> Drop for InFlight<P> {
    fn drop(&mut self) {
        let mut control = self.gw.control.borrow_mut();
        let endpoint = self.endpoint.hash;
        control.loads.end(endpoint, self.unread_tokens);
        if control.loads.own(endpoint) == 0 {
            control.health.record_idle(endpoint);
        }
    }
}

/// Counts a caller's request while it is in progress.
#[derive(Debug)]
pub(crate) struct InProgress<P: Platform>(Rc<Gateway<P>>);

impl<P: Platform> InProgress<P> {
    fn begin(gw: &Rc<Gateway<P>>) -> Self {
        gw.control.borrow_mut().in_progress += 1;
        gw.metrics.in_progress.inc();
        Self(gw.clone())
    }
}

impl<P: Platform> Drop for InProgress<P> {
    fn drop(&mut self) {
        let mut control = self.0.control.borrow_mut();
        control.in_progress -= 1;
        control.quiet_since = self.0.clock.now();
        self.0.metrics.in_progress.dec();
    }
}

/// A stream whose head has arrived.
#[derive(Debug)]
pub(crate) struct OpenStream<P: Platform> {
    pub(crate) response: Response<Incoming>,
    pub(crate) line: Line,
    pub(crate) in_flight: InFlight<P>,
}

/// What an endpoint answered.
#[derive(Debug)]
pub(crate) enum Answered<P: Platform> {
    /// A whole answer, to be passed on as it is.
    Whole(Response<Bytes>),
    /// The start of a stream.
    Stream(Box<OpenStream<P>>),
}

/// One attempt that brought no good answer.
#[derive(Debug)]
struct Missed {
    outcome: AttemptOutcome,
    why: &'static str,
    /// The endpoint's own failure.
    failure: Option<Response<Bytes>>,
}

impl Missed {
    fn new(outcome: AttemptOutcome, why: &'static str) -> Self {
        Self { outcome, why, failure: None }
    }
}

/// Answers a caller's request.
pub(crate) async fn answer<P: Platform>(
    gw: &Rc<Gateway<P>>,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = gw.clock.now();
    let in_progress = InProgress::begin(gw);
    let (parts, body) = req.into_parts();
    let head = match RequestHead::read(&parts, gw.platform.headers()) {
        Ok(head) => head,
        Err(refusal) => return refuse(gw, "", refusal),
    };
    let id = head.id.clone();
    let plan = match plan(gw, head, body, arrived).await {
        Ok(plan) => Rc::new(plan),
        Err(refusal) => return refuse(gw, &id, refusal),
    };
    let mut exchange = Exchange::new(gw.clone(), plan, in_progress);
    let mut response = match exchange.open(None).await {
        Ok(Answered::Whole(response)) => {
            exchange.record_end("answered");
            response.map(AnswerBody::whole)
        }
        Ok(Answered::Stream(stream)) => start_relay(exchange, *stream),
        Err(refusal) => {
            exchange.record_end(refusal.name());
            refuse(gw, &id, refusal)
        }
    };
    remove_connection_headers(response.headers_mut());
    if gw.control.borrow().shutdown.is_leaving() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Passes a stream on by a task of its own, which ends when the caller stops reading.
fn start_relay<P: Platform>(
    exchange: Exchange<P>,
    mut stream: OpenStream<P>,
) -> Response<AnswerBody> {
    let mut head = Response::new(());
    *head.status_mut() = stream.response.status();
    *head.headers_mut() = std::mem::take(stream.response.headers_mut());
    let keep_s = keep_alive_s(head.headers());
    // The stream may be continued by another endpoint, whose part has another length.
    head.headers_mut().remove(CONTENT_LENGTH);
    let (tx, rx) = mpsc::channel(STREAM_PIECES);
    let task = tokio::task::spawn_local(relay::relay(exchange, stream, keep_s, tx));
    head.map(|()| AnswerBody::stream(rx, task.abort_handle()))
}

fn refuse<P: Platform>(gw: &Rc<Gateway<P>>, id: &str, refusal: Refusal) -> Response<AnswerBody> {
    gw.metrics.requests.with_label_values(&[refusal.name()]).inc();
    if let Some(suppressed) = gw.journal.admit(refusal.name(), gw.clock.now()) {
        let control = gw.control.borrow();
        let version = control.routes.as_ref().map(|routes| routes.version);
        tracing::info!(target: "request", id, reason = refusal.name(),
            status = refusal.status().as_u16(), routes = version,
            revision = control.view.revision(), suppressed, "refused");
    }
    let mut response = refusal.into_response();
    if gw.control.borrow().shutdown.is_leaving() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Routes a request, reads its body and decides whether it is taken.
async fn plan<P: Platform>(
    gw: &Rc<Gateway<P>>,
    head: RequestHead,
    body: Incoming,
    arrived: MonoMs,
) -> Result<Plan, Refusal> {
    wait_until_configured(gw).await;
    let routes = gw.control.borrow().routes.clone().ok_or(Refusal::NotConfigured)?;
    let (route, workspace) = find_route(&routes, &head)?;
    let deadline = deadline_of(&head, &route, arrived);
    check_leaving(gw, &route, deadline, arrived)?;
    let max_bytes = routes.limits.max_body_bytes;
    let body = read_body(gw, body, max_bytes, deadline).await?;
    let content = content_of(&head, workspace.as_ref(), &body);
    let now = gw.clock.now();
    let mut control = gw.control.borrow_mut();
    if control.crashes.refuses(content, now) {
        return Err(Refusal::Crashing);
    }
    let draw = control.draw();
    let service = route.service_for(draw).cloned();
    let service = service.ok_or(Refusal::NoEndpoint { retry_after_ms: NO_ENDPOINT_RETRY_MS })?;
    control.record_fresh(&service, now);
    Ok(Plan { head, route, service, workspace, body, content, arrived, deadline })
}

/// Holds a request that reached a gateway that has just started until it knows the routes, which
/// takes a few round trips.
async fn wait_until_configured<P: Platform>(gw: &Rc<Gateway<P>>) {
    let configured = gw.configured.notified();
    if gw.control.borrow().can_route() {
        return;
    }
    let limit = std::time::Duration::from_millis(START_WAIT_MS);
    // Without routes after that time, the request is refused.
    let _ = tokio::time::timeout(limit, configured).await;
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

/// Refuses a request that would not end before the process does.
fn check_leaving<P: Platform>(
    gw: &Rc<Gateway<P>>,
    route: &Route,
    deadline: MonoMs,
    now: MonoMs,
) -> Result<(), Refusal> {
    let control = gw.control.borrow();
    let most_ms = control.durations.most_ms(&route.name);
    match control.shutdown.takes(most_ms, deadline.ms_since(now), now) {
        true => Ok(()),
        false => Err(Refusal::Leaving),
    }
}

/// Reads the whole body, so that it can be sent again.
async fn read_body<P: Platform>(
    gw: &Rc<Gateway<P>>,
    body: Incoming,
    max_bytes: usize,
    deadline: MonoMs,
) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Refusal::BodyTooLarge);
    }
    let whole = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout_at(gw.clock.instant(deadline), whole).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) => Err(Refusal::BadRequest("the body broke off or can't be read")),
        Err(_) => Err(Refusal::TimedOut),
    }
}

/// Equal for every copy of a request that a caller sends again.
fn content_of(head: &RequestHead, workspace: Option<&Workspace>, body: &[u8]) -> Fingerprint {
    let mut all = Vec::with_capacity(body.len() + 128);
    all.extend_from_slice(head.target.to_string().as_bytes());
    all.push(0);
    all.extend_from_slice(workspace.map_or("", |it| &it.name).as_bytes());
    all.push(0);
    all.extend_from_slice(body);
    Fingerprint::of(&all)
}

/// Sends one request to endpoints until one answers it well or nothing more may be tried.
#[derive(Debug)]
pub(crate) struct Exchange<P: Platform> {
    pub(crate) gw: Rc<Gateway<P>>,
    pub(crate) plan: Rc<Plan>,
    log: AttemptLog,
    tried: Vec<EndpointHash>,
    sends: u32,
    is_answered: bool,
    _in_progress: InProgress<P>,
}

impl<P: Platform> Exchange<P> {
    fn new(gw: Rc<Gateway<P>>, plan: Rc<Plan>, in_progress: InProgress<P>) -> Self {
        let log = AttemptLog::new(plan.route.repeatable, plan.route.max_attempts);
        let (tried, sends) = (Vec::new(), 0);
        Self { gw, plan, log, tried, sends, is_answered: false, _in_progress: in_progress }
    }

    /// Milliseconds until the request is given up.
    pub(crate) fn left_ms(&self) -> u64 {
        self.plan.deadline.ms_since(self.gw.clock.now())
    }

    /// Gets an answer. `last_event` is the last event that the caller has of this stream.
    ///
    /// # Errors
    ///
    /// The request failed for good.
    pub(crate) async fn open(&mut self, last_event: Option<u64>) -> Result<Answered<P>, Refusal> {
        loop {
            let choice = self.choose()?;
            let missed = match self.attempt(&choice, last_event).await {
                Ok(answered) => {
                    self.record_first_answer(&choice);
                    return Ok(answered);
                }
                Err(missed) => missed,
            };
            if let Some(response) = self.after_miss(&choice.endpoint, missed)? {
                return Ok(Answered::Whole(response));
            }
        }
    }

    fn choose(&self) -> Result<Choice, Refusal> {
        let mut control = self.gw.control.borrow_mut();
        let draw = control.draw();
        let plan = &self.plan;
        let parts = if plan.route.has_prompt { &plan.head.parts[..] } else { &[] };
        let req = PickRequest {
            service: &plan.service,
            parts,
            tried: &self.tried,
            zone: &self.gw.settings.zone,
            draw,
        };
        let now = self.gw.clock.now();
        let choice = control.pick(&req, now).ok_or(match self.log.may_have_run() {
            true => Refusal::Unknown,
            false => Refusal::NoEndpoint { retry_after_ms: NO_ENDPOINT_RETRY_MS },
        })?;
        let slots = choice.endpoint.slots;
        let wait_ms = control.waiting_time.wait_ms(&plan.service, choice.load, slots);
        // A stream's caller waits for its start only.
        let answer_ms = match plan.route.is_stream {
            true => 0,
            false => control.waiting_time.mean_ms(&plan.service),
        };
        let is_late = wait_ms + answer_ms > plan.deadline.ms_since(now);
        if self.sends == 0 && wait_ms > 0 && is_late {
            return Err(Refusal::Overloaded { retry_after_ms: wait_ms });
        }
        Ok(choice)
    }

    /// Decides what follows an attempt that brought no good answer: nothing returned means that
    /// another endpoint is tried.
    pub(crate) fn record_miss(
        &mut self,
        endpoint: &Arc<Endpoint>,
        outcome: AttemptOutcome,
        why: &'static str,
    ) -> NextStep {
        let now = self.gw.clock.now();
        let has_time = self.left_ms() >= MIN_ATTEMPT_MS;
        let mut control = self.gw.control.borrow_mut();
        if !self.tried.contains(&endpoint.hash) {
            self.tried.push(endpoint.hash);
        }
        if outcome != AttemptOutcome::NotRun {
            control.health.record_outcome(endpoint.hash, false, now);
        }
        let has_budget = control.allows_repeat(&self.plan.service, now);
        let step = self.log.record(outcome, has_budget, has_time);
        self.gw.metrics.attempts.with_label_values(&[why]).inc();
        if let Some(suppressed) = self.gw.journal.admit("attempt", now) {
            tracing::info!(target: "request", id = &*self.plan.head.id,
                endpoint = &*endpoint.id, outcome = ?outcome, why, next = ?step, has_budget,
                left_ms = self.plan.deadline.ms_since(now), suppressed, "attempt failed");
        }
        step
    }

    fn after_miss(
        &mut self,
        endpoint: &Arc<Endpoint>,
        missed: Missed,
    ) -> Result<Option<Response<Bytes>>, Refusal> {
        match (self.record_miss(endpoint, missed.outcome, missed.why), missed.failure) {
            (NextStep::Retry, _) => Ok(None),
            (NextStep::Deliver, Some(response)) => Ok(Some(response)),
            (NextStep::Fail(FailureKind::NotRun), _) => {
                Err(Refusal::NoEndpoint { retry_after_ms: NO_ENDPOINT_RETRY_MS })
            }
            _ if self.left_ms() == 0 => Err(Refusal::TimedOut),
            _ => Err(Refusal::Unknown),
        }
    }

    async fn attempt(
        &mut self,
        choice: &Choice,
        last_event: Option<u64>,
    ) -> Result<Answered<P>, Missed> {
        let mut in_flight = InFlight::begin(&self.gw, choice);
        let deadline = self.gw.clock.instant(self.plan.deadline);
        let sent = tokio::time::timeout_at(deadline, self.send(choice, last_event)).await;
        let (response, line) = match sent {
            Ok(result) => result?,
            Err(_) if self.sends == 0 => {
                return Err(Missed::new(AttemptOutcome::NotSent, "deadline_before_send"));
            }
            Err(_) => return Err(Missed::new(AttemptOutcome::Unknown, "deadline")),
        };
        in_flight.record_head();
        self.classify(response, line, in_flight).await
    }

    /// Sends the request over an idle connection, or a new one, and waits for the answer's head.
    async fn send(
        &mut self,
        choice: &Choice,
        last_event: Option<u64>,
    ) -> Result<(Response<Incoming>, Line), Missed> {
        let endpoint = &choice.endpoint;
        let runs_once = self.plan.route.repeatable == Repeatable::Never;
        let idle = self.gw.upstream.take_idle(endpoint.hash, runs_once);
        let mut line = match idle {
            Some(line) => line,
            None => self.connect(endpoint).await?,
        };
        self.record_send(choice);
        loop {
            match self.wait_for_head(&mut line, choice, last_event).await {
                Ok(response) => return Ok((response, line)),
                Err(SendOrSilence::Send(SendError::NotSent)) if line.is_reused() => {
                    line = self.connect(endpoint).await?;
                }
                Err(failed) => return Err(self.miss(failed, choice).await),
            }
        }
    }

    fn record_send(&mut self, choice: &Choice) {
        let now = self.gw.clock.now();
        let mut control = self.gw.control.borrow_mut();
        if self.sends > 0 {
            control.record_repeated(&self.plan.service, now);
        }
        self.sends += 1;
        if self.plan.route.has_prompt {
            control.prefixes.record(&self.plan.head.parts, choice.endpoint.hash, now);
        }
    }

    async fn connect(&self, endpoint: &Arc<Endpoint>) -> Result<Line, Missed> {
        match self.gw.upstream.connect(endpoint.address).await {
            Ok(line) => Ok(line),
            Err(err) => {
                let now = self.gw.clock.now();
                let mut control = self.gw.control.borrow_mut();
                let ejected_ms = control.health.record_unreachable(endpoint.hash, now);
                control.crashes.record_refused(endpoint.hash, now);
                if let Some(suppressed) = self.gw.journal.admit("unreachable", now) {
                    tracing::warn!(target: "endpoint", endpoint = &*endpoint.id, %err, ejected_ms,
                        suppressed, "unreachable");
                }
                Err(Missed::new(AttemptOutcome::NotSent, "unreachable"))
            }
        }
    }

    async fn miss(&self, failed: SendOrSilence, choice: &Choice) -> Missed {
        match failed {
            SendOrSilence::Send(SendError::NotSent | SendError::NoConnection(_)) => {
                Missed::new(AttemptOutcome::NotSent, "not_sent")
            }
            SendOrSilence::Send(SendError::Broken(_)) => {
                self.record_broken(&choice.endpoint).await;
                Missed::new(AttemptOutcome::Unknown, "broken")
            }
            SendOrSilence::Silence => Missed::new(AttemptOutcome::Unknown, "silent"),
        }
    }

    /// The connection broke while the endpoint worked on this request. A new connection tells
    /// whether the endpoint has crashed; if not, the next request uses it.
    pub(crate) async fn record_broken(&self, endpoint: &Arc<Endpoint>) {
        let now = self.gw.clock.now();
        self.gw.control.borrow_mut().crashes.record_broken(self.plan.content, endpoint.hash, now);
        let limit = std::time::Duration::from_millis(BROKEN_CHECK_MS);
        match tokio::time::timeout(limit, self.connect(endpoint)).await {
            Ok(Ok(line)) => self.gw.upstream.put_idle(endpoint.hash, line, None),
            // Noted by `connect`.
            Ok(Err(_)) => {}
            Err(_) => {
                let now = self.gw.clock.now();
                self.gw.control.borrow_mut().health.record_unreachable(endpoint.hash, now);
            }
        }
    }

    async fn wait_for_head(
        &self,
        line: &mut Line,
        choice: &Choice,
        last_event: Option<u64>,
    ) -> Result<Response<Incoming>, SendOrSilence> {
        let request = self.request(choice, last_event);
        let patience_ms = self.patience_ms();
        let endpoint = choice.endpoint.hash;
        let mut sent = std::pin::pin!(line.send(request));
        let started = self.gw.clock.now();
        let mut check = started.plus_ms(patience_ms);
        loop {
            tokio::select! {
                biased;
                result = sent.as_mut() => return result.map_err(SendOrSilence::Send),
                () = tokio::time::sleep_until(self.gw.clock.instant(check)) => {
                    if self.gives_up(endpoint, started) {
                        return Err(SendOrSilence::Silence);
                    }
                    check = self.gw.clock.now().plus_ms(LOOK_MS);
                }
            }
        }
    }

    /// Time without an answer after which a request is looked at again, in milliseconds.
    fn patience_ms(&self) -> u64 {
        match self.plan.route.repeatable {
            Repeatable::FromLastEvent => {
                self.gw.control.borrow().patience.wait_ms(&self.plan.route.name)
            }
            _ => (self.plan.route.target_ms * PATIENCE_TARGETS).max(MIN_PATIENCE_MS),
        }
    }

    /// Whether a request that got nothing since `started` goes to another endpoint. One that may run
    /// once never does.
    pub(crate) fn gives_up(&self, endpoint: EndpointHash, started: MonoMs) -> bool {
        let now = self.gw.clock.now();
        let is_long = now.ms_since(started) >= self.patience_ms();
        let mut control = self.gw.control.borrow_mut();
        if control.health.silent_ms(endpoint, now) >= ENDPOINT_SILENT_MS {
            control.health.record_unreachable(endpoint, now);
        }
        let is_other = |hash| !self.tried.contains(&hash) && hash != endpoint;
        let has_others = control.directory.ready(&self.plan.service).any(|it| is_other(it.hash));
        is_long
            && self.plan.route.repeatable != Repeatable::Never
            && has_others
            && control.allows_repeat(&self.plan.service, now)
    }

    fn request(&self, choice: &Choice, last_event: Option<u64>) -> Request<Full<Bytes>> {
        let plan = &self.plan;
        let names = self.gw.platform.headers();
        let mut req = Request::new(Full::new(plan.body.clone()));
        *req.method_mut() = plan.head.method.clone();
        *req.uri_mut() = plan.head.target.clone();
        let headers = req.headers_mut();
        headers.clone_from(&plan.head.headers);
        headers.insert(&names.deadline_ms, number(self.left_ms()));
        let mut set = |name: &HeaderName, value: &str| match HeaderValue::from_str(value) {
            Ok(value) => {
                headers.insert(name, value);
            }
            Err(err) => {
                tracing::warn!(target: "request", id = &*plan.head.id, %name, %err, "header left out");
            }
        };
        set(&names.expected_endpoint, &choice.endpoint.id);
        if let Some(workspace) = &plan.workspace {
            set(&names.workspace, &workspace.name);
        }
        if let Some(source) = &choice.fetch_from {
            set(&names.fetch_cache_from, &source.address.to_string());
        }
        if let Some(last) = last_event {
            set(&names.last_event, &last.to_string());
        }
        if plan.route.has_prompt {
            let priority = plan.workspace.as_ref().and_then(|it| it.priority);
            let urgency = priority.unwrap_or(plan.route.priority).min(9);
            headers.insert(&names.urgency, number(u64::from(urgency)));
        }
        req
    }

    /// Tells a good answer from one that can't be passed on.
    async fn classify(
        &mut self,
        response: Response<Incoming>,
        line: Line,
        in_flight: InFlight<P>,
    ) -> Result<Answered<P>, Missed> {
        let names = self.gw.platform.headers();
        let headers = response.headers();
        let status = response.status();
        if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
            let why =
                if status == StatusCode::MISDIRECTED_REQUEST { "misdirected" } else { "refused" };
            self.keep_line(response, line, &in_flight).await;
            return Err(Missed::new(AttemptOutcome::NotRun, why));
        }
        let is_own = headers
            .get(&names.request_id)
            .is_some_and(|id| id.as_bytes() == self.plan.head.id.as_bytes());
        if !is_own {
            return Err(Missed::new(AttemptOutcome::Unknown, "foreign_answer"));
        }
        let is_signed = headers.contains_key(&names.signature);
        if status.is_success() && (!is_signed || headers.contains_key(CONTENT_ENCODING)) {
            return Err(Missed::new(AttemptOutcome::Unknown, "unsigned"));
        }
        if status.is_success() && self.plan.route.is_stream {
            return Ok(Answered::Stream(Box::new(OpenStream { response, line, in_flight })));
        }
        self.gather(response, line, in_flight).await
    }

    /// Reads an answer whole.
    async fn gather(
        &self,
        response: Response<Incoming>,
        line: Line,
        in_flight: InFlight<P>,
    ) -> Result<Answered<P>, Missed> {
        let keep_s = keep_alive_s(response.headers());
        let (parts, body) = response.into_parts();
        let deadline = self.gw.clock.instant(self.plan.deadline);
        let whole = Limited::new(body, MAX_GATHERED_BYTES).collect();
        let bytes = match tokio::time::timeout_at(deadline, whole).await {
            Ok(Ok(whole)) => whole.to_bytes(),
            Ok(Err(_)) => {
                self.record_broken(&in_flight.endpoint).await;
                return Err(Missed::new(AttemptOutcome::Unknown, "body_broken"));
            }
            Err(_) => return Err(Missed::new(AttemptOutcome::Unknown, "deadline")),
        };
        self.gw.upstream.put_idle(in_flight.endpoint.hash, line, keep_s);
        let status = parts.status;
        let response = Response::from_parts(parts, bytes);
        if status.is_server_error() {
            let outcome = AttemptOutcome::Failed;
            return Err(Missed { outcome, why: "failed", failure: Some(response) });
        }
        self.record_good(&in_flight);
        Ok(Answered::Whole(response))
    }

    /// An endpoint answered whole.
    pub(crate) fn record_good(&self, in_flight: &InFlight<P>) {
        let now = self.gw.clock.now();
        let mut control = self.gw.control.borrow_mut();
        control.health.record_outcome(in_flight.endpoint.hash, true, now);
        control.waiting_time.record(&self.plan.service, now.ms_since(in_flight.began));
    }

    /// Reads what is left of a short answer that isn't passed on, so that its connection can be used
    /// again.
    async fn keep_line(&self, response: Response<Incoming>, line: Line, in_flight: &InFlight<P>) {
        let keep_s = keep_alive_s(response.headers());
        let rest = Limited::new(response.into_body(), MAX_GATHERED_BYTES).collect();
        let limit = std::time::Duration::from_millis(MIN_ATTEMPT_MS);
        if let Ok(Ok(_)) = tokio::time::timeout(limit, rest).await {
            self.gw.upstream.put_idle(in_flight.endpoint.hash, line, keep_s);
        }
    }

    fn record_first_answer(&mut self, choice: &Choice) {
        if std::mem::replace(&mut self.is_answered, true) {
            return;
        }
        let now = self.gw.clock.now();
        let ms = now.ms_since(self.plan.arrived);
        self.gw.control.borrow_mut().patience.record(&self.plan.route.name, ms);
        let route = &*self.plan.route.name;
        self.gw.metrics.first_byte.with_label_values(&[route]).observe(ms as f64 / 1_000.0);
        if let Some(suppressed) = self.gw.journal.admit("answer", now) {
            let peers = self.gw.control.borrow().peers.gateways(now);
            tracing::info!(target: "request", id = &*self.plan.head.id, route,
                endpoint = &*choice.endpoint.id, load = choice.load,
                cached_tokens = choice.cached_tokens,
                fetch_from = choice.fetch_from.as_ref().map(|it| &*it.id), gateways = peers, ms,
                sends = self.sends, suppressed, "answer begins");
        }
    }

    /// The answer's stream broke off.
    pub(crate) fn record_cut(&self, why: &'static str) {
        let now = self.gw.clock.now();
        self.gw.metrics.requests.with_label_values(&[why]).inc();
        if let Some(suppressed) = self.gw.journal.admit(why, now) {
            tracing::info!(target: "request", id = &*self.plan.head.id, why,
                ms = now.ms_since(self.plan.arrived), sends = self.sends, suppressed, "answer cut");
        }
    }

    /// The request has ended.
    pub(crate) fn record_end(&self, outcome: &str) {
        let ms = self.gw.clock.now().ms_since(self.plan.arrived);
        if outcome == "answered" {
            self.gw.metrics.requests.with_label_values(&[outcome]).inc();
            let route = &self.plan.route.name;
            self.gw.metrics.whole_answer.with_label_values(&[route]).observe(ms as f64 / 1_000.0);
            self.gw.control.borrow_mut().durations.record(route, ms);
        }
    }
}

/// Why no head came over a connection.
#[derive(Debug)]
enum SendOrSilence {
    Send(SendError),
    /// The endpoint said nothing for too long.
    Silence,
}

/// The timeout of an idle connection that its other end states, in seconds.
pub(crate) fn keep_alive_s(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}

/// Removes headers that concern one connection only.
fn remove_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<_> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in
        listed.iter().chain(&[CONNECTION, KEEP_ALIVE, TE, TRAILER, TRANSFER_ENCODING, UPGRADE])
    {
        headers.remove(name);
    }
}
