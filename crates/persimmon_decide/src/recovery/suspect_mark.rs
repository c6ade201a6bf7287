//! Marks of requests that may crash endpoints, as digests carry them.

use serde::{Deserialize, Serialize};

use crate::Fingerprint;
use crate::membership::NodeId;

/// The state of a suspicion within one round. When marks merge, the later variant wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Suspicion {
    /// The request was in progress when one endpoint crashed.
    Suspect,
    /// The request was a suspect and then ran alone without a crash.
    Cleared,
}

/// The verdict on a fingerprint. When marks merge, the higher verdict wins, so that all processes
/// reach the same state in whatever order marks arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Only one endpoint has crashed while the request was in progress.
    Open {
        /// The number of times that the request was cleared and then suspected again.
        round: u8,
        /// The state of the suspicion in this round.
        suspicion: Suspicion,
    },
    /// Different endpoints crashed while the request was in progress; it is refused until the mark
    /// expires.
    Quarantined,
}

/// The verdict on one fingerprint, as processes send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectMark {
    /// The fingerprint of the request's content.
    pub fingerprint: Fingerprint,
    /// The endpoint that crashed.
    pub site: NodeId,
    /// The verdict.
    pub verdict: Verdict,
    /// Seconds until the mark expires.
    pub ttl_s: u16,
}

impl SuspectMark {
    /// Size of one mark in an encoded datagram: three 8-byte words.
    pub const ENCODED_BYTES: usize = 24;
}
