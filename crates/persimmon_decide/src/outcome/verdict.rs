//! The three outcomes, and a sidecar's answer to a request to settle one.

use serde::{Deserialize, Serialize};

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The sidecar saw the whole answer.
    Done,
    /// It is certain that the request didn't run and won't.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// The name that failure bodies and metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// What a sidecar says about a request that a router asks it to settle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Settled {
    /// It is in progress; the router may attach to it.
    Started,
    /// It has its whole answer.
    Done,
    /// It never began, and is refused should it still arrive.
    NotRun,
    /// It may have run.
    Unknown,
}
