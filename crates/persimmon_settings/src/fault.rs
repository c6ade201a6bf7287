//! What is wrong with the settings.

use std::fmt;

use thiserror::Error;

/// One thing that is wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingFault {
    /// A setting without a default was not given.
    #[error("--{name} is missing; give the flag or set {variable}")]
    Missing {
        /// The setting's name.
        name: &'static str,
        /// Its environment variable.
        variable: String,
    },
    /// A value can't be read.
    #[error("--{name} has the value {value:?}: {reason}")]
    Invalid {
        /// The setting's name.
        name: &'static str,
        /// The value as given.
        value: String,
        /// What is wrong with it, with the remedy.
        reason: String,
    },
    /// The command line can't be read.
    #[error("{0}; see --help")]
    CommandLine(String),
    /// A check across settings failed.
    #[error("{0}")]
    Combination(String),
}

/// Everything that is wrong with the settings.
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
