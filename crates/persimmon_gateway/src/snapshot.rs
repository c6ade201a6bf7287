//! Everything that a gateway knows of the platform's records, for another that can't read them.

use persimmon_decide::forward::StoreRecord;
use serde::{Deserialize, Serialize};

/// The records, with the highest revision of any change among them.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub(crate) revision: u64,
    pub(crate) records: Vec<StoreRecord>,
}

impl Snapshot {
    /// Largest snapshot that is read from a peer, in bytes.
    pub(crate) const MAX_BYTES: usize = 8 * 1024 * 1024;

    /// The snapshot as bytes.
    pub(crate) fn encode(&self) -> postcard::Result<Vec<u8>> {
        postcard::to_allocvec(self)
    }

    /// Reads a snapshot.
    pub(crate) fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        postcard::from_bytes(bytes)
    }
}
