//! One digest for each record of a set, combined into the digest of the set, so that a change of
//! one record costs the digest of that record and of the list of digests.

use crate::{Digest, RecordSet, SetVersion};

/// Separates set digests from other uses of BLAKE3.
const CONTEXT: &str = "persimmonmount 2026 record set digest";

/// The digests of a set's records, in the order of the records.
#[derive(Debug, Clone)]
pub(crate) struct SetDigests {
    pub(crate) policy: Digest,
    pub(crate) workspaces: Vec<Digest>,
    pub(crate) endpoints: Vec<Digest>,
}

impl SetDigests {
    /// The digests of `set`, whose records are ordered by name.
    pub(crate) fn of(set: &RecordSet) -> Self {
        Self {
            policy: Digest::of_record(&set.policy),
            workspaces: set.workspaces.iter().map(Digest::of_record).collect(),
            endpoints: set.endpoints.iter().map(Digest::of_record).collect(),
        }
    }

    /// The digest of the whole set. The counts keep a workspace from passing for an endpoint.
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
    /// The digest of policy, workspaces and endpoints, whichever schema version they were written
    /// in. The generation is no part of it.
    pub fn digest(&self) -> Digest {
        if self.is_normal() {
            return SetDigests::of(self).combined();
        }
        let mut set = self.clone();
        set.normalize();
        SetDigests::of(&set).combined()
    }

    /// The set's place in the order of published sets.
    pub fn version(&self) -> SetVersion {
        SetVersion { generation: self.generation, digest: self.digest() }
    }
}
