//! Messages between gateways and holders on crashes.

use serde::{Deserialize, Serialize};

use super::CrashReports;
use super::message_kind::MessageKind;

/// A message on crashes, and on what is refused for them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMessage {
    /// What a gateway knows, to be stored.
    Store(CrashReports),
    /// The reply of a holder to [`Self::Store`].
    Stored,
    /// A question of a gateway that has just started.
    Query,
    /// The answer to a question.
    Reply(CrashReports),
}

impl CrashMessage {
    /// Maximum number of crashes of contents, and of prompt parts, in one message, beside older ones.
    pub const MAX_CRASHES: usize = 32;

    /// Encodes the message for a datagram.
    ///
    /// # Errors
    ///
    /// The message can't be encoded.
    pub fn to_bytes(&self) -> postcard::Result<Vec<u8>> {
        MessageKind::CRASHES.encode(self)
    }

    /// Decodes a datagram; none if it is of another kind.
    ///
    /// # Errors
    ///
    /// The bytes aren't a message.
    pub fn from_bytes(bytes: &[u8]) -> Option<postcard::Result<Self>> {
        MessageKind::CRASHES.decode(bytes)
    }
}
