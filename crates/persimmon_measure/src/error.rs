//! Errors of measurements.

use std::io;

use persimmon_standins::fleet::{CallError, FleetError};
use thiserror::Error;

/// Error of a measurement.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// A process couldn't be started or controlled.
    #[error("{0}")]
    Fleet(#[from] FleetError),
    /// A call through a router failed.
    #[error("{0}")]
    Call(#[from] CallError),
    /// A call to a stand-in failed.
    #[error("a stand-in did not respond ({0}); check that it runs")]
    StandIn(#[from] minreq::Error),
    /// A system call failed.
    #[error("a system call failed: {0}; check the limits on processes, ports and files")]
    System(#[from] io::Error),
    /// A stream ended before its last token.
    #[error("a stream ended after {found} of {wanted} tokens; check the router's log")]
    StreamCutOff {
        /// Number of tokens that arrived.
        found: usize,
        /// Number of tokens that were requested.
        wanted: usize,
    },
    /// A router answered a request with an error status.
    #[error("a router answered {status}: {body}; check its log")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// Some streams didn't start in time.
    #[error(
        "{started} of {wanted} streams started, {failed} failed (first failure: {reason}); check the router's log"
    )]
    StreamsNotStarted {
        /// Number of streams that received their first token.
        started: usize,
        /// Number of streams that were requested.
        wanted: usize,
        /// Number of streams that were refused or cut off.
        failed: usize,
        /// Reason of the first failure.
        reason: String,
    },
    /// A measured process didn't adopt the records in time.
    #[error("{0} did not adopt the records and become ready in time; check its log")]
    RecordsNotAdopted(String),
    /// The kernel's statistics of a process can't be read.
    #[error(
        "can't read /proc statistics of process {id}; use Linux and check that the process runs"
    )]
    ProcessStats {
        /// Id of the process.
        id: u32,
    },
    /// A program doesn't exist.
    #[error("{0} isn't built; run `cargo measure`, which builds it")]
    NotBuilt(String),
    /// Cargo couldn't build a program.
    #[error("cargo couldn't build {0}; fix the errors above")]
    Build(String),
    /// There are too few points to fit a line.
    #[error("fitting a line requires at least two different sizes")]
    TooFewSizes,
}
