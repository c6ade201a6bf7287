//! What can go wrong with a fleet under test.

use std::io;

use thiserror::Error;

/// Why a fleet or one of its processes can't be used.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A process couldn't be started.
    #[error("{name} couldn't be started; check that {program} is built: {source}")]
    Start {
        /// The process.
        name: String,
        /// Its program.
        program: String,
        /// What the system said.
        source: io::Error,
    },
    /// A process ended or was silent before it was ready.
    #[error("{name} printed no ready line in time; its log ends:\n{log}")]
    NotReady {
        /// The process.
        name: String,
        /// The end of its log.
        log: String,
    },
    /// The first line that a process printed can't be read.
    #[error("{name} printed {line:?}; its first line must be the ready line")]
    ReadyLine {
        /// The process.
        name: String,
        /// The line.
        line: String,
    },
    /// A process didn't adopt the published records.
    #[error(
        "{name} didn't put generation {generation} in force in time; its status is {status} and its \
         log ends:\n{log}"
    )]
    NotInForce {
        /// The process.
        name: String,
        /// The generation that was published.
        generation: u64,
        /// What it says of itself.
        status: String,
        /// The end of its log.
        log: String,
    },
    /// A process didn't become ready to take work.
    #[error("{name} takes no work; its log ends:\n{log}")]
    NotServing {
        /// The process.
        name: String,
        /// The end of its log.
        log: String,
    },
    /// A process didn't end.
    #[error("{name} didn't end in time; its log ends:\n{log}")]
    NotEnded {
        /// The process.
        name: String,
        /// The end of its log.
        log: String,
    },
    /// No process has this name.
    #[error("no process is named {0}; start it first")]
    UnknownName(String),
    /// A stand-in couldn't be started or a signal couldn't be sent.
    #[error("the system refused: {0}; check the limits on processes and ports")]
    System(#[from] io::Error),
    /// A process's operators' port gave no answer.
    #[error("a process gave no answer ({0}); check that it runs")]
    NoAnswer(#[from] minreq::Error),
}
