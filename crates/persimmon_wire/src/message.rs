//! Messages between router and sidecar, as the processes handle them.

use std::sync::Arc;

use persimmon_decide::load::LoadReport;
use persimmon_decide::outcome::{FrameId, IdempotencyKey, Refusal, Stamp, StreamEnd};
use persimmon_decide::recovery::QuarantineRefusal;
use persimmon_decide::{Attempt, Fingerprint, MonoMs, Offset, RequestId};
use persimmon_records::{Class, ModelName, ServiceName, WorkspaceName};

/// Names a request to the sidecar that it was sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRef {
    /// The caller's workspace.
    pub workspace: WorkspaceName,
    /// The request.
    pub id: RequestId,
    /// The newest stamp that the router holds of the sidecar.
    pub stamp: Stamp,
}

/// A request to a model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelRequest {
    /// Names the request.
    pub id: RequestRef,
    /// The router's attempt.
    pub attempt: Attempt,
    /// The model asked for.
    pub model: ModelName,
    /// How urgent it is.
    pub class: Class,
    /// Identifies the request's content.
    pub fingerprint: Fingerprint,
    /// Estimate of the prompt tokens that the engine's cache doesn't hold.
    pub uncached_tokens: u32,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Milliseconds left until the caller's deadline.
    pub deadline_ms: u64,
    /// The messages as JSON, as the engine takes them.
    pub messages: Arc<str>,
    /// The trace that the request belongs to.
    pub traceparent: String,
    /// Identifies the chat.
    pub chat: u64,
    /// The mean load per slot of the endpoints that have just refused the request, if enough have.
    pub told_per_slot: Option<f64>,
}

/// A refusal with the delay after which retrying may help.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub refusal: Refusal,
    /// Milliseconds until retrying may help; zero for at once.
    pub retry_after_ms: u64,
}

impl From<QuarantineRefusal> for Refused {
    fn from(refusal: QuarantineRefusal) -> Self {
        let (refusal, after_s) = match refusal {
            QuarantineRefusal::Quarantined { retry_after_s } => {
                (Refusal::Quarantined, retry_after_s)
            }
            QuarantineRefusal::TooSoon { retry_after_s } => (Refusal::Suspected, retry_after_s),
        };
        Self { refusal, retry_after_ms: after_s.saturating_mul(1_000) }
    }
}

/// A sidecar's answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admission {
    /// The endpoint's load after the decision.
    pub load: LoadReport,
    /// A fresh stamp of the sidecar.
    pub stamp: Stamp,
    /// The refusal, if it wasn't accepted.
    pub refused: Option<Refused>,
}

/// Where to resume an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamPosition {
    /// Names the request.
    pub id: RequestRef,
    /// The router's attempt, which later frames carry.
    pub attempt: Attempt,
    /// The first frame that is missing.
    pub offset: Offset,
}

/// What a frame carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameBody {
    /// Nothing new: the stream is alive. Holds the time of a fresh stamp.
    Heartbeat(MonoMs),
    /// One line of the engine's answer.
    Data(Arc<[u8]>),
    /// No frame follows.
    End(StreamEnd),
}

/// A piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Which answer the frame belongs to.
    pub id: FrameId,
    /// The frame's place in the answer.
    pub offset: Offset,
    /// What it carries.
    pub body: FrameBody,
}

/// Asks a sidecar to become the owner of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The caller's workspace.
    pub workspace: WorkspaceName,
    /// The service to call.
    pub service: ServiceName,
    /// The caller's key for the call.
    pub key: IdempotencyKey,
}

/// A sidecar's answer to a request for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimReply {
    /// The claim, opaque to the caller.
    Issued {
        /// The sealed claim.
        claim: String,
        /// Milliseconds until it expires.
        expires_in_ms: u64,
    },
    /// No claim was issued.
    Refused(Refused),
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// Names the request.
    pub id: RequestRef,
    /// The service called.
    pub service: ServiceName,
    /// The sealed claim; none for a call that may be repeated.
    pub claim: Option<String>,
    /// The operation, as the service names it.
    pub operation: String,
    /// The body as JSON.
    pub body: Arc<str>,
    /// Milliseconds left until the caller's deadline.
    pub deadline_ms: u64,
    /// The trace that the call belongs to.
    pub traceparent: String,
}

/// A sidecar's answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallReply {
    /// The service's answer.
    Answered {
        /// The HTTP status of the service's reply.
        status: u16,
        /// The service's JSON.
        body: Arc<str>,
        /// Whether it is the recorded answer of an earlier run.
        repeated: bool,
    },
    /// The call was refused.
    Refused(Refused),
    /// The call may have run.
    Unknown(String),
}
