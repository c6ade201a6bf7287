//! The gateway role, which runs on the users' platform.

use std::env;
use std::path::{Path, PathBuf};

use persimmon_gateway::{GatewaySettings, Logging, run_gateway};
use persimmon_platform::{SETTINGS_VARIABLE, SettingsFileError, UsersPlatform, read_settings};
use persimmon_settings::{Setting, Settings};

use crate::StartError;

const METRICS_PORT: Setting =
    Setting::new("metrics-port", "PORT", "port on which metrics are served; none by default");
const LOG: Setting =
    Setting::new("log", "FILTER", "log filter by module and level").with_default("info");

/// The command-line settings of the gateway and holder roles. All other settings are in the platform's settings
/// file.
pub(crate) const SPECS: [Setting; 2] = [METRICS_PORT, LOG];

/// What a role on the users' platform is started with.
pub(crate) struct CommandLine {
    /// Path of the platform's settings file.
    pub(crate) path: PathBuf,
    /// Port for metrics, if any.
    pub(crate) metrics_port: Option<u16>,
    /// The process's log.
    pub(crate) logging: Logging,
}

/// Reads the command-line settings of a role on the users' platform, and starts its logging.
///
/// # Errors
///
/// The settings are invalid.
pub(crate) fn start(mut settings: Settings) -> Result<CommandLine, StartError> {
    let metrics_port = settings.optional("metrics-port");
    let log: Option<String> = settings.optional("log");
    settings.finish().map_err(StartError::Settings)?;
    let logging = Logging::start(log.as_deref().unwrap_or("info"));
    let path = PathBuf::from(env::var_os(SETTINGS_VARIABLE).unwrap_or_default());
    Ok(CommandLine { path, metrics_port, logging })
}

/// Runs the role.
///
/// # Errors
///
/// Returns an error if the settings are invalid or an address can't be bound.
pub(crate) fn run(settings: Settings) -> Result<(), StartError> {
    let CommandLine { path, metrics_port, logging } = start(settings)?;
    let gateway = read_settings(&path, metrics_port).map_err(StartError::File)?;
    let reload = move || reload(&path, metrics_port);
    let result = run_gateway(UsersPlatform::new(), gateway, reload);
    logging.close();
    result.map_err(StartError::Io)
}

fn reload(path: &Path, metrics_port: Option<u16>) -> Option<GatewaySettings> {
    read_settings(path, metrics_port).map_err(|err| log_fault(&err)).ok()
}

fn log_fault(err: &SettingsFileError) {
    tracing::warn!(target: "gateway", %err, "reloading failed; keeping the current settings");
}
