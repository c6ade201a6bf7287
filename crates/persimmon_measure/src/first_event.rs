//! Measures the time that a gateway adds to a streamed answer, and its CPU time per event.

use std::fmt;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{
    Behaviour, Caller, Deployment, EndpointStandin, RouteSpec, wait_until,
};
use serde::Serialize;

use crate::{MeasureError, ProcessUsage, load_average, percentile};

/// Number of events in each answer, and the pause before each event.
const EVENTS: u64 = 40;
const PAUSE: Duration = Duration::from_millis(2);
/// Number of pairs of requests that are sent before the measured ones, as a warm-up.
const WARM_UP_PAIRS: usize = 20;
const NS_PER_US: f64 = 1e3;

/// Added time and CPU time of a gateway.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct FirstEventFigures {
    /// Number of pairs of a direct request and one through the gateway.
    pub pairs: usize,
    /// Median time to the first event of direct requests, in milliseconds.
    pub direct_p50_ms: f64,
    /// Median of the added time to the first event, in milliseconds.
    pub added_p50_ms: f64,
    /// 95th percentile of the added time to the first event, in milliseconds.
    pub added_p95_ms: f64,
    /// CPU time of the gateway per event, including the handling of requests, in microseconds.
    pub cpu_per_event_us: f64,
    /// Load average of the machine at the end of the run.
    pub load_average: Option<f64>,
}

impl FirstEventFigures {
    /// Maximum 95th percentile of the added time to the first event, in milliseconds.
    pub const TARGET_MS: f64 = 10.0;

    /// Reports whether the figures meet the target.
    pub fn is_within_target(&self) -> bool {
        self.added_p95_ms <= Self::TARGET_MS
    }
}

impl fmt::Display for FirstEventFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} pairs, load average {:.1}", self.pairs, self.load_average.unwrap_or(-1.0))?;
        writeln!(f, "{:<44} {:>9.3} ms", "time to first event, direct, p50", self.direct_p50_ms)?;
        writeln!(f, "{:<44} {:>9.3} ms", "added time to first event, p50", self.added_p50_ms)?;
        writeln!(f, "{:<44} {:>9.3} ms", "added time to first event, p95", self.added_p95_ms)?;
        writeln!(f, "{:<44} {:>9.1} us", "processor time per event", self.cpu_per_event_us)?;
        let verdict = if self.is_within_target() { "met" } else { "not met" };
        write!(f, "target: added p95 at most {} ms: {verdict}", Self::TARGET_MS)
    }
}

/// Requests the same stream alternately from an endpoint and through a gateway, and compares the
/// times.
///
/// # Errors
///
/// Returns an error if a process can't be started or a stream breaks off.
pub fn measure_first_event(daemon: &Path, pairs: usize) -> Result<FirstEventFigures, MeasureError> {
    let endpoint = EndpointStandin::start(
        "endpoint-1",
        Behaviour::Stream { events: EVENTS, pause: PAUSE, cut_after: None },
    )?;
    let mut deployment = Deployment::new(&daemon.to_string_lossy(), 1)?;
    deployment.publish_endpoint(&endpoint, false);
    deployment.publish_routes(&[RouteSpec::stream("draft", true)], &[]);
    deployment.start_all()?;
    if !wait_until(|| request_stream(deployment.caller(0)).is_ok()) {
        return Err(io::Error::from(io::ErrorKind::TimedOut).into());
    }
    for _ in 0..WARM_UP_PAIRS {
        request_stream(Caller::connect(endpoint.address()))?;
        request_stream(deployment.caller(0))?;
    }
    let before = ProcessUsage::of(deployment.id(0))?.live_threads_cpu_ns;
    let (mut direct, mut added) = (Vec::new(), Vec::new());
    for _ in 0..pairs {
        let direct_ms = request_stream(Caller::connect(endpoint.address()))?;
        direct.push(direct_ms);
        added.push(request_stream(deployment.caller(0))? - direct_ms);
    }
    let used = ProcessUsage::of(deployment.id(0))?.live_threads_cpu_ns - before;
    deployment.close();
    let of = |values: &[f64], percent| percentile(values, percent).unwrap_or(f64::NAN);
    Ok(FirstEventFigures {
        pairs,
        direct_p50_ms: of(&direct, 50.0),
        added_p50_ms: of(&added, 50.0),
        added_p95_ms: of(&added, 95.0),
        cpu_per_event_us: used as f64 / NS_PER_US / (pairs as f64 * EVENTS as f64),
        load_average: load_average(),
    })
}

/// Requests one stream and reads it to its end. Returns the time to its first event, in
/// milliseconds.
fn request_stream(connected: io::Result<Caller>) -> io::Result<f64> {
    let mut caller = connected?.request("POST", "/draft/x", "request");
    let began = Instant::now();
    caller.send("body")?;
    caller.wait_for("id: 1")?;
    let first_ms = began.elapsed().as_secs_f64() * 1e3;
    caller.wait_for(&format!("id: {EVENTS}"))?;
    Ok(first_ms)
}
