//! The chat token, by which a caller reports the endpoints that have cached a chat's prefix.

use persimmon_records::UnixMs;
use thiserror::Error;

use super::{ChatKey, EndpointHash};

const VERSION: u8 = 1;
const HEAD_BYTES: usize = 1 + 8 + 1;
const HOLDER_BYTES: usize = 8 + 4 + 8;
const MAC_BYTES: usize = 16;

/// Key that authenticates chat tokens, derived from the fleet key.
#[derive(Clone)]
pub struct TokenKey([u8; blake3::KEY_LEN]);

impl TokenKey {
    /// Derives the key from the fleet key in the process's settings.
    pub fn from_fleet_key(fleet_key: &str) -> Self {
        Self(blake3::derive_key("persimmonmount chat token v1", fleet_key.as_bytes()))
    }

    fn mac(&self, body: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, body)
    }
}

/// Omits the key, so that it can't reach a log.
impl std::fmt::Debug for TokenKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TokenKey(..)")
    }
}

/// An endpoint that has cached part of a chat's prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Prompt tokens that the endpoint had cached at the end of the turn.
    pub tokens: u32,
    /// End of that turn, by the router's wall clock.
    pub at: UnixMs,
}

/// Lists the last holders of a chat's prefix, the latest first. The caller sends it with each turn
/// in sealed form, so that routers need no table of chats.
///
/// ```
/// use persimmon_decide::load::{ChatKey, ChatToken, EndpointHash, Holder, TokenKey};
/// use persimmon_records::UnixMs;
///
/// let key = TokenKey::from_fleet_key("an example of a fleet key");
/// let held = Holder { endpoint: EndpointHash(7), tokens: 900, at: UnixMs(1_000) };
/// let token = ChatToken::new(ChatKey(1)).with_holder(held);
/// assert_eq!(ChatToken::open(&token.seal(&key), ChatKey(1), &key), Ok(token));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatToken {
    chat: ChatKey,
    holders: Vec<Holder>,
}

/// Reason for ignoring a chat token. The request is still served, but placed by rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ChatTokenError {
    /// The text isn't a token of this layout.
    #[error("chat token is malformed; send the Persimmon-Chat header exactly as in the reply")]
    Malformed,
    /// The token has a layout version that this process doesn't support.
    #[error("chat token has unsupported version {0}; start the chat without a token")]
    Version(u8),
    /// The token wasn't sealed with this fleet's key.
    #[error(
        "chat token isn't authentic; omit it, or check that all processes have the same fleet key"
    )]
    NotAuthentic,
    /// The token belongs to another chat, workspace or model.
    #[error("chat token belongs to another chat; send each chat's own Persimmon-Chat header")]
    OtherChat,
}

impl ChatToken {
    /// Maximum number of holders in a token.
    pub const MAX_HOLDERS: usize = 3;

    /// Maximum length of a sealed token in bytes of text.
    pub const MAX_SEALED_LEN: usize =
        2 * (HEAD_BYTES + Self::MAX_HOLDERS * HOLDER_BYTES + MAC_BYTES);

    /// Creates a token without holders.
    pub fn new(chat: ChatKey) -> Self {
        Self { chat, holders: Vec::new() }
    }

    /// Inserts `holder` first, removes its earlier entry, and drops the oldest entries beyond
    /// [`ChatToken::MAX_HOLDERS`].
    #[must_use]
    pub fn with_holder(mut self, holder: Holder) -> Self {
        self.holders.retain(|other| other.endpoint != holder.endpoint);
        self.holders.insert(0, holder);
        self.holders.truncate(Self::MAX_HOLDERS);
        self
    }

    /// Returns the holders, the latest first.
    pub fn holders(&self) -> &[Holder] {
        &self.holders
    }

    /// Encodes and seals the token as text for the caller.
    pub fn seal(&self, key: &TokenKey) -> String {
        let mut body = Vec::with_capacity(Self::MAX_SEALED_LEN / 2);
        body.push(VERSION);
        body.extend(self.chat.0.to_le_bytes());
        body.push(self.holders.len() as u8);
        for holder in &self.holders {
            body.extend(holder.endpoint.0.to_le_bytes());
            body.extend(holder.tokens.to_le_bytes());
            body.extend(holder.at.0.to_le_bytes());
        }
        let mac = key.mac(&body);
        body.extend(&mac.as_bytes()[..MAC_BYTES]);
        to_hex(&body)
    }

    /// Verifies and decodes a sealed token of `chat`.
    ///
    /// # Errors
    ///
    /// Returns a [`ChatTokenError`], which the router only logs: the request is served without the
    /// token.
    pub fn open(text: &str, chat: ChatKey, key: &TokenKey) -> Result<Self, ChatTokenError> {
        let bytes = from_hex(text).ok_or(ChatTokenError::Malformed)?;
        if bytes.len() < HEAD_BYTES + MAC_BYTES {
            return Err(ChatTokenError::Malformed);
        }
        if bytes[0] != VERSION {
            return Err(ChatTokenError::Version(bytes[0]));
        }
        let (body, mac) = bytes.split_at(bytes.len() - MAC_BYTES);
        check_mac(key.mac(body), mac)?;
        let token = Self::from_body(body)?;
        if token.chat != chat {
            return Err(ChatTokenError::OtherChat);
        }
        Ok(token)
    }

    fn from_body(body: &[u8]) -> Result<Self, ChatTokenError> {
        let (head, entries) = body.split_at(HEAD_BYTES);
        let count = usize::from(head[HEAD_BYTES - 1]);
        if count > Self::MAX_HOLDERS || entries.len() != count * HOLDER_BYTES {
            return Err(ChatTokenError::Malformed);
        }
        let holders = entries.chunks_exact(HOLDER_BYTES).map(holder_from).collect();
        Ok(Self { chat: ChatKey(u64_at(head, 1)), holders })
    }
}

/// Compares the truncated MAC in constant time by extending it to a full hash.
fn check_mac(expected: blake3::Hash, mac: &[u8]) -> Result<(), ChatTokenError> {
    let mut received = *expected.as_bytes();
    received[..MAC_BYTES].copy_from_slice(mac);
    if expected == blake3::Hash::from_bytes(received) {
        Ok(())
    } else {
        Err(ChatTokenError::NotAuthentic)
    }
}

fn holder_from(entry: &[u8]) -> Holder {
    let mut tokens = [0; 4];
    tokens.copy_from_slice(&entry[8..12]);
    Holder {
        endpoint: EndpointHash(u64_at(entry, 0)),
        tokens: u32::from_le_bytes(tokens),
        at: UnixMs(u64_at(entry, 12)),
    }
}

fn u64_at(bytes: &[u8], start: usize) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&bytes[start..start + 8]);
    u64::from_le_bytes(word)
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    if text.len() > ChatToken::MAX_SEALED_LEN || !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    (0..text.len()).step_by(2).map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok()).collect()
}
