//! What is asked of admission and what it answers.

use persimmon_records::{Class, WorkspaceName};
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use thiserror::Error;

use super::{LoadReport, Work};
use crate::MonoMs;

new_key_type! {
    /// Identifies an admitted request at one sidecar, from its admission until it finishes.
    pub struct AdmittedKey;
}

/// A request that a router offers to a sidecar.
#[derive(Debug, Clone)]
pub struct Offer {
    /// The caller's workspace.
    pub workspace: WorkspaceName,
    /// How urgent the request is.
    pub class: Class,
    /// Estimated work.
    pub work: Work,
    /// When the request must have started, if the caller set a deadline.
    pub deadline: Option<MonoMs>,
    /// The mean load per slot of the endpoints that have just refused the request, by its router.
    pub refused_mean_per_slot: Option<f64>,
    /// Requests of this workspace and class that may run or wait here at once.
    pub in_progress_limit: u32,
}

/// Why a request was refused. The request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// The endpoint would exceed the multiple of the mean load.
    #[error("the endpoint is at its load bound; try the next endpoint")]
    OverBound,
    /// Every waiting place is taken.
    #[error("the endpoint's queue is full; try the next endpoint")]
    QueueFull,
    /// The workspace has as many requests in progress here as it may have.
    #[error(
        "the workspace is at its limit of requests in progress; retry after some have finished"
    )]
    WorkspaceLimit,
    /// The request couldn't start before its deadline.
    #[error("the request can't start before its deadline; retry later or set a later deadline")]
    Deadline,
}

/// An immediate and definite refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefuseReason,
    /// When the same request may be admitted here, in milliseconds, by the present queue.
    pub retry_after_ms: u64,
    /// What the endpoint carries.
    pub load: LoadReport,
}

/// The answer to an [`Offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request runs now.
    Start(AdmittedKey),
    /// The request waits for a slot.
    Wait {
        /// Identifies the request.
        key: AdmittedKey,
        /// Expected wait in milliseconds.
        expected_ms: u64,
    },
    /// The request wasn't taken.
    Refuse(Refusal),
}

/// What follows from the end of a request or the passing of time.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct QueueUpdate {
    /// Requests that start now.
    pub started: Vec<AdmittedKey>,
    /// Requests whose deadline passed while they waited; they were not run.
    pub expired: Vec<AdmittedKey>,
}
