//! Messages by which gateways pass on that the records have changed.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use super::StoreUpdate;

/// A notice that the sender has later records, small enough for a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeNotice {
    /// Position of the store up to which the sender has every change.
    pub position: u64,
    /// Gateways to which the receiver passes the notice on once it has the change.
    pub relay_to: Vec<IpAddr>,
    /// The change itself, if it is small.
    pub update: Option<StoreUpdate>,
}

impl ChangeNotice {
    /// Maximum size of an update in a notice, in bytes: the notice then fits into one packet.
    pub const MAX_UPDATE_BYTES: usize = 1_000;
    /// First bytes of each notice. Neither a digest nor another message begins with them.
    const PREFIX: [u8; 10] = [0xfe; 10];

    /// Encodes the notice for a datagram.
    ///
    /// # Errors
    ///
    /// The notice can't be encoded.
    pub fn to_bytes(&self) -> postcard::Result<Vec<u8>> {
        let mut bytes = Self::PREFIX.to_vec();
        bytes.extend(postcard::to_allocvec(self)?);
        Ok(bytes)
    }

    /// Decodes a datagram; none if it is of another kind.
    ///
    /// # Errors
    ///
    /// The bytes aren't a notice.
    pub fn from_bytes(bytes: &[u8]) -> Option<postcard::Result<Self>> {
        bytes.strip_prefix(&Self::PREFIX).map(postcard::from_bytes)
    }
}
