//! What one run counts.

use hdrhistogram::Histogram;
use persimmon_decide::MonoMs;
use persimmon_decide::load::{EndpointHash, LoadReport, MeanLoad, Work};
use persimmon_records::{Class, Policy};
use serde::Serialize;

use crate::Strategy;

/// Highest load over the mean, over every second of a run in which the mean was above the floor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Skew {
    /// The highest.
    pub max: f64,
    /// Share of the seconds in which it was above the load multiple.
    pub share_over: f64,
    /// Seconds, over all models, in which the mean was above the floor.
    pub samples: u64,
    over: u64,
}

impl Skew {
    /// Takes in the loads of one model's endpoints.
    pub fn sample(&mut self, loads: &[LoadReport], policy: &Policy) {
        let work: Work = loads.iter().map(|load| load.work).sum();
        let mean = work.0 as f64 / loads.len().max(1) as f64;
        if mean <= floor(loads, policy) {
            return;
        }
        let highest = loads.iter().map(|load| load.work.0).max().unwrap_or(0);
        let skew = highest as f64 / mean;
        self.max = self.max.max(skew);
        self.samples += 1;
        self.over += u64::from(skew > policy.load_multiple);
        self.share_over = self.over as f64 / self.samples as f64;
    }
}

/// The floor by the true loads.
fn floor(loads: &[LoadReport], policy: &Policy) -> f64 {
    let mut all = MeanLoad::default();
    for (number, load) in (0..).zip(loads) {
        all.observe(EndpointHash(number), *load, MonoMs(0));
    }
    all.floor(policy).0 as f64
}

/// Counts of one run.
#[derive(Debug)]
pub struct Tally {
    /// Prompt tokens found cached at the endpoint.
    pub reused_tokens: u64,
    /// Prompt tokens imported from another endpoint.
    pub imported_tokens: u64,
    /// What the imports cost, in prompt tokens rebuilt.
    pub import_cost_tokens: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Requests that started.
    pub started: u64,
    /// Refusals by sidecars.
    pub refusals: u64,
    /// Refusals for load.
    pub refused_for_load: u64,
    /// Times that a caller was told to come back.
    pub come_back: u64,
    /// Requests that callers gave up after eight tries.
    pub dropped: u64,
    /// Requests cut by an endpoint's failure and sent again.
    pub cut: u64,
    /// Highest load over the mean.
    pub skew: Skew,
    /// Waits until the start in milliseconds, by class.
    pub waits_ms: [Histogram<u64>; 3],
}

impl Default for Tally {
    fn default() -> Self {
        let histogram = || {
            let mut waits = Histogram::new_with_max(3_600_000, 3)
                .expect("an hour and three digits are valid bounds of a histogram");
            waits.auto(true);
            waits
        };
        Self {
            reused_tokens: 0,
            imported_tokens: 0,
            import_cost_tokens: 0,
            prompt_tokens: 0,
            started: 0,
            refusals: 0,
            refused_for_load: 0,
            come_back: 0,
            dropped: 0,
            cut: 0,
            skew: Skew::default(),
            waits_ms: [histogram(), histogram(), histogram()],
        }
    }
}

impl Tally {
    /// Prompt tokens that didn't have to be rebuilt, less the cost of imports.
    pub fn net_reused_tokens(&self) -> u64 {
        self.reused_tokens + self.imported_tokens - self.import_cost_tokens
    }

    /// Counts the wait of a request that starts.
    pub fn count_wait(&mut self, class: Class, wait_ms: u64) {
        let index = Class::ALL.iter().position(|other| *other == class).unwrap_or(0);
        self.waits_ms[index].saturating_record(wait_ms);
    }

    /// The wait in milliseconds that 95 in 100 requests of a class don't exceed.
    pub fn wait_p95_ms(&self, class: Class) -> u64 {
        let index = Class::ALL.iter().position(|other| *other == class).unwrap_or(0);
        self.waits_ms[index].value_at_quantile(0.95)
    }
}

/// The figures of one strategy on one scenario.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// The strategy.
    pub strategy: Strategy,
    /// Reuse kept of what the reference gets, from 0 to 1.
    pub reuse: f64,
    /// Share of the reuse that came by import, from 0 to 1.
    pub imported: f64,
    /// Highest load over the mean.
    pub skew: Skew,
    /// Wait of quick requests in milliseconds at the 95th percentile.
    pub quick_p95_ms: u64,
    /// Wait of drafting requests in milliseconds at the 95th percentile.
    pub drafting_p95_ms: u64,
    /// Refusals for each started request.
    pub refusals: f64,
    /// Requests that started.
    pub started: u64,
    /// Times that a caller was told to come back.
    pub come_back: u64,
    /// Requests that callers gave up.
    pub dropped: u64,
    /// Requests cut by an endpoint's failure and sent again.
    pub cut: u64,
}

impl Figures {
    /// The figures of a run, measured against the reference's.
    pub fn of(strategy: Strategy, tally: &Tally, reference: &Tally) -> Self {
        let net = tally.net_reused_tokens() as f64;
        let reached = reference.net_reused_tokens().max(1) as f64;
        Self {
            strategy,
            reuse: net / reached,
            imported: (tally.imported_tokens - tally.import_cost_tokens) as f64 / net.max(1.0),
            skew: tally.skew,
            quick_p95_ms: tally.wait_p95_ms(Class::Quick),
            drafting_p95_ms: tally.wait_p95_ms(Class::Drafting),
            refusals: tally.refusals as f64 / tally.started.max(1) as f64,
            started: tally.started,
            come_back: tally.come_back,
            dropped: tally.dropped,
            cut: tally.cut,
        }
    }
}
