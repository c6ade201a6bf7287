//! The callers' requests in progress.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use persimmon_decide::MonoMs;
use slotmap::{SlotMap, new_key_type};

use crate::gateway::Gateway;
use crate::platform::Platform;

new_key_type! {
    struct RequestKey;
}

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// It is being read, or its route isn't chosen yet.
    Arriving,
    /// It is accepted, and no endpoint has it.
    Accepted,
    /// It was sent to an endpoint.
    Sent,
    /// Its answer has started.
    Answering,
}

impl RequestStage {
    /// Returns the name for logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Arriving => "arriving",
            Self::Accepted => "accepted",
            Self::Sent => "sent",
            Self::Answering => "answering",
        }
    }
}

/// A request in progress.
#[derive(Debug, Clone)]
pub(crate) struct OpenRequest {
    /// Id of the request; empty until its head has been checked.
    pub(crate) id: Arc<str>,
    /// Name of its route; empty until it is accepted.
    pub(crate) route: Arc<str>,
    pub(crate) stage: RequestStage,
    pub(crate) arrived: MonoMs,
}

/// All requests in progress.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    open: RefCell<SlotMap<RequestKey, OpenRequest>>,
}

impl OpenRequests {
    /// Returns the number of requests in progress.
    pub(crate) fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns the requests in progress.
    pub(crate) fn list(&self) -> Vec<OpenRequest> {
        self.open.borrow().values().cloned().collect()
    }
}

/// Counts a caller's request while it is in progress.
#[derive(Debug)]
pub(crate) struct InProgress<P: Platform> {
    gw: Rc<Gateway<P>>,
    key: RequestKey,
}

impl<P: Platform> InProgress<P> {
    /// Begins a request that arrived at this time.
    pub(crate) fn begin(gw: &Rc<Gateway<P>>, arrived: MonoMs) -> Self {
        let (id, route, stage) = (Arc::default(), Arc::default(), RequestStage::Arriving);
        let request = OpenRequest { id, route, stage, arrived };
        let key = gw.requests.open.borrow_mut().insert(request);
        gw.metrics.in_progress.inc();
        Self { gw: gw.clone(), key }
    }

    /// Records the request's id.
    pub(crate) fn set_id(&self, id: &Arc<str>) {
        self.update(|request| request.id = id.clone());
    }

    /// Records that the request is accepted on a route.
    pub(crate) fn record_accepted(&self, route: &Arc<str>) {
        self.update(|request| {
            request.route = route.clone();
            request.stage = RequestStage::Accepted;
        });
    }

    /// Records how far the request has come.
    pub(crate) fn set_stage(&self, stage: RequestStage) {
        self.update(|request| request.stage = stage);
    }

    fn update(&self, change: impl FnOnce(&mut OpenRequest)) {
        if let Some(request) = self.gw.requests.open.borrow_mut().get_mut(self.key) {
            change(request);
        }
    }
}

impl<P: Platform> Drop for InProgress<P> {
    fn drop(&mut self) {
        self.gw.requests.open.borrow_mut().remove(self.key);
        self.gw.control.borrow_mut().idle_since = self.gw.clock.now();
        self.gw.metrics.in_progress.dec();
    }
}
