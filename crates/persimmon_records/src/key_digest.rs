//! Digests of workspace keys, so that records never contain a key in plain text.

use std::fmt;

use serde::{Deserialize, Serialize};

/// BLAKE3 digest of a workspace key, written as 64 lower-case hexadecimal digits.
///
/// ```
/// use persimmon_records::KeyDigest;
///
/// let digest = KeyDigest::of_key("wk-example");
/// assert_eq!(digest, KeyDigest::of_key("wk-example"));
/// assert_ne!(digest, KeyDigest::of_key("wk-other"));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; blake3::OUT_LEN]);

impl KeyDigest {
    /// Computes the digest of a key as callers present it.
    pub fn of_key(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        blake3::Hash::from_hex(&text).map(|hash| Self(*hash.as_bytes())).map_err(|_| {
            "key digest must be 64 hexadecimal digits; use `persimmonctl digest`".into()
        })
    }
}
