//! Groups of nodes that need each other's loads.

use persimmon_records::Serves;

use super::node_id::hash_prefix;

/// The id of a group: all routers, or the endpoints that serve one model or service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupId(u64);

impl GroupId {
    /// The group of all routers.
    pub const ROUTERS: Self = Self(0);

    /// Returns the group of the endpoints that serve the model or service `serves`.
    pub fn of(serves: &Serves) -> Self {
        let (kind, name) = match serves {
            Serves::Model(model) => ("model ", model.as_str()),
            Serves::Service(service) => ("service ", service.as_str()),
        };
        Self(hash_prefix(format!("{kind}{name}").as_bytes()))
    }
}
