//! Reader of the fleet policy.

use crate::Policy;
use crate::fault::Faults;
use crate::read::fields::Fields;

/// Reads the policy, reporting every fault of its fields. Absent fields get their defaults.
pub(crate) fn read_policy(mut fields: Fields<'_>, faults: &mut Faults) -> Policy {
    let default = Policy::default();
    let policy = Policy {
        load_multiple: fields
            .optional("load_multiple", "a number of at least 1", faults)
            .unwrap_or(default.load_multiple),
        load_floor: fields
            .optional("load_floor", "a whole number of at least 1", faults)
            .unwrap_or(default.load_floor),
        quick_share: fields
            .optional("quick_share", "a number from 0 to 1", faults)
            .unwrap_or(default.quick_share),
        retry_share: fields
            .optional("retry_share", "a number from 0 to 1", faults)
            .unwrap_or(default.retry_share),
        loads_per_minute: fields
            .optional("loads_per_minute", "a whole number of at least 1", faults)
            .unwrap_or(default.loads_per_minute),
    };
    fields.report_unknown(faults);
    policy
}
