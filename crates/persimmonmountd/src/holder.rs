//! The holder role, which runs on the users' platform beside endpoints.

use persimmon_gateway::run_holder;
use persimmon_platform::read_holder_settings;
use persimmon_settings::Settings;

use crate::StartError;
use crate::gateway::{self, CommandLine};

/// Runs the role.
///
/// # Errors
///
/// Returns an error if the settings are invalid or an address can't be bound.
pub(crate) fn run(settings: Settings) -> Result<(), StartError> {
    let CommandLine { path, metrics_port, logging } = gateway::start(settings)?;
    let holder = read_holder_settings(&path, metrics_port).map_err(StartError::File)?;
    let result = run_holder(&holder);
    logging.close();
    result.map_err(StartError::Io)
}
