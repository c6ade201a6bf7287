//! A fixed-size identifier of an endpoint.

use persimmon_records::EndpointName;
use serde::{Deserialize, Serialize};

/// The first eight bytes of the BLAKE3 hash of an endpoint's name. Rendezvous ranks, chat tokens
/// and digests use it in place of the name.
///
/// ```
/// use persimmon_decide::load::EndpointHash;
///
/// let name = "engine-1".into();
/// assert_eq!(EndpointHash::of(&name), EndpointHash::of(&name));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointHash(pub u64);

impl EndpointHash {
    /// Hashes `name`.
    pub fn of(name: &EndpointName) -> Self {
        let hash = blake3::hash(name.as_str().as_bytes());
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hash.as_bytes()[..8]);
        Self(u64::from_le_bytes(prefix))
    }
}
