//! Errors of a fleet under test.

use std::io;

use thiserror::Error;

/// An error while a fleet or one of its processes is started or used.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A program that couldn't be started.
    #[error("{name} couldn't be started; check that {program} is built: {source}")]
    Start {
        /// Name of the process.
        name: String,
        /// Path of the program.
        program: String,
        /// Error from the operating system.
        source: io::Error,
    },
    /// A process that exited or timed out before it printed its ready line.
    #[error("{name} exited or timed out before its ready line; see the end of its log:\n{log}")]
    NotReady {
        /// Name of the process.
        name: String,
        /// End of the process's log.
        log: String,
    },
    /// A process whose first output line isn't a valid ready line.
    #[error("{name} printed {line:?} as its first line, not a ready line; check the program")]
    ReadyLine {
        /// Name of the process.
        name: String,
        /// First line that the process printed.
        line: String,
    },
    /// A daemon that didn't apply the published records in time.
    #[error(
        "{name} didn't apply generation {generation} in time; its status is {status}; see the end \
         of its log:\n{log}"
    )]
    NotInForce {
        /// Name of the process.
        name: String,
        /// Published generation.
        generation: u64,
        /// Status that the daemon reported.
        status: String,
        /// End of the process's log.
        log: String,
    },
    /// A daemon that wasn't ready to serve requests in time.
    #[error("{name} wasn't ready to serve requests in time; see the end of its log:\n{log}")]
    NotServing {
        /// Name of the process.
        name: String,
        /// End of the process's log.
        log: String,
    },
    /// A process that didn't exit in time.
    #[error("{name} didn't exit in time; see the end of its log:\n{log}")]
    NotEnded {
        /// Name of the process.
        name: String,
        /// End of the process's log.
        log: String,
    },
    /// A name that no process has.
    #[error("no process named {0} is running; start it first")]
    UnknownName(String),
    /// A system call that failed while a stand-in was started or a process was signalled.
    #[error("a system call failed: {0}; check the limits on processes and ports")]
    System(#[from] io::Error),
    /// A request to a process's operations or control port that failed.
    #[error("a process didn't answer ({0}); check that it is running")]
    NoAnswer(#[from] minreq::Error),
}
