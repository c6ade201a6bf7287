//! What digests say about a request that may crash endpoints.

use serde::{Deserialize, Serialize};

use crate::Fingerprint;
use crate::membership::NodeId;

/// How strongly a fingerprint is suspected within one round. Later variants win.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Suspicion {
    /// It was in progress when one endpoint crashed.
    Suspect,
    /// It was a suspect and then ran alone to its end.
    Cleared,
}

/// What is known of a fingerprint, ordered so that marks merge to the same state on every process
/// in whatever order they arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// One endpoint crashed under it.
    Open {
        /// Counts the times that it was cleared and suspected again.
        round: u8,
        /// How strongly it is suspected in this round.
        suspicion: Suspicion,
    },
    /// Different endpoints crashed under it; it is refused until the mark expires.
    Quarantined,
}

/// What one process tells others about a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectMark {
    /// The request's content.
    pub fingerprint: Fingerprint,
    /// The endpoint that crashed under it.
    pub site: NodeId,
    /// What is known of it.
    pub verdict: Verdict,
    /// Seconds until the mark expires.
    pub ttl_s: u16,
}

impl SuspectMark {
    /// Bytes of one mark in an encoded datagram: three words.
    pub const ENCODED_BYTES: usize = 24;
}
