//! Prints figures of running processes: added time, throughput and control overhead.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::Path;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};
use persimmon_measure::{
    ControlSettings, FirstTokenSettings, Growth, MeasureError, PlotError, Programs,
    RecordSpreadFigures, RecordSpreadSettings, Shape, SweepError, ThroughputSettings,
    measure_control, measure_first_event, measure_first_token, measure_record_spread,
    measure_throughput, plot_growth, plot_record_spread,
};
use serde::Serialize;
use thiserror::Error;

const USAGE: &str =
    "Usage: cargo measure <first-token|first-event|throughput|control|record-spread|growth-plot> [options]

  first-token  time that a router and a sidecar add to a streamed answer
  first-event  time that a gateway adds to a streamed answer, and its processor time per event
  throughput   tokens per second through one router, then through one sidecar
  control      memory, processor time, control bytes and platform reads of a router and a sidecar
               without traffic, for growing numbers of peers, workspaces, endpoints, chats and
               connections
  record-spread
               time from the first gateway to the last one that has a change of the configuration
               in force, and bytes of records, fetches and processor time of gateways, for one
               large change and for changes of one route. All gateways are processes on the cores
               of this machine, so that times at large sizes show the machine. Target: 1 s for a
               change of one route
  growth-plot  plot of the worth of a day and the cost of a gateway against the fleet's size, from
               the output of `fleetbench sweep`

Exit codes: 0 measured, 1 a target isn't met, 2 measurement failed or invalid command line.";

/// Exit code when a target isn't met.
const EXIT_TARGET_MISSED: u8 = 1;

/// Exit code when the measurement failed or the command line is invalid.
const EXIT_ERROR: u8 = 2;

/// Time before the measured window of throughput.
const THROUGHPUT_WARM_UP: Duration = Duration::from_secs(2);

/// Numbers of gateways for which the spread of records is measured.
const SPREAD_GATEWAYS: &str = "10,30,100";

/// Maximum number of gateways: each has an address that differs in its last byte.
const MAX_GATEWAYS: usize = 254;

/// Minimum number of routes after the bulk change, above the number before it.
const MIN_ROUTES: usize = 100;

/// Measured shapes with their numbers of concurrent streams. The first one loads the single router,
/// the second one the single sidecar.
const SHAPES: [(Shape, usize); 2] =
    [(Shape { routers: 1, sidecars: 4 }, 96), (Shape { routers: 3, sidecars: 1 }, 32)];

#[derive(Debug, Error)]
enum CommandError {
    #[error("{0}; see --help")]
    Usage(#[from] getopts::Fail),
    #[error("--{flag} requires a whole number above 0; see --help")]
    Number { flag: &'static str },
    #[error(
        "expected one of first-token, first-event, throughput, control, record-spread, growth-plot; see --help"
    )]
    Command,
    #[error("unknown value {0} for --only; use peers, workspaces, endpoints, chats or links")]
    Growth(String),
    #[error(
        "--{flag} requires whole numbers with commas between them, from {min} to {max}; see --help"
    )]
    Numbers { flag: &'static str, min: usize, max: usize },
    #[error("growth-plot requires --sweep FILE and --svg FILE; see --help")]
    Files,
    #[error("can't read {path}: {err}; check the path")]
    Read { path: String, err: std::io::Error },
    #[error("{path} isn't output of record-spread --json: {err}; pass it unchanged")]
    Figures { path: String, err: serde_json::Error },
    #[error("{0}")]
    Sweep(#[from] SweepError),
    #[error("{0}")]
    Plot(#[from] PlotError),
    #[error("{0}")]
    Measure(#[from] MeasureError),
    #[error("can't write JSON: {0}; report this as a bug")]
    Json(#[from] serde_json::Error),
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_TARGET_MISSED),
        Err(err) => {
            eprintln!("persimmon-measure: {err}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "pairs", "first-token and first-event: number of request pairs (400)", "N");
    options.optopt("", "only", "control: peers, workspaces, endpoints, chats or links", "NAME");
    options.optopt("", "warm-up-s", "control: seconds before the window (4)", "S");
    options.optopt(
        "",
        "window-s",
        "control and throughput: length of the window in seconds (8)",
        "S",
    );
    options.optopt("", "sweep", "growth-plot: output of `fleetbench sweep`", "FILE");
    options.optopt("", "svg", "growth-plot and record-spread: image to write", "FILE");
    options.optopt("", "gateways", "record-spread: numbers of gateways (10,30,100)", "LIST");
    options.optopt("", "routes", "record-spread: numbers of routes (2000)", "LIST");
    options.optopt(
        "",
        "figures",
        "record-spread: draw these figures, printed with --json, in place of a measurement",
        "FILE",
    );
    options.optopt("", "changes", "record-spread: number of changes of one route (10)", "N");
    options.optflag("", "json", "print JSON, one object per line");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Runs the command and returns whether all targets are met.
fn run() -> Result<bool, CommandError> {
    let matches = options().parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options().usage(USAGE));
        return Ok(true);
    }
    if matches.opt_present("version") {
        println!("persimmon-measure {}", env!("CARGO_PKG_VERSION"));
        return Ok(true);
    }
    let [command] = matches.free.as_slice() else {
        return Err(CommandError::Command);
    };
    match command.as_str() {
        "first-token" => first_token(&matches),
        "first-event" => first_event(&matches),
        "throughput" => throughput(&matches),
        "control" => control(&matches),
        "record-spread" => record_spread(&matches),
        "growth-plot" => growth_plot(&matches),
        _ => Err(CommandError::Command),
    }
}

fn first_token(matches: &Matches) -> Result<bool, CommandError> {
    let default = FirstTokenSettings::default();
    let pairs = number(matches, "pairs")?.unwrap_or(default.pairs);
    let programs = Programs::build()?;
    let settings = FirstTokenSettings { pairs, ..default };
    let figures = measure_first_token(&programs.daemon, settings)?;
    print(matches, &figures)?;
    Ok(figures.is_within_target())
}

fn first_event(matches: &Matches) -> Result<bool, CommandError> {
    let pairs = number(matches, "pairs")?.unwrap_or(FirstTokenSettings::default().pairs);
    let programs = Programs::build()?;
    let figures = measure_first_event(&programs.daemon, pairs)?;
    print(matches, &figures)?;
    Ok(figures.is_within_target())
}

fn throughput(matches: &Matches) -> Result<bool, CommandError> {
    let window = window(matches)?;
    let programs = Programs::build()?;
    for (shape, streams) in SHAPES {
        let warm_up = THROUGHPUT_WARM_UP;
        let settings = ThroughputSettings { shape, streams, warm_up, window };
        print(matches, &measure_throughput(&programs, settings)?)?;
    }
    Ok(true)
}

fn control(matches: &Matches) -> Result<bool, CommandError> {
    let default = ControlSettings::default();
    let warm_up = number(matches, "warm-up-s")?.map_or(default.warm_up, Duration::from_secs);
    let settings = ControlSettings { warm_up, window: window(matches)? };
    let growths = match matches.opt_str("only") {
        None => Growth::ALL.to_vec(),
        Some(name) => {
            let found = Growth::ALL.into_iter().find(|growth| growth.as_str() == name);
            vec![found.ok_or(CommandError::Growth(name))?]
        }
    };
    let programs = Programs::build()?;
    for growth in growths {
        print(matches, &measure_control(&programs, growth, settings)?)?;
    }
    Ok(true)
}

fn record_spread(matches: &Matches) -> Result<bool, CommandError> {
    let all = match matches.opt_str("figures") {
        Some(path) => read_record_spread(path)?,
        None => run_record_spread(matches)?,
    };
    if let Some(svg) = matches.opt_str("svg") {
        plot_record_spread(Path::new(&svg), &all)?;
    }
    Ok(all.iter().all(RecordSpreadFigures::is_within_target))
}

/// Reads figures that were printed as JSON.
fn read_record_spread(path: String) -> Result<Vec<RecordSpreadFigures>, CommandError> {
    match std::fs::read_to_string(&path) {
        Ok(text) => {
            let lines = text.lines().map(serde_json::from_str);
            lines.collect::<Result<_, _>>().map_err(|err| CommandError::Figures { path, err })
        }
        Err(err) => Err(CommandError::Read { path, err }),
    }
}

/// Measures each number of gateways with each number of routes, and prints the figures.
fn run_record_spread(matches: &Matches) -> Result<Vec<RecordSpreadFigures>, CommandError> {
    let default = RecordSpreadSettings::default();
    let sizes = numbers(matches, "gateways", SPREAD_GATEWAYS, 2..=MAX_GATEWAYS)?;
    let routes = numbers(matches, "routes", &default.routes.to_string(), MIN_ROUTES..=usize::MAX)?;
    let changes = number(matches, "changes")?.unwrap_or(default.changes);
    let programs = Programs::build()?;
    let mut all = Vec::new();
    for routes in routes {
        for gateways in &sizes {
            let gateways = u8::try_from(*gateways).unwrap_or(u8::MAX);
            let settings = RecordSpreadSettings { gateways, routes, changes };
            let figures = measure_record_spread(&programs.daemon, settings)?;
            print(matches, &figures)?;
            all.push(figures);
        }
    }
    Ok(all)
}

fn growth_plot(matches: &Matches) -> Result<bool, CommandError> {
    let file = |name| matches.opt_str(name).ok_or(CommandError::Files);
    let (path, svg) = (file("sweep")?, file("svg")?);
    let text = std::fs::read_to_string(&path)
        .map_err(|err| CommandError::Read { path: path.clone(), err })?;
    plot_growth(Path::new(&svg), &text.parse()?)?;
    Ok(true)
}

fn window(matches: &Matches) -> Result<Duration, CommandError> {
    let default = ControlSettings::default().window;
    Ok(number(matches, "window-s")?.map_or(default, Duration::from_secs))
}

fn print<T: Serialize + Display>(matches: &Matches, figures: &T) -> Result<(), CommandError> {
    if matches.opt_present("json") {
        println!("{}", serde_json::to_string(figures)?);
    } else {
        println!("{figures}\n");
    }
    Ok(())
}

fn number<T: FromStr + PartialOrd + Default>(
    matches: &Matches,
    flag: &'static str,
) -> Result<Option<T>, CommandError> {
    let number = matches.opt_get::<T>(flag).map_err(|_| CommandError::Number { flag })?;
    if number.as_ref().is_some_and(|number| *number <= T::default()) {
        return Err(CommandError::Number { flag });
    }
    Ok(number)
}

/// Parses numbers with commas between them.
fn numbers(
    matches: &Matches,
    flag: &'static str,
    default: &str,
    range: RangeInclusive<usize>,
) -> Result<Vec<usize>, CommandError> {
    let text = matches.opt_str(flag).unwrap_or_else(|| default.to_owned());
    let number = |it: &str| it.trim().parse().ok().filter(|number| range.contains(number));
    let parsed = text.split(',').map(number).collect::<Option<Vec<_>>>();
    parsed.ok_or(CommandError::Numbers { flag, min: *range.start(), max: *range.end() })
}
