//! Frames: the pieces of an answer between sidecar and router.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Attempt, Incarnation, Offset, RequestId};

/// Which answer a frame belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrameId {
    /// The request that the frame answers.
    pub request: RequestId,
    /// The router's attempt that asked for it.
    pub attempt: Attempt,
    /// The sidecar's life that produced it.
    pub incarnation: Incarnation,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StreamEnd {
    /// The answer is whole.
    Whole,
    /// The request was cancelled, so the answer isn't whole.
    Cancelled,
    /// The request was given up before any of it ran, and won't run.
    Withdrawn,
    /// The endpoint stopped in the middle of the answer.
    Cut,
    /// The endpoint crashed while it ran the request, which may be the cause.
    Crashed,
}

/// What a frame carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// A piece of the answer.
    Data(Arc<[u8]>),
    /// No frame follows; the frame's offset is the number of data frames.
    End(StreamEnd),
}

/// A piece of an answer, or its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Which answer the frame belongs to.
    pub id: FrameId,
    /// The frame's place in the answer, from 0.
    pub offset: Offset,
    /// What the frame carries.
    pub body: Body,
}
