//! What a command is and why it may fail.

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
    /// Arguments without a flag, in order.
    pub(crate) operands: &'static [&'static str],
    /// One line on what it does.
    pub(crate) summary: &'static str,
    /// Its flags beside `--help` and `--version`.
    pub(crate) flags: &'static [Flag],
    /// Runs it.
    pub(crate) run: fn(Args) -> Result<Report, CommandError>,
}

impl Command {
    /// The help text.
    pub(crate) fn help(&self) -> String {
        let operands: String = self.operands.iter().map(|name| format!(" {name}")).collect();
        let brief =
            format!("Usage: persimmonctl {}{operands} [flags]\n\n{}", self.name, self.summary);
        format!("{}\n{}", Args::options(self).usage(&brief), crate::report::EXIT_CODES)
    }
}

/// Why a command couldn't do its work.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// The command line or a setting has faults.
    #[error(transparent)]
    Usage(#[from] SettingsError),
    /// A file can't be read.
    #[error("{} can't be read: {source}; check its path and permissions", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system answered.
        source: io::Error,
    },
    /// A file can't be written.
    #[error("{} can't be written: {source}; check the directory and its space", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system answered.
        source: io::Error,
    },
    /// The records have faults.
    #[error("{}: the records have {} fault(s):\n{errors}", path.display(), errors.faults.len() + errors.omitted)]
    Records {
        /// The file.
        path: PathBuf,
        /// The faults.
        errors: RecordErrors,
    },
    /// A head and its parts don't make the set that the head names.
    #[error("{}: {source}", path.display())]
    Adopt {
        /// The head's file.
        path: PathBuf,
        /// What doesn't fit.
        source: AdoptError,
    },
    /// Something on the command line doesn't fit the records.
    #[error("{0}")]
    Mismatch(String),
}

impl CommandError {
    /// A command line that names no command of the tool.
    pub(crate) fn unknown(name: &str) -> Self {
        let message = format!("{name:?} is no command");
        Self::Usage(SettingsError { faults: vec![SettingFault::CommandLine(message)] })
    }

    /// What is printed, and the exit code.
    pub(crate) fn into_report(self) -> Report {
        let exit = match self {
            Self::Records { .. } | Self::Adopt { .. } => Exit::Findings,
            _ => Exit::Usage,
        };
        Report { text: String::new(), faults: format!("{self}\n"), exit }
    }
}
