//! Fixed-size ids of VMs for datagrams.

use serde::{Deserialize, Serialize};

use super::VmName;

/// The first 64 bits of the BLAKE3 hash of a VM's name. With 4,050 names the probability of any
/// collision is below 1e-12.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub u64);

impl NodeId {
    /// Returns the id of the VM named `name`.
    pub fn of(name: &VmName) -> Self {
        Self(hash_prefix(name.as_str().as_bytes()))
    }

    /// Returns this node's rendezvous-hashing weight for `key`. The node with the highest weight is
    /// the first choice, and all processes with the same list of nodes choose the same one.
    pub fn weight_for(self, key: &str) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0.to_le_bytes());
        hasher.update(key.as_bytes());
        first_u64(hasher.finalize())
    }
}

/// Returns the first 64 bits of the BLAKE3 hash of `bytes`.
pub(super) fn hash_prefix(bytes: &[u8]) -> u64 {
    first_u64(blake3::hash(bytes))
}

fn first_u64(hash: blake3::Hash) -> u64 {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}
