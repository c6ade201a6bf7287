//! The attempts of one request at endpoints, until one succeeds or no further attempt is allowed.

mod admission;
mod answer_headers;
mod attempt;

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName};
use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    AttemptEnd, AttemptLog, Choice, CrashVerdict, Endpoint, EndpointPauses, FailureKind,
    FailureReason, NextStep, NoChoice, PickRequest, Repeatable, StreamOrigin,
};
use persimmon_decide::load::EndpointHash;

use self::admission::FillLimit;
use crate::answer_buffer::BufferedAnswer;
use crate::framing::Framing;
use crate::gateway::Gateway;
use crate::in_flight::{InFlight, InWorkspace};
use crate::open_requests::{InProgress, RequestStage};
use crate::plan::Plan;
use crate::platform::Platform;
use crate::refusal::Refusal;
use crate::shutdown::{self, Step};
use crate::stream_versions::StreamInProgress;
use crate::upstream::Connection;

pub(crate) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Minimum time for an attempt, in milliseconds; no retry starts with less remaining time.
const MIN_ATTEMPT_MS: u64 = 15;
/// Retry delay for callers when no endpoint accepts the request, in milliseconds: about the time
/// until an unreachable endpoint is tried again.
pub(crate) const NO_ENDPOINT_RETRY_MS: u64 = 300;
/// Time after its start during which a gateway might not know all endpoints yet, in milliseconds.
const STARTUP_MS: u64 = 5_000;
/// Maximum time that a request waits for an endpoint to be published again, in milliseconds.
const ENDPOINT_WAIT_MS: u64 = 2_000;
/// Divisor of the request's remaining time; the wait for an endpoint doesn't exceed the quotient.
const ENDPOINT_WAIT_DIVISOR: u64 = 2;
/// Interval at which a request that waits for a cold endpoint looks for one, in milliseconds.
const COLD_CHECK_INTERVAL_MS: u64 = 50;
/// Time without an answer after which a repeatable request goes to another endpoint, as a multiple
/// of its route's target latency.
const SILENCE_TIMEOUT_FACTOR: u64 = 2;
/// Minimum of that time, in milliseconds.
const MIN_SILENCE_TIMEOUT_MS: u64 = 250;

/// A stream whose response head has arrived.
#[derive(Debug)]
pub(crate) struct OpenStream<P: Platform> {
    pub(crate) response: Response<Incoming>,
    pub(crate) framing: Framing,
    /// Whether the answer consists of server-sent events. It does unless it states another type.
    pub(crate) has_events: bool,
    /// Whether the answer may be complete without any byte.
    pub(crate) may_be_empty: bool,
    /// Beginning of the body that has been read.
    pub(crate) read: Option<Bytes>,
    /// Maximum size of the body, in bytes; none if it has no limit.
    pub(crate) max_bytes: Option<u64>,
    pub(crate) connection: Connection,
    pub(crate) in_flight: InFlight<P>,
}

impl<P: Platform> OpenStream<P> {
    /// Ends the attempt, and closes the connection, so that the endpoint stops processing the request.
    pub(crate) fn close(self, end: AttemptEnd) {
        self.in_flight.close(end);
    }

    /// Returns the end of an answer that is complete by its framing.
    pub(crate) fn complete_end(&self) -> AttemptEnd {
        AttemptEnd::Answered { is_end_framed: self.framing.is_end_framed() }
    }
}

/// An endpoint's answer.
#[derive(Debug)]
pub(crate) enum Answered<P: Platform> {
    /// A complete answer, forwarded unchanged.
    Complete(Response<BufferedAnswer>),
    /// A stream that has started.
    Stream(Box<OpenStream<P>>),
}

/// An attempt without a usable answer.
#[derive(Debug)]
struct FailedAttempt {
    reason: FailureReason,
    /// The endpoint's error response, if it sent one.
    failure: Option<Response<BufferedAnswer>>,
}

impl From<FailureReason> for FailedAttempt {
    fn from(reason: FailureReason) -> Self {
        Self { reason, failure: None }
    }
}

/// Sends one request to endpoints until one succeeds or no further attempt is allowed.
#[derive(Debug)]
pub(crate) struct Exchange<P: Platform> {
    pub(crate) gw: Rc<Gateway<P>>,
    pub(crate) plan: Rc<Plan>,
    log: AttemptLog,
    tried: Vec<EndpointHash>,
    /// Software version that began the stream; none before its first event.
    version: Option<Arc<str>>,
    /// Whether the caller has got events through this gateway.
    is_begun: bool,
    sends: u32,
    /// Whether the current attempt was sent, so that its endpoint may run the request.
    is_attempt_sent: bool,
    is_answered: bool,
    in_workspace: InWorkspace<P>,
    in_progress: InProgress<P>,
    /// The stream, once its caller gets events that another attempt may go on with.
    stream_in_progress: Option<StreamInProgress<P>>,
}

impl<P: Platform> Exchange<P> {
    /// Creates the exchange of a request. `version` is the software version that began the stream, if
    /// the request takes one up again.
    pub(crate) fn new(
        gw: Rc<Gateway<P>>,
        plan: Rc<Plan>,
        version: Option<Arc<str>>,
        in_progress: InProgress<P>,
    ) -> Self {
        let log = AttemptLog::new(plan.route.repeatable, plan.route.max_attempts);
        let in_workspace = InWorkspace::begin(&gw, &plan.service, plan.workspace_name());
        Self {
            gw,
            plan,
            log,
            tried: Vec::new(),
            version,
            is_begun: false,
            sends: 0,
            is_attempt_sent: false,
            is_answered: false,
            in_workspace,
            in_progress,
            stream_in_progress: None,
        }
    }

    /// Returns the remaining time in milliseconds until the request's deadline.
    pub(crate) fn left_ms(&self) -> u64 {
        self.plan.deadline.ms_since(self.gw.clock.now())
    }

    /// Attempts the request until an endpoint answers it. `last_event` is the last event of this
    /// stream that the caller has received.
    ///
    /// # Errors
    ///
    /// The request failed and no further attempt is allowed.
    pub(crate) async fn open(&mut self, last_event: Option<u64>) -> Result<Answered<P>, Refusal> {
        loop {
            if !self.has_ready_endpoint() && self.may_wait() {
                self.check_shutdown()?;
                self.wait_for_endpoint().await;
            }
            self.check_shutdown()?;
            let choice = match self.choose() {
                Err(Refusal::Cold { .. }) if self.may_wait_for_cold() => {
                    let delay = std::time::Duration::from_millis(COLD_CHECK_INTERVAL_MS);
                    tokio::time::sleep(delay).await;
                    continue;
                }
                choice => choice?,
            };
            let failed = match self.attempt(&choice, last_event).await {
                Ok(answered) => {
                    self.record_first_answer(&choice);
                    return Ok(answered);
                }
                Err(failed) => failed,
            };
            if let Some(response) = self.handle_failure(&choice.endpoint, failed)? {
                return Ok(Answered::Complete(response));
            }
        }
    }

    /// Refuses a request that no endpoint has if it might not be answered before the process exits. Time
    /// may have passed since it arrived.
    fn check_shutdown(&self) -> Result<(), Refusal> {
        if self.log.may_have_run() || self.is_begun {
            return Ok(());
        }
        let plan = &self.plan;
        shutdown::check(&self.gw, Step::Send, &plan.head.id, &plan.route, plan.deadline)
    }

    /// Returns the refusal of a request whose exchange ends early because the process exits.
    pub(crate) fn cut_off(&self) -> Refusal {
        if self.log.may_have_run() || self.is_attempt_sent {
            return Refusal::Unknown;
        }
        shutdown::refusal(&self.gw)
    }

    /// Reports whether an endpoint has the version that began the stream.
    fn allows_version(&self, endpoint: &Endpoint) -> bool {
        self.version.as_ref().is_none_or(|version| *version == endpoint.version)
    }

    /// Records that the caller gets events of an endpoint. From now on, the stream may go on only at
    /// endpoints of the same version.
    pub(crate) fn record_events(&mut self, endpoint: &Endpoint) {
        if std::mem::replace(&mut self.is_begun, true) {
            return;
        }
        let version = self.version.get_or_insert_with(|| endpoint.version.clone()).clone();
        if self.plan.route.repeatable == Repeatable::FromLastEvent {
            let service = self.plan.service.clone();
            let origin = Arc::new(StreamOrigin { service, version });
            let stream = StreamInProgress::begin(&self.gw, self.plan.stream(), &origin);
            self.stream_in_progress = Some(stream);
        }
    }

    /// Reports whether to wait for an endpoint instead of refusing. After a start of the gateway or an
    /// outage of the store, endpoints register again within about two seconds, and so does one that has
    /// started at the address of another.
    fn may_wait(&self) -> bool {
        let now = self.gw.clock.now();
        let control = self.gw.control.borrow();
        let is_settling = control.view.is_settling(now);
        if self.version.is_some() {
            return is_settling && self.tried.is_empty();
        }
        let is_replaced = || control.directory.replaced(&self.plan.service).next().is_some();
        !self.log.may_have_run() && (is_settling || now.0 < STARTUP_MS || is_replaced())
    }

    /// Reports whether to wait for a cold endpoint that accepts the request. An endpoint is cold for seconds, so
    /// that half of the request's time usually suffices, and a caller that is refused has only one more try.
    fn may_wait_for_cold(&self) -> bool {
        let waited_ms = self.gw.clock.now().ms_since(self.plan.arrived);
        waited_ms < self.plan.route.target_ms || waited_ms < self.left_ms()
    }

    fn has_ready_endpoint(&self) -> bool {
        let control = self.gw.control.borrow();
        control.directory.ready(&self.plan.service).any(|it| self.allows_version(it))
    }

    /// Waits until an endpoint of the service is published, for a limited part of the request's
    /// remaining time.
    async fn wait_for_endpoint(&self) {
        let wait_ms = (self.left_ms() / ENDPOINT_WAIT_DIVISOR).min(ENDPOINT_WAIT_MS);
        let until = self.gw.clock.instant(self.gw.clock.now().plus_ms(wait_ms)).into();
        while !self.has_ready_endpoint() {
            let changed = self.gw.configured.notified();
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    }

    fn choose(&self) -> Result<Choice, Refusal> {
        let mut control = self.gw.control.borrow_mut();
        // Requests like this one may have crashed endpoints since the last attempt.
        if control.crashes.refuses(&self.plan.signature, self.gw.clock.now()) {
            return Err(self.crashing());
        }
        let draw = control.draw();
        let plan = &self.plan;
        let parts = if plan.route.has_prompt { &plan.head.parts[..] } else { &[] };
        // A stream that has already started continues regardless of load.
        let is_new = self.sends == 0 && plan.head.last_event.is_none();
        let fill = if is_new { self.fill_limit(&mut control) } else { FillLimit::NONE };
        let max_fill = fill.max_fill();
        let req = PickRequest {
            service: &plan.service,
            parts,
            may_repeat: self.log.may_run_again(),
            max_fill,
            version: self.version.as_deref(),
            tried: &self.tried,
            zone: &self.gw.settings.zone,
            count_weight: if parts.is_empty() { control.count_weight(&plan.service) } else { 1.0 },
            draw,
        };
        let now = self.gw.clock.now();
        let picked = match is_new && self.is_short() {
            true => self.pick_short(&mut control, &req, fill, now),
            false => control.pick(&req, now),
        };
        let choice = match picked {
            Ok(choice) => choice,
            Err(_) if self.log.may_have_run() => return Err(Refusal::Unknown),
            Err(NoChoice::Full { least_fill }) => {
                self.log_endpoints_full(&control, max_fill, least_fill, now);
                let retry_after_ms = self.full_retry_ms(&mut control, fill, now);
                return Err(Refusal::Overloaded { retry_after_ms });
            }
            Err(other) => return Err(self.none_open(other, draw)),
        };
        let slots = choice.endpoint.slots;
        let wait_ms = control.waiting_time.wait_ms(&plan.service, choice.load, slots);
        // The caller of a stream waits only for its start.
        let answer_ms = match plan.route.is_stream {
            true => 0,
            false => control.waiting_time.mean_ms(&plan.service),
        };
        let is_late = wait_ms + answer_ms > plan.deadline.ms_since(now);
        if self.sends == 0 && wait_ms > 0 && is_late {
            return Err(Refusal::Overloaded { retry_after_ms: wait_ms });
        }
        let verdict = control.crashes.verdict(&plan.signature, choice.endpoint.hash, now);
        self.check_verdict(verdict, &choice.endpoint)?;
        control.limits.record_sent(choice.endpoint.hash, now);
        control.cold.record_sent(&choice.endpoint, now);
        Ok(choice)
    }

    /// Returns the refusal of a request for which no endpoint takes requests now.
    fn none_open(&self, why: NoChoice, draw: u64) -> Refusal {
        let retry_after_ms = |left_ms| EndpointPauses::retry_after_ms(left_ms, draw);
        match why {
            NoChoice::NoEndpoint | NoChoice::Full { .. } => self.no_endpoint(),
            NoChoice::Paused { left_ms } => {
                Refusal::Paused { retry_after_ms: retry_after_ms(left_ms) }
            }
            NoChoice::Cold { left_ms } => Refusal::Cold { retry_after_ms: retry_after_ms(left_ms) },
            NoChoice::Limited { left_ms } => {
                Refusal::Limited { retry_after_ms: retry_after_ms(left_ms) }
            }
        }
    }

    /// Returns the refusal of a request for which no endpoint is left that it hasn't tried.
    fn no_endpoint(&self) -> Refusal {
        if self.version.is_some() && self.tried.is_empty() {
            return Refusal::VersionGone;
        }
        Refusal::NoEndpoint { retry_after_ms: NO_ENDPOINT_RETRY_MS }
    }

    /// Refuses a request that may crash the endpoint, unless it is a trial.
    fn check_verdict(&self, verdict: CrashVerdict, endpoint: &Endpoint) -> Result<(), Refusal> {
        match verdict {
            CrashVerdict::Sound => Ok(()),
            CrashVerdict::Trial => {
                tracing::info!(target: "request", id = &*self.plan.head.id,
                    endpoint = &*endpoint.id, "a request is tried that is refused as crashing");
                Ok(())
            }
            CrashVerdict::Refused => Err(self.crashing()),
        }
    }

    /// Returns the refusal of a request that may crash endpoints.
    fn crashing(&self) -> Refusal {
        if self.log.may_have_run() { Refusal::Unknown } else { Refusal::Crashing }
    }

    /// Counts a failed attempt and returns the next step.
    pub(crate) fn record_failure(
        &mut self,
        endpoint: &Arc<Endpoint>,
        reason: FailureReason,
    ) -> NextStep {
        let now = self.gw.clock.now();
        self.is_attempt_sent = false;
        let has_time = self.left_ms() >= MIN_ATTEMPT_MS;
        let mut control = self.gw.control.borrow_mut();
        if !self.tried.contains(&endpoint.hash) {
            self.tried.push(endpoint.hash);
        }
        let has_budget = control.allows_repeat(&self.plan.service, now);
        let outcome = reason.outcome();
        let step = self.log.record(outcome, has_budget, has_time);
        let why = reason.name();
        self.gw.metrics.attempts.with_label_values(&[why]).inc();
        if let Some(suppressed) = self.gw.log_limiter.admit("attempt", now) {
            tracing::info!(target: "request", id = &*self.plan.head.id,
                endpoint = &*endpoint.id, outcome = ?outcome, why, next = ?step, has_budget,
                left_ms = self.plan.deadline.ms_since(now), suppressed, "attempt failed");
        }
        step
    }

    /// Records a failed attempt. Returns the endpoint's error response to deliver it, or none to
    /// try another endpoint.
    fn handle_failure(
        &mut self,
        endpoint: &Arc<Endpoint>,
        failed: FailedAttempt,
    ) -> Result<Option<Response<BufferedAnswer>>, Refusal> {
        match (self.record_failure(endpoint, failed.reason), failed.failure) {
            (NextStep::Retry, _) => Ok(None),
            (NextStep::Deliver, Some(response)) => Ok(Some(response)),
            (NextStep::Fail(FailureKind::NotRun), _) => {
                Err(Refusal::NoEndpoint { retry_after_ms: NO_ENDPOINT_RETRY_MS })
            }
            _ if self.left_ms() == 0 => Err(Refusal::TimedOut),
            _ => Err(Refusal::Unknown),
        }
    }

    /// Returns the time without data after which the request may fail over to another endpoint, in
    /// milliseconds.
    fn silence_timeout_ms(&self) -> u64 {
        match self.plan.route.repeatable {
            Repeatable::FromLastEvent => {
                self.gw.control.borrow().first_byte_timeout.timeout_ms(&self.plan.route.name)
            }
            _ => (self.plan.route.target_ms * SILENCE_TIMEOUT_FACTOR).max(MIN_SILENCE_TIMEOUT_MS),
        }
    }

    /// Reports whether a request without data since `started` should fail over to another endpoint.
    /// A request that may run only once never does. Also ejects the endpoint if it has been silent
    /// on all requests.
    pub(crate) fn should_fail_over(&self, endpoint: EndpointHash, started: MonoMs) -> bool {
        let now = self.gw.clock.now();
        let is_long = now.ms_since(started) >= self.silence_timeout_ms();
        let mut control = self.gw.control.borrow_mut();
        if control.silent_since(endpoint, now).is_some() {
            control.health.record_unreachable(endpoint, now);
        }
        let view = control.fleet_view(now);
        let is_other = |it: &Endpoint| {
            let is_untried = !self.tried.contains(&it.hash) && it.hash != endpoint;
            is_untried && view.is_open(it) && self.allows_version(it)
        };
        let has_others = control.directory.ready(&self.plan.service).any(|it| is_other(it));
        is_long
            && self.plan.route.repeatable != Repeatable::Never
            && has_others
            && control.allows_repeat(&self.plan.service, now)
    }

    fn record_first_answer(&mut self, choice: &Choice) {
        self.in_progress.set_stage(RequestStage::Answering);
        if std::mem::replace(&mut self.is_answered, true) {
            return;
        }
        let now = self.gw.clock.now();
        let ms = now.ms_since(self.plan.arrived);
        self.gw.control.borrow_mut().first_byte_timeout.record(&self.plan.route.name, ms);
        let route = &*self.plan.route.name;
        self.gw.metrics.first_byte.with_label_values(&[route]).observe(ms as f64 / 1_000.0);
        if let Some(last_event) = self.plan.head.last_event {
            self.log_taken_up(&choice.endpoint, last_event, now);
        }
        if let Some(suppressed) = self.gw.log_limiter.admit("answer", now) {
            let peers = self.gw.control.borrow().peers.gateways(now);
            tracing::info!(target: "request", id = &*self.plan.head.id, route,
                endpoint = &*choice.endpoint.id, load = choice.load,
                cached_tokens = choice.cached_tokens,
                fetch_from = choice.fetch_from.as_ref().map(|it| &*it.id), gateways = peers, ms,
                sends = self.sends, suppressed, "answer started");
        }
    }

    /// Counts and logs that an endpoint goes on with a stream that its caller takes up again.
    fn log_taken_up(&self, endpoint: &Endpoint, last_event: u64, now: MonoMs) {
        self.gw.metrics.resumed.with_label_values(&["caller"]).inc();
        let Some(suppressed) = self.gw.log_limiter.admit("taken_up", now) else { return };
        tracing::info!(target: "request", id = &*self.plan.head.id,
            first_id = self.plan.head.first_id.as_deref(), last_event, endpoint = &*endpoint.id,
            version = &*endpoint.version, suppressed, "stream taken up again");
    }

    /// Records that the caller didn't get the rest of the answer's stream.
    pub(crate) fn record_cut(&self, why: &'static str) {
        let now = self.gw.clock.now();
        self.gw.metrics.requests.with_label_values(&[why]).inc();
        if let Some(suppressed) = self.gw.log_limiter.admit(why, now) {
            tracing::info!(target: "request", id = &*self.plan.head.id, why,
                ms = now.ms_since(self.plan.arrived), sends = self.sends, suppressed,
                "answer cut off");
        }
    }

    /// Records the duration of the request if it was answered.
    pub(crate) fn record_end(&self, outcome: &str) {
        let ms = self.gw.clock.now().ms_since(self.plan.arrived);
        if outcome == "answered" {
            self.gw.metrics.requests.with_label_values(&[outcome]).inc();
            let route = &self.plan.route.name;
            self.gw.metrics.whole_answer.with_label_values(&[route]).observe(ms as f64 / 1_000.0);
            self.gw.control.borrow_mut().durations.record(route, ms);
            self.record_short_answer();
        }
    }
}

/// Returns the idle timeout that an endpoint states for its connection, in seconds.
pub(crate) fn keep_alive_timeout_s(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}
