//! Messages between gateways, and between gateways and holders, on what began streams.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::message_kind::MessageKind;
use super::{StreamKey, StreamOrigin};

/// A message on what began streams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamMessage {
    /// Streams of one origin that endpoints send through the sender.
    Begun {
        /// The origin.
        origin: Arc<StreamOrigin>,
        /// The streams.
        streams: Vec<StreamKey>,
    },
    /// A question what began a stream.
    Query {
        /// The stream.
        stream: StreamKey,
    },
    /// The answer to a question.
    Reply {
        /// The stream.
        stream: StreamKey,
        /// The origin; none if the sender doesn't know the stream.
        origin: Option<Arc<StreamOrigin>>,
    },
    /// The reply of a holder to [`Self::Begun`].
    Stored,
}

impl StreamMessage {
    /// Maximum number of streams in one message.
    pub const MAX_STREAMS: usize = 128;

    /// Encodes the message for a datagram.
    ///
    /// # Errors
    ///
    /// The message can't be encoded.
    pub fn to_bytes(&self) -> postcard::Result<Vec<u8>> {
        MessageKind::STREAMS.encode(self)
    }

    /// Decodes a datagram; none if it is of another kind.
    ///
    /// # Errors
    ///
    /// The bytes aren't a message.
    pub fn from_bytes(bytes: &[u8]) -> Option<postcard::Result<Self>> {
        MessageKind::STREAMS.decode(bytes)
    }
}
