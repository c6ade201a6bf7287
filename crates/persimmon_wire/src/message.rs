//! Messages between router and sidecar, in the form that the processes work with.

use std::sync::Arc;

use persimmon_decide::load::LoadReport;
use persimmon_decide::outcome::{FrameId, IdempotencyKey, Refusal, Stamp, StreamEnd};
use persimmon_decide::recovery::QuarantineRefusal;
use persimmon_decide::{Attempt, Fingerprint, MonoMs, Offset, RequestId};
use persimmon_records::{Class, ModelName, ServiceName, WorkspaceName};

/// Reference by which a sidecar identifies a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRef {
    /// The caller's workspace.
    pub workspace: WorkspaceName,
    /// The request's id.
    pub id: RequestId,
    /// The newest stamp that the router has received from the sidecar.
    pub stamp: Stamp,
}

/// Request to a model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelRequest {
    /// The reference to the request.
    pub id: RequestRef,
    /// The number of the router's attempt.
    pub attempt: Attempt,
    /// The requested model.
    pub model: ModelName,
    /// The request's class.
    pub class: Class,
    /// The fingerprint of the request's content.
    pub fingerprint: Fingerprint,
    /// Estimated number of prompt tokens that aren't in the engine's cache.
    pub uncached_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Milliseconds left until the caller's deadline.
    pub deadline_ms: u64,
    /// The messages as JSON, in the engine's format.
    pub messages: Arc<str>,
    /// The trace context of the request, in the format of the `traceparent` header.
    pub traceparent: String,
    /// The id of the chat.
    pub chat: u64,
    /// The mean load per slot of the endpoints that have just refused the request, if enough of
    /// them have.
    pub refused_mean_per_slot: Option<f64>,
}

/// Refusal with the delay after which a retry may succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// The kind of refusal.
    pub refusal: Refusal,
    /// Milliseconds until a retry may succeed; zero if it may succeed immediately.
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

/// Reply of a sidecar to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admission {
    /// The endpoint's load after the admission decision.
    pub load: LoadReport,
    /// A new stamp of the sidecar.
    pub stamp: Stamp,
    /// The refusal, or `None` if the request was admitted.
    pub refused: Option<Refused>,
}

/// Position in an answer from which to resume its stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamPosition {
    /// The reference to the request.
    pub id: RequestRef,
    /// The number of the router's attempt, which later frames contain.
    pub attempt: Attempt,
    /// The offset of the first missing frame.
    pub offset: Offset,
}

/// Content of a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameBody {
    /// A heartbeat, which shows that the stream is alive. Contains no part of the answer, but the
    /// issue time of a new stamp.
    Heartbeat(MonoMs),
    /// One line of the engine's answer.
    Data(Arc<[u8]>),
    /// The end of the stream; no frame follows.
    End(StreamEnd),
}

/// One frame of an answer's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The id of the answer that the frame belongs to.
    pub id: FrameId,
    /// The frame's offset in the answer.
    pub offset: Offset,
    /// The frame's content.
    pub body: FrameBody,
}

/// Request to a sidecar to become the owner of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The caller's workspace.
    pub workspace: WorkspaceName,
    /// The service to be called.
    pub service: ServiceName,
    /// The caller's idempotency key for the call.
    pub key: IdempotencyKey,
}

/// Reply of a sidecar to a request for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimReply {
    /// The sidecar issued a claim, which is opaque to the caller.
    Issued {
        /// The sealed claim.
        claim: String,
        /// Milliseconds until it expires.
        expires_in_ms: u64,
    },
    /// The sidecar refused to issue a claim.
    Refused(Refused),
}

/// Call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// The reference to the request.
    pub id: RequestRef,
    /// The service called.
    pub service: ServiceName,
    /// The sealed claim; `None` for a call that may be run more than once.
    pub claim: Option<String>,
    /// The name of the service's operation.
    pub operation: String,
    /// The body as JSON.
    pub body: Arc<str>,
    /// Milliseconds left until the caller's deadline.
    pub deadline_ms: u64,
    /// The trace context of the call, in the format of the `traceparent` header.
    pub traceparent: String,
}

/// Reply of a sidecar to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallReply {
    /// The service replied.
    Answered {
        /// The HTTP status of the service's reply.
        status: u16,
        /// The JSON body of the service's reply.
        body: Arc<str>,
        /// Whether this is the recorded reply of an earlier run.
        repeated: bool,
    },
    /// The sidecar refused the call.
    Refused(Refused),
    /// It is unknown whether the call has run, for this reason.
    Unknown(String),
}
