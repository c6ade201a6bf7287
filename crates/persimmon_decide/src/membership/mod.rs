//! Membership: what processes tell each other about endpoints.

mod node_id;
mod vm_list;

pub use node_id::NodeId;
pub use vm_list::{Vm, VmList, VmName, VmRole, VmState};
