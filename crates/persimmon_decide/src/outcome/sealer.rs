//! Sealing of claims, so that only the fleet can make one.

use std::fmt;
use std::fmt::Write;

use thiserror::Error;

use super::Claim;

/// Separates the sealing key from every other key that is derived from the fleet key.
const KEY_CONTEXT: &str = "persimmonmount 2026-12-03 claim seal v1";

/// Starts every sealed claim and names its layout.
const PREFIX: &str = "pc1.";

/// Turns claims into opaque text and back, with a keyed BLAKE3 hash.
///
/// ```
/// use persimmon_decide::outcome::{ClaimError, ClaimSealer};
///
/// let sealer = ClaimSealer::new("a fleet key of the operators");
/// assert_eq!(sealer.open("nonsense"), Err(ClaimError::Malformed));
/// ```
#[derive(Clone)]
pub struct ClaimSealer {
    key: [u8; blake3::KEY_LEN],
}

/// Why a sealed claim can't be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ClaimError {
    /// The text is longer than any claim.
    #[error("claim is longer than any that the fleet gives out; send it as it was given")]
    TooLong,
    /// The text isn't a sealed claim.
    #[error("claim is malformed; send it exactly as it was given")]
    Malformed,
    /// The seal doesn't match the content.
    #[error("claim wasn't sealed by this fleet; obtain a new claim")]
    Forged,
}

impl ClaimSealer {
    /// The most characters of a sealed claim.
    pub const MAX_CHARS: usize = 4096;

    /// A sealer whose key is derived from the fleet key.
    pub fn new(fleet_key: &str) -> Self {
        Self { key: blake3::derive_key(KEY_CONTEXT, fleet_key.as_bytes()) }
    }

    /// The text that the caller carries.
    ///
    /// # Errors
    ///
    /// [`ClaimError::TooLong`] if the claim's names are too long for it to be opened again.
    pub fn seal(&self, claim: &Claim) -> Result<String, ClaimError> {
        let payload = serde_json::to_vec(claim).map_err(|_| ClaimError::Malformed)?;
        let seal = blake3::keyed_hash(&self.key, &payload);
        let text = format!("{PREFIX}{}.{}", to_hex(&payload), seal.to_hex());
        if text.len() > Self::MAX_CHARS { Err(ClaimError::TooLong) } else { Ok(text) }
    }

    /// The claim in a text that a caller presents.
    ///
    /// # Errors
    ///
    /// [`ClaimError`] if the text isn't what [`Self::seal`] made with the same fleet key.
    pub fn open(&self, text: &str) -> Result<Claim, ClaimError> {
        if text.len() > Self::MAX_CHARS {
            return Err(ClaimError::TooLong);
        }
        let sealed = text.strip_prefix(PREFIX).ok_or(ClaimError::Malformed)?;
        let (payload, seal) = sealed.split_once('.').ok_or(ClaimError::Malformed)?;
        let payload = from_hex(payload).ok_or(ClaimError::Malformed)?;
        let seal = blake3::Hash::from_hex(seal).map_err(|_| ClaimError::Malformed)?;
        // Comparing two hashes takes the same time wherever they differ.
        if blake3::keyed_hash(&self.key, &payload) != seal {
            return Err(ClaimError::Forged);
        }
        serde_json::from_slice(&payload).map_err(|_| ClaimError::Malformed)
    }
}

impl fmt::Debug for ClaimSealer {
    /// Leaves the key out, so that it can't reach a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClaimSealer").finish_non_exhaustive()
    }
}

fn to_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) {
        return None;
    }
    text.as_bytes().chunks_exact(2).map(byte_from_hex).collect()
}

fn byte_from_hex(pair: &[u8]) -> Option<u8> {
    let high = char::from(pair[0]).to_digit(16)?;
    let low = char::from(pair[1]).to_digit(16)?;
    u8::try_from(high * 16 + low).ok()
}
