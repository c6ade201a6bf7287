//! Keys that callers choose for calls that must not be repeated.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An `Idempotency-Key` of 1 to 128 visible ASCII characters.
///
/// ```
/// use persimmon_decide::outcome::IdempotencyKey;
///
/// let key = IdempotencyKey::try_from("week-11-arusha".to_owned()).unwrap();
/// assert_eq!(key.as_str(), "week-11-arusha");
/// assert!(IdempotencyKey::try_from(String::new()).is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String")]
pub struct IdempotencyKey(Arc<str>);

impl IdempotencyKey {
    /// The maximum length of a key, in characters.
    pub const MAX_CHARS: usize = 128;

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The error for a key that is empty, too long or contains characters that aren't visible ASCII.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("Idempotency-Key must be 1 to 128 visible ASCII characters; choose another key")]
pub struct IdempotencyKeyError;

impl TryFrom<String> for IdempotencyKey {
    type Error = IdempotencyKeyError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let fits = (1..=Self::MAX_CHARS).contains(&text.len());
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if fits && visible { Ok(Self(text.into())) } else { Err(IdempotencyKeyError) }
    }
}
