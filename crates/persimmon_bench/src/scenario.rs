//! The size and conditions of one run.

use crate::Deployment;

/// Settings of one benchmark run: a deployment, its size and a seed.
///
/// ```
/// use persimmon_bench::{Deployment, Scenario};
///
/// let scenario = Scenario::new(Deployment::mwakilema()).with_endpoints(40).with_seed(7);
/// assert_eq!(scenario.endpoints, 40);
/// ```
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Policy and workload.
    pub deployment: Deployment,
    /// Number of endpoints of all models together.
    pub endpoints: usize,
    /// Number of models. The endpoints are divided evenly among them.
    pub models: usize,
    /// Number of routers.
    pub routers: usize,
    /// Length of the run, in seconds of simulated time.
    pub duration_s: u64,
    /// Mean number of requests in progress on each endpoint.
    pub in_progress: f64,
    /// Whether the run includes surges of drafting requests.
    pub surges: bool,
    /// Number of endpoints that are replaced, as a share of `endpoints`.
    pub churn: f64,
    /// Age of the loads in a digest on delivery, in seconds.
    pub digest_lag_s: u64,
    /// Seed of the random number generators.
    pub seed: u64,
}

impl Scenario {
    /// Slots of each endpoint.
    pub const SLOTS: u32 = 16;

    /// Time to generate a token, in milliseconds.
    pub const TOKEN_MS: u64 = 30;

    /// Prompt tokens processed per millisecond.
    pub const PROMPT_TOKENS_PER_MS: u64 = 5;

    /// Capacity of an endpoint's prefix cache, in tokens.
    pub const CACHE_TOKENS: u64 = 600_000;

    /// Rate limit of a sidecar's cache imports, in prompt tokens per second.
    pub const IMPORT_TOKENS_PER_S: u64 = 2_000;

    /// Round-trip time from a router to a sidecar, in milliseconds.
    pub const ROUND_TRIP_MS: u64 = 2;

    /// Number of loads in a digest. One digest is delivered per second.
    pub const DIGEST_ENTRIES: usize = 16;

    /// Number of workspaces.
    pub const WORKSPACES: usize = 10;

    /// Time between the starts of surges, in seconds.
    pub const SURGE_EVERY_S: u64 = 600;

    /// Length of a surge, in seconds.
    pub const SURGE_S: u64 = 120;

    /// Rate of drafting chats that a surge adds, as a share of the rate of all chats without a
    /// surge. It is high enough to fill every slot that drafting may use.
    pub const SURGE_SHARE: f64 = 0.1;

    /// Time at the start of a run that isn't measured, while the fleet fills up, in seconds.
    pub const WARM_UP_S: u64 = 120;

    /// Creates a scenario of 20 endpoints of one model behind four routers, for half an hour.
    pub fn new(deployment: Deployment) -> Self {
        Self {
            deployment,
            endpoints: 20,
            models: 1,
            routers: 4,
            duration_s: 1_800,
            in_progress: 8.0,
            surges: true,
            churn: 0.1,
            digest_lag_s: 2,
            seed: 1,
        }
    }

    /// Creates a scenario of the planned production size: 3,700 endpoints of 35 models behind 350
    /// routers.
    pub fn large(deployment: Deployment) -> Self {
        let size = Self::new(deployment);
        Self { endpoints: 3_700, models: 35, routers: 350, duration_s: 720, ..size }
    }

    /// Sets the number of endpoints.
    #[must_use]
    pub fn with_endpoints(mut self, endpoints: usize) -> Self {
        self.endpoints = endpoints;
        self
    }

    /// Sets the length of the run, in seconds.
    #[must_use]
    pub fn with_duration_s(mut self, duration_s: u64) -> Self {
        self.duration_s = duration_s;
        self
    }

    /// Sets the mean number of requests in progress on each endpoint.
    #[must_use]
    pub fn with_in_progress(mut self, in_progress: f64) -> Self {
        self.in_progress = in_progress;
        self
    }

    /// Sets whether the run includes surges of drafting requests.
    #[must_use]
    pub fn with_surges(mut self, surges: bool) -> Self {
        self.surges = surges;
        self
    }

    /// Sets the load multiple.
    #[must_use]
    pub fn with_load_multiple(mut self, load_multiple: f64) -> Self {
        self.deployment.policy.load_multiple = load_multiple;
        self
    }

    /// Sets the seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns the number of chats that start per second outside of surges.
    pub fn chats_per_s(&self) -> f64 {
        let streams = self.in_progress * self.endpoints as f64;
        streams * 1_000.0 / self.deployment.mean_chat_ms(Self::TOKEN_MS as f64)
    }
}
