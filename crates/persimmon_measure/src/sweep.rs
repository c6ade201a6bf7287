//! Figures of a sweep over fleets of different sizes, read from what the users' bench printed.

use std::str::FromStr;

use thiserror::Error;

/// The text isn't that of a sweep.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SweepError {
    /// A line that every sweep has is missing.
    #[error("the sweep has no line {0:?}; give the whole output of `fleetbench sweep`")]
    Missing(&'static str),
    /// A line doesn't hold the figures that it should.
    #[error("the sweep's line {0:?} can't be read")]
    Line(String),
}

/// What one gateway uses, in the middle and at the busiest one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// The middle gateway.
    pub middle: f64,
    /// The busiest gateway.
    pub busiest: f64,
}

/// A fleet of one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SweepPoint {
    /// Machines of the fleet's own.
    pub machines: f64,
    /// What the day was worth.
    pub worth: f64,
    /// Part of the requests' credit that was served.
    pub served: f64,
    /// Processor time of a gateway, in percent of a core.
    pub processor: Spread,
    /// Memory of a gateway, in MB.
    pub memory: Spread,
    /// Bytes that a gateway sends and receives, in kB a second.
    pub traffic: Spread,
}

/// A sweep, by growing size.
#[derive(Debug, Clone, PartialEq)]
pub struct Sweep {
    /// The sizes played.
    pub points: Vec<SweepPoint>,
}

impl FromStr for Sweep {
    type Err = SweepError;

    fn from_str(text: &str) -> Result<Self, SweepError> {
        let days = days(text)?;
        let spreads = |name| spreads(text, name, days.len());
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

/// The days, one a line: name, own machines and all servers, score, worth, served.
fn days(text: &str) -> Result<Vec<Day>, SweepError> {
    let of_days = text.lines().filter(|line| line.starts_with("sweep-") && line.contains('/'));
    let days: Vec<_> = of_days.map(day).collect::<Result<_, _>>()?;
    if days.is_empty() { Err(SweepError::Missing("sweep-")) } else { Ok(days) }
}

fn day(line: &str) -> Result<Day, SweepError> {
    let unreadable = || SweepError::Line(line.to_owned());
    let words: Vec<_> = line.split_whitespace().collect();
    let [_, servers, _, worth, served, ..] = words.as_slice() else { return Err(unreadable()) };
    let (machines, _) = servers.split_once('/').ok_or_else(unreadable)?;
    let number = |text: &str| text.parse::<f64>().map_err(|_| unreadable());
    Ok(Day { machines: number(machines)?, worth: number(worth)?, served: number(served)? })
}

/// The pairs of `middle / busiest` on the line of this name, one for each size.
fn spreads(text: &str, name: &'static str, sizes: usize) -> Result<Vec<Spread>, SweepError> {
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
