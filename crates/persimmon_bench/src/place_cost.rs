//! Measures the time of one placement.

use std::time::Instant;

use persimmon_decide::MonoMs;
use persimmon_decide::load::{ChatKey, Placement, PlacementRequest};
use serde::Serialize;

use crate::{Bound, Fleet, Scenario};

const ROUNDS: u64 = 100_000;

/// Time of a placement and memory of a directory.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct PlaceCost {
    /// Number of endpoints in the directory.
    pub endpoints: usize,
    /// Number of endpoints of each model.
    pub per_model: usize,
    /// Mean time of a placement, in nanoseconds.
    pub place_ns: u64,
    /// Size of the directory's endpoint views, in bytes.
    pub view_bytes: usize,
}

/// Measures placements in a directory of the scenario's size.
pub fn place_cost(scenario: &Scenario) -> PlaceCost {
    let one_router = Scenario { routers: 1, ..scenario.clone() };
    let fleet = Fleet::new(&one_router, Bound::Load);
    let placement = Placement::default();
    let start = Instant::now();
    let mut found = 0;
    for round in 0..ROUNDS {
        let req = PlacementRequest {
            chat: ChatKey(round.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            target: fleet.target(round as usize % scenario.models),
            holders: &[],
            allowed: &[],
            prompt_tokens: 1_000,
            tokens_to_generate: 200,
        };
        found += placement.place(&req, &fleet.directories[0], MonoMs(round)).len();
    }
    let spent = start.elapsed();
    assert!(found > 0, "placement finds candidates in a fleet with endpoints");
    PlaceCost {
        endpoints: scenario.endpoints,
        per_model: scenario.endpoints / scenario.models,
        place_ns: (spent.as_nanos() / u128::from(ROUNDS)) as u64,
        view_bytes: scenario.endpoints * size_of::<persimmon_decide::load::EndpointView>(),
    }
}
