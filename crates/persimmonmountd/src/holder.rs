//! The holder role, which runs on the users' platform beside the gateways.

use std::env;
use std::path::PathBuf;

use persimmon_gateway::{run_holder, start_logging};
use persimmon_platform::{SETTINGS_VARIABLE, read_holder_settings};
use persimmon_settings::Settings;

use crate::StartError;

/// The command-line settings of the holder role, the same as the gateway's.
pub(crate) use crate::gateway::SPECS;

/// Runs the role.
///
/// # Errors
///
/// Returns an error if the settings are invalid or an address can't be bound.
pub(crate) fn run(mut settings: Settings) -> Result<(), StartError> {
    let metrics_port: Option<u16> = settings.optional("metrics-port");
    let log: Option<String> = settings.optional("log");
    settings.finish().map_err(StartError::Settings)?;
    start_logging(log.as_deref().unwrap_or("info"));
    let path = PathBuf::from(env::var_os(SETTINGS_VARIABLE).unwrap_or_default());
    let holder = read_holder_settings(&path, metrics_port).map_err(StartError::File)?;
    run_holder(&holder).map_err(StartError::Io)
}
