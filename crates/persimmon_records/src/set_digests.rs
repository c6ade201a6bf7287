//! Digests of a set's records, combined into the digest of the set. After a change of one record,
//! only that record and the list of digests are hashed again.

use crate::{Digest, RecordSet, SetVersion};

/// Key-derivation context that separates set digests from other uses of BLAKE3.
const CONTEXT: &str = "persimmonmount 2026 record set digest";

/// Digests of a set's records, in the order of the records.
#[derive(Debug, Clone)]
pub(crate) struct SetDigests {
    pub(crate) policy: Digest,
    pub(crate) workspaces: Vec<Digest>,
    pub(crate) endpoints: Vec<Digest>,
}

impl SetDigests {
    /// Computes the digests of `set`, whose records must be ordered by name.
    pub(crate) fn of(set: &RecordSet) -> Self {
        Self {
            policy: Digest::of_record(&set.policy),
            workspaces: set.workspaces.iter().map(Digest::of_record).collect(),
            endpoints: set.endpoints.iter().map(Digest::of_record).collect(),
        }
    }

    /// Computes the digest of the whole set. It includes the length of each list, so that moving
    /// a digest from one list to the other changes the result.
    pub(crate) fn combined(&self) -> Digest {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        hasher.update(self.policy.as_bytes());
        for list in [&self.workspaces, &self.endpoints] {
            hasher.update(&(list.len() as u64).to_le_bytes());
            for digest in list {
                hasher.update(digest.as_bytes());
            }
        }
        hasher.finalize().into()
    }
}

impl RecordSet {
    /// Computes the digest of policy, workspaces and endpoints. It depends neither on the schema
    /// version that they were written in nor on the generation.
    pub fn digest(&self) -> Digest {
        if self.is_normal() {
            return SetDigests::of(self).combined();
        }
        let mut set = self.clone();
        set.normalize();
        SetDigests::of(&set).combined()
    }

    /// Returns the set's version, which orders published sets.
    pub fn version(&self) -> SetVersion {
        SetVersion { generation: self.generation, digest: self.digest() }
    }
}
