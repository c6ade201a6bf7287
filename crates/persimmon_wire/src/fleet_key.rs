//! The secret key that all processes of one fleet share.

use std::fmt;
use std::sync::Arc;

use thiserror::Error;

/// Minimum length of a fleet key in characters.
pub(crate) const MIN_KEY_CHARS: usize = 16;

const HANDSHAKE_CONTEXT: &str = "persimmonmount 2026-12 handshake";
const DATAGRAM_CONTEXT: &str = "persimmonmount 2026-12 datagram";

/// The fleet's shared key, with a derived key for each use. `Debug` output omits its text, so that
/// it doesn't get into logs.
///
/// ```
/// use persimmon_wire::FleetKey;
///
/// let key = FleetKey::new("a key of at least sixteen").unwrap();
/// assert_eq!(format!("{key:?}"), "FleetKey(..)");
/// ```
#[derive(Clone)]
pub struct FleetKey {
    handshake: [u8; blake3::KEY_LEN],
    datagram: [u8; blake3::KEY_LEN],
    text: Arc<str>,
}

/// The reason why a fleet key is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FleetKeyError {
    /// The key is too short to be secret.
    #[error(
        "the fleet key has {0} characters; set PERSIMMON_FLEET_KEY to at least {MIN_KEY_CHARS}"
    )]
    TooShort(usize),
}

impl FleetKey {
    /// Derives the key for each use from the text of the fleet key.
    ///
    /// # Errors
    ///
    /// Returns an error if the text has fewer characters than [`MIN_KEY_CHARS`].
    pub fn new(text: &str) -> Result<Self, FleetKeyError> {
        let chars = text.chars().count();
        if chars < MIN_KEY_CHARS {
            return Err(FleetKeyError::TooShort(chars));
        }
        Ok(Self {
            handshake: blake3::derive_key(HANDSHAKE_CONTEXT, text.as_bytes()),
            datagram: blake3::derive_key(DATAGRAM_CONTEXT, text.as_bytes()),
            text: text.into(),
        })
    }

    /// Returns the key's text, from which the sealers of tokens that callers present derive their
    /// own keys.
    pub fn secret(&self) -> &str {
        &self.text
    }

    pub(crate) fn handshake_mac(&self, parts: [&[u8]; 3]) -> blake3::Hash {
        keyed_hash(&self.handshake, &parts)
    }

    pub(crate) fn datagram_mac(&self, payload: &[u8]) -> blake3::Hash {
        keyed_hash(&self.datagram, &[payload])
    }
}

fn keyed_hash(key: &[u8; blake3::KEY_LEN], parts: &[&[u8]]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize()
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}
