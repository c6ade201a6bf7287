//! Log lines of gateways about the routes in force.

use serde::Deserialize;

/// Message of the line that a gateway logs as it puts routes in force.
const IN_FORCE: &str = "routes in force";
const SECONDS_PER_DAY: i64 = 24 * 60 * 60;
const US_PER_S: i64 = 1_000_000;

/// A gateway's log line about routes that are in force from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutesInForce {
    /// Version of the routes.
    pub version: u64,
    /// Time of the line within its day in UTC, in microseconds.
    pub time_of_day_us: i64,
}

#[derive(Deserialize)]
struct Line {
    timestamp: String,
    message: String,
    version: Option<u64>,
}

impl RoutesInForce {
    /// Parses a log line; `None` for a line about anything else.
    pub fn parse(line: &str) -> Option<Self> {
        if !line.contains(IN_FORCE) {
            return None;
        }
        let line: Line = serde_json::from_str(line).ok()?;
        if line.message != IN_FORCE {
            return None;
        }
        let time_of_day_us = parse_time_of_day_us(&line.timestamp)?;
        Some(Self { version: line.version?, time_of_day_us })
    }
}

/// Parses a time such as `2026-12-06T10:37:38.052001Z` and returns the microseconds since midnight.
fn parse_time_of_day_us(timestamp: &str) -> Option<i64> {
    let (_, time) = timestamp.strip_suffix('Z')?.split_once('T')?;
    let (whole, fraction) = time.split_once('.').unwrap_or((time, "0"));
    let mut seconds = 0;
    for part in whole.split(':') {
        seconds = seconds * 60 + part.parse::<i64>().ok()?;
    }
    let us = format!("{fraction:0<6}").get(..6)?.parse::<i64>().ok()?;
    Some(seconds * US_PER_S + us)
}

/// Returns the time from the first to the last of these times of day, in milliseconds. They lie less than
/// half a day apart, before or after midnight. Returns zero if there are none.
pub fn first_to_last_ms(times_of_day_us: &[i64]) -> f64 {
    let day = SECONDS_PER_DAY * US_PER_S;
    let Some(origin) = times_of_day_us.first() else { return 0.0 };
    let relative =
        || times_of_day_us.iter().map(|it| (it - origin + day / 2).rem_euclid(day) - day / 2);
    let (first, last) = (relative().min().unwrap_or(0), relative().max().unwrap_or(0));
    (last - first) as f64 / 1e3
}
