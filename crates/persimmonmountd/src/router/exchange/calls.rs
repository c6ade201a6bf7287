//! The calls that an exchange sends to sidecars: submit, resume, settle and cancel.

use std::time::Duration;

use persimmon_decide::Attempt;
use persimmon_decide::outcome::{Event, HeartbeatLimits, Refusal, Stamp};
use persimmon_wire::fleet_capnp::{resumption, sidecar};
use persimmon_wire::{Admission, ModelRequest, Refused, RequestRef, StreamPosition, read_settled};
use tokio::time::timeout;

use super::super::command::{Command, PlannedEndpoint};
use super::super::pool::Link;
use super::Exchange;

/// Timeout for a sidecar's reply on a connection that is known to work.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

impl Exchange {
    /// Submits the request to the next endpoint. An endpoint that refused it before gets a new
    /// stamp.
    pub(super) async fn submit(&mut self, candidate: usize, attempt: Attempt) -> Event {
        let Some((endpoint, refused_mean_per_slot)) = self.next_endpoint() else {
            return Event::ConnectFailed { attempt };
        };
        let was_tried = self.tried.iter().any(|tried| tried.hash == endpoint.hash);
        self.tried.push(endpoint.clone());
        self.parts.template.refused_mean_per_slot = refused_mean_per_slot;
        let link = match was_tried {
            true => self.cx.pool.link_with_new_stamp(&endpoint).await,
            false => self.cx.pool.link(&endpoint).await,
        };
        let Some(link) = self.cx.link_or_suspect(&endpoint, link) else {
            return Event::ConnectFailed { attempt };
        };
        match self.send(&link, &endpoint, candidate, attempt).await {
            Some(admission) => self.on_admission(&endpoint, attempt, admission),
            None => {
                self.cx.pool.discard(&endpoint.name);
                self.cx.send(Command::Suspect { endpoint: endpoint.hash });
                Event::Lost { attempt }
            }
        }
    }

    /// Returns the next endpoint to try and the mean load per slot of the endpoints that refused
    /// the request, if enough of them have.
    pub(super) fn next_endpoint(&mut self) -> Option<(PlannedEndpoint, Option<f64>)> {
        let next = self.order.next_try()?;
        let is_next = |endpoint: &&PlannedEndpoint| endpoint.hash == next.candidate.endpoint;
        let endpoint = self.parts.endpoints.iter().find(is_next)?.clone();
        Some((endpoint, next.refused_mean_per_slot))
    }

    /// Sends the request and returns the admission, or `None` if no valid reply was received within
    /// the timeout.
    pub(super) async fn send(
        &mut self,
        link: &Link,
        endpoint: &PlannedEndpoint,
        candidate: usize,
        attempt: Attempt,
    ) -> Option<Admission> {
        let sink = self.open_stream(candidate, endpoint, link);
        let mut call = link.sidecar.submit_request();
        let mut params = call.get();
        let left_ms = self.parts.deadline.ms_since(self.cx.clock.now());
        let req = ModelRequest {
            id: self.request_ref(link.stamp),
            attempt,
            uncached_tokens: self.uncached_tokens(endpoint),
            deadline_ms: left_ms,
            ..self.parts.template.clone()
        };
        req.write(params.reborrow().init_request());
        params.set_sink(sink);
        let limit = self.reply_timeout(link);
        let reply = timeout(limit, call.send().promise).await.ok()?.ok()?;
        let admission = Admission::read(reply.get().ok()?.get_admission().ok()?).ok()?;
        self.cx.pool.update_stamp(&endpoint.name, admission.stamp);
        Some(admission)
    }

    /// Records the reported load and returns the event for an admission.
    pub(super) fn on_admission(
        &mut self,
        endpoint: &PlannedEndpoint,
        attempt: Attempt,
        admission: Admission,
    ) -> Event {
        self.cx.send(Command::LoadReported { endpoint: endpoint.hash, load: admission.load });
        let Some(refused) = admission.refused else {
            let work = endpoint.candidate.work;
            self.cx.send(Command::Sent { endpoint: endpoint.hash, work });
            return Event::Accepted { attempt };
        };
        self.stream = None;
        if refused.refusal == Refusal::OverBound {
            self.order.refused(admission.load);
        }
        if refused.refusal == Refusal::Leaving {
            self.cx.send(Command::Leaving { endpoint: endpoint.hash });
        }
        let retry_after_ms = (refused.retry_after_ms > 0).then_some(refused.retry_after_ms);
        Event::Refused { attempt, refusal: refused.refusal, retry_after_ms }
    }

    /// Opens a new connection and resumes the answer on it.
    pub(super) async fn reopen(&mut self, candidate: usize, attempt: Attempt) -> Event {
        let Some((endpoint, stamp)) = self.sent_to(candidate) else {
            return Event::ResumeRefused { attempt };
        };
        let Ok(link) = self.cx.pool.new_link(&endpoint).await else {
            return Event::Lost { attempt };
        };
        let offset = self.next_offset();
        let sink = self.open_stream(candidate, &endpoint, &link.clone().with_stamp(stamp));
        let position = StreamPosition { id: self.request_ref(stamp), attempt, offset };
        let mut call = link.sidecar.resume_request();
        let mut params = call.get();
        position.write(params.reborrow().init_position());
        params.set_sink(sink);
        let Ok(Ok(reply)) = timeout(CALL_TIMEOUT, call.send().promise).await else {
            return Event::Lost { attempt };
        };
        let refused = reply.get().and_then(|reply| refused_resumption(reply.get_resumption()?));
        match refused {
            Ok(None) => Event::Resumed { attempt },
            Ok(Some(refused)) => {
                tracing::info!(
                    "router: the sidecar refused to resume an answer: {}.",
                    refused.refusal
                );
                Event::ResumeRefused { attempt }
            }
            Err(_) => Event::Lost { attempt },
        }
    }

    /// Requests the outcome from the sidecar of a lost attempt.
    pub(super) async fn settle(&mut self, candidate: usize, attempt: Attempt) -> Event {
        let Some((endpoint, stamp)) = self.sent_to(candidate) else {
            return Event::Lost { attempt };
        };
        let Ok(link) = self.cx.pool.new_link(&endpoint).await else {
            return Event::Lost { attempt };
        };
        let mut call = link.sidecar.settle_request();
        self.request_ref(stamp).write(call.get().init_request());
        let Ok(Ok(reply)) = timeout(CALL_TIMEOUT, call.send().promise).await else {
            return Event::Lost { attempt };
        };
        match reply.get().map(sidecar::settle_results::Reader::get_settled) {
            Ok(Ok(settled)) => Event::Settled { attempt, settled: read_settled(settled) },
            _ => Event::Lost { attempt },
        }
    }

    /// Cancels the request at its sidecar, without waiting for the reply.
    pub(super) fn cancel(&mut self, candidate: usize, attempt: Attempt) {
        let Some((endpoint, stamp)) = self.sent_to(candidate) else { return };
        let request = self.request_ref(stamp);
        let cx = self.cx.clone();
        tracing::debug!("router: cancelling attempt {}.", attempt.0);
        tokio::task::spawn_local(async move {
            let Ok(link) = cx.pool.link(&endpoint).await else { return };
            let mut call = link.sidecar.cancel_request();
            request.write(call.get().init_request());
            let _lost = timeout(CALL_TIMEOUT, call.send().promise).await;
        });
    }

    pub(super) fn request_ref(&self, stamp: Stamp) -> RequestRef {
        RequestRef { workspace: self.parts.workspace.clone(), id: self.parts.template.id.id, stamp }
    }

    pub(super) fn uncached_tokens(&self, endpoint: &PlannedEndpoint) -> u32 {
        self.parts.template.uncached_tokens.saturating_sub(endpoint.candidate.cached_tokens)
    }

    /// Returns the timeout for the reply to a submission. It is shorter on a reused connection,
    /// which may have been lost while it was idle.
    pub(super) fn reply_timeout(&self, link: &Link) -> Duration {
        if link.is_reused {
            Duration::from_millis(HeartbeatLimits::default().first_ack_ms)
        } else {
            CALL_TIMEOUT
        }
    }
}

fn refused_resumption(reader: resumption::Reader<'_>) -> capnp::Result<Option<Refused>> {
    match reader.which()? {
        resumption::Resumed(()) => Ok(None),
        resumption::Refused(refused) => Ok(Some(Refused::read(refused?)?)),
    }
}
