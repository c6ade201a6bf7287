//! The datagram that processes send each other.

use persimmon_records::SetVersion;
use serde::{Deserialize, Serialize};

use super::NodeId;
use crate::Incarnation;
use crate::load::Work;
use crate::recovery::SuspectMark;

/// What is known of one node. The state of a node is ordered by incarnation, then by beat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// The node.
    pub node: NodeId,
    /// Its life. A later life has a higher one; see [`super::incarnation_at`].
    pub incarnation: Incarnation,
    /// Counts the node's digest intervals in this life; a higher one proves it alive.
    pub beat: u32,
    /// Its outstanding work, held at `u32::MAX`.
    pub work: u32,
    /// Age of the work figure, in steps of [`Self::AGE_STEP_MS`], held at the highest.
    pub age: u8,
    /// Whether this life is leaving. Never taken back.
    pub leaving: bool,
    /// Whether traffic to it failed at this beat.
    pub suspected: bool,
}

impl DigestEntry {
    /// Milliseconds in one step of age.
    pub const AGE_STEP_MS: u64 = 250;
    /// Bytes of one entry in an encoded datagram: four words.
    pub const ENCODED_BYTES: usize = 32;

    /// The work figure.
    pub fn work(&self) -> Work {
        Work(u64::from(self.work))
    }

    /// Age of the work figure in milliseconds, rounded to the nearest step.
    pub fn age_ms(&self) -> u64 {
        u64::from(self.age) * Self::AGE_STEP_MS
    }

    pub(super) fn age_from_ms(age_ms: u64) -> u8 {
        let steps = (age_ms + Self::AGE_STEP_MS / 2) / Self::AGE_STEP_MS;
        u8::try_from(steps).unwrap_or(u8::MAX)
    }
}

/// One datagram: who sends it, what is in force there and what it knows of others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub from: NodeId,
    /// The sender's life.
    pub incarnation: Incarnation,
    /// The record set in force at the sender.
    pub records: Option<SetVersion>,
    /// The version of the sender's VM list.
    pub vms_version: u64,
    /// Age in milliseconds of the freshest platform contact that the sender knows of.
    pub contact_age_ms: u32,
    /// Whether the receiver is asked for a digest in return.
    pub wants_reply: bool,
    /// What the sender knows of nodes.
    pub entries: Vec<DigestEntry>,
    /// What the sender knows of requests that may crash endpoints.
    pub suspects: Vec<SuspectMark>,
}

impl Digest {
    /// Entries in one digest.
    pub const MAX_ENTRIES: usize = 26;
    /// Marks of requests in one digest.
    pub const MAX_SUSPECTS: usize = 8;
    /// Bytes that no encoded datagram exceeds, the proof of the fleet's key included.
    pub const MAX_BYTES: usize = 1_200;
    /// Bytes around the lists: segment table, pointers, fixed fields, two list tags.
    const FRAME_BYTES: usize = 128;
    /// Bytes that prove the fleet's key.
    const PROOF_BYTES: usize = 32;
    /// Bytes of the IP and UDP heads.
    const HEAD_BYTES: usize = 28;
    /// Bytes on the wire of a digest whose lists are full.
    pub(super) const FULL_WIRE_BYTES: usize = Self::HEAD_BYTES
        + Self::FRAME_BYTES
        + Self::PROOF_BYTES
        + Self::MAX_ENTRIES * DigestEntry::ENCODED_BYTES
        + Self::MAX_SUSPECTS * SuspectMark::ENCODED_BYTES;

    /// Bytes of the encoded datagram.
    pub fn encoded_bytes(&self) -> usize {
        let entries = self.entries.len() * DigestEntry::ENCODED_BYTES;
        let suspects = self.suspects.len() * SuspectMark::ENCODED_BYTES;
        Self::FRAME_BYTES + Self::PROOF_BYTES + entries + suspects
    }

    /// Bytes on the wire, with the IP and UDP heads.
    pub fn wire_bytes(&self) -> usize {
        self.encoded_bytes() + Self::HEAD_BYTES
    }
}
