//! The operators' command-line tool, which checks and explains records and monitors the fleet. It
//! doesn't publish anything itself.

mod args;
mod check;
mod check_routes;
mod command;
mod diff;
mod digest;
mod drain;
mod endpoints;
mod explain;
mod fleet;
mod publish_form;
mod records_file;
mod report;
mod status;
mod table;
mod watch;

use std::env;
use std::io::{self, Write};
use std::process::ExitCode;

use args::Args;
use command::{Command, CommandError};
use report::{Exit, Report};

const COMMANDS: [&Command; 10] = [
    &check::COMMAND,
    &check_routes::COMMAND,
    &diff::COMMAND,
    &explain::COMMAND,
    &digest::COMMAND,
    &publish_form::COMMAND,
    &drain::COMMAND,
    &status::COMMAND,
    &endpoints::COMMAND,
    &watch::COMMAND,
];

fn main() -> ExitCode {
    let args: Vec<_> = env::args_os().skip(1).map(|arg| arg.to_string_lossy().into()).collect();
    let report = run(&args).unwrap_or_else(CommandError::into_report);
    match print(&report) {
        Ok(()) => report.exit.into(),
        // The reader closed the pipe early, as `head` does.
        Err(err) if err.kind() == io::ErrorKind::BrokenPipe => report.exit.into(),
        Err(err) => {
            eprintln!("the output can't be written: {err}; check the target of standard output");
            Exit::Usage.into()
        }
    }
}

fn print(report: &Report) -> io::Result<()> {
    io::stderr().write_all(report.faults.as_bytes())?;
    let mut stdout = io::stdout().lock();
    stdout.write_all(report.text.as_bytes())?;
    stdout.flush()
}

fn run(args: &[String]) -> Result<Report, CommandError> {
    let (name, rest) = match args.split_first() {
        Some((name, rest)) => (name.as_str(), rest),
        None => ("", args),
    };
    match name {
        "--help" | "-h" | "help" => return Ok(Report::ok(help())),
        "--version" | "-V" => return Ok(version()),
        _ => {}
    }
    let command = COMMANDS.iter().find(|command| command.name == name);
    let command = command.ok_or_else(|| CommandError::unknown(name))?;
    let args = Args::read(command, rest, |variable| env::var(variable).ok())?;
    if args.wants_help() {
        return Ok(Report::ok(command.help()));
    }
    if args.wants_version() {
        return Ok(version());
    }
    (command.run)(args)
}

fn version() -> Report {
    Report::ok(format!("persimmonctl {}\n", env!("CARGO_PKG_VERSION")))
}

fn help() -> String {
    let mut text = "Usage: persimmonctl COMMAND [flags]\n\nCommands:\n".to_owned();
    for command in COMMANDS {
        text.push_str(&format!("    {:<14}{}\n", command.name, command.summary));
    }
    text.push_str("\nRun `persimmonctl COMMAND --help` for the flags of a command.\n\n");
    text.push_str(report::EXIT_CODES);
    text
}
