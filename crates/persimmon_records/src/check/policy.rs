//! Validation of the fleet policy.

use crate::fault::Faults;
use crate::{FaultKind, Place, Policy, RecordKind};

/// Reports every fault of `policy`.
pub(super) fn check_policy(policy: &Policy, faults: &mut Faults) {
    check_multiple("load_multiple", policy.load_multiple, faults);
    check_share("quick_share", policy.quick_share, faults);
    check_share("retry_share", policy.retry_share, faults);
    if policy.load_floor == 0 {
        faults.push(place("load_floor"), FaultKind::ZeroLoadFloor);
    }
    if policy.loads_per_minute == 0 {
        faults.push(place("loads_per_minute"), FaultKind::ZeroLoadRate);
    }
}

/// Reports a multiple below 1 or infinite, and NaN, which fails both comparisons.
fn check_multiple(field: &str, found: f64, faults: &mut Faults) {
    if !(found >= 1.0 && found.is_finite()) {
        faults.push(place(field), FaultKind::MultipleBelowOne { found });
    }
}

fn check_share(field: &str, found: f64, faults: &mut Faults) {
    if !(0.0..=1.0).contains(&found) {
        faults.push(place(field), FaultKind::ShareOutside { found });
    }
}

fn place(field: &str) -> Place {
    Place::of(RecordKind::Policy).with_field(field)
}
