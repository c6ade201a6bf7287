//! Sealing of claims, so that only the fleet can make one.

use thiserror::Error;

use super::Claim;
use crate::{SealError, Sealer};

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
#[derive(Debug, Clone)]
pub struct ClaimSealer {
    sealer: Sealer,
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
        Self { sealer: Sealer::new(fleet_key, KEY_CONTEXT) }
    }

    /// The text that the caller carries.
    ///
    /// # Errors
    ///
    /// [`ClaimError::TooLong`] if the claim's names are too long for it to be opened again.
    pub fn seal(&self, claim: &Claim) -> Result<String, ClaimError> {
        let text = format!("{PREFIX}{}", self.sealer.seal(claim)?);
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
