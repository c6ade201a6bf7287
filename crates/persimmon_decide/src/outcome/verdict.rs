//! Outcomes of requests, and the status that a sidecar reports when a router settles one.

use serde::{Deserialize, Serialize};

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The sidecar received the complete answer.
    Done,
    /// The request certainly didn't run and won't.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the stable name for failure bodies and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// The status that a sidecar reports for a request that a router settles.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Settled {
    /// The request is in progress; the router may attach to it.
    Started,
    /// The sidecar received the complete answer.
    Done,
    /// The request never began, and the sidecar refuses it if it still arrives.
    NotRun,
    /// The request may have run.
    Unknown,
}
