//! Kinds of messages that share a socket with digests.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// First bytes of all messages of one kind. No digest begins with them, as they aren't a number in its encoding, so
/// that builds that don't know the kind ignore its messages.
#[derive(Debug, Clone, Copy)]
pub(super) struct MessageKind([u8; 10]);

impl MessageKind {
    /// What began streams.
    pub(super) const STREAMS: Self = Self([0xff; 10]);
    /// What crashed endpoints. Notices of changes begin with `0xfe`.
    pub(super) const CRASHES: Self = Self([0xfd; 10]);

    /// Encodes a message for a datagram.
    pub(super) fn encode(self, message: &impl Serialize) -> postcard::Result<Vec<u8>> {
        let mut bytes = self.0.to_vec();
        bytes.extend(postcard::to_allocvec(message)?);
        Ok(bytes)
    }

    /// Decodes a datagram; none if it is of another kind.
    pub(super) fn decode<T: DeserializeOwned>(self, bytes: &[u8]) -> Option<postcard::Result<T>> {
        bytes.strip_prefix(&self.0).map(postcard::from_bytes)
    }
}
