//! Rate limits of workspaces.

use persimmon_records::{Class, Workspace};

/// Returns the maximum requests per second of a workspace for a class, or for all classes together
/// if `class` is `None`; `u32::MAX` if the workspace has no total limit.
pub(crate) fn rate_of(workspace: &Workspace, class: Option<Class>) -> u32 {
    match class {
        Some(class) => workspace.limits.get(class).requests_per_second,
        None => workspace.total_limits.map_or(u32::MAX, |limits| limits.requests_per_second),
    }
}
