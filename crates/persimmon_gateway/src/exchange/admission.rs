//! Admission of a request by how full endpoints are.

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{AdmissionInput, Choice, NoChoice, OverloadDecision, PickRequest};

use super::Exchange;
use crate::control::{Control, ShortRequest};
use crate::plan::Plan;
use crate::platform::Platform;

/// Limit on the fill of endpoints for a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct FillLimit {
    /// Factor by the request's rank and workspace.
    rank_factor: f64,
    /// Fill up to which endpoints answer within the target, as a multiple of their slots.
    queue_fill: f64,
}

impl FillLimit {
    /// No limit.
    pub(super) const NONE: Self = Self { rank_factor: 1.0, queue_fill: f64::INFINITY };

    /// Returns the fill up to which an endpoint accepts the request.
    pub(super) fn max_fill(self) -> f64 {
        self.rank_factor * self.queue_fill
    }
}

impl<P: Platform> Exchange<P> {
    /// Reports whether the request has no prompt and its answer isn't a stream.
    pub(super) fn is_short(&self) -> bool {
        !self.plan.route.has_prompt && !self.plan.route.is_stream
    }

    /// Returns the fill up to which an endpoint accepts this request. Requests with prompts and streams
    /// occupy a slot for a long time, so hardly any may queue; short calls may queue for as long as their
    /// target latency allows.
    pub(super) fn fill_limit(&self, control: &mut Control) -> FillLimit {
        let plan = &self.plan;
        let rank_factor = control.max_fill(self.admission_input(control));
        if !self.is_short() {
            return FillLimit { rank_factor, queue_fill: 1.0 };
        }
        let target_ms = plan.route.target_ms;
        let queue_fill = control.waiting_time.max_fill(&plan.service, target_ms, self.left_ms());
        FillLimit { rank_factor, queue_fill }
    }

    /// Picks an endpoint for a short request: by the counts of all gateways, and in overload by this
    /// gateway's share.
    pub(super) fn pick_short(
        &self,
        control: &mut Control,
        req: &PickRequest<'_>,
        fill: FillLimit,
        now: MonoMs,
    ) -> Result<Choice, NoChoice> {
        let plan = &self.plan;
        let picked = control.pick(req, now);
        if !matches!(picked, Ok(_) | Err(NoChoice::Full { .. })) {
            return picked;
        }
        let has_room = picked.is_ok();
        let short = self.short_request(control, fill, has_room);
        let decision = control.decide_overload(&short, now);
        self.count_decision(decision, has_room);
        match decision {
            OverloadDecision::ByCounts => picked,
            OverloadDecision::Admitted => {
                let count_weight = control.share_count_weight(&plan.service);
                control.pick(&PickRequest { max_fill: f64::INFINITY, count_weight, ..*req }, now)
            }
            OverloadDecision::Refused => {
                let least_fill = control.service_load(&plan.service, now).fill();
                Err(NoChoice::Full { least_fill })
            }
        }
    }

    fn short_request(
        &self,
        control: &Control,
        fill: FillLimit,
        has_room: bool,
    ) -> ShortRequest<'_> {
        let Plan { service, route, .. } = &*self.plan;
        let target_ms = control.waiting_time.limit_ms(service, route.target_ms, route.timeout_ms);
        ShortRequest {
            service: &self.plan.service,
            has_room,
            queue_fill: fill.queue_fill,
            rank_factor: fill.rank_factor,
            spent_ms: self.plan.spent_ms,
            target_ms,
        }
    }

    fn count_decision(&self, decision: OverloadDecision, has_room: bool) {
        let name = match decision {
            OverloadDecision::ByCounts if has_room => "admitted_by_counts",
            OverloadDecision::ByCounts => "refused_by_counts",
            OverloadDecision::Admitted => "admitted_by_share",
            OverloadDecision::Refused => "refused_by_share",
        };
        let labels = [&*self.plan.service, name];
        self.gw.metrics.callers.admission.decisions.with_label_values(&labels).inc();
    }

    /// Returns the delay after which the caller should come back because endpoints are full, in milliseconds.
    pub(super) fn full_retry_ms(&self, control: &mut Control, fill: FillLimit, now: MonoMs) -> u64 {
        if self.is_short() {
            let short = self.short_request(control, fill, false);
            return control.short_retry_ms(&short, self.left_ms(), now);
        }
        let draw = control.draw();
        control.waiting_time.retry_after_ms(&self.plan.service, draw)
    }

    fn admission_input(&self, control: &Control) -> AdmissionInput {
        control.admission_input(&self.plan.service, self.plan.rank, self.in_workspace.name())
    }

    pub(super) fn log_endpoints_full(
        &self,
        control: &Control,
        max_fill: f64,
        least_fill: f64,
        now: MonoMs,
    ) {
        let Some(suppressed) = self.gw.log_limiter.admit("full", now) else { return };
        let AdmissionInput { rank, share, workspaces } = self.admission_input(control);
        tracing::info!(target: "request", id = &*self.plan.head.id,
            route = &*self.plan.route.name, service = &*self.plan.service,
            workspace = self.in_workspace.name(), rank = rank.position, ranks = rank.count,
            share, workspaces, max_fill, least_fill, spent_ms = self.plan.spent_ms,
            own_requests = control.service_load(&self.plan.service, now).own,
            own_share = control.own_share(&self.plan.service, now), suppressed, "all endpoints are too full");
    }

    /// Records the answer to a short request, which tells whether the queue is too long.
    pub(super) fn record_short_answer(&self) {
        if !self.is_short() {
            return;
        }
        let Plan { service, route, arrived, .. } = &*self.plan;
        let now = self.gw.clock.now();
        let mut control = self.gw.control.borrow_mut();
        let limit_ms = control.waiting_time.limit_ms(service, route.target_ms, route.timeout_ms);
        control.record_short_answer(service, *arrived, limit_ms, now);
        let percent = (control.queue_allowance(service) * 100.0) as i64;
        self.gw
            .metrics
            .callers
            .admission
            .queue_allowance
            .with_label_values(&[&**service])
            .set(percent);
    }
}
