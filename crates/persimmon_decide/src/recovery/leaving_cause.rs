//! Why a process admits no new work.

use persimmon_records::{Endpoint, UnixMs};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What made a process leave. Final for its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum LeavingCause {
    /// The process was asked to end.
    #[error("the process was asked to end")]
    Signal,
    /// The platform lists the VM as leaving.
    #[error("the platform lists its VM as leaving")]
    Listed,
    /// An operator drains the endpoint.
    #[error("an operator drains it")]
    Drained,
    /// The loan has ended, allowing for clock uncertainty.
    #[error("its loan has ended")]
    LoanEnded,
    /// The records in force no longer hold the endpoint.
    #[error("the records no longer hold it")]
    Withdrawn,
}

/// What keeps a process from admitting work until it is checked or changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Hold {
    /// No records are in force yet.
    #[error("no records are in force yet")]
    NoRecords,
    /// A reason to leave stood before the process ever admitted work. Clears if the reason does.
    #[error("{0}")]
    NotOpened(LeavingCause),
    /// The process was stopped and hasn't checked its records since.
    #[error("the process was stopped and hasn't checked its records since")]
    Unchecked,
    /// The view of the records is older than its lease.
    #[error("its view of the records is older than the lease")]
    StaleRecords,
}

/// A definite refusal: the request wasn't run here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NotServing {
    /// The process is leaving for good.
    #[error("the endpoint is leaving since {0}; send the request to the next endpoint")]
    Leaving(LeavingCause),
    /// The process can't admit now.
    #[error("the endpoint is on hold since {0}; send the request to the next endpoint")]
    Held(Hold),
}

/// What the records in force say about one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordsWord {
    /// The process may serve until then, if an end is set. Routers have none.
    Serve {
        /// When the loan ends.
        until: Option<UnixMs>,
    },
    /// An operator drains the endpoint.
    Drain,
    /// The records don't hold the endpoint.
    Absent,
}

impl RecordsWord {
    /// What the record of an endpoint says, or the lack of one.
    pub fn of_endpoint(endpoint: Option<&Endpoint>) -> Self {
        match endpoint {
            None => Self::Absent,
            Some(endpoint) if endpoint.draining => Self::Drain,
            Some(endpoint) => Self::Serve { until: endpoint.loan_ends_at },
        }
    }

    /// What the records say about a router, which no record names.
    pub fn of_router() -> Self {
        Self::Serve { until: None }
    }
}
