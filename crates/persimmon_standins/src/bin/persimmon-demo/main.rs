//! Demo that starts a complete fleet as separate processes, sends requests and prints what it
//! observed.

mod demo_fleet;
mod leaving;
mod programs;
mod report;
mod shutdown;
mod steps;

use std::error::Error;
use std::process::ExitCode;

use getopts::Options;

use demo_fleet::DemoFleet;
use programs::Programs;
use report::Report;

/// Exit code if an observation was wrong or the fleet couldn't be started.
const EXIT_WRONG: u8 = 1;

/// Exit code if the command line is invalid.
const EXIT_USAGE: u8 = 2;

const USAGE: &str = "Usage: cargo demo [--keep]

Builds the daemon, starts stand-ins, two routers and five sidecars as separate processes, sends
requests to them and prints what it observed. Exit codes: 0 every observation was right, 1 one was
wrong or the fleet couldn't be started, 2 the command line is invalid.";

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("", "keep", "keeps the fleet running until Ctrl-C and prints curl commands");
    options.optflag("h", "help", "prints this help");
    options.optflag("V", "version", "prints the version");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => {
            return fail(
                EXIT_USAGE,
                &format!("unexpected arguments {:?}; see --help", matches.free),
            );
        }
        Err(error) => return fail(EXIT_USAGE, &format!("{error}; see --help")),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("persimmon-demo {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(matches.opt_present("keep")) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => fail(EXIT_WRONG, "an observation was wrong; see the table"),
        Err(error) => fail(EXIT_WRONG, &error.to_string()),
    }
}

fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("persimmon-demo: {message}");
    ExitCode::from(code)
}

/// Runs the demo and reports whether every observation was right.
fn run(keep: bool) -> Result<bool, Box<dyn Error>> {
    println!("Building the daemon and the stand-ins.");
    let programs = Programs::build()?;
    println!("Starting the fleet.");
    let mut fleet = DemoFleet::start(&programs)?;
    let report = observe(&mut fleet);
    println!("{report}");
    if keep {
        fleet.restart_stopped()?;
        fleet.print_curl_lines()?;
        wait_for_interrupt()?;
    }
    Ok(report.is_right())
}

fn observe(fleet: &mut DemoFleet) -> Report {
    let mut report = Report::default();
    report.add("streamed chat", steps::streamed_chat(fleet));
    report.add("returning chat through the other router", steps::returning_chat(fleet));
    let (result, booking) = steps::booking(fleet);
    report.add("booking", result);
    report.add("same booking through the other router", steps::same_booking(fleet, &booking));
    report.add("leaving endpoint under load", leaving::leaving_under_load(fleet));
    report.add("router shut down under a stream", shutdown::router_under_stream(fleet));
    report.add("sidecar shut down under a stream", shutdown::sidecar_under_stream(fleet));
    report
}

/// Waits for SIGINT. Without a handler, the signal would end the demo before it kills its child
/// processes.
fn wait_for_interrupt() -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(tokio::signal::ctrl_c())?;
    Ok(())
}
