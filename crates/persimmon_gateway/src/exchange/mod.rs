//! One request's attempts at endpoints, until one answers it well or nothing more may be tried.

mod attempt;

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName};
use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    AdmissionInput, AttemptLog, AttemptOutcome, Choice, Endpoint, FailureKind, NextStep, NoChoice,
    PickRequest, Repeatable,
};
use persimmon_decide::load::EndpointHash;

use crate::control::Control;
use crate::gateway::Gateway;
use crate::in_flight::{InFlight, InProgress, InWorkspace};
use crate::plan::Plan;
use crate::platform::Platform;
use crate::refusal::Refusal;
use crate::upstream::Connection;

pub(crate) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Time that an answer needs at least, in milliseconds; with less left, nothing is sent any more.
const MIN_ATTEMPT_MS: u64 = 15;
/// Time after which a caller may come back when no endpoint takes its request, in milliseconds:
/// about the time in which an endpoint that was unreachable is tried again.
pub(crate) const NO_ENDPOINT_RETRY_MS: u64 = 300;
/// Time after its start in which a gateway may not know all endpoints, in milliseconds.
const STARTUP_MS: u64 = 5_000;
/// Longest time that a request waits for an endpoint to be published again, in milliseconds, and
/// the part of its caller's time that it may take.
const ENDPOINT_WAIT_MS: u64 = 2_000;
const ENDPOINT_WAIT_DIVISOR: u64 = 2;
/// Silence after which a call that may be repeated goes elsewhere, as a multiple of its route's
/// target, and at least, in milliseconds.
const SILENCE_TIMEOUT_TARGETS: u64 = 2;
const MIN_SILENCE_TIMEOUT_MS: u64 = 250;
/// Silence of an endpoint over all requests after which it counts as unreachable, in milliseconds.
/// A live engine sends something several times a second.
const ENDPOINT_SILENT_MS: u64 = 600;

/// A stream whose head has arrived.
#[derive(Debug)]
pub(crate) struct OpenStream<P: Platform> {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
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
struct FailedAttempt {
    outcome: AttemptOutcome,
    why: &'static str,
    /// The endpoint's own failure.
    failure: Option<Response<Bytes>>,
}

impl FailedAttempt {
    fn new(outcome: AttemptOutcome, why: &'static str) -> Self {
        Self { outcome, why, failure: None }
    }
}

/// Sends one request to endpoints until one answers it well or nothing more may be tried.
#[derive(Debug)]
pub(crate) struct Exchange<P: Platform> {
    pub(crate) gw: Rc<Gateway<P>>,
    pub(crate) plan: Rc<Plan<P>>,
    log: AttemptLog,
    tried: Vec<EndpointHash>,
    sends: u32,
    is_answered: bool,
    in_workspace: InWorkspace<P>,
    _in_progress: InProgress<P>,
}

impl<P: Platform> Exchange<P> {
    pub(crate) fn new(gw: Rc<Gateway<P>>, plan: Rc<Plan<P>>, in_progress: InProgress<P>) -> Self {
        let log = AttemptLog::new(plan.route.repeatable, plan.route.max_attempts);
        let in_workspace = InWorkspace::begin(&gw, &plan.service, plan.workspace_name());
        Self {
            gw,
            plan,
            log,
            tried: Vec::new(),
            sends: 0,
            is_answered: false,
            in_workspace,
            _in_progress: in_progress,
        }
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
            let choice = match self.choose() {
                Err(Refusal::NoEndpoint { .. }) if self.may_wait() => {
                    self.wait_for_endpoint().await;
                    self.choose()?
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
                return Ok(Answered::Whole(response));
            }
        }
    }

    /// Whether an endpoint may appear soon: after a start, or after an outage of the store,
    /// endpoints register again within about two seconds.
    fn may_wait(&self) -> bool {
        let now = self.gw.clock.now();
        let is_settling = self.gw.control.borrow().view.is_settling(now);
        self.sends == 0 && (is_settling || now.0 < STARTUP_MS)
    }

    /// Waits until an endpoint of the service is published, for a part of the caller's time.
    async fn wait_for_endpoint(&self) {
        let wait_ms = (self.left_ms() / ENDPOINT_WAIT_DIVISOR).min(ENDPOINT_WAIT_MS);
        let until = self.gw.clock.instant(self.gw.clock.now().plus_ms(wait_ms)).into();
        let has_endpoint = || {
            let control = self.gw.control.borrow();
            control.directory.ready(&self.plan.service).next().is_some()
        };
        while !has_endpoint() {
            let changed = self.gw.configured.notified();
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    }

    fn choose(&self) -> Result<Choice, Refusal> {
        let mut control = self.gw.control.borrow_mut();
        let draw = control.draw();
        let plan = &self.plan;
        let parts = if plan.route.has_prompt { &plan.head.parts[..] } else { &[] };
        // An answer that has begun is continued in any case.
        let is_new = self.sends == 0 && plan.head.last_event.is_none();
        let max_fill = if is_new { self.max_fill(&mut control) } else { f64::INFINITY };
        let req = PickRequest {
            service: &plan.service,
            parts,
            may_repeat: self.log.may_run_again(),
            max_fill,
            tried: &self.tried,
            zone: &self.gw.settings.zone,
            draw,
        };
        let now = self.gw.clock.now();
        let choice = match control.pick(&req, now) {
            Ok(choice) => choice,
            Err(_) if self.log.may_have_run() => return Err(Refusal::Unknown),
            Err(NoChoice::NoEndpoint) => {
                return Err(Refusal::NoEndpoint { retry_after_ms: NO_ENDPOINT_RETRY_MS });
            }
            Err(NoChoice::Full { least_fill }) => {
                self.log_full(&control, max_fill, least_fill, now);
                let retry_after_ms = control.waiting_time.retry_after_ms(&plan.service, draw);
                return Err(Refusal::Overloaded { retry_after_ms });
            }
        };
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

    /// How full an endpoint may be to take this request. Slots of engines and streams are taken for
    /// long, so hardly any may wait there; before short calls, a queue as long as the target is
    /// kept.
    fn max_fill(&self, control: &mut Control) -> f64 {
        let plan = &self.plan;
        let fill = control.max_fill(self.admission_input(control));
        if plan.route.has_prompt || plan.route.is_stream {
            return fill;
        }
        let target_ms = plan.route.target_ms;
        fill * control.waiting_time.max_fill(&plan.service, target_ms, self.left_ms())
    }

    fn admission_input(&self, control: &Control) -> AdmissionInput {
        control.admission_input(&self.plan.service, self.plan.rank, self.in_workspace.name())
    }

    fn log_full(&self, control: &Control, max_fill: f64, least_fill: f64, now: MonoMs) {
        let Some(suppressed) = self.gw.log_limiter.admit("full", now) else { return };
        let AdmissionInput { rank, share, workspaces } = self.admission_input(control);
        tracing::info!(target: "request", id = &*self.plan.head.id,
            route = &*self.plan.route.name, service = &*self.plan.service,
            workspace = self.in_workspace.name(), rank = rank.place, ranks = rank.count,
            share, workspaces, max_fill, least_fill,
            suppressed, "every endpoint is too full");
    }

    /// Decides what follows an attempt that brought no good answer: nothing returned means that
    /// another endpoint is tried.
    pub(crate) fn record_failure(
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
        if let Some(suppressed) = self.gw.log_limiter.admit("attempt", now) {
            tracing::info!(target: "request", id = &*self.plan.head.id,
                endpoint = &*endpoint.id, outcome = ?outcome, why, next = ?step, has_budget,
                left_ms = self.plan.deadline.ms_since(now), suppressed, "attempt failed");
        }
        step
    }

    fn handle_failure(
        &mut self,
        endpoint: &Arc<Endpoint>,
        failed: FailedAttempt,
    ) -> Result<Option<Response<Bytes>>, Refusal> {
        match (self.record_failure(endpoint, failed.outcome, failed.why), failed.failure) {
            (NextStep::Retry, _) => Ok(None),
            (NextStep::Deliver, Some(response)) => Ok(Some(response)),
            (NextStep::Fail(FailureKind::NotRun), _) => {
                Err(Refusal::NoEndpoint { retry_after_ms: NO_ENDPOINT_RETRY_MS })
            }
            _ if self.left_ms() == 0 => Err(Refusal::TimedOut),
            _ => Err(Refusal::Unknown),
        }
    }

    /// Time without an answer after which a request is looked at again, in milliseconds.
    fn silence_timeout_ms(&self) -> u64 {
        match self.plan.route.repeatable {
            Repeatable::FromLastEvent => {
                self.gw.control.borrow().first_byte_timeout.timeout_ms(&self.plan.route.name)
            }
            _ => (self.plan.route.target_ms * SILENCE_TIMEOUT_TARGETS).max(MIN_SILENCE_TIMEOUT_MS),
        }
    }

    /// Whether a request that got nothing since `started` goes to another endpoint. One that may
    /// run once never does.
    pub(crate) fn should_fail_over(&self, endpoint: EndpointHash, started: MonoMs) -> bool {
        let now = self.gw.clock.now();
        let is_long = now.ms_since(started) >= self.silence_timeout_ms();
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

    /// An endpoint answered whole.
    pub(crate) fn record_good(&self, in_flight: &InFlight<P>) {
        let now = self.gw.clock.now();
        let mut control = self.gw.control.borrow_mut();
        control.health.record_outcome(in_flight.endpoint.hash, true, now);
        if in_flight.had_free_slot {
            control.waiting_time.record(&self.plan.service, now.ms_since(in_flight.began));
        }
        control.crashes.record_answered(self.plan.content, now);
    }

    fn record_first_answer(&mut self, choice: &Choice) {
        if std::mem::replace(&mut self.is_answered, true) {
            return;
        }
        let now = self.gw.clock.now();
        let ms = now.ms_since(self.plan.arrived);
        self.gw.control.borrow_mut().first_byte_timeout.record(&self.plan.route.name, ms);
        let route = &*self.plan.route.name;
        self.gw.metrics.first_byte.with_label_values(&[route]).observe(ms as f64 / 1_000.0);
        if let Some(suppressed) = self.gw.log_limiter.admit("answer", now) {
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
        if let Some(suppressed) = self.gw.log_limiter.admit(why, now) {
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

/// The timeout of an idle connection that its other end states, in seconds.
pub(crate) fn keep_alive_timeout_s(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}
