//! Rates of workspaces' limits.

use persimmon_records::{Class, Workspace};

/// Requests a second that a workspace may send of a class, or of all classes together. A workspace
/// without a total limit has none together.
pub(crate) fn rate_of(workspace: &Workspace, class: Option<Class>) -> u32 {
    match class {
        Some(class) => workspace.limits.get(class).requests_per_second,
        None => workspace.total_limits.map_or(u32::MAX, |limits| limits.requests_per_second),
    }
}
