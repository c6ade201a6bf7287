//! Messages between routers and the home of a limit.

use persimmon_records::{Class, WorkspaceName};
use serde::{Deserialize, Serialize};

use super::EndpointHash;
use crate::MonoMs;

/// Identifies a fleet-wide limit of a workspace, for one class or for all classes together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitKey {
    /// Workspace that the limit applies to.
    pub workspace: WorkspaceName,
    /// Class that the limit applies to, or `None` for the limit of all classes together.
    pub class: Option<Class>,
}

/// A router's demand for credits, sent to the home of a limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CreditDemand {
    /// Limit that the credits count against.
    pub key: LimitKey,
    /// Number of credits wanted. One credit pays for one request.
    pub wanted: u32,
}

/// Reply to a [`CreditDemand`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CreditReply {
    /// A batch of credits, which may be smaller than the demand or empty.
    Batch {
        /// Number of credits granted.
        credits: u32,
        /// Time to live of the credits in milliseconds, counted from when the demand was sent.
        ttl_ms: u32,
        /// Delay in milliseconds after which the router may demand more.
        more_after_ms: u32,
    },
    /// The receiver isn't the home of the limit; it names this endpoint's sidecar as the home.
    Elsewhere(EndpointHash),
}

/// Credits that a router may spend until they expire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CreditBatch {
    /// Number of unspent credits.
    pub credits: u32,
    /// Time at which the credits expire.
    pub expires_at: MonoMs,
}

impl CreditBatch {
    /// Returns the number of credits that may still be spent.
    pub fn left(&self, now: MonoMs) -> u32 {
        if self.expires_at > now { self.credits } else { 0 }
    }
}
