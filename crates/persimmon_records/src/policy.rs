//! Fleet policy: the settings that hold for every endpoint.

use serde::{Deserialize, Serialize};

/// Settings of the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// No endpoint carries more than this multiple of the mean load of its model.
    pub load_multiple: f64,
    /// Requests in progress below which the multiple isn't applied, since with few requests any
    /// single one exceeds a multiple of the mean.
    pub load_floor: u32,
    /// Share of an endpoint's slots that only quick requests may use, from 0 to 1.
    pub quick_share: f64,
    /// Retries that the fleet may add, as a share of fresh requests.
    pub retry_share: f64,
    /// Loads of models that may start in a minute at the platform's weight store, over the fleet.
    /// Written only if it isn't the default, so that daemons that don't know it read the rest.
    #[serde(skip_serializing_if = "is_default_load_rate")]
    pub loads_per_minute: u32,
}

/// Loads that may start in a minute unless the records say otherwise.
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
