//! What the traffic threads of a sidecar ask of its control thread.

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

/// Frames on their way to the router that asked for them.
pub(crate) type FrameTx = Sender<Frame>;

/// One message to the control thread.
#[derive(Debug)]
pub(crate) enum Command {
    /// A request to the engine.
    Submit { req: Box<ModelRequest>, frames: FrameTx, reply: Sender<Admission> },
    /// A router goes on with an answer.
    Resume { position: StreamPosition, frames: FrameTx, reply: Sender<Option<Refused>> },
    /// What became of a request; one that hasn't begun never will.
    Settle { request: RequestRef, reply: Sender<Settled> },
    /// The caller no longer wants the answer.
    Cancel { request: RequestRef },
    /// The router has every frame before the offset.
    Acknowledge { key: LedgerKey, next: Offset },
    /// A claim for a call that may not be repeated.
    Claim { req: ClaimRequest, reply: Sender<ClaimReply> },
    /// A call to the plain service.
    Call { call: Box<ServiceCall>, reply: Sender<CallReply> },
    /// Credits of a limit whose home this sidecar is.
    Credit { demand: CreditDemand, reply: Sender<CreditReply> },
    /// A fresh stamp.
    Greet { reply: Sender<Stamp> },
    /// Which life of the engine runs, if one does.
    EngineIncarnation(Option<u64>),
    /// News from the engine.
    Engine(EngineEvent),
    /// News of an order to the engine.
    Order(OrderEvent),
    /// News from the plain service.
    Service(ServiceEvent),
    /// The state for operators.
    Status { reply: Sender<Status> },
    /// The process is to stop once nothing is in progress.
    Drain,
}
