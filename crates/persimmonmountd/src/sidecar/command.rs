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
    /// A model request to admit.
    Submit { req: Box<ModelRequest>, frames: FrameTx, reply: Sender<Admission> },
    /// A router's request to resume an answer.
    Resume { position: StreamPosition, frames: FrameTx, reply: Sender<Option<Refused>> },
    /// A query for the outcome of a request; a request that hasn't started is prevented from
    /// starting.
    Settle { request: RequestRef, reply: Sender<Settled> },
    /// The cancellation of a request.
    Cancel { request: RequestRef },
    /// A router's acknowledgement of every frame before `next`.
    Acknowledge { key: LedgerKey, next: Offset },
    /// A request for a claim, which a call needs that must not run twice.
    Claim { req: ClaimRequest, reply: Sender<ClaimReply> },
    /// A call to the service.
    Call { call: Box<ServiceCall>, reply: Sender<CallReply> },
    /// A demand for credits of a workspace's limit that this sidecar manages.
    Credit { demand: CreditDemand, reply: Sender<CreditReply> },
    /// A query for a new stamp.
    Stamp { reply: Sender<Stamp> },
    /// The engine's incarnation, or `None` if the engine doesn't respond.
    EngineIncarnation(Option<u64>),
    /// An update on a request from its engine thread.
    Engine(EngineEvent),
    /// The result of reading weights or of sending an order to the engine.
    Order(OrderEvent),
    /// The result of a call to the service.
    Service(ServiceEvent),
    /// A query for the status page.
    Status { reply: Sender<Status> },
    /// A stop signal. The process ends once no requests are in progress.
    Drain,
}
