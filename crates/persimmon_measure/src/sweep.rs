//! Parses the output of `fleetbench sweep`, the users' benchmark of fleets of different sizes.

use std::str::FromStr;

use thiserror::Error;

/// Error for a text that isn't the output of a sweep.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SweepError {
    /// A line that every sweep prints is missing.
    #[error("the sweep has no line {0:?}; pass the whole output of `fleetbench sweep`")]
    Missing(&'static str),
    /// A line doesn't contain the expected figures.
    #[error("can't parse the sweep's line {0:?}; pass the unchanged output of `fleetbench sweep`")]
    Line(String),
}

/// A figure of the median gateway and of the busiest one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// Figure of the median gateway.
    pub middle: f64,
    /// Figure of the busiest gateway.
    pub busiest: f64,
}

/// Figures of a fleet of one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SweepPoint {
    /// Number of the fleet's own machines.
    pub machines: f64,
    /// Figure in the column `worth` that `fleetbench sweep` prints for the simulated day.
    pub worth: f64,
    /// Share of the requests' credit that was served.
    pub served: f64,
    /// CPU usage of a gateway, in percent of one core.
    pub processor: Spread,
    /// Memory of a gateway, in MB.
    pub memory: Spread,
    /// Bytes that a gateway sends and receives, in kB per second.
    pub traffic: Spread,
}

/// Figures of a sweep.
#[derive(Debug, Clone, PartialEq)]
pub struct Sweep {
    /// Figures by fleet size, in ascending order.
    pub points: Vec<SweepPoint>,
}

impl FromStr for Sweep {
    type Err = SweepError;

    fn from_str(text: &str) -> Result<Self, SweepError> {
        let days = parse_days(text)?;
        let spreads = |name| parse_spreads(text, name, days.len());
        let processor = spreads("gateway: processor %")?;
        let memory = spreads("gateway: memory MB")?;
        let traffic = spreads("gateway: kB a second")?;
        let point = |(number, day): (usize, &Day)| SweepPoint {
            machines: day.machines,
            worth: day.worth,
            served: day.served,
            processor: processor[number],
            memory: memory[number],
            traffic: traffic[number],
        };
        Ok(Self { points: days.iter().enumerate().map(point).collect() })
    }
}

struct Day {
    machines: f64,
    worth: f64,
    served: f64,
}

/// Parses the lines of the days. Each contains a name, the numbers of own machines and of all
/// servers, score, worth and share served.
fn parse_days(text: &str) -> Result<Vec<Day>, SweepError> {
    let of_days = text.lines().filter(|line| line.starts_with("sweep-") && line.contains('/'));
    let days: Vec<_> = of_days.map(parse_day).collect::<Result<_, _>>()?;
    if days.is_empty() { Err(SweepError::Missing("sweep-")) } else { Ok(days) }
}

fn parse_day(line: &str) -> Result<Day, SweepError> {
    let unreadable = || SweepError::Line(line.to_owned());
    let words: Vec<_> = line.split_whitespace().collect();
    let [_, servers, _, worth, served, ..] = words.as_slice() else { return Err(unreadable()) };
    let (machines, _) = servers.split_once('/').ok_or_else(unreadable)?;
    let number = |text: &str| text.parse::<f64>().map_err(|_| unreadable());
    Ok(Day { machines: number(machines)?, worth: number(worth)?, served: number(served)? })
}

/// Parses the pairs of `middle / busiest` on the line with this name, one for each size.
fn parse_spreads(text: &str, name: &'static str, sizes: usize) -> Result<Vec<Spread>, SweepError> {
    let found = text.lines().find_map(|line| line.strip_prefix(name));
    let line = found.ok_or(SweepError::Missing(name))?;
    let words: Vec<_> = line.split_whitespace().collect();
    let number = |text: &str| text.parse::<f64>().ok();
    let pairs = words
        .windows(3)
        .filter(|it| it[1] == "/")
        .filter_map(|it| Some(Spread { middle: number(it[0])?, busiest: number(it[2])? }));
    let pairs: Vec<_> = pairs.take(sizes).collect();
    if pairs.len() == sizes { Ok(pairs) } else { Err(SweepError::Line(line.to_owned())) }
}
