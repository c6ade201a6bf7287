//! What the traffic threads of a router ask of its control thread.

use std::net::SocketAddr;

use flume::Sender;
use persimmon_decide::load::{
    Candidate, ChatKey, CreditDemand, CreditReply, EndpointHash, Holder, LimitKey, LoadReport, Work,
};
use persimmon_decide::outcome::Outcome;
use persimmon_decide::{Fingerprint, MonoMs};
use persimmon_records::{Class, EndpointName, KeyDigest, ModelName, ServiceName, WorkspaceName};

use super::failure::Failure;
use crate::common::Status;

/// What a caller asks for.
#[derive(Debug, Clone)]
pub(crate) enum RequestKind {
    /// A turn of a chat.
    Chat {
        /// The model.
        model: ModelName,
        /// The messages up to the first one from the user, which identify the chat.
        opening: Vec<String>,
        /// The chat token as the caller sent it.
        token: Option<String>,
        /// Estimate of the prompt's tokens.
        prompt_tokens: u32,
        /// Most tokens to generate.
        max_tokens: u32,
        /// Identifies the request's content.
        fingerprint: Fingerprint,
    },
    /// A claim for a call that may not be repeated.
    Claim {
        /// The service.
        service: ServiceName,
        /// What spreads claims over the workers: the caller's key.
        key: String,
    },
    /// A call to a plain service.
    Service {
        /// The service.
        service: ServiceName,
        /// What spreads calls over the workers: the caller's key.
        key: String,
        /// The worker that alone may run the call.
        owner: Option<EndpointName>,
    },
    /// The rest of an answer.
    Answer {
        /// The endpoint that keeps it.
        endpoint: EndpointName,
    },
    /// The list of models.
    Models,
}

/// A request to be placed.
#[derive(Debug)]
pub(crate) struct PlanRequest {
    pub(crate) key: KeyDigest,
    pub(crate) class: Option<Class>,
    pub(crate) kind: RequestKind,
}

/// An endpoint to try.
#[derive(Debug, Clone)]
pub(crate) struct PlannedEndpoint {
    pub(crate) name: EndpointName,
    pub(crate) hash: EndpointHash,
    pub(crate) address: SocketAddr,
    /// What placement expects of it.
    pub(crate) candidate: Candidate,
    /// Whether calls to it may be repeated.
    pub(crate) repeatable: bool,
}

/// Whether a request is within its workspace's limit.
#[derive(Debug, Clone)]
pub(crate) struct Payment {
    /// Whether a credit paid for it.
    pub(crate) is_paid: bool,
    /// Credits to ask for now, and the sidecar to ask.
    pub(crate) demand: Option<HomeDemand>,
    /// When a request that isn't paid for may be tried again, in milliseconds.
    pub(crate) retry_after_ms: u64,
}

/// One limit that a request counts against.
#[derive(Debug, Clone)]
pub(crate) struct Charge {
    pub(crate) key: LimitKey,
    pub(crate) payment: Payment,
}

/// A demand for credits and the home of its limit.
#[derive(Debug, Clone)]
pub(crate) struct HomeDemand {
    pub(crate) home: PlannedEndpoint,
    pub(crate) demand: CreditDemand,
}

/// Where a request may go.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) workspace: WorkspaceName,
    pub(crate) class: Class,
    pub(crate) chat: ChatKey,
    /// The chat's holders by its token.
    pub(crate) holders: Vec<Holder>,
    /// The endpoints to try, in order.
    pub(crate) endpoints: Vec<PlannedEndpoint>,
    /// Models that the workspace may use.
    pub(crate) models: Vec<ModelName>,
    /// The limits that the request counts against.
    pub(crate) charges: Vec<Charge>,
}

/// One message to the control thread.
#[derive(Debug)]
pub(crate) enum Command {
    /// Where a request may go.
    Plan { req: Box<PlanRequest>, reply: Sender<Result<Plan, Failure>> },
    /// A home answered a demand that was sent at `sent_at`.
    HomeReplied { key: LimitKey, reply: CreditReply, sent_at: MonoMs },
    /// Whether a request that wasn't paid for is paid for now.
    SpendAgain { key: LimitKey, reply: Sender<Payment> },
    /// A sidecar told its load.
    LoadReported { endpoint: EndpointHash, load: LoadReport },
    /// Work was sent to an endpoint.
    Sent { endpoint: EndpointHash, work: Work },
    /// An endpoint couldn't be reached or fell silent.
    Suspect { endpoint: EndpointHash },
    /// An endpoint said that it's leaving.
    Leaving { endpoint: EndpointHash },
    /// Whether one more retry is within the budget.
    AskBudget { reply: Sender<bool> },
    /// An endpoint crashed while it ran a request.
    Crashed { endpoint: EndpointHash, fingerprint: Fingerprint },
    /// A request ended.
    Ended { outcome: Outcome },
    /// The state for operators.
    Status { reply: Sender<Status> },
    /// The process is to stop once nothing is in progress.
    Drain,
}
