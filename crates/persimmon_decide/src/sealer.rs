//! Authentication of tokens that callers store, so that only the fleet can create them.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Encodes values as text that a keyed BLAKE3 hash authenticates, and decodes it again.
///
/// ```
/// use persimmon_decide::{SealError, Sealer};
///
/// let sealer = Sealer::new("a fleet key of the operators", "an example of a use");
/// let text = sealer.seal(&42_u32).unwrap();
/// assert_eq!(sealer.open(&text), Ok(42_u32));
/// assert_eq!(sealer.open::<u32>("nonsense"), Err(SealError::Malformed));
/// ```
#[derive(Clone)]
pub struct Sealer {
    key: [u8; blake3::KEY_LEN],
}

/// The reason why sealed text can't be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SealError {
    /// The text is longer than [`Sealer::MAX_CHARS`].
    #[error("the sealed text exceeds the maximum length; send it exactly as it was issued")]
    TooLong,
    /// The text doesn't have the format of sealed text.
    #[error("the sealed text is malformed; send it exactly as it was issued")]
    Malformed,
    /// The hash doesn't match the content.
    #[error("the text wasn't sealed with this fleet's key; obtain a new one")]
    Forged,
}

impl Sealer {
    /// The maximum length of sealed text, in characters.
    pub const MAX_CHARS: usize = 4_096;

    /// Creates a sealer whose key is derived from the fleet key and `context`, the name of the use.
    /// Text that is sealed for one use can't be opened for another.
    pub fn new(fleet_key: &str, context: &str) -> Self {
        Self { key: blake3::derive_key(context, fleet_key.as_bytes()) }
    }

    /// Encodes a value and appends its keyed hash.
    ///
    /// # Errors
    ///
    /// [`SealError`] if the value can't be serialised or the text would exceed
    /// [`Self::MAX_CHARS`].
    pub fn seal(&self, value: &impl Serialize) -> Result<String, SealError> {
        let payload = serde_json::to_vec(value).map_err(|_| SealError::Malformed)?;
        let seal = blake3::keyed_hash(&self.key, &payload);
        let text = format!("{}.{}", to_hex(&payload), seal.to_hex());
        if text.len() > Self::MAX_CHARS { Err(SealError::TooLong) } else { Ok(text) }
    }

    /// Verifies and decodes text that a caller presents.
    ///
    /// # Errors
    ///
    /// [`SealError`] if [`Self::seal`] didn't create the text with the same key.
    pub fn open<T: DeserializeOwned>(&self, text: &str) -> Result<T, SealError> {
        if text.len() > Self::MAX_CHARS {
            return Err(SealError::TooLong);
        }
        let (payload, seal) = text.split_once('.').ok_or(SealError::Malformed)?;
        let payload = from_hex(payload).ok_or(SealError::Malformed)?;
        let seal = blake3::Hash::from_hex(seal).map_err(|_| SealError::Malformed)?;
        // `blake3::Hash` compares in constant time, so timing doesn't reveal a partial match.
        if blake3::keyed_hash(&self.key, &payload) != seal {
            return Err(SealError::Forged);
        }
        serde_json::from_slice(&payload).map_err(|_| SealError::Malformed)
    }
}

impl fmt::Debug for Sealer {
    /// Omits the key, so that it can't reach a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sealer").finish_non_exhaustive()
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let pairs = (0..text.len()).step_by(2);
    pairs.map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok()).collect()
}
