//! Routing records: what operators publish and every process of the fleet reads.
//!
//! A [`RecordSet`] is the whole configuration at one [`Generation`]. Processes never go back to a
//! lower generation.

mod bounds;
mod check;
mod class;
mod endpoint;
mod fault;
mod intern;
mod key_digest;
mod name;
mod policy;
mod read;
mod record_set;
mod time;
mod workspace;

pub use bounds::{
    MAX_ENDPOINTS, MAX_NAME_CHARS, MAX_SET_BYTES, MAX_VALUE_BYTES, MAX_WORKSPACE_KEYS,
    MAX_WORKSPACE_NAMES, MAX_WORKSPACES,
};
pub use class::{Class, PerClass};
pub use endpoint::{Endpoint, EndpointBuilder, Fencing, Serves};
pub use fault::{Fault, FaultKind, Place, RecordErrors, RecordKind};
pub use key_digest::KeyDigest;
pub use name::{EndpointName, LenderName, ModelName, ServiceName, WorkspaceName, ZoneName};
pub use policy::Policy;
pub use record_set::{Generation, RecordSet, SchemaVersion};
pub use time::UnixMs;
pub use workspace::{Limits, Workspace, WorkspaceBuilder};
