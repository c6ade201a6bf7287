//! Authentication of claims, so that only the fleet can issue them.

use thiserror::Error;

use super::Claim;
use crate::{SealError, Sealer};

/// The context of the key derivation, which separates this key from all others that are derived
/// from the fleet key.
const KEY_CONTEXT: &str = "persimmonmount 2026-12-03 claim seal v1";

/// The prefix of sealed claims, which identifies their format.
const PREFIX: &str = "pc1.";

/// Encodes claims as text that a keyed BLAKE3 hash authenticates, and decodes it again.
///
/// ```
/// use persimmon_decide::outcome::{ClaimError, ClaimSealer};
///
/// let sealer = ClaimSealer::new("a fleet key of the operators");
/// assert_eq!(sealer.open("nonsense"), Err(ClaimError::Malformed));
/// ```
#[derive(Debug, Clone)]
pub struct ClaimSealer {
    sealer: Sealer,
}

/// The reason why a sealed claim can't be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ClaimError {
    /// The text is longer than [`ClaimSealer::MAX_CHARS`].
    #[error("claim exceeds the maximum length; send it exactly as it was issued")]
    TooLong,
    /// The text doesn't have the format of a sealed claim.
    #[error("claim is malformed; send it exactly as it was issued")]
    Malformed,
    /// The hash doesn't match the content.
    #[error("claim wasn't sealed with this fleet's key; obtain a new claim")]
    Forged,
}

impl ClaimSealer {
    /// The maximum length of a sealed claim, in characters.
    pub const MAX_CHARS: usize = 4096;

    /// Creates a sealer whose key is derived from the fleet key.
    pub fn new(fleet_key: &str) -> Self {
        Self { sealer: Sealer::new(fleet_key, KEY_CONTEXT) }
    }

    /// Encodes a claim and appends its keyed hash.
    ///
    /// # Errors
    ///
    /// [`ClaimError::TooLong`] if the claim's names make the text too long to be opened again.
    pub fn seal(&self, claim: &Claim) -> Result<String, ClaimError> {
        let text = format!("{PREFIX}{}", self.sealer.seal(claim)?);
        if text.len() > Self::MAX_CHARS { Err(ClaimError::TooLong) } else { Ok(text) }
    }

    /// Verifies and decodes a claim that a caller presents.
    ///
    /// # Errors
    ///
    /// [`ClaimError`] if [`Self::seal`] didn't create the text with the same fleet key.
    pub fn open(&self, text: &str) -> Result<Claim, ClaimError> {
        if text.len() > Self::MAX_CHARS {
            return Err(ClaimError::TooLong);
        }
        let sealed = text.strip_prefix(PREFIX).ok_or(ClaimError::Malformed)?;
        Ok(self.sealer.open(sealed)?)
    }
}

impl From<SealError> for ClaimError {
    fn from(err: SealError) -> Self {
        match err {
            SealError::TooLong => Self::TooLong,
            SealError::Malformed => Self::Malformed,
            SealError::Forged => Self::Forged,
        }
    }
}
