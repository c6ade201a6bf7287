//! Membership: the gossip by which processes exchange the load and state of nodes.

mod digest;
mod group;
mod mark;
#[expect(clippy::module_inception, reason = "the module's main type has its name")]
mod membership;
mod node_id;
mod node_table;
mod peer_choice;
mod send_budget;
mod trust;

pub use digest::{Digest, DigestEntry};
pub use group::GroupId;
pub use membership::{Membership, Outgoing, OwnState, Received, ToldLoad, incarnation_at};
pub use node_id::NodeId;
pub use persimmon_records::{Vm, VmList, VmName, VmRole, VmState};
pub use trust::{Standing, Trust};
