//! The commands that the traffic threads of a router send to its control thread.

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

/// The kind of a caller's request, with the parts that decide where it goes.
#[derive(Debug, Clone)]
pub(crate) enum RequestKind {
    /// A turn of a chat.
    Chat {
        /// The model.
        model: ModelName,
        /// The messages up to and including the first one from the user, which identify the chat.
        opening: Vec<String>,
        /// The sealed chat token from the caller.
        token: Option<String>,
        /// The estimated number of prompt tokens.
        prompt_tokens: u32,
        /// The maximum number of tokens to generate.
        max_tokens: u32,
        /// The fingerprint of the request's body.
        fingerprint: Fingerprint,
    },
    /// A claim for a call that may not be repeated.
    Claim {
        /// The service.
        service: ServiceName,
        /// The caller's key, which spreads claims over the workers.
        key: String,
    },
    /// A call to a plain service.
    Service {
        /// The service.
        service: ServiceName,
        /// The caller's key or else the request id, which spreads calls over the workers.
        key: String,
        /// The owner of the call's claim, the only worker that may run the call.
        owner: Option<EndpointName>,
        /// The fingerprint of the call's operation and body.
        fingerprint: Fingerprint,
    },
    /// The rest of an answer.
    Answer {
        /// The endpoint whose sidecar retains the answer.
        endpoint: EndpointName,
    },
    /// The list of models.
    Models,
}

/// A request for a [`Plan`].
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
    /// The costs that placement expects at this endpoint.
    pub(crate) candidate: Candidate,
    /// Whether calls to it may be repeated.
    pub(crate) repeatable: bool,
}

/// The result of charging a request to a limit.
#[derive(Debug, Clone)]
pub(crate) struct ChargeResult {
    /// Whether a credit was spent on the request.
    pub(crate) is_charged: bool,
    /// The demand to send to the home of the limit now.
    pub(crate) demand: Option<HomeDemand>,
    /// The delay after which a request that wasn't charged may be retried, in milliseconds.
    pub(crate) retry_after_ms: u64,
}

/// One limit that a request counts against.
#[derive(Debug, Clone)]
pub(crate) struct Charge {
    pub(crate) key: LimitKey,
    pub(crate) result: ChargeResult,
}

/// A demand for credits and the home of its limit: the sidecar that grants them.
#[derive(Debug, Clone)]
pub(crate) struct HomeDemand {
    pub(crate) home: PlannedEndpoint,
    pub(crate) demand: CreditDemand,
}

/// An authorized request with the endpoints to try.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) workspace: WorkspaceName,
    pub(crate) class: Class,
    pub(crate) chat: ChatKey,
    /// The holders of the chat's prefix, from the chat token.
    pub(crate) holders: Vec<Holder>,
    /// The endpoints to try, in order.
    pub(crate) endpoints: Vec<PlannedEndpoint>,
    /// The models that the workspace may use.
    pub(crate) models: Vec<ModelName>,
    /// The limits that the request counts against.
    pub(crate) charges: Vec<Charge>,
}

/// A command to the control thread.
#[derive(Debug)]
pub(crate) enum Command {
    /// Authorizes a request and selects its endpoints.
    Plan { req: Box<PlanRequest>, reply: Sender<Result<Plan, Failure>> },
    /// Records a home's reply to a demand that was sent at `sent_at`.
    HomeReplied { key: LimitKey, reply: CreditReply, sent_at: MonoMs },
    /// Tries again to charge a request to a limit.
    RetryCharge { key: LimitKey, reply: Sender<ChargeResult> },
    /// Records the load that a sidecar reported.
    LoadReported { endpoint: EndpointHash, load: LoadReport },
    /// Records work that was sent to an endpoint.
    Sent { endpoint: EndpointHash, work: Work },
    /// Marks an endpoint as suspect because it is unreachable or silent.
    Suspect { endpoint: EndpointHash },
    /// Marks an endpoint as leaving, as its sidecar reported.
    Leaving { endpoint: EndpointHash },
    /// Asks whether the retry budget permits another run.
    AskBudget { reply: Sender<bool> },
    /// Records that an endpoint crashed while it ran a request.
    Crashed { endpoint: EndpointHash, fingerprint: Fingerprint },
    /// Counts the outcome of a request that ended.
    Ended { outcome: Outcome },
    /// Returns the status for operators.
    Status { reply: Sender<Status> },
    /// Drains the router, which then stops.
    Drain,
}
