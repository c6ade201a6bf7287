//! Guards that count a request in progress until they are dropped.

use std::rc::Rc;
use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{AttemptEnd, Choice, Endpoint, RequestSignature};

use crate::gateway::Gateway;
use crate::platform::Platform;

/// An attempt at an endpoint, from the choice of the endpoint to the attempt's end.
///
/// It counts as part of the endpoint's load. Whatever ends it passes through `Control`'s
/// `record_attempt_end`; an attempt that is dropped without [`Self::close`] has been abandoned.
#[derive(Debug)]
pub(crate) struct InFlight<P: Platform> {
    gw: Rc<Gateway<P>>,
    attempt: Attempt,
    end: AttemptEnd,
}

/// What an attempt's end is judged by.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) signature: RequestSignature,
    /// Number of tokens of the request's prompt that the endpoint still has to read.
    pub(crate) unread_tokens: u32,
    pub(crate) began: MonoMs,
    /// Whether the endpoint probably had a free slot, so that the request didn't queue.
    pub(crate) had_free_slot: bool,
}

impl<P: Platform> InFlight<P> {
    pub(crate) fn begin(
        gw: &Rc<Gateway<P>>,
        choice: &Choice,
        signature: &RequestSignature,
    ) -> Self {
        let endpoint = choice.endpoint.clone();
        let unread_tokens = choice.unread_tokens;
        let mut control = gw.control.borrow_mut();
        control.loads.begin(endpoint.hash, unread_tokens);
        let began = gw.clock.now();
        if control.crashes.begin(signature, endpoint.hash, began) {
            gw.digest_due.notify_one();
            gw.crashes_changed.notify_one();
        }
        control.health.record_sent(endpoint.hash, began);
        let had_free_slot = choice.load < endpoint.slots;
        let signature = signature.clone();
        let attempt = Attempt { endpoint, signature, unread_tokens, began, had_free_slot };
        Self { gw: gw.clone(), attempt, end: AttemptEnd::Abandoned }
    }

    /// Returns the endpoint.
    pub(crate) fn endpoint(&self) -> &Arc<Endpoint> {
        &self.attempt.endpoint
    }

    /// Returns the time at which the request was sent.
    pub(crate) fn began(&self) -> MonoMs {
        self.attempt.began
    }

    /// Records that the answer has started, which means that the endpoint has read the prompt.
    pub(crate) fn record_head(&mut self) {
        let unread_tokens = std::mem::take(&mut self.attempt.unread_tokens);
        let endpoint = self.attempt.endpoint.hash;
        self.gw.control.borrow_mut().loads.record_read(endpoint, unread_tokens);
        self.record_received();
    }

    /// Records that the endpoint sent data.
    pub(crate) fn record_received(&self) {
        let endpoint = self.attempt.endpoint.hash;
        let now = self.gw.clock.now();
        let mut control = self.gw.control.borrow_mut();
        control.health.record_received(endpoint, true, now);
        control.crashes.record_alive(endpoint, now);
    }

    /// Ends the attempt.
    pub(crate) fn close(mut self, end: AttemptEnd) {
        self.end = end;
    }
}

impl<P: Platform> Drop for InFlight<P> {
    fn drop(&mut self) {
        let now = self.gw.clock.now();
        let must_tell =
            self.gw.control.borrow_mut().record_attempt_end(&self.attempt, self.end, now);
        if must_tell {
            self.gw.digest_due.notify_one();
            self.gw.log_newly_refused();
        }
    }
}

/// Counts a request for its workspace while it is in progress.
#[derive(Debug)]
pub(crate) struct InWorkspace<P: Platform> {
    gw: Rc<Gateway<P>>,
    service: Arc<str>,
    workspace: Arc<str>,
}

impl<P: Platform> InWorkspace<P> {
    pub(crate) fn begin(gw: &Rc<Gateway<P>>, service: &Arc<str>, workspace: Arc<str>) -> Self {
        gw.control.borrow_mut().shares.begin(service, &workspace);
        Self { gw: gw.clone(), service: service.clone(), workspace }
    }

    /// Returns the workspace's name.
    pub(crate) fn name(&self) -> &str {
        &self.workspace
    }
}

impl<P: Platform> Drop for InWorkspace<P> {
    fn drop(&mut self) {
        self.gw.control.borrow_mut().shares.end(&self.service, &self.workspace);
    }
}
