//! Runs the soak test for a range of seeds and prints the broken promises.

use std::env;
use std::process::ExitCode;
use std::time::Duration;

use getopts::{Matches, Options};
use persimmon_soak::{Soak, SoakReport, StopSettings};

const EXIT_USAGE: u8 = 2;
/// Number of callers for each gateway with `--stops`.
const STOP_CALLERS: u64 = 24;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("", "program", "path of the daemon's program", "PATH");
    let earlier = "path of an earlier build's program, which gateways run as well";
    options.optopt("", "earlier-program", earlier, "PATH");
    options.optopt("", "first", "first seed, 1 by default", "SEED");
    options.optopt("", "seeds", "number of seeds to run, 1 by default", "COUNT");
    options.optopt("", "seconds", "length of a run in seconds, 10 by default", "SECONDS");
    options.optopt("", "gateways", "number of gateways, 3 by default", "COUNT");
    options.optopt("", "endpoints", "number of endpoints, 6 by default", "COUNT");
    options.optflag("", "stops", "stop gateways as planned, without other faults");
    options.optopt("", "grace", "grace period with --stops in seconds, 8 by default", "SECONDS");
    options.optopt("", "warm", "time before the first stop in seconds, 2 by default", "SECONDS");
    let args: Vec<_> = env::args().skip(1).collect();
    let matches = match options.parse(&args) {
        Ok(matches) => matches,
        Err(err) => return usage(&err.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage("Usage: persimmon-soak --program PATH [options]"));
        return ExitCode::SUCCESS;
    }
    match run_seeds(&matches) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(broken) => {
            println!("seeds with a broken promise: {broken}");
            ExitCode::FAILURE
        }
        Err(err) => usage(&err),
    }
}

fn usage(err: &str) -> ExitCode {
    eprintln!("{err}; see --help");
    ExitCode::from(EXIT_USAGE)
}

/// Runs every seed and returns the number of seeds with a broken promise.
fn run_seeds(matches: &Matches) -> Result<usize, String> {
    let program = matches.opt_str("program").ok_or("--program is required")?;
    let number = |name: &str, default: u64| match matches.opt_str(name) {
        Some(text) => text.parse().map_err(|err| format!("--{name}: {err}")),
        None => Ok(default),
    };
    let gateways = u8::try_from(number("gateways", 3)?).map_err(|err| err.to_string())?;
    let endpoints = usize::try_from(number("endpoints", 6)?).map_err(|err| err.to_string())?;
    let mut soak = Soak::new(&program)
        .with_gateways(gateways.max(1))
        .with_endpoints(endpoints.max(1))
        .with_callers(4 * u64::from(gateways.max(1)))
        .with_length(Duration::from_secs(number("seconds", 10)?));
    if let Some(earlier) = matches.opt_str("earlier-program") {
        soak = soak.with_earlier_program(&earlier);
    }
    if matches.opt_present("stops") {
        let warm = Duration::from_secs(number("warm", 2)?);
        let settings = StopSettings { grace_s: number("grace", 8)?, warm };
        let callers = STOP_CALLERS * u64::from(gateways.max(1));
        soak = soak.with_callers(callers).with_stops(settings);
    }
    let first = number("first", 1)?;
    let mut broken = 0;
    for seed in first..first + number("seeds", 1)? {
        let report = soak.run(seed).map_err(|err| err.to_string())?;
        print(&report);
        broken += usize::from(!report.findings.is_empty());
    }
    Ok(broken)
}

fn print(report: &SoakReport) {
    let SoakReport { schedule, calls, served, denied, refused_in_surge, findings, counts } = report;
    let faults = schedule.steps.len();
    let seed = schedule.seed;
    println!(
        "seed {seed}: {calls} calls, {served} served, {denied} denied, {refused_in_surge} refused \
         in a surge, {faults} faults"
    );
    for (name, count) in counts {
        println!("  {count:>6} {name}");
    }
    if findings.is_empty() {
        return;
    }
    for step in &schedule.steps {
        println!("  {:>6} ms {:?}", step.at_ms, step.fault);
    }
    for finding in findings {
        println!("  broken promise: {}: {}", finding.promise, finding.seen);
    }
}
