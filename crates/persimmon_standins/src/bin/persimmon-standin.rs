//! Program that runs one stand-in in its own process until a signal ends it.

use std::error::Error;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::thread;
use std::time::Duration;

use getopts::{Matches, Options};
use persimmon_standins::{Engine, Platform, RelayControl, Service};
use serde::Serialize;

/// Exit code if the stand-in can't be started.
const EXIT_FAILED: u8 = 1;

/// Exit code if the command line is invalid.
const EXIT_USAGE: u8 = 2;

const USAGE: &str = "Usage: persimmon-standin <platform|engine|service|relay> [options]

Runs one stand-in on ports that the operating system assigns, until SIGTERM or SIGINT. When it is
ready, it prints one JSON line with its address and the address of its control port.";

/// Ready line, which the stand-in prints on standard output.
#[derive(Debug, Serialize)]
struct Ready {
    ready: bool,
    stand_in: &'static str,
    address: SocketAddr,
    control: SocketAddr,
}

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => return fail(EXIT_USAGE, &format!("{error}; see --help")),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("persimmon-standin {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let role = matches.free.first().map(String::as_str);
    let started = match role {
        Some("platform") => run_platform(&matches),
        Some("engine") => run_engine(&matches),
        Some("service") => run_service(),
        Some("relay") => run_relay(&matches),
        _ => return fail(EXIT_USAGE, "expected platform, engine, service or relay; see --help"),
    };
    match started {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_FAILED, &error.to_string()),
    }
}

fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("persimmon-standin: {message}");
    ExitCode::from(code)
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "prints this help");
    options.optflag("V", "version", "prints the version");
    options.optopt(
        "",
        "vm-lag-ms",
        "platform: delay before a change to the list of VMs is visible",
        "MS",
    );
    options.optopt("", "weights-per-second", "platform: rate limit of the weight store", "N");
    options.optopt("", "model", "engine: the loaded model", "NAME");
    options.optopt("", "slots", "engine: requests that run concurrently", "N");
    options.optopt("", "queue", "engine: requests that may wait for a slot", "N");
    options.optopt("", "token-interval-ms", "engine: time between two tokens", "MS");
    options.optopt("", "prefill-us", "engine: time per prompt token that isn't cached", "US");
    options.optopt("", "cache-tokens", "engine: capacity of the prefix cache, in tokens", "N");
    options.optopt("", "event-delay-ms", "engine: delay of cache events", "MS");
    options.optopt("", "lost-event-interval", "engine: drops every Nth cache event", "N");
    options.optopt("", "load-lag-ms", "engine: age of the reported load", "MS");
    options.optopt("", "crash-marker", "engine: text in a message that crashes it", "TEXT");
    options.optopt("", "crash-downtime-ms", "engine: downtime after a crash", "MS");
    options.optflag("", "checks-fence", "engine: refuses outdated fencing tokens");
    options.optopt("", "target", "relay: address that it connects to", "ADDRESS");
    options
}

/// Parses the value of the option `name`, or returns `default` if it isn't given.
fn value<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, Box<dyn Error>> {
    match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text
            .parse()
            .map_err(|_| format!("invalid value {text:?} for --{name}; see --help").into()),
    }
}

fn millis(matches: &Matches, name: &str) -> Result<Duration, Box<dyn Error>> {
    Ok(Duration::from_millis(value(matches, name, 0)?))
}

fn run_platform(matches: &Matches) -> Result<(), Box<dyn Error>> {
    let platform = Platform::builder()
        .with_vm_lag(millis(matches, "vm-lag-ms")?)
        .with_weights_per_second(value(matches, "weights-per-second", 4)?)
        .start()?;
    wait_for_end("platform", platform.address(), platform.control_address())
}

fn run_engine(matches: &Matches) -> Result<(), Box<dyn Error>> {
    let mut builder = Engine::builder(value(matches, "model", "default".to_owned())?)
        .with_slots(value(matches, "slots", 4)?)
        .with_queue(value(matches, "queue", 16)?)
        .with_token_interval(millis(matches, "token-interval-ms")?)
        .with_prefill_per_token(Duration::from_micros(value(matches, "prefill-us", 0)?))
        .with_cache_tokens(value(matches, "cache-tokens", 100_000)?)
        .with_event_delay(millis(matches, "event-delay-ms")?)
        .with_lost_event_interval(value(matches, "lost-event-interval", 0)?)
        .with_load_lag(millis(matches, "load-lag-ms")?)
        .with_fence_check(matches.opt_present("checks-fence"))
        .with_crash_downtime(Duration::from_millis(value(matches, "crash-downtime-ms", 500)?));
    if let Some(marker) = matches.opt_str("crash-marker") {
        builder = builder.with_crash_marker(marker);
    }
    let engine = builder.start()?;
    wait_for_end("engine", engine.address(), engine.control_address())
}

fn run_service() -> Result<(), Box<dyn Error>> {
    let service = Service::start()?;
    wait_for_end("service", service.address(), service.address())
}

fn run_relay(matches: &Matches) -> Result<(), Box<dyn Error>> {
    let target = matches.opt_str("target").ok_or("--target is missing; give an address")?;
    let relay = RelayControl::start(target.parse()?)?;
    wait_for_end("relay", relay.address(), relay.control_address())
}

/// Prints the ready line and then blocks forever, while other threads serve requests.
fn wait_for_end(
    stand_in: &'static str,
    address: SocketAddr,
    control: SocketAddr,
) -> Result<(), Box<dyn Error>> {
    let ready = Ready { ready: true, stand_in, address, control };
    let mut out = io::stdout().lock();
    writeln!(out, "{}", serde_json::to_string(&ready)?)?;
    out.flush()?;
    drop(out);
    loop {
        thread::park();
    }
}
