//! What an answer's headers say of the endpoint itself: that it leaves, wants a pause, takes only so many
//! requests, or how fast it works.

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use persimmon_decide::forward::{Endpoint, NamedLimit, StatedLoad};

use super::Exchange;
use crate::in_flight::InFlight;
use crate::platform::Platform;

/// Step of the clock in milliseconds. Since its readings are rounded down, a pause that began
/// within a step would otherwise end too soon.
const CLOCK_STEP_MS: u64 = 1;
impl<P: Platform> Exchange<P> {
    /// Records what an answer says of its endpoint, or that another process answers in its place.
    pub(super) fn record_statements(
        &self,
        in_flight: &InFlight<P>,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        let endpoint = in_flight.endpoint();
        let leaving = headers.get(&self.gw.platform.headers().leaving);
        if leaving.is_some_and(|value| value == "1") {
            self.record_leaving(endpoint);
        }
        if status == StatusCode::MISDIRECTED_REQUEST {
            return self.record_replaced(endpoint);
        }
        self.record_limit(in_flight, headers);
        self.record_load(endpoint, headers);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            self.record_pause(endpoint, headers.get(RETRY_AFTER));
        }
    }

    /// Records that another process answers at the address of an endpoint.
    fn record_replaced(&self, endpoint: &Endpoint) {
        let now = self.gw.clock.now();
        if self.gw.control.borrow_mut().record_ended(endpoint, now) {
            self.gw.digest_due.notify_one();
            self.gw.log_newly_refused();
        }
    }

    /// Records that an endpoint says that it leaves, and tells the other gateways at once.
    fn record_leaving(&self, endpoint: &Endpoint) {
        let now = self.gw.clock.now();
        if !self.gw.control.borrow_mut().directory.mark_leaving(endpoint.hash, now) {
            return;
        }
        self.gw.digest_due.notify_one();
        self.gw.metrics.endpoint.leaving.with_label_values(&[&*endpoint.service]).inc();
        tracing::info!(target: "endpoint", endpoint = &*endpoint.id, hash = endpoint.hash.0,
            id = &*self.plan.head.id, state = ?endpoint.state, "endpoint is leaving");
    }

    /// Records the time for which an endpoint that turned the request away wants no further one.
    fn record_pause(&self, endpoint: &Endpoint, retry_after: Option<&HeaderValue>) {
        let Some(value) = retry_after else { return };
        let now = self.gw.clock.now();
        let pause_ms = value.to_str().ok().and_then(pause_ms);
        if let Some(pause_ms) = pause_ms {
            self.gw.control.borrow_mut().pauses.record(endpoint.hash, pause_ms, now);
            self.gw.metrics.endpoint.pauses.with_label_values(&[&*endpoint.service]).inc();
        }
        if let Some(suppressed) = self.gw.log_limiter.admit("pause", now) {
            tracing::info!(target: "endpoint", endpoint = &*endpoint.id,
                id = &*self.plan.head.id, retry_after = ?value, pause_ms, suppressed,
                "endpoint wants no requests for a while");
        }
    }

    /// Records the load and speed that an answer states.
    fn record_load(&self, endpoint: &Endpoint, headers: &HeaderMap) {
        let Some(value) = headers.get(&self.gw.platform.headers().stated_load) else { return };
        let now = self.gw.clock.now();
        let load = value.to_str().ok().and_then(StatedLoad::parse);
        let metrics = &self.gw.metrics.endpoint;
        let service = [&*endpoint.service];
        if let Some(load) = load {
            self.gw.control.borrow_mut().speeds.record_answer(endpoint.hash, &load, now);
            if let Some(slowdown) = load.slowdown() {
                metrics.slowdown.with_label_values(&service).observe(slowdown);
            }
        }
        if load.is_some_and(|it| it.is_plausible()) {
            return;
        }
        metrics.invalid_loads.with_label_values(&service).inc();
        if let Some(suppressed) = self.gw.log_limiter.admit("stated_load", now) {
            tracing::warn!(target: "endpoint", endpoint = &*endpoint.id,
                id = &*self.plan.head.id, ?value, ?load, suppressed,
                "endpoint states an invalid load");
        }
    }

    /// Records the limit that an answer names, or that it names none any more, and tells the other
    /// gateways at once that a limit begins or ends.
    fn record_limit(&self, in_flight: &InFlight<P>, headers: &HeaderMap) {
        let names = self.gw.platform.headers();
        let values = headers.get_all(&names.rate_limit).iter();
        let named = NamedLimit::parse(values.map(|it| it.to_str().ok()));
        // A refusal without the request's id may come from a process before the endpoint.
        if named == NamedLimit::Absent && !headers.contains_key(&names.request_id) {
            return;
        }
        let endpoint = in_flight.endpoint();
        let now = self.gw.clock.now();
        if named != NamedLimit::Absent {
            self.gw.metrics.endpoint.limits.with_label_values(&[&*endpoint.service]).inc();
        }
        let mut control = self.gw.control.borrow_mut();
        let before = control.limits.per_s(endpoint.hash);
        let is_changed = control.limits.record_answer(endpoint.hash, named, in_flight.began(), now);
        // The regular digests tell of changes of a limit that holds.
        if is_changed && (before.is_none() || named == NamedLimit::Absent) {
            self.gw.digest_due.notify_one();
        }
        if !is_changed && named != NamedLimit::Unreadable {
            return;
        }
        if let Some(suppressed) = self.gw.log_limiter.admit("limit", now) {
            tracing::info!(target: "endpoint", endpoint = &*endpoint.id,
                id = &*self.plan.head.id, ?named, before, hash = endpoint.hash.0,
                gateways = control.peers.fleet().len(), heard = control.peers.gateways(now),
                suppressed, "endpoint's limit on the rate of requests");
        }
    }
}

/// Returns the milliseconds of a `Retry-After` header in seconds, which may have a fraction; none if
/// it is zero or can't be read.
fn pause_ms(text: &str) -> Option<u64> {
    let seconds: f64 = text.trim().parse().ok()?;
    // A conversion saturates, so that a huge value is the longest pause.
    let ms = (seconds.is_finite() && seconds > 0.0).then(|| (seconds * 1_000.0).ceil() as u64)?;
    Some(ms.saturating_add(CLOCK_STEP_MS))
}
