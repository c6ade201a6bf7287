//! Identifiers of requests, attempts, frames and processes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The identifier of one request of one caller, the same for all its retries inside the fleet.
/// Written as 32 hexadecimal digits.
///
/// ```
/// use persimmon_decide::RequestId;
///
/// let id: RequestId = "0000000000000000000000000000002a".parse().unwrap();
/// assert_eq!(id, RequestId(42));
/// assert_eq!(id.to_string(), "0000000000000000000000000000002a");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u128);

/// The error for a request id that isn't 32 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("request id must be 32 hexadecimal digits; send the id exactly as it was returned")]
pub struct RequestIdError;

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !digits {
            return Err(RequestIdError);
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| RequestIdError)
    }
}

/// The identifier of one run of a process, drawn at random when the process starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// The number of an attempt: how often a router has sent one request to endpoints, from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Attempt(pub u32);

/// The position of a frame in its answer, from 0.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

/// A hash of a request's body, equal for each copy that a caller resends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request's body as the caller sent it.
    pub fn of(body: &[u8]) -> Self {
        Self::of_parts(&[body])
    }

    /// Computes the fingerprint of parts one after the other, without a copy of the whole.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(part);
        }
        let hash = hasher.finalize();
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hash.as_bytes()[..8]);
        Self(u64::from_le_bytes(prefix))
    }

    /// Computes the fingerprint of a call to a service.
    pub fn of_call(operation: &str, body: &str) -> Self {
        Self::of(format!("{operation}\n{body}").as_bytes())
    }
}
