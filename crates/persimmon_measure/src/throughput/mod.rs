//! Measures the token throughput of one router and of one sidecar.

mod callers;
mod figures;
mod testbed;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use self::callers::Callers;
pub use self::figures::ThroughputFigures;
use self::testbed::Testbed;
use crate::{MeasureError, ProcessUsage, Programs, load_average};

/// Number of processes of each role.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Shape {
    /// Number of routers.
    pub routers: usize,
    /// Number of sidecars, each with its own engine.
    pub sidecars: usize,
}

/// Settings of a throughput measurement.
#[derive(Debug, Clone, Copy)]
pub struct ThroughputSettings {
    /// Numbers of routers and sidecars.
    pub shape: Shape,
    /// Number of concurrent streams.
    pub streams: usize,
    /// Time before the measured window.
    pub warm_up: Duration,
    /// Length of the measured window.
    pub window: Duration,
}

/// Keeps streams open through the fleet, and counts their tokens and the resources used.
///
/// # Errors
///
/// Returns an error if a process can't be started or its statistics can't be read.
pub fn measure_throughput(
    programs: &Programs,
    settings: ThroughputSettings,
) -> Result<ThroughputFigures, MeasureError> {
    let testbed = Testbed::start(programs, settings.shape)?;
    let callers = Callers::start(&testbed, settings)?;
    thread::sleep(settings.warm_up);
    let before = testbed.usage()?;
    let (tokens_before, started_at) = (callers.tokens.load(Ordering::Relaxed), Instant::now());
    thread::sleep(settings.window);
    let tokens = callers.tokens.load(Ordering::Relaxed) - tokens_before;
    let window_s = started_at.elapsed().as_secs_f64();
    let after = testbed.usage()?;
    let load_average = load_average();
    let failed = callers.close();
    let cores = |after: &[ProcessUsage], before: &[ProcessUsage]| {
        let spent_ms = cpu_ms(after).saturating_sub(cpu_ms(before));
        spent_ms as f64 / 1e3 / window_s
    };
    let router_cores = cores(&after.routers, &before.routers);
    let sidecar_cores = cores(&after.sidecars, &before.sidecars);
    let tokens_per_s = tokens as f64 / window_s;
    Ok(ThroughputFigures {
        shape: settings.shape,
        streams: settings.streams,
        window_s,
        tokens_per_s,
        failed: failed.count,
        first_failure: failed.first,
        router_us_per_token: router_cores * 1e6 / tokens_per_s,
        sidecar_us_per_token: sidecar_cores * 1e6 / tokens_per_s,
        router_cores,
        sidecar_cores,
        engine_cores: cores(&after.engines, &before.engines),
        caller_cores: cores(&after.own, &before.own),
        router_kib: most_resident_kib(&after.routers),
        sidecar_kib: most_resident_kib(&after.sidecars),
        load_average,
    })
}

fn cpu_ms(uses: &[ProcessUsage]) -> u64 {
    uses.iter().map(|one| one.cpu_ms).sum()
}

fn most_resident_kib(uses: &[ProcessUsage]) -> u64 {
    uses.iter().map(|one| one.resident_kib).max().unwrap_or(0)
}
