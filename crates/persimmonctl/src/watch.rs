//! `watch`: shows the status of the fleet periodically.

use std::io::{self, Write};
use std::thread;
use std::time::Duration;

use crate::args::{Args, Flag};
use crate::command::{Command, CommandError};
use crate::report::{Exit, Report};
use crate::status::{JSON, PROCESS, Poll, TIMEOUT};

/// Minimum interval between two rounds, in milliseconds.
const MIN_INTERVAL_MS: u64 = 100;

/// The `watch` command.
pub(crate) const COMMAND: Command = Command {
    name: "watch",
    operands: &[],
    summary: "shows the status periodically, with --json as one JSON object per line",
    flags: &[
        PROCESS,
        TIMEOUT,
        JSON,
        Flag::value("interval-ms", "MS", "pause between two rounds, at least 100")
            .with_variable("PERSIMMON_INTERVAL_MS")
            .with_default("2000"),
        Flag::value("rounds", "COUNT", "number of rounds; 0 continues until interrupted")
            .with_default("0"),
    ],
    run,
};

fn run(mut args: Args) -> Result<Report, CommandError> {
    let poll = Poll::from_args(&mut args);
    let interval_ms: Option<u64> = args.required("interval-ms");
    let rounds: Option<u64> = args.required("rounds");
    if interval_ms.is_some_and(|ms| ms < MIN_INTERVAL_MS) {
        args.add_fault(format!("--interval-ms is too short; give at least {MIN_INTERVAL_MS}"));
    }
    let value = (|| Some((poll?, interval_ms?, rounds?)))();
    let (poll, interval_ms, rounds) = args.finish(value)?;
    let mut worst = Exit::Ok;
    for round in 1.. {
        let report = poll.report();
        worst = worst.max(report.exit);
        if !print_round(&report.text) || round == rounds {
            break;
        }
        thread::sleep(Duration::from_millis(interval_ms));
    }
    Ok(Report { exit: worst, ..Report::ok(String::new()) })
}

/// Prints one round and flushes it. Returns `false` if the output is closed.
fn print_round(text: &str) -> bool {
    let mut stdout = io::stdout().lock();
    stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush()).is_ok()
}
