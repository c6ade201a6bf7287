//! One attempt at one endpoint: sends the request, waits for the answer and classifies it.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_ENCODING, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use persimmon_decide::forward::{
    AnswerOwner, AnswerType, AttemptEnd, Choice, Endpoint, FailureReason, Repeatable,
};
use thiserror::Error;

use super::{Answered, Exchange, FailedAttempt, MIN_ATTEMPT_MS, OpenStream, keep_alive_timeout_s};
use crate::answer_buffer::{BufferedAnswer, GivenUp};
use crate::framing::Framing;
use crate::head::number;
use crate::in_flight::InFlight;
use crate::open_requests::RequestStage;
use crate::platform::Platform;
use crate::upstream::{Connection, SendError};
use persimmon_process::{ReadError, discard_body, read_pieces};

/// Maximum size of an answer that is buffered before it is forwarded, in bytes. If a buffered
/// answer is cut off, the request can still be retried.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Media type of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// Timeout for the connection that checks an endpoint after another one broke, in milliseconds: a
/// few round trips between zones. After it, the endpoint counts as unreachable.
const RECONNECT_TIMEOUT_MS: u64 = 30;
/// Interval at which a request that has exceeded its timeout is checked again, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;

/// The reason why a request brought no response head.
#[derive(Debug)]
enum SendFailure {
    /// The connection broke. It had been idle for this time before; none for a new one.
    Broken { idle_ms: Option<u64> },
    /// Another reason.
    Other(FailureReason),
}

/// The reason why the body of an answer couldn't be read to its end.
#[derive(Debug, Error)]
enum AnswerError {
    #[error(transparent)]
    Read(#[from] ReadError),
    /// An endpoint that ends after the head of an answer without a length leaves the same as a whole answer
    /// without a body.
    #[error("the answer ended after its head")]
    Empty,
    /// The answer of unknown length ended before the endpoint had taken its request.
    #[error("the answer ended while its request was being written")]
    BeforeRequest,
    #[error(transparent)]
    GivenUp(#[from] GivenUp),
}

/// How reading an answer ended.
#[derive(Debug)]
enum ReadEnd {
    /// The answer is complete.
    Whole,
    /// Memory is short: this beginning and the rest are passed on as they arrive.
    PassedOn(Bytes),
}

impl From<FailureReason> for SendFailure {
    fn from(reason: FailureReason) -> Self {
        Self::Other(reason)
    }
}

/// The reason why no response head arrived on a connection.
#[derive(Debug)]
enum HeadError {
    Send(SendError),
    /// The endpoint sent nothing within the timeout.
    Silent,
}

impl<P: Platform> Exchange<P> {
    pub(super) async fn attempt(
        &mut self,
        choice: &Choice,
        last_event: Option<u64>,
    ) -> Result<Answered<P>, FailedAttempt> {
        let mut in_flight = InFlight::begin(&self.gw, choice, &self.plan.signature);
        let deadline = self.gw.clock.instant(self.plan.deadline).into();
        let sent = tokio::time::timeout_at(deadline, self.send(choice, last_event)).await;
        let (response, connection) = match sent {
            Ok(Ok(opened)) => opened,
            Ok(Err(SendFailure::Broken { idle_ms })) => {
                let reason = FailureReason::Broken;
                in_flight.close(AttemptEnd::Failed(reason));
                if self.check_broken(&choice.endpoint).await {
                    self.record_reset(&choice.endpoint, idle_ms);
                }
                return Err(reason.into());
            }
            Ok(Err(SendFailure::Other(reason))) => return Err(fail(in_flight, reason)),
            Err(_) if self.sends == 0 => {
                return Err(fail(in_flight, FailureReason::DeadlineBeforeSend));
            }
            Err(_) => return Err(fail(in_flight, FailureReason::Deadline)),
        };
        // Another process at the endpoint's address says nothing about the endpoint's health.
        if response.status() != StatusCode::MISDIRECTED_REQUEST {
            in_flight.record_head();
        }
        self.classify(response, connection, in_flight).await
    }

    /// Sends the request over an idle connection, or a new one, and waits for the response head.
    async fn send(
        &mut self,
        choice: &Choice,
        last_event: Option<u64>,
    ) -> Result<(Response<Incoming>, Connection), SendFailure> {
        let endpoint = &choice.endpoint;
        let runs_once = self.plan.route.repeatable == Repeatable::Never;
        let (max_idle_ms, keep_alive_ms) = {
            let (limit, now) = (&self.gw.control.borrow().idle_limit, self.gw.clock.now());
            let service = &self.plan.service;
            (limit.max_idle_ms(service, runs_once, now), limit.keep_alive_ms(service, now))
        };
        let idle = self.gw.upstream.take_idle(endpoint.hash, max_idle_ms, keep_alive_ms);
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.connect(endpoint).await?,
        };
        self.record_send(choice);
        loop {
            match self.wait_for_head(&mut connection, choice, last_event).await {
                Ok(response) => return Ok((response, connection)),
                Err(HeadError::Send(SendError::NotSent)) if connection.idle_ms().is_some() => {
                    connection = self.connect(endpoint).await?;
                }
                Err(HeadError::Send(SendError::NotSent | SendError::NoConnection(_))) => {
                    return Err(FailureReason::NotSent.into());
                }
                Err(HeadError::Send(SendError::Broken(_))) => {
                    return Err(SendFailure::Broken { idle_ms: connection.idle_ms() });
                }
                Err(HeadError::Send(SendError::InvalidStatus(status))) => {
                    self.log_invalid_status(&choice.endpoint, status);
                    return Err(FailureReason::InvalidStatus.into());
                }
                Err(HeadError::Silent) => return Err(FailureReason::Silent.into()),
            }
        }
    }

    fn log_invalid_status(&self, endpoint: &Endpoint, status: Option<StatusCode>) {
        let now = self.gw.clock.now();
        if let Some(suppressed) = self.gw.log_limiter.admit("invalid_status", now) {
            tracing::warn!(target: "endpoint", endpoint = &*endpoint.id, id = &*self.plan.head.id,
                status = status.map(|it| it.as_u16()), suppressed,
                "endpoint sent a status that no answer has");
        }
    }

    fn record_send(&mut self, choice: &Choice) {
        self.in_progress.set_stage(RequestStage::Sent);
        self.is_attempt_sent = true;
        let now = self.gw.clock.now();
        let mut control = self.gw.control.borrow_mut();
        if self.sends > 0 {
            control.record_retry(&self.plan.service, now);
        }
        self.sends += 1;
        if self.plan.route.has_prompt {
            control.prefixes.record(&self.plan.head.parts, choice.endpoint.hash, now);
        }
    }

    async fn connect(&self, endpoint: &Arc<Endpoint>) -> Result<Connection, FailureReason> {
        let result = self.gw.upstream.connect(endpoint.address).await;
        let now = self.gw.clock.now();
        let mut control = self.gw.control.borrow_mut();
        control.cold.record_connection(endpoint, result.is_ok(), now);
        match result {
            Ok(connection) => Ok(connection),
            Err(err) => {
                let ejected_ms = control.health.record_unreachable(endpoint.hash, now);
                // Without a route to the endpoint, nothing says that its process has ended.
                let is_blamed =
                    err.is_refused() && control.crashes.record_refused(endpoint.hash, now);
                drop(control);
                if is_blamed {
                    self.gw.digest_due.notify_one();
                    self.gw.log_newly_refused();
                    if let Some(suppressed) = self.gw.log_limiter.admit("blamed", now) {
                        tracing::warn!(target: "endpoint", endpoint = &*endpoint.id,
                            id = &*self.plan.head.id, suppressed,
                            "endpoint crashed while it ran a request");
                    }
                }
                if let Some(suppressed) = self.gw.log_limiter.admit("unreachable", now) {
                    tracing::warn!(target: "endpoint", endpoint = &*endpoint.id, %err, ejected_ms,
                        suppressed, "endpoint unreachable");
                }
                Err(FailureReason::Unreachable)
            }
        }
    }

    /// Records that the endpoint reset a connection although it accepts new ones. `idle_ms` is the
    /// time for which the connection had been idle; none for a new connection.
    fn record_reset(&self, endpoint: &Endpoint, idle_ms: Option<u64>) {
        let now = self.gw.clock.now();
        let mut control = self.gw.control.borrow_mut();
        let Some(idle_ms) = idle_ms else {
            return control.idle_limit.record_new_reset(&self.plan.service, now);
        };
        control.idle_limit.record_reset(&self.plan.service, idle_ms, now);
        if let Some(suppressed) = self.gw.log_limiter.admit("idle_reset", now) {
            let max_idle_ms = control.idle_limit.max_idle_ms(&self.plan.service, true, now);
            tracing::info!(target: "endpoint", endpoint = &*endpoint.id, idle_ms,
                most_ms = max_idle_ms, suppressed, "idle connection reset");
        }
    }

    /// Checks by a new connection whether an endpoint that broke an answer off has crashed; if not, the
    /// next request uses it. Returns whether it could be opened.
    pub(crate) async fn check_broken(&self, endpoint: &Arc<Endpoint>) -> bool {
        let limit = Duration::from_millis(RECONNECT_TIMEOUT_MS);
        let result = match tokio::time::timeout(limit, self.connect(endpoint)).await {
            Ok(Ok(connection)) => {
                self.gw.upstream.put_idle(endpoint.hash, connection, None);
                // It may have started again within that time.
                let now = self.gw.clock.now();
                self.gw.control.borrow_mut().cold.record_suspected(endpoint, now);
                "accepted"
            }
            // `connect` has recorded the failure.
            Ok(Err(_)) => "unreachable",
            Err(_) => {
                let now = self.gw.clock.now();
                self.gw.control.borrow_mut().health.record_unreachable(endpoint.hash, now);
                "timed_out"
            }
        };
        self.log_endpoint_check(endpoint, result);
        result == "accepted"
    }

    fn log_endpoint_check(&self, endpoint: &Endpoint, result: &'static str) {
        self.gw.metrics.endpoint.checks.with_label_values(&[result]).inc();
        let now = self.gw.clock.now();
        if let Some(suppressed) = self.gw.log_limiter.admit("endpoint_check", now) {
            let signature = &self.plan.signature;
            let parts: Vec<_> = signature.parts.iter().map(|it| format!("{it:x}")).collect();
            tracing::info!(target: "endpoint", endpoint = &*endpoint.id,
                id = &*self.plan.head.id, content = format!("{:016x}", signature.content.0),
                parts = parts.join(","), result, suppressed,
                "checked an endpoint that broke an answer off");
        }
    }

    async fn wait_for_head(
        &self,
        connection: &mut Connection,
        choice: &Choice,
        last_event: Option<u64>,
    ) -> Result<Response<Incoming>, HeadError> {
        let request = self.request(choice, last_event);
        let silence_timeout_ms = self.silence_timeout_ms();
        let endpoint = choice.endpoint.hash;
        let mut sent = std::pin::pin!(connection.send(request));
        let started = self.gw.clock.now();
        let mut check = started.plus_ms(silence_timeout_ms);
        loop {
            tokio::select! {
                biased;
                result = sent.as_mut() => return result.map_err(HeadError::Send),
                () = tokio::time::sleep_until(self.gw.clock.instant(check).into()) => {
                    if self.should_fail_over(endpoint, started) {
                        return Err(HeadError::Silent);
                    }
                    check = self.gw.clock.now().plus_ms(CHECK_INTERVAL_MS);
                }
            }
        }
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
                tracing::warn!(target: "request", id = &*plan.head.id, %name, %err,
                    "header omitted: its value is not valid");
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
            headers.insert(&names.urgency, number(plan.urgency()));
        }
        req
    }

    /// Checks whether an answer can be forwarded, and reads it unless it is a stream.
    async fn classify(
        &mut self,
        response: Response<Incoming>,
        connection: Connection,
        in_flight: InFlight<P>,
    ) -> Result<Answered<P>, FailedAttempt> {
        let names = self.gw.platform.headers();
        let headers = response.headers();
        let status = response.status();
        let answered = headers.get(&names.request_id).map(HeaderValue::as_bytes);
        let owner = AnswerOwner::of(answered, self.plan.head.id.as_bytes());
        // A late answer to an earlier request gives no information about this one.
        if owner == AnswerOwner::Other {
            return Err(fail(in_flight, FailureReason::ForeignAnswer));
        }
        self.record_statements(&in_flight, status, headers);
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        if is_misdirected || headers.contains_key(&names.not_run) {
            let reason = match is_misdirected {
                true => FailureReason::Misdirected,
                false => FailureReason::Refused,
            };
            // Refusals may lack the request id.
            if owner.keeps_connection() {
                self.drain_for_reuse(response, connection, &in_flight).await;
            }
            return Err(fail(in_flight, reason));
        }
        if owner == AnswerOwner::Unnamed {
            return Err(fail(in_flight, FailureReason::UnnamedAnswer));
        }
        let is_signed = headers.contains_key(&names.signature);
        if status.is_success() && (!is_signed || headers.contains_key(CONTENT_ENCODING)) {
            return Err(fail(in_flight, FailureReason::Unsigned));
        }
        let Ok(framing) = Framing::of(response.headers()) else {
            return Err(fail(in_flight, FailureReason::UnsupportedCoding));
        };
        if status.is_success() && self.plan.route.is_stream {
            return Ok(self.open_stream(response, framing, connection, in_flight)?);
        }
        self.read_complete_answer(response, framing, connection, in_flight).await
    }

    /// Reports whether an answer is a further part of a stream: the caller already has the answer's head, or
    /// takes the stream up again.
    fn continues_stream(&self) -> bool {
        let is_resumable = self.plan.route.repeatable == Repeatable::FromLastEvent;
        is_resumable && (self.is_answered || self.plan.head.last_event.is_some())
    }

    /// Returns the stream whose head has arrived. Fails if the answer can't be a part of the stream that the
    /// caller has begun to get.
    fn open_stream(
        &self,
        response: Response<Incoming>,
        framing: Framing,
        connection: Connection,
        in_flight: InFlight<P>,
    ) -> Result<Answered<P>, FailureReason> {
        let answer_type = answer_type(response.headers());
        let is_continued = self.continues_stream();
        if is_continued && !answer_type.continues_stream(response.status().as_u16()) {
            let now = self.gw.clock.now();
            if let Some(suppressed) = self.gw.log_limiter.admit("not_continued", now) {
                tracing::warn!(target: "request", id = &*self.plan.head.id,
                    endpoint = &*in_flight.endpoint().id, status = response.status().as_u16(),
                    ?answer_type, suppressed, "answer doesn't continue the stream");
            }
            let reason = FailureReason::NotContinued;
            in_flight.close(AttemptEnd::Failed(reason));
            return Err(reason);
        }
        let has_events = answer_type.has_events();
        let is_end_framed = framing.is_end_framed() || response.body().is_end_stream();
        let may_be_empty = answer_type.may_be_empty(is_end_framed, is_continued);
        Ok(Answered::Stream(Box::new(OpenStream {
            response,
            framing,
            has_events,
            may_be_empty,
            read: None,
            max_bytes: None,
            connection,
            in_flight,
        })))
    }

    /// Reads an answer completely before it is forwarded, unless memory is short. Fails if the
    /// endpoint reports an error.
    async fn read_complete_answer(
        &self,
        response: Response<Incoming>,
        framing: Framing,
        connection: Connection,
        in_flight: InFlight<P>,
    ) -> Result<Answered<P>, FailedAttempt> {
        let keep_alive_s = keep_alive_timeout_s(response.headers());
        let (parts, mut body) = response.into_parts();
        let may_be_empty =
            framing.is_end_framed() || body.is_end_stream() || !parts.status.is_success();
        let deadline = self.gw.clock.instant(self.plan.deadline).into();
        let mut answer =
            BufferedAnswer::begin(&self.gw.answers).with_passing_on(parts.status.is_success());
        let is_cut = || parts.status.is_success() && connection.has_cut(framing);
        let read = read_answer(&mut body, may_be_empty, is_cut, &mut answer);
        let read = tokio::time::timeout_at(deadline, read).await;
        let record_end = |end| {
            self.gw.metrics.answer_parts.with_label_values(&[framing.name(), end]).inc();
        };
        match read {
            Ok(Ok(ReadEnd::Whole)) => {}
            Ok(Ok(ReadEnd::PassedOn(read))) => {
                record_end("passed_on");
                let response = Response::from_parts(parts, body);
                let max_bytes = Some(MAX_BUFFERED_BYTES as u64);
                return Ok(Answered::Stream(Box::new(OpenStream {
                    response,
                    framing,
                    has_events: false,
                    may_be_empty: true,
                    read: Some(read),
                    max_bytes,
                    connection,
                    in_flight,
                })));
            }
            Ok(Err(err @ AnswerError::GivenUp(_))) => {
                record_end("no_memory");
                self.log_read_error(&err);
                return Err(fail(in_flight, FailureReason::NoMemory));
            }
            Ok(Err(err)) => {
                record_end("broken");
                self.log_read_error(&err);
                let (endpoint, reason) = (in_flight.endpoint().clone(), FailureReason::BodyBroken);
                in_flight.close(AttemptEnd::Failed(reason));
                self.check_broken(&endpoint).await;
                return Err(reason.into());
            }
            Err(_) => {
                record_end("deadline");
                return Err(fail(in_flight, FailureReason::Deadline));
            }
        }
        record_end("complete");
        self.gw.upstream.put_idle(in_flight.endpoint().hash, connection, keep_alive_s);
        let response = Response::from_parts(parts, answer);
        if response.status().is_server_error() {
            let failed = fail(in_flight, FailureReason::Failed);
            return Err(FailedAttempt { failure: Some(response), ..failed });
        }
        in_flight.close(AttemptEnd::Answered { is_end_framed: framing.is_end_framed() });
        Ok(Answered::Complete(response))
    }

    /// Logs why the body of an answer couldn't be read to its end.
    pub(crate) fn log_read_error(&self, err: &dyn Error) {
        let now = self.gw.clock.now();
        let Some(suppressed) = self.gw.log_limiter.admit("read_error", now) else { return };
        let cause = err.source().map(ToString::to_string);
        tracing::info!(target: "request", id = &*self.plan.head.id, %err, cause, suppressed,
            "reading an answer failed");
    }

    /// Reads the rest of a short answer that isn't forwarded, so that its connection can be reused.
    async fn drain_for_reuse(
        &self,
        response: Response<Incoming>,
        connection: Connection,
        in_flight: &InFlight<P>,
    ) {
        let keep_alive_s = keep_alive_timeout_s(response.headers());
        let mut body = response.into_body();
        let rest = discard_body(&mut body, MAX_BUFFERED_BYTES);
        let limit = Duration::from_millis(MIN_ATTEMPT_MS);
        if let Ok(Ok(_)) = tokio::time::timeout(limit, rest).await {
            self.gw.upstream.put_idle(in_flight.endpoint().hash, connection, keep_alive_s);
        }
    }
}

/// Reads the body of an answer that is forwarded whole, or its beginning if memory is short.
async fn read_answer(
    body: &mut Incoming,
    may_be_empty: bool,
    is_cut: impl FnOnce() -> bool,
    answer: &mut BufferedAnswer,
) -> Result<ReadEnd, AnswerError> {
    let mut read = Vec::new();
    let given_up = answer.given_up();
    let reading = read_pieces(body, MAX_BUFFERED_BYTES, |piece| answer.append(&mut read, piece));
    let end = given_up.run_until_cancelled(reading).await.ok_or(GivenUp)??;
    if end.is_break() {
        return Ok(ReadEnd::PassedOn(read.into()));
    }
    if read.is_empty() && !may_be_empty {
        return Err(AnswerError::Empty);
    }
    if is_cut() {
        return Err(AnswerError::BeforeRequest);
    }
    answer.complete(read)?;
    Ok(ReadEnd::Whole)
}

/// Ends an attempt that brought no usable answer.
fn fail<P: Platform>(in_flight: InFlight<P>, reason: FailureReason) -> FailedAttempt {
    in_flight.close(AttemptEnd::Failed(reason));
    reason.into()
}

/// Returns the type of an answer on a route for streams.
fn answer_type(headers: &HeaderMap) -> AnswerType {
    let Some(value) = headers.get(CONTENT_TYPE) else { return AnswerType::Unstated };
    let media_type = value.as_bytes().split(|byte| *byte == b';').next().unwrap_or_default();
    match media_type.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM) {
        true => AnswerType::Events,
        false => AnswerType::Other,
    }
}
