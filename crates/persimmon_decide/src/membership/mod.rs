//! Membership: the gossip by which processes exchange the load and state of nodes.

mod digest;
mod group;
#[expect(clippy::module_inception, reason = "the module's main type has its name")]
mod membership;
mod node_health;
mod node_id;
mod node_state;
mod node_table;
mod peer_selector;
mod send_budget;

pub use digest::{Digest, DigestEntry};
pub use group::GroupId;
pub use membership::{
    Membership, OutgoingDigest, OwnState, ReceivedChanges, ReportedLoad, incarnation_at,
};
pub use node_health::{HealthState, NodeHealth};
pub use node_id::NodeId;
pub use persimmon_records::{Vm, VmList, VmName, VmRole, VmState};
