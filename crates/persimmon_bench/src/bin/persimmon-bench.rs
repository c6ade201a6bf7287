//! Prints benchmark figures of placement strategies, of the cost of one placement, or of credits.

use std::path::Path;
use std::process::ExitCode;

use getopts::{Matches, Options};
use persimmon_bench::{
    CreditWay, Deployment, Scenario, Strategy, Trouble, compare, credit_figures, place_cost, plot,
};
use thiserror::Error;

#[derive(Debug, Error)]
enum BenchError {
    #[error("{0}; see --help")]
    Usage(#[from] getopts::Fail),
    #[error("--{flag} requires a number; see --help")]
    Number { flag: &'static str },
    #[error("unknown deployment {0}; use mwakilema or kalahari")]
    Deployment(String),
    #[error("{0}")]
    Plot(#[from] persimmon_bench::PlotError),
    #[error("can't write JSON: {0}; report this as a bug")]
    Json(#[from] serde_json::Error),
}

fn main() -> ExitCode {
    match bench() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("persimmon-bench: {err}");
            ExitCode::from(2)
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "deployment", "run only mwakilema or kalahari", "NAME");
    options.optopt("", "endpoints", "endpoints of one model (20)", "N");
    options.optopt("", "load-multiple", "load multiple, instead of the deployment's", "X");
    options.optopt("", "in-progress", "mean requests in progress per endpoint (8)", "X");
    options.optopt("", "duration-s", "length of the run in seconds of simulated time (1800)", "S");
    options.optopt("", "seed", "seed of the random number generators (1)", "N");
    options.optflag("", "large", "3,700 endpoints of 35 models behind 350 routers");
    options.optflag("", "project-only", "run only the project's strategy");
    options.optflag("", "place-cost", "measure the time of one placement");
    options.optflag("", "credits", "compare ways to enforce a workspace's limit");
    options.optopt("", "plot", "plot reuse against skew for several load multiples", "FILE");
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "print this help");
    options
}

fn bench() -> Result<(), BenchError> {
    let matches = options().parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options().usage("Usage: persimmon-bench [options]"));
        return Ok(());
    }
    let json = matches.opt_present("json");
    if matches.opt_present("credits") {
        return print_credits(number(&matches, "seed")?.unwrap_or(1), json);
    }
    let scenarios = scenarios(&matches)?;
    if let Some(file) = matches.opt_str("plot") {
        return Ok(plot(Path::new(&file), &scenarios[0])?);
    }
    if matches.opt_present("place-cost") {
        println!("{}", serde_json::to_string(&place_cost(&scenarios[0]))?);
        return Ok(());
    }
    let strategies = if matches.opt_present("project-only") {
        &[Strategy::Project]
    } else {
        &Strategy::ALL[1..]
    };
    for scenario in &scenarios {
        let comparison = compare(scenario, strategies);
        if json {
            println!("{}", serde_json::to_string(&comparison)?);
        } else {
            println!("{comparison}");
        }
    }
    Ok(())
}

fn scenarios(matches: &Matches) -> Result<Vec<Scenario>, BenchError> {
    let deployments = match matches.opt_str("deployment") {
        Some(name) => vec![Deployment::named(&name).ok_or(BenchError::Deployment(name))?],
        None => Deployment::all().to_vec(),
    };
    deployments.into_iter().map(|deployment| scenario(matches, deployment)).collect()
}

fn scenario(matches: &Matches, deployment: Deployment) -> Result<Scenario, BenchError> {
    let large = matches.opt_present("large");
    let start = if large { Scenario::large } else { Scenario::new };
    let mut scenario = start(deployment);
    if let Some(endpoints) = number(matches, "endpoints")? {
        scenario = scenario.with_endpoints(endpoints);
    }
    if let Some(multiple) = number(matches, "load-multiple")? {
        scenario = scenario.with_load_multiple(multiple);
    }
    if let Some(in_progress) = number(matches, "in-progress")? {
        scenario = scenario.with_in_progress(in_progress);
    }
    if let Some(duration_s) = number(matches, "duration-s")? {
        scenario = scenario.with_duration_s(duration_s);
    }
    if let Some(seed) = number(matches, "seed")? {
        scenario = scenario.with_seed(seed);
    }
    Ok(scenario)
}

fn number<T: std::str::FromStr>(
    matches: &Matches,
    flag: &'static str,
) -> Result<Option<T>, BenchError> {
    matches.opt_get(flag).map_err(|_| BenchError::Number { flag })
}

fn print_credits(seed: u64, json: bool) -> Result<(), BenchError> {
    if !json {
        println!("way          trouble     bytes/s   served  worst second  waited");
    }
    for trouble in [Trouble::None, Trouble::Surge, Trouble::Partition, Trouble::Sparse] {
        for way in [CreditWay::Batches, CreditWay::EachCall, CreditWay::FixedSplit] {
            let figures = credit_figures(way, trouble, seed);
            if json {
                println!("{}", serde_json::to_string(&figures)?);
                continue;
            }
            let way = format!("{way:?}");
            let trouble = format!("{trouble:?}");
            println!(
                "{way:<12} {trouble:<10} {:>8.0} {:>7.1}% {:>13.2} {:>6.1}%",
                figures.bytes_per_s,
                100.0 * figures.served,
                figures.worst_second,
                100.0 * figures.waited
            );
        }
    }
    Ok(())
}
