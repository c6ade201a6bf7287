//! Counts of one run and the figures calculated from them.

use hdrhistogram::Histogram;
use persimmon_decide::MonoMs;
use persimmon_decide::load::{EndpointHash, LoadReport, MeanLoad, Work};
use persimmon_records::{Class, Policy};
use serde::Serialize;

use crate::Strategy;

/// Skew of a model's endpoints, which is their highest load divided by their mean load. It is
/// sampled every second, unless the mean load is at or below the floor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Skew {
    /// Maximum of all samples.
    pub max: f64,
    /// Share of the samples above the load multiple, from 0 to 1.
    pub share_over: f64,
    /// Number of samples of all models together.
    pub samples: u64,
    over: u64,
}

impl Skew {
    /// Records a sample from the loads of one model's endpoints.
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

/// Returns the floor that follows from the actual loads.
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
    /// Prompt tokens that were cached at the endpoint.
    pub reused_tokens: u64,
    /// Prompt tokens that were imported from another endpoint.
    pub imported_tokens: u64,
    /// Cost of the imports, as the number of prompt tokens processed at the same cost.
    pub import_cost_tokens: u64,
    /// Prompt tokens, cached or not.
    pub prompt_tokens: u64,
    /// Started requests.
    pub started: u64,
    /// Refusals by sidecars.
    pub refusals: u64,
    /// Refusals because of the load bound.
    pub refused_for_load: u64,
    /// Number of times that a caller was asked to retry later.
    pub retries: u64,
    /// Requests that callers gave up on after eight attempts.
    pub dropped: u64,
    /// Requests that an endpoint's crash cut off and that were sent again.
    pub cut: u64,
    /// Skew of the load.
    pub skew: Skew,
    /// Wait of each started request by class, in milliseconds.
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
            retries: 0,
            dropped: 0,
            cut: 0,
            skew: Skew::default(),
            waits_ms: [histogram(), histogram(), histogram()],
        }
    }
}

impl Tally {
    /// Returns the number of reused and imported prompt tokens minus the cost of the imports.
    pub fn net_reused_tokens(&self) -> u64 {
        self.reused_tokens + self.imported_tokens - self.import_cost_tokens
    }

    /// Records the wait of a request that starts.
    pub fn count_wait(&mut self, class: Class, wait_ms: u64) {
        let index = Class::ALL.iter().position(|other| *other == class).unwrap_or(0);
        self.waits_ms[index].saturating_record(wait_ms);
    }

    /// Returns the 95th percentile of the wait of a class, in milliseconds.
    pub fn wait_p95_ms(&self, class: Class) -> u64 {
        let index = Class::ALL.iter().position(|other| *other == class).unwrap_or(0);
        self.waits_ms[index].value_at_quantile(0.95)
    }
}

/// Figures of one strategy on one scenario.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Placement strategy.
    pub strategy: Strategy,
    /// Net reused tokens, as a ratio to those of the reference.
    pub reuse: f64,
    /// Share of the net reused tokens that were imported, from 0 to 1.
    pub imported: f64,
    /// Skew of the load.
    pub skew: Skew,
    /// 95th percentile of the wait of quick requests, in milliseconds.
    pub quick_p95_ms: u64,
    /// 95th percentile of the wait of drafting requests, in milliseconds.
    pub drafting_p95_ms: u64,
    /// Refusals per started request.
    pub refusals: f64,
    /// Started requests.
    pub started: u64,
    /// Number of times that a caller was asked to retry later.
    pub come_back: u64,
    /// Requests that callers gave up on.
    pub dropped: u64,
    /// Requests that an endpoint's crash cut off and that were sent again.
    pub cut: u64,
}

impl Figures {
    /// Calculates the figures of a run relative to the reference's run.
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
            come_back: tally.retries,
            dropped: tally.dropped,
            cut: tally.cut,
        }
    }
}
