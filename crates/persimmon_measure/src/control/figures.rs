//! Figures of the control measurement, and lines fitted to them.

use std::fmt;

use serde::Serialize;

use super::Growth;
use crate::{Line, MeasureError};

/// Resource usage of one process in the measured window.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct RoleUsage {
    /// Number of open sockets at the end of the window.
    pub sockets: usize,
    /// Resident memory at the end of the window, in MB.
    pub resident_mb: f64,
    /// CPU usage, in percent of one core.
    pub core_percent: f64,
    /// Control bytes sent per second, or `None` if the process doesn't count them.
    pub sent_bytes_per_s: Option<f64>,
    /// Control bytes received per second, or `None` if the process doesn't count them.
    pub received_bytes_per_s: Option<f64>,
    /// Reads from the platform per second.
    pub platform_reads_per_s: f64,
}

/// Figures of one size.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ControlPoint {
    /// Size of the varied quantity.
    pub size: usize,
    /// Size of the published records, in bytes.
    pub records_bytes: usize,
    /// Number of processes that hadn't adopted the records within 20 s.
    pub late: usize,
    /// Length of the measured window, in seconds.
    pub window_s: f64,
    /// Load average of the machine at the end of the window.
    pub load_average: Option<f64>,
    /// Usage of the measured router.
    pub router: RoleUsage,
    /// Usage of the measured sidecar.
    pub sidecar: RoleUsage,
}

/// Lines fitted to the figures of one role.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct RoleLines {
    /// Resident memory, in MB.
    pub resident_mb: Line,
    /// CPU usage, in percent of one core.
    pub core_percent: Line,
    /// Control bytes sent per second, or `None` if the process doesn't count them.
    pub sent_bytes_per_s: Option<Line>,
    /// Reads from the platform per second.
    pub platform_reads_per_s: Line,
}

/// Figures of all sizes of one quantity.
#[derive(Debug, Clone, Serialize)]
pub struct ControlFigures {
    /// The varied quantity.
    pub growth: Growth,
    /// Figures of each size.
    pub points: Vec<ControlPoint>,
    /// Lines fitted to the router's figures.
    pub router: RoleLines,
    /// Lines fitted to the sidecar's figures.
    pub sidecar: RoleLines,
}

impl ControlFigures {
    /// Fits lines to the points.
    ///
    /// # Errors
    ///
    /// Returns an error if there are fewer than two sizes.
    pub(super) fn new(growth: Growth, points: Vec<ControlPoint>) -> Result<Self, MeasureError> {
        let router = RoleLines::fit(growth, &points, |point| point.router)?;
        let sidecar = RoleLines::fit(growth, &points, |point| point.sidecar)?;
        Ok(Self { growth, points, router, sidecar })
    }
}

impl RoleLines {
    /// Fits lines against the size, or against the number of open sockets for [`Growth::Links`].
    fn fit(
        growth: Growth,
        points: &[ControlPoint],
        role: fn(&ControlPoint) -> RoleUsage,
    ) -> Result<Self, MeasureError> {
        let line = |value: fn(RoleUsage) -> f64| {
            let size = |point: &ControlPoint| match growth {
                Growth::Links => role(point).sockets,
                _ => point.size,
            };
            let at = |point: &ControlPoint| (size(point) as f64, value(role(point)));
            Line::fit(&points.iter().map(at).collect::<Vec<_>>())
        };
        let counts_bytes = points.iter().all(|point| role(point).sent_bytes_per_s.is_some());
        let sent = |used: RoleUsage| used.sent_bytes_per_s.unwrap_or(0.0);
        Ok(Self {
            resident_mb: line(|used| used.resident_mb)?,
            core_percent: line(|used| used.core_percent)?,
            sent_bytes_per_s: if counts_bytes { Some(line(sent)?) } else { None },
            platform_reads_per_s: line(|used| used.platform_reads_per_s)?,
        })
    }
}

impl fmt::Display for ControlFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<10} {:>9} {:<8} {:>7} {:>8} {:>8} {:>9} {:>9} {:>8} {:>6}",
            self.growth.as_str(),
            "records B",
            "role",
            "sockets",
            "MB",
            "core %",
            "sent B/s",
            "recv B/s",
            "reads/s",
            "load"
        )?;
        for point in &self.points {
            for (role, used) in [("router", point.router), ("sidecar", point.sidecar)] {
                writeln!(
                    f,
                    "{:<10} {:>9} {role:<8} {:>7} {:>8.2} {:>8.3} {:>9} {:>9} {:>8.2} {:>6.1}",
                    point.size,
                    point.records_bytes,
                    used.sockets,
                    used.resident_mb,
                    used.core_percent,
                    bytes(used.sent_bytes_per_s),
                    bytes(used.received_bytes_per_s),
                    used.platform_reads_per_s,
                    point.load_average.unwrap_or(-1.0),
                )?;
            }
        }
        for point in self.points.iter().filter(|point| point.late > 0) {
            writeln!(
                f,
                "size {}: {} process(es) did not adopt the records in time",
                point.size, point.late
            )?;
        }
        for (role, lines) in [("router", self.router), ("sidecar", self.sidecar)] {
            write_line(f, role, "MB", &lines.resident_mb)?;
            write_line(f, role, "core %", &lines.core_percent)?;
            if let Some(line) = &lines.sent_bytes_per_s {
                write_line(f, role, "sent B/s", line)?;
            }
            write_line(f, role, "reads/s", &lines.platform_reads_per_s)?;
        }
        Ok(())
    }
}

fn bytes(rate: Option<f64>) -> String {
    rate.map_or_else(|| "-".to_owned(), |rate| format!("{rate:.0}"))
}

fn write_line(f: &mut fmt::Formatter<'_>, role: &str, unit: &str, line: &Line) -> fmt::Result {
    let Line { slope, intercept, residual } = line;
    writeln!(f, "{role:<8} {unit:<9} {intercept:>10.4} + {slope:.7} x size, residual {residual:.4}")
}
