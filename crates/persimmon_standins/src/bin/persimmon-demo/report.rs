//! What the demo observed, as a table.

use std::error::Error;
use std::fmt;

/// What one step observed.
#[derive(Debug)]
pub(crate) struct Observation {
    observed: String,
    is_right: bool,
}

impl Observation {
    /// Something observed, and whether it is as it should be.
    pub(crate) fn new(observed: impl Into<String>, is_right: bool) -> Self {
        Self { observed: observed.into(), is_right }
    }
}

/// A step that observes something or fails.
pub(crate) type StepResult = Result<Observation, Box<dyn Error>>;

#[derive(Debug)]
struct Row {
    step: &'static str,
    observation: Observation,
}

/// The observations of every step.
#[derive(Debug, Default)]
pub(crate) struct Report(Vec<Row>);

impl Report {
    /// Adds the observation of a step; one that failed is wrong.
    pub(crate) fn add(&mut self, step: &'static str, observed: StepResult) {
        let observation =
            observed.unwrap_or_else(|error| Observation::new(error.to_string(), false));
        println!("{}: {}", if observation.is_right { "right" } else { "WRONG" }, step);
        self.0.push(Row { step, observation });
    }

    /// Whether every observation is as it should be.
    pub(crate) fn is_right(&self) -> bool {
        !self.0.is_empty() && self.0.iter().all(|row| row.observation.is_right)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let width = self.0.iter().map(|row| row.step.len()).max().unwrap_or(0);
        writeln!(f, "\n{:width$}  result  observed", "step")?;
        for Row { step, observation: Observation { observed, is_right } } in &self.0 {
            let result = if *is_right { "right" } else { "WRONG" };
            writeln!(f, "{step:width$}  {result:6}  {observed}")?;
        }
        Ok(())
    }
}
