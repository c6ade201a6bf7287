//! The size and the events of one run.

use crate::Deployment;

/// One run of the bench: a deployment at a size, with a seed.
///
/// ```
/// use persimmon_bench::{Deployment, Scenario};
///
/// let scenario = Scenario::new(Deployment::mwakilema()).with_endpoints(40).with_seed(7);
/// assert_eq!(scenario.endpoints, 40);
/// ```
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The policy and the workload.
    pub deployment: Deployment,
    /// Endpoints over all models.
    pub endpoints: usize,
    /// Models, over which the endpoints are spread evenly.
    pub models: usize,
    /// Routers.
    pub routers: usize,
    /// Length of the run in seconds of its own time.
    pub duration_s: u64,
    /// Mean number of requests in progress on each endpoint.
    pub in_progress: f64,
    /// Whether one workspace surges with drafting.
    pub surges: bool,
    /// Share of the endpoints that are replaced.
    pub churn: f64,
    /// Age of a load when a digest delivers it, in seconds.
    pub digest_lag_s: u64,
    /// Seed of every random number.
    pub seed: u64,
}

impl Scenario {
    /// Slots of each endpoint.
    pub const SLOTS: u32 = 16;

    /// Time for each generated token, in milliseconds.
    pub const TOKEN_MS: u64 = 30;

    /// Prompt tokens processed in a millisecond.
    pub const PROMPT_TOKENS_PER_MS: u64 = 5;

    /// Prompt tokens whose cache an endpoint keeps.
    pub const CACHE_TOKENS: u64 = 600_000;

    /// Prompt tokens whose cache a sidecar may import in a second.
    pub const IMPORT_TOKENS_PER_S: u64 = 2_000;

    /// Time of a hop from a router to a sidecar and back, in milliseconds.
    pub const HOP_MS: u64 = 2;

    /// Loads in each digest, one digest a second.
    pub const DIGEST_ENTRIES: usize = 16;

    /// Workspaces.
    pub const WORKSPACES: usize = 10;

    /// Time between the starts of surges, in seconds.
    pub const SURGE_EVERY_S: u64 = 600;

    /// Length of a surge in seconds.
    pub const SURGE_S: u64 = 120;

    /// Drafting chats that a surge adds, as a share of all chats without one: enough to fill every
    /// slot that drafting may use.
    pub const SURGE_SHARE: f64 = 0.1;

    /// Part of the run that isn't measured, so that the fleet has filled, in seconds.
    pub const WARM_UP_S: u64 = 120;

    /// Twenty endpoints of one model behind four routers, for half an hour.
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

    /// The size of the users' plan: 3,700 endpoints of 35 models behind 350 routers.
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

    /// Sets the length in seconds.
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

    /// Sets whether one workspace surges with drafting.
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

    /// Chats that start in a second, outside of surges.
    pub fn chats_per_s(&self) -> f64 {
        let streams = self.in_progress * self.endpoints as f64;
        streams * 1_000.0 / self.deployment.mean_chat_ms(Self::TOKEN_MS as f64)
    }
}
