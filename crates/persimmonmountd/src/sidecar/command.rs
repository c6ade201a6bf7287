//! Messages to the control thread of a sidecar.

use flume::Sender;
use persimmon_decide::Offset;
use persimmon_decide::load::{CreditDemand, CreditReply};
use persimmon_decide::outcome::{LedgerKey, Settled, Stamp};
use persimmon_wire::{
    Admission, CallReply, ClaimReply, ClaimRequest, Frame, ModelRequest, Refused, RequestRef,
    ServiceCall, StreamPosition,
};

use super::engine::EngineEvent;
use super::order_sender::OrderEvent;
use super::service::ServiceEvent;
use crate::common::Status;

/// Channel to the router that requested the frames.
pub(crate) type FrameTx = Sender<Frame>;

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum Command {
    /// Admits a request to the engine.
    Submit { req: Box<ModelRequest>, frames: FrameTx, reply: Sender<Admission> },
    /// Resumes an answer for a router.
    Resume { position: StreamPosition, frames: FrameTx, reply: Sender<Option<Refused>> },
    /// Returns the outcome of a request, and prevents a request that hasn't started from starting.
    Settle { request: RequestRef, reply: Sender<Settled> },
    /// Cancels a request.
    Cancel { request: RequestRef },
    /// Acknowledges every frame before `next`.
    Acknowledge { key: LedgerKey, next: Offset },
    /// Issues a claim for a call that must not run twice.
    Claim { req: ClaimRequest, reply: Sender<ClaimReply> },
    /// Runs a call to the service.
    Call { call: Box<ServiceCall>, reply: Sender<CallReply> },
    /// Grants credits of a workspace's limit that this sidecar manages.
    Credit { demand: CreditDemand, reply: Sender<CreditReply> },
    /// Returns a new stamp.
    Stamp { reply: Sender<Stamp> },
    /// Sets the engine's incarnation, or `None` if the engine doesn't respond.
    EngineIncarnation(Option<u64>),
    /// Handles an update on a request from an engine thread.
    Engine(EngineEvent),
    /// Handles the result of reading weights or of an order to the engine.
    Order(OrderEvent),
    /// Handles the result of a call to the service.
    Service(ServiceEvent),
    /// Returns the state for operators.
    Status { reply: Sender<Status> },
    /// Stops the process once no requests are in progress.
    Drain,
}
