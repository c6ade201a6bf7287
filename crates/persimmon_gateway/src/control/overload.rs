//! Admission of short requests to services in overload.

use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    AnswerInput, OverloadControl, OverloadDecision, OverloadInput, RecentRequests, RetryInput,
    ServiceLoad,
};
use rand::RngExt;

use super::Control;

/// A request without a prompt whose answer isn't a stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShortRequest<'a> {
    pub(crate) service: &'a Arc<str>,
    /// Whether an endpoint has room for it by the counts of all gateways.
    pub(crate) has_room: bool,
    /// Fill up to which endpoints are expected to answer within the target.
    pub(crate) queue_fill: f64,
    /// Factor on that fill by rank and workspace.
    pub(crate) rank_factor: f64,
    /// Time that the caller has already spent on the request, in milliseconds.
    pub(crate) spent_ms: u64,
    /// Time within which the request should be answered, in milliseconds.
    pub(crate) target_ms: u64,
}

impl Control {
    /// Decides whether this gateway's share of a service admits a request.
    pub(crate) fn decide_overload(
        &mut self,
        req: &ShortRequest<'_>,
        now: MonoMs,
    ) -> OverloadDecision {
        self.update_share(req.service, now);
        let load = self.service_load(req.service, now);
        let input = OverloadInput {
            load,
            has_room: req.has_room,
            queue_fill: req.queue_fill,
            rank_factor: req.rank_factor,
            spent_ms: req.spent_ms,
            target_ms: req.target_ms,
            mean_ms: self.waiting_time.mean_ms(req.service),
            interval_ms: self.load_interval_ms,
            draw: self.rng.random(),
            now,
        };
        self.overload(req.service).decide(&input)
    }

    /// Returns the load of a service's endpoints that take requests.
    pub(crate) fn service_load(&self, service: &str, now: MonoMs) -> ServiceLoad {
        ServiceLoad::new(service, self.fleet_view(now))
    }

    /// Returns the number of requests that this gateway may have in progress at an overloaded service; none
    /// if it isn't limited.
    pub(crate) fn own_share(&self, service: &str, now: MonoMs) -> Option<f64> {
        let share = &self.overload.get(service)?.share;
        if !share.is_overloaded(now) {
            return None;
        }
        share.share(self.service_load(service, now))
    }

    /// Returns the weight of peers' counts for a request that this gateway's share admits.
    pub(crate) fn share_count_weight(&self, service: &str) -> f64 {
        OverloadControl::count_weight(self.count_weight(service))
    }

    /// Returns the delay after which the caller of a refused short request should come back, in milliseconds.
    /// `left_ms` is the time until its deadline.
    pub(crate) fn short_retry_ms(
        &mut self,
        req: &ShortRequest<'_>,
        left_ms: u64,
        now: MonoMs,
    ) -> u64 {
        if self.own_share(req.service, now).is_none() {
            let draw = self.draw();
            return self.waiting_time.retry_after_ms(req.service, draw);
        }
        let input = RetryInput {
            turnover_ms: self.waiting_time.mean_ms(req.service),
            spent_ms: req.spent_ms,
            target_ms: req.target_ms,
            left_ms,
            draw: self.rng.random(),
            now,
        };
        self.overload(req.service).retry_delay.delay_ms(input)
    }

    /// Returns the factor on the queue at a service.
    pub(crate) fn queue_allowance(&self, service: &str) -> f64 {
        self.overload.get(service).map_or(1.0, |it| it.allowance.factor())
    }

    /// Records that one of this gateway's requests is about to end.
    pub(super) fn record_share_end(&mut self, service: &str, now: MonoMs) {
        let Some(control) = self.overload.get(service) else { return };
        if control.share.is_overloaded(now) {
            let load = self.service_load(service, now);
            if let Some(control) = self.overload.get_mut(service) {
                control.record_end(load, now);
            }
        }
    }

    /// Records the answer to a short request that arrived at `began`.
    pub(crate) fn record_short_answer(
        &mut self,
        service: &Arc<str>,
        began: MonoMs,
        target_ms: u64,
        now: MonoMs,
    ) {
        let load = self.service_load(service, now);
        let interval_ms = self.load_interval_ms;
        let draw = self.rng.random();
        let answer = AnswerInput { began, target_ms, interval_ms, draw, now };
        self.overload(service).record_answer(&answer, load);
    }

    fn overload(&mut self, service: &Arc<str>) -> &mut OverloadControl {
        self.overload.entry(service.clone()).or_default()
    }

    fn update_share(&mut self, service: &Arc<str>, now: MonoMs) {
        if !self.overload(service).share.is_outdated(now) {
            return;
        }
        let recent = RecentRequests {
            own: self.window(service).counts(now).fresh,
            others: self.peers.retries(service, now).fresh,
            gateways: self.peers.gateways(now),
            hears_most: self.peers.hears_most(now),
        };
        self.overload(service).share.update(recent, now);
    }
}
