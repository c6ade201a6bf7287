//! Table of the demo's observations.

use std::error::Error;
use std::fmt;

/// Observation of one step.
#[derive(Debug)]
pub(crate) struct Observation {
    observed: String,
    is_right: bool,
}

impl Observation {
    /// Creates an observation from its text and whether it is as expected.
    pub(crate) fn new(observed: impl Into<String>, is_right: bool) -> Self {
        Self { observed: observed.into(), is_right }
    }
}

/// Result of a step: an observation or an error.
pub(crate) type StepResult = Result<Observation, Box<dyn Error>>;

#[derive(Debug)]
struct Row {
    step: &'static str,
    observation: Observation,
}

/// Observations of all steps.
#[derive(Debug, Default)]
pub(crate) struct Report(Vec<Row>);

impl Report {
    /// Adds the result of a step and prints it. An error counts as a wrong observation.
    pub(crate) fn add(&mut self, step: &'static str, observed: StepResult) {
        let observation =
            observed.unwrap_or_else(|error| Observation::new(error.to_string(), false));
        println!("{}: {}", if observation.is_right { "right" } else { "WRONG" }, step);
        self.0.push(Row { step, observation });
    }

    /// Reports whether every observation is as expected.
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
