//! Commands of the tool and their errors.

use std::io;
use std::path::PathBuf;

use persimmon_records::{AdoptError, RecordErrors};
use persimmon_settings::{SettingFault, SettingsError};
use thiserror::Error;

use crate::args::{Args, Flag};
use crate::report::{Exit, Report};

/// One command of the tool.
#[derive(Debug)]
pub(crate) struct Command {
    /// The name on the command line.
    pub(crate) name: &'static str,
    /// The names of the positional arguments, in order.
    pub(crate) operands: &'static [&'static str],
    /// A one-line description.
    pub(crate) summary: &'static str,
    /// The flags in addition to `--help` and `--version`.
    pub(crate) flags: &'static [Flag],
    /// The function that runs the command.
    pub(crate) run: fn(Args) -> Result<Report, CommandError>,
}

impl Command {
    /// Returns the help text.
    pub(crate) fn help(&self) -> String {
        let operands: String = self.operands.iter().map(|name| format!(" {name}")).collect();
        let brief =
            format!("Usage: persimmonctl {}{operands} [flags]\n\n{}", self.name, self.summary);
        format!("{}\n{}", Args::options(self).usage(&brief), crate::report::EXIT_CODES)
    }
}

/// The reason why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// The command line or a setting is invalid.
    #[error(transparent)]
    Usage(#[from] SettingsError),
    /// A file can't be read.
    #[error("{} can't be read: {source}; check its path and permissions", path.display())]
    Read {
        /// Path of the unreadable file.
        path: PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
    /// A file can't be written.
    #[error("{} can't be written: {source}; check the directory and its space", path.display())]
    Write {
        /// Path of the file that was to be written.
        path: PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
    /// The records have faults.
    #[error("{}: the records have {} fault(s):\n{errors}", path.display(), errors.faults.len() + errors.omitted)]
    Records {
        /// Path of the file that contains the records.
        path: PathBuf,
        /// The faults.
        errors: RecordErrors,
    },
    /// The parts of a publication don't match its head.
    #[error("{}: {source}", path.display())]
    Adopt {
        /// Path of the head's file.
        path: PathBuf,
        /// The mismatch.
        source: AdoptError,
    },
    /// The command line doesn't match the input, such as a name that the records don't contain.
    #[error("{0}")]
    Mismatch(String),
}

impl CommandError {
    /// Creates the error for an unknown or missing command name.
    pub(crate) fn unknown(name: &str) -> Self {
        let message = format!("unknown command {name:?}");
        Self::Usage(SettingsError { faults: vec![SettingFault::CommandLine(message)] })
    }

    /// Returns the report with the error message and the exit code.
    pub(crate) fn into_report(self) -> Report {
        let exit = match self {
            Self::Records { .. } | Self::Adopt { .. } => Exit::Findings,
            _ => Exit::Usage,
        };
        Report { text: String::new(), faults: format!("{self}\n"), exit }
    }
}
