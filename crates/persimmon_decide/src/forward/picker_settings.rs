//! Settings of the selection of endpoints.

/// Limits on uneven load, and the costs by which endpoints are compared.
#[derive(Debug, Clone, Copy)]
pub struct PickerSettings {
    /// Requests at an endpoint, as a multiple of the service's mean, up to which an endpoint with
    /// the prompt's prefix in its cache is preferred. It lies below the deployment's bound because
    /// the counts of other gateways are slightly out of date.
    pub max_load_factor: f64,
    /// Requests allowed on top of the multiple. When a service has few requests, a single one
    /// exceeds any multiple of the mean.
    pub load_floor: f64,
    /// Minimum number of cached tokens for which an endpoint is asked to copy a prefix from another
    /// endpoint. An endpoint computes fewer tokens faster than it fetches them.
    pub min_fetch_tokens: u32,
    /// Prompt tokens that an engine reads per millisecond. Engines don't publish this figure; only
    /// its order of magnitude matters.
    pub tokens_per_ms: f64,
    /// Unread tokens at an endpoint that are ignored, so that gateways with slightly different
    /// counts choose the same endpoint.
    pub tolerated_unread_tokens: u32,
    /// Load, as a multiple of the mean, up to which an endpoint's load costs nothing.
    pub tolerated_load_factor: f64,
    /// Cost in milliseconds of a certain failure, for a request that can't be repeated. Only the
    /// failure rate above the service's mean is charged. The cost is about that of reading a long
    /// prompt again.
    pub failure_cost_ms: f64,
    /// Cost in milliseconds of load that exceeds the tolerated load by one mean: roughly how much
    /// longer the endpoint takes to generate a whole answer.
    pub load_cost_ms: f64,
    /// Unread tokens of a prompt from which it is placed by the present speed of endpoints that state it: two
    /// of the pieces in which engines read prompts between the events of running streams. Shorter prompts
    /// delay these streams by less than moving them would cost.
    pub long_unread_tokens: u32,
    /// Time that an engine takes to read such a prompt between the events of streams, in milliseconds. Where
    /// digests are further apart, the peers' counts of unread tokens weigh less.
    pub long_reading_ms: u64,
    /// Step to which the factor is rounded by which an endpoint is slow now. One that takes half as long
    /// again counts as slow for all long prompts; one that takes a tenth longer, for a fifth of them.
    pub delay_step: f64,
    /// Number of steps in which the load of an endpoint is reduced that is always slower than others.
    /// Differences of less than half a step are ignored; chance makes the means of equal endpoints
    /// differ by some hundredths.
    pub speed_steps: f64,
}

impl PickerSettings {
    /// Fraction of the deployment's bound up to which endpoints are filled. The rest allows for the
    /// age of the other gateways' counts.
    const BOUND_FRACTION: f64 = 0.85;

    /// Returns the settings for a load bound, given as a multiple of the service's mean.
    pub fn for_bound(bound: f64) -> Self {
        let max_load_factor = (bound * Self::BOUND_FRACTION).max(1.0);
        let defaults = Self::default();
        let tolerated_load_factor = defaults.tolerated_load_factor.min(max_load_factor);
        Self { max_load_factor, tolerated_load_factor, ..defaults }
    }
}

impl Default for PickerSettings {
    fn default() -> Self {
        Self {
            max_load_factor: 1.7,
            load_floor: 2.0,
            min_fetch_tokens: 64,
            tokens_per_ms: 80.0,
            tolerated_unread_tokens: 30_000,
            tolerated_load_factor: 1.15,
            failure_cost_ms: 1_000.0,
            load_cost_ms: 40.0,
            long_unread_tokens: 2_048,
            long_reading_ms: 250,
            delay_step: 0.5,
            speed_steps: 8.0,
        }
    }
}
