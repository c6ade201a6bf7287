//! Routing records: what operators publish and every process of the fleet reads.
//!
//! A [`RecordSet`] is the whole configuration at one [`Generation`]. Processes never go back to a
//! lower generation.

mod class;
mod endpoint;
mod key_digest;
mod name;
mod policy;
mod record_set;
mod time;
mod workspace;

pub use class::{Class, PerClass};
pub use endpoint::{Endpoint, EndpointBuilder, Fencing, Serves};
pub use key_digest::KeyDigest;
pub use name::{EndpointName, LenderName, ModelName, ServiceName, WorkspaceName, ZoneName};
pub use policy::Policy;
pub use record_set::{Generation, RecordSet, SchemaVersion};
pub use time::UnixMs;
pub use workspace::{Limits, Workspace, WorkspaceBuilder};
