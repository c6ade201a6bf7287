//! Random schedules of the steps of the model.

use proptest::collection::vec;
use proptest::prelude::*;

/// One step; indices are taken modulo the number of elements.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Op {
    Present { call: usize, router: usize, body: u64 },
    Deliver { pick: usize, twice: bool },
    Lose { pick: usize },
    Advance { ms: u64 },
    PauseClock { sidecar: usize, ms: u64 },
    Restart { sidecar: usize },
    Freeze { sidecar: usize, on: bool },
    Reach { sidecar: usize, on: bool },
    Busy { sidecar: usize, on: bool },
    Sweep { sidecar: usize },
    Work { sidecar: usize, fails: bool },
    KillRouter { router: usize },
    Publish { router: usize },
    Disturb { pick: usize, lost: bool },
}

/// 1 ms longer than the TTL of the model's claims.
const JUST_BEYOND_TTL_MS: u64 = 1_001;

/// Generates schedules of fewer than 80 steps.
pub(crate) fn schedule() -> impl Strategy<Value = Vec<Op>> {
    vec(op(), 1..80)
}

fn op() -> impl Strategy<Value = Op> {
    let index = 0..12_usize;
    let pick = 0..1_000_usize;
    let on = any::<bool>();
    prop_oneof![
        6 => (index.clone(), index.clone(), prop::bool::weighted(0.1)).prop_map(
            |(call, router, other)| Op::Present { call, router, body: u64::from(other) }
        ),
        14 => (pick.clone(), prop::bool::weighted(0.25))
            .prop_map(|(pick, twice)| Op::Deliver { pick, twice }),
        2 => pick.clone().prop_map(|pick| Op::Lose { pick }),
        2 => (0..700_u64).prop_map(|ms| Op::Advance { ms }),
        2 => Just(Op::Advance { ms: JUST_BEYOND_TTL_MS }),
        1 => (index.clone(), 0..700_u64)
            .prop_map(|(sidecar, ms)| Op::PauseClock { sidecar, ms }),
        1 => index.clone().prop_map(|sidecar| Op::Restart { sidecar }),
        1 => (index.clone(), on).prop_map(|(sidecar, on)| Op::Freeze { sidecar, on }),
        1 => (index.clone(), on).prop_map(|(sidecar, on)| Op::Reach { sidecar, on }),
        2 => (index.clone(), on).prop_map(|(sidecar, on)| Op::Busy { sidecar, on }),
        1 => index.clone().prop_map(|sidecar| Op::Sweep { sidecar }),
        6 => (index.clone(), prop::bool::weighted(0.2))
            .prop_map(|(sidecar, fails)| Op::Work { sidecar, fails }),
        1 => index.clone().prop_map(|router| Op::KillRouter { router }),
        1 => index.prop_map(|router| Op::Publish { router }),
        4 => (pick, prop::bool::weighted(0.8))
            .prop_map(|(pick, lost)| Op::Disturb { pick, lost }),
    ]
}
