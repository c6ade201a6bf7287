//! Identity and order of record sets.

use std::fmt;

use persimmon_records::Generation;
use serde::{Deserialize, Serialize};

/// The first 128 bits of the BLAKE3 hash of a record set as it was published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SetDigest(pub u128);

impl SetDigest {
    /// The digest of a published text.
    pub fn of(text: &str) -> Self {
        let hash = blake3::hash(text.as_bytes());
        let mut prefix = [0; 16];
        prefix.copy_from_slice(&hash.as_bytes()[..16]);
        Self(u128::from_le_bytes(prefix))
    }
}

/// Orders record sets by generation, and sets of one generation by digest, so that two sets that
/// were published at once have the same winner on every process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// The generation that the operator gave.
    pub generation: Generation,
    /// The digest of the set as published.
    pub digest: SetDigest,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "generation {} (digest {:08x})", self.generation, self.digest.0 >> 96)
    }
}
