//! Ends a gateway process without losing requests.

use std::time::Duration;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{Route, Shutdown, ShutdownStage, UnsentRequest};

use crate::gateway::Gateway;
use crate::open_requests::RequestStage;
use crate::platform::Platform;
use crate::refusal::Refusal;

/// Interval at which a process that shuts down closes idle connections and checks whether it may exit.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Shuts the gateway down, and returns when the process may exit.
pub(crate) async fn shut_down<P: Platform>(gw: &Gateway<P>) {
    gw.control.borrow_mut().shutdown.begin(gw.clock.now());
    tracing::info!(target: "gateway", in_progress = gw.requests.len(),
        connections = gw.callers.len(), grace_ms = gw.settings.grace_ms, "stopping");
    loop {
        let now = gw.clock.now();
        let shutdown = gw.control.borrow().shutdown;
        let stage = shutdown.stage(now);
        if matches!(stage, ShutdownStage::Draining | ShutdownStage::Ending) {
            gw.callers.close_unused(&shutdown, now);
        }
        if stage >= ShutdownStage::Ending && !gw.cut_off.is_cancelled() {
            log_requests_cut(gw, now);
            gw.cut_off.cancel();
        }
        if shutdown.may_exit(gw.callers.unfinished(), gw.control.borrow().idle_since, now) {
            break;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    tracing::info!(target: "gateway", in_progress = gw.requests.len(),
        connections = gw.callers.len(), unfinished = gw.callers.unfinished(), "stopped");
}

/// Counts and logs the requests whose answers are cut off because the process exits.
fn log_requests_cut<P: Platform>(gw: &Gateway<P>, now: MonoMs) {
    for request in gw.requests.list() {
        if request.stage != RequestStage::Answering {
            continue;
        }
        gw.metrics.requests.with_label_values(&["exit"]).inc();
        tracing::warn!(target: "request", id = &*request.id, route = &*request.route,
            stage = request.stage.name(), ms = now.ms_since(request.arrived),
            "request cut off by the exit");
    }
}

/// Refuses a request that might not be answered before the process exits. `at` is the step before
/// which this is checked, for the log.
pub(crate) fn check<P: Platform>(
    gw: &Gateway<P>,
    at: &'static str,
    id: &str,
    route: &Route,
    deadline: MonoMs,
) -> Result<(), Refusal> {
    let control = gw.control.borrow();
    let Some(since) = control.shutdown.started_at() else { return Ok(()) };
    let now = gw.clock.now();
    let max_ms = control.durations.max_ms(&route.name);
    let deadline_ms = deadline.ms_since(now);
    let has_other_gateway =
        control.peers.return_ms(since, control.shutdown.grace_ms(), now).is_none();
    let req = UnsentRequest {
        deadline_ms,
        max_ms,
        repeatable: route.repeatable,
        is_stream: route.is_stream,
        has_other_gateway,
    };
    let is_accepted = control.shutdown.accepts(req, now);
    let decision = if is_accepted { "accepted" } else { "refused" };
    gw.metrics.callers.shutdown_decisions.with_label_values(&[at, decision]).inc();
    if let Some(suppressed) = gw.log_limiter.admit("shutdown", now) {
        tracing::info!(target: "request", id, route = &*route.name, at, decision, max_ms,
            deadline_ms, left_ms = control.shutdown.left_ms(now), has_other_gateway,
            stopping_ms = now.ms_since(since), suppressed, "request during the shutdown");
    }
    drop(control);
    if is_accepted { Ok(()) } else { Err(refusal(gw)) }
}

/// Returns the refusal of a request that no endpoint has, with the delay until another gateway
/// accepts it.
pub(crate) fn refusal<P: Platform>(gw: &Gateway<P>) -> Refusal {
    let now = gw.clock.now();
    let mut control = gw.control.borrow_mut();
    let since = control.shutdown.started_at().unwrap_or(now);
    let return_ms = control.peers.return_ms(since, control.shutdown.grace_ms(), now);
    Refusal::Leaving { retry_after_ms: Shutdown::retry_after_ms(return_ms, control.draw()) }
}
