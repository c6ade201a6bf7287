//! The reasons why a process admits no new work.

use persimmon_records::{Endpoint, UnixMs};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The reason why a process leaves. Final for its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum LeavingCause {
    /// The process was asked to exit.
    #[error("the process was asked to exit")]
    Signal,
    /// The platform lists the VM as leaving.
    #[error("the platform lists its VM as leaving")]
    Listed,
    /// An operator drains the endpoint.
    #[error("an operator is draining it")]
    Drained,
    /// The loan has ended, allowing for clock uncertainty.
    #[error("its loan has ended")]
    LoanEnded,
    /// The records in force no longer list the endpoint.
    #[error("the records no longer list it")]
    Withdrawn,
}

/// A temporary reason that prevents a process from admitting work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HoldReason {
    /// No records are in force yet.
    #[error("no records are in force yet")]
    NoRecords,
    /// A cause to leave existed before the process was first ready to admit work. Clears with the
    /// cause.
    #[error("{0}")]
    LeavingBeforeReady(LeavingCause),
    /// The process was stopped or suspended and hasn't confirmed its records since.
    #[error("the process was stopped and hasn't confirmed its records since")]
    Unchecked,
    /// The lease of the records has expired without a confirmation.
    #[error("its records weren't confirmed within their lease")]
    StaleRecords,
}

/// A definite refusal: the request was not run here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NotServing {
    /// The process is leaving; this is final.
    #[error("the endpoint is leaving because {0}; send the request to the next endpoint")]
    Leaving(LeavingCause),
    /// The process temporarily admits no work.
    #[error("the endpoint is on hold because {0}; send the request to the next endpoint")]
    OnHold(HoldReason),
}

/// The status of one process in the records in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordStatus {
    /// The process may serve, if it is on loan until the loan ends. Routers are never on loan.
    Serve {
        /// When the loan ends.
        until: Option<UnixMs>,
    },
    /// An operator drains the endpoint.
    Drain,
    /// The records don't list the endpoint.
    Absent,
}

impl RecordStatus {
    /// Returns the status of an endpoint with the given record, or without one.
    pub fn of_endpoint(endpoint: Option<&Endpoint>) -> Self {
        match endpoint {
            None => Self::Absent,
            Some(endpoint) if endpoint.draining => Self::Drain,
            Some(endpoint) => Self::Serve { until: endpoint.loan_ends_at },
        }
    }

    /// Returns the status of a router. Records list no routers.
    pub fn of_router() -> Self {
        Self::Serve { until: None }
    }
}
