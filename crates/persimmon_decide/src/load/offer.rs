//! Offers of requests to a sidecar, and its decisions on them.

use persimmon_records::{Class, WorkspaceName};
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use thiserror::Error;

use super::{LoadReport, Work};
use crate::MonoMs;

new_key_type! {
    /// Identifies an admitted request at one sidecar until the request finishes.
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
    /// Latest time at which the request may start, if the caller set a deadline.
    pub deadline: Option<MonoMs>,
    /// Mean load per slot of the endpoints that have just refused this request, as calculated by
    /// its router.
    pub refused_mean_per_slot: Option<f64>,
    /// Maximum number of requests of this workspace and class that may run or wait at this
    /// endpoint.
    pub in_progress_limit: u32,
}

/// Reason for a refusal. A refused request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// The request would take the endpoint over its load bound.
    #[error("the request would take the endpoint over its load bound; try the next endpoint")]
    OverBound,
    /// The endpoint's queue has no room for requests of this class.
    #[error("the endpoint's queue is full; try the next endpoint")]
    QueueFull,
    /// The workspace has reached its limit of requests in progress at this endpoint, or its share
    /// of the queue.
    #[error(
        "the workspace is at its limit of requests in progress; retry after some have finished"
    )]
    WorkspaceLimit,
    /// The request isn't expected to start before its deadline.
    #[error(
        "the request isn't expected to start before its deadline; retry later or set a later deadline"
    )]
    Deadline,
}

/// An immediate and final refusal of an offer. The request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefuseReason,
    /// Estimated time in milliseconds, from the present queue, until this endpoint could admit the
    /// request.
    pub retry_after_ms: u64,
    /// Current load of the endpoint.
    pub load: LoadReport,
}

/// Decision on an [`Offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request starts immediately.
    Start(AdmittedKey),
    /// The request is queued for a slot.
    Wait {
        /// Key of the queued request.
        key: AdmittedKey,
        /// Expected wait in milliseconds.
        expected_ms: u64,
    },
    /// The request was refused.
    Refuse(Refusal),
}

/// Changes to queued requests after a request ended or time passed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct QueueUpdate {
    /// Requests that start now.
    pub started: Vec<AdmittedKey>,
    /// Requests whose deadline passed in the queue. They were not run.
    pub expired: Vec<AdmittedKey>,
}
