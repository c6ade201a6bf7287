//! What the traffic threads of a router ask of its control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use flume::Sender;
use persimmon_decide::load::{ChatKey, EndpointHash, Holder, LoadReport, Work};
use persimmon_decide::outcome::Outcome;
use persimmon_records::{Class, EndpointName, KeyDigest, ModelName, ServiceName, WorkspaceName};

use super::failure::Failure;
use crate::common::{RecordsEvent, Status};

/// What a caller asks for.
#[derive(Debug, Clone)]
pub(crate) enum Wanted {
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
    pub(crate) wanted: Wanted,
}

/// An endpoint to try.
#[derive(Debug, Clone)]
pub(crate) struct PlannedEndpoint {
    pub(crate) name: EndpointName,
    pub(crate) hash: EndpointHash,
    pub(crate) address: SocketAddr,
    pub(crate) cached_tokens: u32,
    pub(crate) work: Work,
    /// Whether calls to it may be repeated.
    pub(crate) repeatable: bool,
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
    pub(crate) mean_per_slot: Option<f64>,
    /// Models that the workspace may use.
    pub(crate) models: Vec<ModelName>,
}

/// One message to the control thread.
#[derive(Debug)]
pub(crate) enum Command {
    /// Where a request may go.
    Plan { req: Box<PlanRequest>, reply: Sender<Result<Plan, Failure>> },
    /// A sidecar told its load.
    Loaded { endpoint: EndpointHash, load: LoadReport },
    /// Work was sent to an endpoint.
    Sent { endpoint: EndpointHash, work: Work },
    /// An endpoint couldn't be reached or fell silent.
    Suspect { endpoint: EndpointHash },
    /// An endpoint said that it's leaving.
    Left { endpoint: EndpointHash },
    /// Whether one more retry is within the budget.
    AskBudget { reply: Sender<bool> },
    /// A request ended.
    Ended { outcome: Outcome },
    /// News of records, the VM list or peers.
    Records(RecordsEvent),
    /// The state for operators.
    Status { reply: Sender<Status> },
    /// The process is to stop once nothing is in progress.
    Drain,
    /// The text of the records in force, for a peer that may hold older ones.
    RecordsText { generation: u64, reply: Sender<Option<Arc<str>>> },
}
