//! Measures how changes of the configuration reach all gateways.

mod figures;
mod log_line;
mod plot;
mod record_usage;

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{Behaviour, Deployment, EndpointStandin, RouteSpec};
use persimmon_standins::fleet::wait_until;

pub use self::figures::{ChangeFigures, ChangeSample, PerGateway, RecordSpreadFigures};
pub use self::log_line::{RoutesInForce, first_to_last_ms};
pub use self::plot::plot_record_spread;
pub use self::record_usage::RecordUsage;
use crate::{MeasureError, ProcessUsage, load_average};

/// Number of routes before the bulk change.
const FIRST_ROUTES: usize = 24;
/// Time after a change until logs and counters are read, so that reading takes no processor time from
/// the change; also the window of processor time.
const WINDOW: Duration = Duration::from_secs(2);
/// Time in which all gateways must have a change in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of requests of the route that doesn't change, and of the first single change.
const TIMEOUT_MS: u64 = 5_000;
const KEY: &str = "key-1";

/// Settings of a measurement with a fleet of one size.
#[derive(Debug, Clone, Copy)]
pub struct RecordSpreadSettings {
    /// Number of gateways. Each is a process.
    pub gateways: u8,
    /// Number of routes after the bulk change.
    pub routes: usize,
    /// Number of changes of one route that follow.
    pub changes: usize,
}

impl Default for RecordSpreadSettings {
    fn default() -> Self {
        Self { gateways: 10, routes: 2_000, changes: 10 }
    }
}

/// Starts gateways before a store, publishes many routes at once and then changes of one route one after
/// another, and reads from logs and counters how each change reached all gateways.
///
/// # Errors
///
/// Returns an error if a process can't be started or read, or if a change isn't in force at a gateway
/// within a minute.
pub fn measure_record_spread(
    daemon: &Path,
    settings: RecordSpreadSettings,
) -> Result<RecordSpreadFigures, MeasureError> {
    let load_average_before = load_average();
    let endpoint = EndpointStandin::start("endpoint-1", Behaviour::ok())?;
    let mut deployment = Deployment::new(&daemon.to_string_lossy(), settings.gateways)?;
    deployment.publish_endpoint(&endpoint, false);
    deployment.publish_routes(&routes(FIRST_ROUTES, 0), &[KEY]);
    deployment.start_all()?;
    let mut fleet = MeasuredFleet { deployment, version: 1 };
    thread::sleep(WINDOW);
    let before = fleet.cpu_ns()?;
    thread::sleep(WINDOW);
    let after = fleet.cpu_ns()?;
    let quiet_ns = after.iter().zip(&before).map(|(after, before)| after.saturating_sub(*before));
    let quiet_cpu_ms = PerGateway::of(quiet_ns.map(|it| it as f64 / 1e6));
    let bulk = fleet.change(&routes(settings.routes, 0))?;
    // What repeats the change to gateways that may have missed it has ended.
    thread::sleep(WINDOW);
    let mut single = Vec::new();
    for change in 0..settings.changes {
        single.push(fleet.change(&routes(settings.routes, change as u64 + 1))?);
    }
    let load_average = load_average();
    let resident_kib = fleet.resident_kib()?;
    fleet.deployment.close();
    Ok(RecordSpreadFigures {
        gateways: settings.gateways,
        routes: settings.routes,
        bulk: ChangeFigures::of(&[bulk]),
        single: ChangeFigures::of(&single),
        quiet_cpu_ms,
        resident_kib,
        load_average_before,
        load_average,
    })
}

/// Returns `count` routes. The one in the middle has changed `changes` times.
fn routes(count: usize, changes: u64) -> Vec<RouteSpec> {
    let route = |number: usize| RouteSpec::repeatable(&format!("route-{number}"));
    let mut routes: Vec<_> = (0..count).map(route).collect();
    routes[count / 2] = route(count / 2).with_timeout_ms(TIMEOUT_MS + changes);
    routes
}

struct MeasuredFleet {
    deployment: Deployment,
    /// Version of the routes that were published last.
    version: u64,
}

impl MeasuredFleet {
    /// Publishes routes, and waits until all gateways have them in force.
    fn change(&mut self, routes: &[RouteSpec]) -> Result<ChangeSample, MeasureError> {
        let counters = self.counters()?;
        let cpu_ns = self.cpu_ns()?;
        let started = Instant::now();
        self.deployment.publish_routes(routes, &[KEY]);
        self.version += 1;
        thread::sleep(WINDOW.saturating_sub(started.elapsed()));
        let in_force_us = self.wait_in_force()?;
        // Processor time is read first: serving the counters takes some.
        let cpu_ns_after = self.cpu_ns()?;
        let with_cpu = |usages: Vec<RecordUsage>, cpu_ns: Vec<u64>| {
            usages.into_iter().zip(cpu_ns).map(|(usage, cpu_ns)| RecordUsage { cpu_ns, ..usage })
        };
        let after = with_cpu(self.counters()?, cpu_ns_after);
        let usage = after.zip(with_cpu(counters, cpu_ns)).map(|(after, before)| after - before);
        Ok(ChangeSample { in_force_us, usage: usage.collect() })
    }

    /// Returns the time of day at which each gateway had the routes in force that were published last.
    fn wait_in_force(&self) -> Result<Vec<i64>, MeasureError> {
        let mut found = vec![None; self.deployment.len()];
        let all_have_it = wait_until(IN_FORCE_TIMEOUT, || {
            for (gateway, at) in found.iter_mut().enumerate().filter(|(_, it)| it.is_none()) {
                let log = self.deployment.log(gateway);
                let mut in_force = log.iter().rev().filter_map(|line| RoutesInForce::parse(line));
                let of_version = in_force.find(|it| it.version == self.version);
                *at = of_version.map(|it| it.time_of_day_us);
            }
            found.iter().all(Option::is_some)
        });
        if all_have_it {
            return Ok(found.into_iter().flatten().collect());
        }
        let late = found.iter().filter(|it| it.is_none()).count();
        Err(MeasureError::RecordsNotAdopted(format!("{late} of {} gateways", found.len())))
    }

    fn counters(&self) -> Result<Vec<RecordUsage>, MeasureError> {
        let of = |gateway| Ok(RecordUsage::parse(&self.deployment.metrics(gateway)?));
        (0..self.deployment.len()).map(of).collect()
    }

    fn cpu_ns(&self) -> Result<Vec<u64>, MeasureError> {
        Ok(self.processes()?.iter().map(|it| it.live_threads_cpu_ns).collect())
    }

    fn resident_kib(&self) -> Result<u64, MeasureError> {
        Ok(self.processes()?.iter().map(|it| it.resident_kib).sum())
    }

    fn processes(&self) -> Result<Vec<ProcessUsage>, MeasureError> {
        (0..self.deployment.len()).map(|it| ProcessUsage::of(self.deployment.id(it))).collect()
    }
}
