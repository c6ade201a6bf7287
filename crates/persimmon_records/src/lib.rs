//! Routing records: the configuration that operators publish and every process of the fleet reads.
//!
//! A [`RecordSet`] is the whole configuration at one [`Generation`]. A process never replaces its
//! set by one of a lower generation.

mod adopt_error;
mod bounds;
mod change;
mod check;
mod class;
mod digest;
mod editor;
mod endpoint;
mod fault;
mod head;
mod index;
mod intern;
mod key_digest;
mod name;
mod policy;
mod publication;
mod read;
mod record_set;
mod set_digests;
mod time;
mod vm_list;
mod warning;
mod workspace;

pub use adopt_error::AdoptError;
pub use bounds::{
    MAX_BULK_HEAD_BYTES, MAX_CHANGES, MAX_ENDPOINTS, MAX_FAULTS, MAX_HEAD_BYTES, MAX_NAME_CHARS,
    MAX_PART_BYTES, MAX_PARTS, MAX_SET_BYTES, MAX_VALUE_BYTES, MAX_WORKSPACE_KEYS,
    MAX_WORKSPACE_NAMES, MAX_WORKSPACES,
};
pub use change::{Change, ChangeSet, Edit};
pub use class::{Class, PerClass};
pub use digest::{Digest, SetVersion};
pub use endpoint::{Endpoint, EndpointBuilder, Fencing, Serves};
pub use fault::{Fault, FaultKind, Place, RecordErrors, RecordKind};
pub use head::{Head, Published, RECORDS_KEY, part_key};
pub use index::RecordIndex;
pub use key_digest::KeyDigest;
pub use name::{EndpointName, LenderName, ModelName, ServiceName, WorkspaceName, ZoneName};
pub use policy::Policy;
pub use publication::{Part, Publication};
pub use record_set::{Generation, RecordSet, SchemaVersion};
pub use time::{MonoMs, UnixMs};
pub use vm_list::{Vm, VmList, VmName, VmRole, VmState};
pub use warning::{Warning, WarningKind};
pub use workspace::{Limits, Workspace, WorkspaceBuilder};
