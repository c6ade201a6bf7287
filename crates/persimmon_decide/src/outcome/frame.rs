//! Frames: the pieces in which a sidecar sends an answer to a router.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Attempt, Incarnation, Offset, RequestId};

/// The identifier of the answer that a frame belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrameId {
    /// The request.
    pub request: RequestId,
    /// The router's attempt.
    pub attempt: Attempt,
    /// The incarnation of the sidecar that produced the frame.
    pub incarnation: Incarnation,
}

/// How an answer stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StreamEnd {
    /// The answer is complete.
    Whole,
    /// The request was cancelled, so the answer is incomplete.
    Cancelled,
    /// The sidecar withdrew the request before it ran; it won't run.
    Withdrawn,
    /// The endpoint stopped in the middle of the answer.
    Cut,
    /// The endpoint crashed while it ran the request; the request may be the cause.
    Crashed,
}

/// The payload of a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// A piece of the answer.
    Data(Arc<[u8]>),
    /// The end of the answer; the frame's offset is the number of data frames.
    End(StreamEnd),
}

/// A piece of an answer, or its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The answer that the frame belongs to.
    pub id: FrameId,
    /// The frame's position in the answer, from 0.
    pub offset: Offset,
    /// The payload.
    pub body: Body,
}
