//! Digests of published content, and the versions that order published sets.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Generation;

/// Hexadecimal digits of a digest's short form, for logs and tables.
const SHORT_DIGITS: usize = 8;

/// BLAKE3 digest of published content, written as 64 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; blake3::OUT_LEN]);

impl Digest {
    /// Computes the digest of a published text.
    pub fn of_text(text: &str) -> Self {
        blake3::hash(text.as_bytes()).into()
    }

    /// Computes the digest of a record from its JSON in the newest schema version.
    pub(crate) fn of_record<T: Serialize>(record: &T) -> Self {
        let text = serde_json::to_vec(record).expect("records have only text keys");
        blake3::hash(&text).into()
    }

    /// Returns the digest's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the first digits, which suffice for people to distinguish two sets.
    pub fn short(&self) -> String {
        self.to_string()[..SHORT_DIGITS].to_owned()
    }
}

impl From<blake3::Hash> for Digest {
    fn from(hash: blake3::Hash) -> Self {
        Self(*hash.as_bytes())
    }
}

impl TryFrom<&[u8]> for Digest {
    type Error = std::array::TryFromSliceError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        bytes.try_into().map(Self)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        blake3::Hash::from_hex(&text).map(Self::from).map_err(|_| "not 64 hexadecimal digits")
    }
}

/// Version of a published set, ordered by generation and then by the digest of the content. If two
/// operators publish the same generation with different content, all processes thus choose the
/// same set, and no process mixes the two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SetVersion {
    /// The generation.
    pub generation: Generation,
    /// The digest of policy, workspaces and endpoints.
    pub digest: Digest,
}

impl SetVersion {
    /// Reports whether `other` has the same generation but other content. In that case two
    /// operators published at the same time, and the remedy is to publish the next generation.
    pub fn conflicts_with(&self, other: &Self) -> bool {
        self.generation == other.generation && self.digest != other.digest
    }
}

impl fmt::Display for SetVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.generation, self.digest.short())
    }
}
