//! Faults of a program's settings.

use std::fmt;

use thiserror::Error;

/// Fault of the settings, with its remedy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingFault {
    /// A setting without a default that was not given.
    #[error("--{name} is missing; give the flag or set {variable}")]
    Missing {
        /// The setting's name.
        name: &'static str,
        /// Its environment variable.
        variable: String,
    },
    /// A value that can't be parsed.
    #[error("--{name} has the value {value:?}: {reason}")]
    Invalid {
        /// The setting's name.
        name: &'static str,
        /// The value as given.
        value: String,
        /// The parser's message and the remedy.
        reason: String,
    },
    /// A command line that can't be parsed.
    #[error("{0}; see --help")]
    CommandLine(String),
    /// A failed check of several settings together, or one beyond parsing.
    #[error("{0}")]
    Combination(String),
}

/// All faults of a program's settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct SettingsError {
    /// The faults, in the order of the settings.
    pub faults: Vec<SettingFault>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}
