//! Admission of short requests to an overloaded service.

use super::{OwnShare, QueueAllowance, RetryDelay, ServiceLoad};
use crate::MonoMs;

/// What the admission of a request is decided by.
#[derive(Debug, Clone, Copy)]
pub struct OverloadInput {
    /// Load of the service's endpoints.
    pub load: ServiceLoad,
    /// Whether an endpoint has room for the request by the counts of all gateways.
    pub has_room: bool,
    /// Fill up to which endpoints are expected to answer within the target, as a multiple of their slots.
    pub queue_fill: f64,
    /// Factor on that fill by the request's rank and workspace.
    pub rank_factor: f64,
    /// Time that the caller has already spent on the request, in milliseconds.
    pub spent_ms: u64,
    /// Time within which the request should be answered, in milliseconds.
    pub target_ms: u64,
    /// Mean duration of a request with a slot, in milliseconds.
    pub mean_ms: u64,
    /// Interval between the digests of a gateway, in milliseconds.
    pub interval_ms: u64,
    /// Random number from 0 to 1.
    pub draw: f64,
    /// Current time.
    pub now: MonoMs,
}

/// How a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverloadDecision {
    /// The service isn't overloaded, or this gateway doesn't know its share: the counts of all gateways
    /// decide.
    ByCounts,
    /// This gateway's share allows the request, whatever the counts say.
    Admitted,
    /// This gateway's share is used up.
    Refused,
}

/// Admits short requests to one service in overload.
///
/// Handles overload in which the counts of the other gateways are older than a request takes: from the time
/// at which they say that every endpoint is full, each gateway limits its own requests to its share instead,
/// up to a queue with which most answers are on time.
#[derive(Debug, Default)]
pub struct OverloadControl {
    /// This gateway's share of the service.
    pub share: OwnShare,
    /// Length of the queue with which answers are on time.
    pub allowance: QueueAllowance,
    /// Time after which refused callers should come back.
    pub retry_delay: RetryDelay,
}

impl OverloadControl {
    /// Factor on the share for requests that can't be on time any more: they are worth less than those that
    /// can, but some are served when those use up less than the share.
    const LATE_FACTOR: f64 = 0.3;
    /// Fill by the counts from which a late answer begins an overload. At less, the answer was probably late
    /// because its endpoint is slow.
    const LATE_ANSWER_FILL: f64 = 1.5;
    /// Fill by the counts from which an overload lasts. It is less than what the shares allow with a short
    /// queue, and more than a usual load reaches for a moment.
    const LASTING_FILL: f64 = 1.2;
    /// Weight by age from which the peers' counts of one endpoint's load are used in overload: requests take
    /// at least half the time between two counts.
    const MIN_COUNT_WEIGHT: f64 = 0.5;

    /// Creates the control of a service that isn't overloaded.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides whether to admit a request.
    pub fn decide(&mut self, input: &OverloadInput) -> OverloadDecision {
        let decision = self.decide_by_share(input);
        let is_admitted = match decision {
            OverloadDecision::ByCounts => input.has_room,
            OverloadDecision::Admitted => true,
            OverloadDecision::Refused => false,
        };
        self.retry_delay.record(is_admitted, input.now);
        decision
    }

    fn decide_by_share(&mut self, input: &OverloadInput) -> OverloadDecision {
        let OverloadInput { load, mean_ms, interval_ms, draw, now, .. } = *input;
        if !input.has_room {
            self.share.record_full(interval_ms, draw, now);
        }
        if !self.share.is_overloaded(now) || !input.queue_fill.is_finite() || load.slots == 0 {
            return OverloadDecision::ByCounts;
        }
        let fill = self.allowance.fill(input.queue_fill);
        self.share.advance(load, now);
        self.share.set_fill(fill, mean_ms);
        // The queue is as long as the fill allows while the overload lasts.
        let expected_ms = input.spent_ms as f64 + mean_ms as f64 * fill;
        let late_factor =
            if expected_ms > input.target_ms as f64 { Self::LATE_FACTOR } else { 1.0 };
        if self.share.allows(load, input.rank_factor * late_factor) {
            return OverloadDecision::Admitted;
        }
        // The counts don't say that endpoints are full while the shares hold, so the overload lasts as long
        // as requests queue.
        if load.fill() >= Self::LASTING_FILL {
            self.share.record_full(interval_ms, draw, now);
            return OverloadDecision::Refused;
        }
        OverloadDecision::ByCounts
    }

    /// Returns the weight of the peers' counts of one endpoint's load, for a request that the share admits;
    /// `weight` is the weight by the age of the counts. In overload every endpoint has a queue, and gateways
    /// that follow old counts all send to the one that had the shortest, while slots of others are idle.
    pub fn count_weight(weight: f64) -> f64 {
        if weight < Self::MIN_COUNT_WEIGHT { 0.0 } else { weight }
    }

    /// Records that one of this gateway's requests, which `load` still has, is about to end.
    pub fn record_end(&mut self, load: ServiceLoad, now: MonoMs) {
        if self.share.is_overloaded(now) {
            self.share.advance(load, now);
        }
    }

    /// Records an answer of a request that was sent at `answer.began`.
    ///
    /// A late answer while requests queue tells of an overload before the counts of a large fleet do. During
    /// an overload, the answers to requests that were sent before it tell nothing of the queue that is allowed,
    /// nor do those sent while that queue drains, which takes about the target latency.
    pub fn record_answer(&mut self, answer: &AnswerInput, load: ServiceLoad) {
        let AnswerInput { began, target_ms, interval_ms, draw, now } = *answer;
        let is_on_time = now.ms_since(began) <= target_ms;
        if !is_on_time && load.fill() >= Self::LATE_ANSWER_FILL {
            self.share.record_full(interval_ms, draw, now);
        }
        if self.share.overloaded_since(now).is_some_and(|since| began > since.plus_ms(target_ms)) {
            self.allowance.record(is_on_time);
        }
    }
}

/// An answer to a request without a prompt.
#[derive(Debug, Clone, Copy)]
pub struct AnswerInput {
    /// Time at which the request was sent.
    pub began: MonoMs,
    /// Target latency, in milliseconds.
    pub target_ms: u64,
    /// Interval between the digests of a gateway, in milliseconds.
    pub interval_ms: u64,
    /// Random number from 0 to 1.
    pub draw: f64,
    /// Current time.
    pub now: MonoMs,
}
