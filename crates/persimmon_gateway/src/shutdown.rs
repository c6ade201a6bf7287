//! Ends a gateway process without losing requests.

use std::time::Duration;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{Route, Shutdown, ShutdownStage, UnsentRequest};

use crate::gateway::Gateway;
use crate::platform::Platform;
use crate::refusal::Refusal;

/// Interval at which a process that shuts down closes idle connections and checks whether it may exit.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Step of a request before which it is decided whether the gateway may take it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    /// Its body is read.
    Arrival,
    /// It is sent to an endpoint.
    Send,
}

impl Step {
    /// Returns the name for logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Arrival => "arrival",
            Self::Send => "send",
        }
    }
}

/// Shuts the gateway down, and returns when the process may exit.
pub(crate) async fn shut_down<P: Platform>(gw: &Gateway<P>) {
    gw.control.borrow_mut().shutdown.begin(gw.clock.now());
    tracing::info!(target: "gateway", in_progress = gw.requests.len(),
        connections = gw.callers.len(), grace_ms = gw.settings.grace_ms, "stopping");
    loop {
        let now = gw.clock.now();
        let shutdown = gw.control.borrow().shutdown;
        let stage = shutdown.stage(now);
        gw.callers.close_unused(&shutdown, now);
        if stage >= ShutdownStage::Ending && !gw.cut_off.is_cancelled() {
            // The answers are sent before the next check, however late this one is.
            gw.cut_off.cancel();
        } else if shutdown.may_exit(gw.callers.awaited(), gw.control.borrow().idle_since, now) {
            break;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    log_requests_cut(gw);
    tracing::info!(target: "gateway", in_progress = gw.requests.len(),
        connections = gw.callers.len(), awaited = gw.callers.awaited(), "stopped");
}

/// Counts and logs the requests that end because the process exits.
fn log_requests_cut<P: Platform>(gw: &Gateway<P>) {
    let now = gw.clock.now();
    for request in gw.requests.list() {
        gw.metrics.requests.with_label_values(&["exit"]).inc();
        tracing::warn!(target: "request", id = &*request.id, route = &*request.route,
            stage = request.stage.name(), ms = now.ms_since(request.arrived),
            "request cut off by the exit");
    }
}

/// Refuses a request that might not be answered before the process exits.
pub(crate) fn check<P: Platform>(
    gw: &Gateway<P>,
    step: Step,
    id: &str,
    route: &Route,
    deadline: MonoMs,
) -> Result<(), Refusal> {
    let control = gw.control.borrow();
    let Some(since) = control.shutdown.started_at() else { return Ok(()) };
    let now = gw.clock.now();
    let max_ms = control.durations.max_ms(&route.name);
    let deadline_ms = deadline.ms_since(now);
    let has_other_gateway = control.return_ms(now).is_none();
    let req = UnsentRequest {
        deadline_ms,
        max_ms,
        repeatable: route.repeatable,
        is_stream: route.is_stream,
        has_other_gateway,
    };
    let is_accepted = control.shutdown.accepts(req, now);
    let decision = if is_accepted { "accepted" } else { "refused" };
    gw.metrics.callers.shutdown_decisions.with_label_values(&[step.name(), decision]).inc();
    if let Some(suppressed) = gw.log_limiter.admit("shutdown", now) {
        tracing::info!(target: "request", id, route = &*route.name, at = step.name(), decision, max_ms,
            deadline_ms, left_ms = control.shutdown.left_ms(now), has_other_gateway,
            stopping_ms = now.ms_since(since), suppressed, "request during the shutdown");
    }
    drop(control);
    if is_accepted { Ok(()) } else { Err(refusal(gw)) }
}

/// Returns the refusal of a request that no endpoint has, with the delay until another gateway
/// accepts it.
pub(crate) fn refusal<P: Platform>(gw: &Gateway<P>) -> Refusal {
    let mut control = gw.control.borrow_mut();
    let return_ms = control.return_ms(gw.clock.now());
    Refusal::Leaving { retry_after_ms: Shutdown::retry_after_ms(return_ms, control.draw()) }
}
