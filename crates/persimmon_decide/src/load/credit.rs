//! What routers and the home of a limit say to each other.

use persimmon_records::{Class, WorkspaceName};
use serde::{Deserialize, Serialize};

use super::EndpointHash;
use crate::MonoMs;

/// Names one fleet-wide limit of a workspace: of a class, or of all classes together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitKey {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The class; none for the limit of all classes together.
    pub class: Option<Class>,
}

/// A router asks the home of a limit for credits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CreditDemand {
    /// The limit.
    pub key: LimitKey,
    /// Credits wanted; one pays for one request.
    pub wanted: u32,
}

/// The home's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CreditReply {
    /// A batch, perhaps of fewer credits than were wanted, or of none.
    Batch {
        /// Credits granted.
        credits: u32,
        /// How long they hold, in milliseconds from when the demand was sent.
        ttl_ms: u32,
        /// When more may be had, in milliseconds.
        more_after_ms: u32,
    },
    /// By the view of the process asked, this endpoint's sidecar is the home.
    Elsewhere(EndpointHash),
}

/// Credits that a router holds until they expire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CreditBatch {
    /// Credits left.
    pub credits: u32,
    /// When they lapse.
    pub expires_at: MonoMs,
}

impl CreditBatch {
    /// Credits that may still be spent.
    pub fn left(&self, now: MonoMs) -> u32 {
        if self.expires_at > now { self.credits } else { 0 }
    }
}
