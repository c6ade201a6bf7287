//! Keys of calls in a ledger.

use persimmon_records::{ServiceName, WorkspaceName};
use serde::{Deserialize, Serialize};

use super::IdempotencyKey;
use crate::RequestId;

/// The key of a call in a ledger: a digest of fixed size, so that long names cost no memory.
///
/// The digest includes the workspace, so no workspace can refer to a call of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LedgerKey(u128);

impl LedgerKey {
    /// Computes the key of an ordinary request.
    pub fn of_request(workspace: &WorkspaceName, id: RequestId) -> Self {
        Self::of_parts(&[b"request", workspace.as_str().as_bytes(), &id.0.to_le_bytes()])
    }

    /// Computes the key of a call to a plain service.
    pub fn of_call(workspace: &WorkspaceName, service: &ServiceName, key: &IdempotencyKey) -> Self {
        let workspace = workspace.as_str().as_bytes();
        let service = service.as_str().as_bytes();
        Self::of_parts(&[b"call", workspace, service, key.as_str().as_bytes()])
    }

    /// Hashes each part after its length, so that different lists of parts hash different bytes.
    fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut prefix = [0; 16];
        prefix.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(u128::from_le_bytes(prefix))
    }
}
