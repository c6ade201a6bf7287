//! The fleet's daemon, which runs in one of four roles: `persimmonmountd router`, `sidecar`,
//! `gateway` or `holder`.

mod common;
mod gateway;
mod holder;
mod router;
mod sidecar;

use std::env;
use std::process::ExitCode;

use persimmon_platform::SettingsFileError;
use persimmon_settings::{Setting, Settings, SettingsError};

use common::{ROUTER_SPECS, RouterSettings, SIDECAR_SPECS, SidecarSettings, start_logging};

/// Exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;
/// Exit code of a daemon that failed to run.
const EXIT_FAILURE: u8 = 1;

const BRIEF: &str = "\
Usage: persimmonmountd router [settings]
       persimmonmountd sidecar [settings]
       persimmonmountd gateway [settings]
       persimmonmountd holder [settings]

The fleet key is read from PERSIMMON_FLEET_KEY. Exit codes: 0 after a graceful shutdown,
1 if the daemon failed to run, 2 if its settings are invalid.";

fn main() -> ExitCode {
    let args: Vec<_> = env::args().skip(1).collect();
    let (role, rest) = match args.split_first() {
        Some((role, rest)) => (role.as_str(), rest),
        None => ("", &[][..]),
    };
    match role {
        "router" => start(&ROUTER_SPECS, rest, run_router),
        "sidecar" => start(&SIDECAR_SPECS, rest, run_sidecar),
        "gateway" => start(&gateway::SPECS, rest, gateway::run),
        "holder" => start(&gateway::SPECS, rest, holder::run),
        "--help" | "-h" => {
            println!("{BRIEF}\n\nRun `persimmonmountd router --help` for the settings of a role.");
            ExitCode::SUCCESS
        }
        "--version" | "-V" => print_version(),
        _ => {
            eprintln!(
                "the first argument must be a role: router, sidecar, gateway or holder; see --help"
            );
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Reads the settings and runs a role, or prints the help or the version.
fn start(
    specs: &[Setting],
    args: &[String],
    run: impl FnOnce(Settings) -> Result<(), StartError>,
) -> ExitCode {
    let settings = match Settings::read(specs, args, variable) {
        Ok(settings) => settings,
        Err(err) => return usage_error(&err),
    };
    if settings.wants_help() {
        println!("{}", Settings::usage(specs, BRIEF));
        return ExitCode::SUCCESS;
    }
    if settings.wants_version() {
        return print_version();
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(StartError::Settings(err)) => usage_error(&err),
        Err(StartError::File(err)) => usage_error(&err),
        Err(StartError::Io(err)) => {
            eprintln!("the daemon failed: {err}; check its addresses and limits");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// The reason why a daemon failed.
enum StartError {
    Settings(SettingsError),
    File(SettingsFileError),
    Io(std::io::Error),
}

fn run_router(settings: Settings) -> Result<(), StartError> {
    let settings = RouterSettings::read(settings, variable).map_err(StartError::Settings)?;
    start_logging(settings.common.log_format, &settings.common.log);
    router::run_router(&settings).map_err(StartError::Io)
}

fn run_sidecar(settings: Settings) -> Result<(), StartError> {
    let settings = SidecarSettings::read(settings, variable).map_err(StartError::Settings)?;
    start_logging(settings.common.log_format, &settings.common.log);
    sidecar::run_sidecar(&settings).map_err(StartError::Io)
}

fn variable(name: &str) -> Option<String> {
    env::var(name).ok()
}

fn print_version() -> ExitCode {
    println!("persimmonmountd {}", env!("CARGO_PKG_VERSION"));
    ExitCode::SUCCESS
}

fn usage_error(err: &dyn std::error::Error) -> ExitCode {
    eprintln!("{err}");
    ExitCode::from(EXIT_USAGE)
}
