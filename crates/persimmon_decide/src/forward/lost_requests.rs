//! Requests that endpoints left without an answer, kept until it is known whether the endpoints
//! crashed.

use std::collections::HashMap;

use super::{CrashTracker, RequestSignature};
use crate::MonoMs;
use crate::load::EndpointHash;

/// A request in progress at an endpoint.
#[derive(Debug, Clone)]
struct RunningRequest {
    signature: RequestSignature,
    sent_at: MonoMs,
}

/// A request that an endpoint didn't answer, as far as the gateway can tell.
#[derive(Debug, Clone)]
pub(super) struct LostRequest {
    pub(super) signature: RequestSignature,
    pub(super) sent_at: MonoMs,
    /// Latest time at which the endpoint may have been alive.
    pub(super) at: MonoMs,
    /// Whether its answer ended in order, but in a way that a crash can look like.
    pub(super) looks_answered: bool,
    /// Whether it was given up because nothing came, so that the endpoint may be slow.
    is_given_up: bool,
}

impl LostRequest {
    /// Creates a request whose answer ended at `at` without being complete.
    pub(super) fn broken(request: &RequestSignature, sent_at: MonoMs, at: MonoMs) -> Self {
        Self { signature: request.clone(), sent_at, at, looks_answered: false, is_given_up: false }
    }

    /// Creates a request whose answer ended in order at `at`, as it would in a crash.
    pub(super) fn closed(request: &RequestSignature, sent_at: MonoMs, at: MonoMs) -> Self {
        Self { looks_answered: true, ..Self::broken(request, sent_at, at) }
    }

    /// Creates a request at an endpoint that has sent nothing since `silent_since`; none if it was
    /// sent when the endpoint was silent already, and so can't be the reason.
    pub(super) fn silent(
        request: &RequestSignature,
        sent_at: MonoMs,
        silent_since: MonoMs,
    ) -> Option<Self> {
        let at = silent_since.plus_ms(CrashTracker::MAX_DATA_GAP_MS);
        let lost = Self { is_given_up: true, ..Self::broken(request, sent_at, at) };
        (sent_at <= at).then_some(lost)
    }
}

/// Requests in progress, those that were lost recently, and endpoints that have ended.
#[derive(Debug, Default)]
pub(super) struct LostRequests {
    running: HashMap<EndpointHash, Vec<RunningRequest>>,
    lost: HashMap<EndpointHash, Vec<LostRequest>>,
    /// Endpoints that have ended, with the time.
    ended: HashMap<EndpointHash, MonoMs>,
}

impl LostRequests {
    /// Time after a broken connection in which an endpoint that refuses connections counts as
    /// crashed by the request, in milliseconds. A crashed process refuses connections immediately
    /// and doesn't restart for several seconds.
    const REFUSAL_WINDOW_MS: u64 = 1_000;
    /// Time between a missing answer and the platform's word that the endpoint has ended, in either
    /// order, in which it counts as crashed by the request, in milliseconds. The platform removes
    /// an endpoint's record after a few missed heartbeats.
    const END_WINDOW_MS: u64 = 10_000;
    /// Time after which an answer that only looks complete counts as complete if its endpoint hasn't
    /// ended, in milliseconds.
    const CONFIRM_MS: u64 = 5_000;
    /// Maximum number of stored requests of one endpoint.
    const MAX_REQUESTS: usize = 256;

    /// Records that a request is sent to an endpoint.
    pub(super) fn begin(
        &mut self,
        request: &RequestSignature,
        endpoint: EndpointHash,
        now: MonoMs,
    ) {
        let running = RunningRequest { signature: request.clone(), sent_at: now };
        self.running.entry(endpoint).or_default().push(running);
    }

    /// Records that the gateway no longer waits for an answer to a request sent at `sent_at`.
    pub(super) fn end(
        &mut self,
        request: &RequestSignature,
        endpoint: EndpointHash,
        sent_at: MonoMs,
    ) {
        let Some(running) = self.running.get_mut(&endpoint) else { return };
        let is_it = |it: &RunningRequest| it.sent_at == sent_at && it.signature == *request;
        if let Some(index) = running.iter().position(is_it) {
            running.swap_remove(index);
        }
        if running.is_empty() {
            self.running.remove(&endpoint);
        }
    }

    /// Stores a lost request. Returns it instead if its endpoint has ended already.
    pub(super) fn add(
        &mut self,
        request: LostRequest,
        endpoint: EndpointHash,
        now: MonoMs,
    ) -> Option<LostRequest> {
        let ended = self.ended.get(&endpoint);
        if ended.is_some_and(|at| now.ms_since(*at) <= Self::END_WINDOW_MS) {
            return Some(request);
        }
        let requests = self.lost.entry(endpoint).or_default();
        requests.retain(|it| now.ms_since(it.at) <= Self::END_WINDOW_MS);
        let is_known =
            |it: &LostRequest| it.sent_at == request.sent_at && it.signature == request.signature;
        if requests.iter().any(is_known) {
            return None;
        }
        if requests.len() >= Self::MAX_REQUESTS {
            requests.remove(0);
        }
        requests.push(request);
        None
    }

    /// Drops the requests that were given up at an endpoint, since it has sent data.
    pub(super) fn record_alive(&mut self, endpoint: EndpointHash) {
        if let Some(requests) = self.lost.get_mut(&endpoint) {
            requests.retain(|it| !it.is_given_up);
        }
    }

    /// Removes and returns the requests that an endpoint lost just before it refused connections.
    pub(super) fn take_refused(&mut self, endpoint: EndpointHash, now: MonoMs) -> Vec<LostRequest> {
        self.take(endpoint, Self::REFUSAL_WINDOW_MS, now)
    }

    /// Records that an endpoint has ended, and returns the requests that it lost: those that it left
    /// without an answer, and those that still wait for one if it has sent nothing `silent_since`
    /// then.
    pub(super) fn take_ended(
        &mut self,
        endpoint: EndpointHash,
        silent_since: Option<MonoMs>,
        now: MonoMs,
    ) -> Vec<LostRequest> {
        self.ended.insert(endpoint, now);
        let mut lost = self.take(endpoint, Self::END_WINDOW_MS, now);
        if let Some(since) = silent_since {
            let running = self.running.get(&endpoint).map_or(&[][..], Vec::as_slice);
            let silent =
                |it: &RunningRequest| LostRequest::silent(&it.signature, it.sent_at, since);
            lost.extend(running.iter().filter_map(silent));
        }
        lost
    }

    /// Removes and returns the requests that an endpoint lost within `window_ms`.
    fn take(&mut self, endpoint: EndpointHash, window_ms: u64, now: MonoMs) -> Vec<LostRequest> {
        let requests = self.lost.remove(&endpoint).unwrap_or_default();
        let (taken, kept): (Vec<_>, Vec<_>) =
            requests.into_iter().partition(|it| now.ms_since(it.at) <= window_ms);
        if !kept.is_empty() {
            self.lost.insert(endpoint, kept);
        }
        taken
    }

    /// Records that the platform publishes an endpoint, which thus hasn't ended.
    pub(super) fn record_published(&mut self, endpoint: EndpointHash) {
        self.ended.remove(&endpoint);
    }

    /// Removes old entries. Returns the requests whose answers count as complete, since their
    /// endpoints have outlived them.
    pub(super) fn expire(&mut self, now: MonoMs) -> Vec<RequestSignature> {
        let mut answered = Vec::new();
        for requests in self.lost.values_mut() {
            requests.retain(|it| {
                let age_ms = now.ms_since(it.at);
                let is_answered = it.looks_answered && age_ms > Self::CONFIRM_MS;
                if is_answered {
                    answered.push(it.signature.clone());
                }
                !is_answered && age_ms <= Self::END_WINDOW_MS
            });
        }
        self.lost.retain(|_, requests| !requests.is_empty());
        self.ended.retain(|_, at| now.ms_since(*at) <= Self::END_WINDOW_MS);
        answered
    }
}
