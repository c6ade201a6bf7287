//! Fleet policy: the settings that apply to every endpoint.

use serde::{Deserialize, Serialize};

/// Settings of the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Maximum load of an endpoint, as a multiple of the mean load of the endpoints of its model.
    pub load_multiple: f64,
    /// Number of requests in progress below which `load_multiple` isn't applied, since with few
    /// requests a single one already exceeds a multiple of the mean.
    pub load_floor: u32,
    /// Share of an endpoint's slots, from 0 to 1, that is reserved for quick requests.
    pub quick_share: f64,
    /// Maximum number of retries in the fleet, as a share, from 0 to 1, of first attempts.
    pub retry_share: f64,
    /// Maximum number of model loads from the platform's weight store that the fleet starts per
    /// minute. The default is omitted from the written text, so that older daemons, which don't
    /// know the field, can still read the policy.
    #[serde(skip_serializing_if = "is_default_load_rate")]
    pub loads_per_minute: u32,
}

/// Default for [`Policy::loads_per_minute`].
const DEFAULT_LOADS_PER_MINUTE: u32 = 60;

fn is_default_load_rate(loads_per_minute: &u32) -> bool {
    *loads_per_minute == DEFAULT_LOADS_PER_MINUTE
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            load_multiple: 1.25,
            load_floor: 4,
            quick_share: 0.25,
            retry_share: 0.1,
            loads_per_minute: DEFAULT_LOADS_PER_MINUTE,
        }
    }
}
