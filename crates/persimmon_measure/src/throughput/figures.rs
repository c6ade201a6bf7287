//! The figures of a run of throughput.

use std::fmt;

use serde::Serialize;

use super::Shape;

/// What carried how many tokens.
#[derive(Debug, Clone, Serialize)]
pub struct ThroughputFigures {
    /// Processes.
    pub shape: Shape,
    /// Streams at once.
    pub streams: usize,
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Tokens a second that reached the callers.
    pub tokens_per_s: f64,
    /// Requests that were refused or cut in the whole run.
    pub failed: u64,
    /// Why one of them failed.
    pub first_failure: Option<String>,
    /// Processor time of all routers for a token, in microseconds.
    pub router_us_per_token: f64,
    /// Processor time of all sidecars for a token, in microseconds.
    pub sidecar_us_per_token: f64,
    /// Cores that all routers used.
    pub router_cores: f64,
    /// Cores that all sidecars used.
    pub sidecar_cores: f64,
    /// Cores that all engine stand-ins used.
    pub engine_cores: f64,
    /// Cores that the callers of the measuring process used.
    pub caller_cores: f64,
    /// Resident memory of the largest router, in KiB.
    pub router_kib: u64,
    /// Resident memory of the largest sidecar, in KiB.
    pub sidecar_kib: u64,
    /// The machine's load average when the window ended.
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
        writeln!(f, "{:<36} {:>10.0}", "tokens a second", self.tokens_per_s)?;
        writeln!(f, "{:<36} {:>10}", "requests refused or cut", self.failed)?;
        if let Some(failure) = &self.first_failure {
            writeln!(f, "  one of them: {failure}")?;
        }
        let rows = [
            ("router, us of processor a token", self.router_us_per_token),
            ("sidecar, us of processor a token", self.sidecar_us_per_token),
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
