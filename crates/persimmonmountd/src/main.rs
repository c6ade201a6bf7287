//! The daemon of the fleet: `persimmonmountd router`, `sidecar` or `gateway`.

mod common;
mod gateway;
mod router;
mod sidecar;

use std::env;
use std::process::ExitCode;

use persimmon_platform::SettingsFileError;
use persimmon_settings::{Setting, Settings, SettingsError};

use common::{ROUTER_SPECS, RouterSettings, SIDECAR_SPECS, SidecarSettings, start_logging};

/// Exit code of a daemon that was called wrongly or whose settings have faults.
const EXIT_USAGE: u8 = 2;
/// Exit code of a daemon that couldn't run.
const EXIT_FAILURE: u8 = 1;

const BRIEF: &str = "\
Usage: persimmonmountd router [settings]
       persimmonmountd sidecar [settings]
       persimmonmountd gateway [settings]

The fleet key is read from PERSIMMON_FLEET_KEY. Exit codes: 0 after a graceful shutdown,
1 if the daemon couldn't run, 2 if its settings have faults.";

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
        "--help" | "-h" => {
            println!("{BRIEF}\n\nRun `persimmonmountd router --help` for the settings of a role.");
            ExitCode::SUCCESS
        }
        "--version" | "-V" => print_version(),
        _ => {
            eprintln!("the first argument must be a role: router, sidecar or gateway; see --help");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Reads the settings and runs a role, or answers `--help` and `--version`.
fn start(
    specs: &[Setting],
    args: &[String],
    run: impl FnOnce(Settings) -> Result<(), StartError>,
) -> ExitCode {
    let settings = match Settings::read(specs, args, variable) {
        Ok(settings) => settings,
        Err(err) => return usage_fault(&err),
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
        Err(StartError::Settings(err)) => usage_fault(&err),
        Err(StartError::File(err)) => usage_fault(&err),
        Err(StartError::Io(err)) => {
            eprintln!("the daemon can't run: {err}; check its addresses and limits");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

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

fn usage_fault(err: &dyn std::error::Error) -> ExitCode {
    eprintln!("{err}");
    ExitCode::from(EXIT_USAGE)
}
