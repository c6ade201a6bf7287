//! Figures of the throughput measurement.

use std::fmt;

use serde::Serialize;

use super::Shape;

/// Throughput and resource usage of a fleet.
#[derive(Debug, Clone, Serialize)]
pub struct ThroughputFigures {
    /// Numbers of routers and sidecars.
    pub shape: Shape,
    /// Number of concurrent streams.
    pub streams: usize,
    /// Length of the measured window, in seconds.
    pub window_s: f64,
    /// Tokens per second that reached the callers.
    pub tokens_per_s: f64,
    /// Number of requests that were refused or cut off in the whole run.
    pub failed: u64,
    /// Error of one of the failed requests.
    pub first_failure: Option<String>,
    /// CPU time of all routers per token, in microseconds.
    pub router_us_per_token: f64,
    /// CPU time of all sidecars per token, in microseconds.
    pub sidecar_us_per_token: f64,
    /// Number of cores that all routers used together.
    pub router_cores: f64,
    /// Number of cores that all sidecars used together.
    pub sidecar_cores: f64,
    /// Number of cores that all engine stand-ins used together.
    pub engine_cores: f64,
    /// Number of cores that the measuring process used for its callers.
    pub caller_cores: f64,
    /// Resident memory of the router that uses most, in KiB.
    pub router_kib: u64,
    /// Resident memory of the sidecar that uses most, in KiB.
    pub sidecar_kib: u64,
    /// Load average of the machine at the end of the window.
    pub load_average: Option<f64>,
}

impl fmt::Display for ThroughputFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Shape { routers, sidecars } = self.shape;
        let load = self.load_average.unwrap_or(-1.0);
        writeln!(
            f,
            "{routers} router(s), {sidecars} sidecar(s), {} streams, window {:.1} s, load average {load:.1}",
            self.streams, self.window_s
        )?;
        writeln!(f, "{:<36} {:>10.0}", "tokens per second", self.tokens_per_s)?;
        writeln!(f, "{:<36} {:>10}", "requests refused or cut off", self.failed)?;
        if let Some(failure) = &self.first_failure {
            writeln!(f, "  one of these failures: {failure}")?;
        }
        let rows = [
            ("router, processor us per token", self.router_us_per_token),
            ("sidecar, processor us per token", self.sidecar_us_per_token),
            ("routers, cores", self.router_cores),
            ("sidecars, cores", self.sidecar_cores),
            ("engine stand-ins, cores", self.engine_cores),
            ("callers, cores", self.caller_cores),
            ("largest router, MB", self.router_kib as f64 * 1_024.0 / 1e6),
            ("largest sidecar, MB", self.sidecar_kib as f64 * 1_024.0 / 1e6),
        ];
        for (name, value) in rows {
            writeln!(f, "{name:<36} {value:>10.2}")?;
        }
        Ok(())
    }
}
