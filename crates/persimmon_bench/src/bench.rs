//! Compares strategies on one workload.

use std::fmt;

use persimmon_records::Class;
use serde::Serialize;

use crate::{Figures, Scenario, Strategy, run, workload};

/// The figures of several strategies on one workload.
#[derive(Debug, Clone, Serialize)]
pub struct Comparison {
    /// The deployment's name.
    pub deployment: &'static str,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Load multiple of the deployment's policy.
    pub load_multiple: f64,
    /// Minimum share of the reference's reuse that the project's strategy has to reach.
    pub reuse_target: f64,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Number of turns in the workload.
    pub turns: usize,
    /// Figures of each strategy.
    pub figures: Vec<Figures>,
    /// 95th percentile of the wait of quick requests with the project's strategy in a run without
    /// surges, in milliseconds.
    pub calm_quick_p95_ms: u64,
}

/// Runs the reference and `strategies` on one workload.
pub fn compare(scenario: &Scenario, strategies: &[Strategy]) -> Comparison {
    let turns = workload(scenario);
    let reference = run(scenario, &turns, Strategy::Reference);
    let figures = strategies
        .iter()
        .map(|strategy| Figures::of(*strategy, &run(scenario, &turns, *strategy), &reference))
        .collect();
    let calm = scenario.clone().with_surges(false);
    let calm_tally = run(&calm, &workload(&calm), Strategy::Project);
    Comparison {
        deployment: scenario.deployment.name,
        endpoints: scenario.endpoints,
        load_multiple: scenario.deployment.policy.load_multiple,
        reuse_target: scenario.deployment.reuse_target,
        seed: scenario.seed,
        turns: turns.len(),
        figures,
        calm_quick_p95_ms: calm_tally.wait_p95_ms(Class::Quick),
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: {} endpoints, load multiple {}, {} turns, seed {}",
            self.deployment, self.endpoints, self.load_multiple, self.turns, self.seed
        )?;
        writeln!(
            f,
            "  quick wait p95 without surges {} ms, target with surges at most twice that; \
             reuse target {:.0}%",
            self.calm_quick_p95_ms,
            100.0 * self.reuse_target
        )?;
        writeln!(
            f,
            "  {:<18} {:>7} {:>8} {:>9} {:>7} {:>7} {:>9} {:>9} {:>8} {:>9} {:>8} {:>5}",
            "strategy",
            "reuse",
            "imported",
            "skew max",
            "% over",
            "samples",
            "quick p95",
            "draft p95",
            "refused",
            "retries",
            "dropped",
            "cut"
        )?;
        self.figures.iter().try_for_each(|figures| write_row(f, figures))
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, figures: &Figures) -> fmt::Result {
    writeln!(
        f,
        "  {:<18} {:>6.1}% {:>7.1}% {:>9.3} {:>6.1}% {:>7} {:>6} ms {:>6} ms {:>8.2} {:>9} {:>8} {:>5}",
        figures.strategy.as_str(),
        100.0 * figures.reuse,
        100.0 * figures.imported,
        figures.skew.max,
        100.0 * figures.skew.share_over,
        figures.skew.samples,
        figures.quick_p95_ms,
        figures.drafting_p95_ms,
        figures.refusals,
        figures.come_back,
        figures.dropped,
        figures.cut
    )
}
