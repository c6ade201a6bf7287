//! The gossip datagram that processes send each other.

use persimmon_records::SetVersion;
use serde::{Deserialize, Serialize};

use super::NodeId;
use crate::Incarnation;
use crate::load::Work;
use crate::recovery::SuspectMark;

/// The sender's view of one node. Views of a node are ordered by incarnation, then by beat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// The node.
    pub node: NodeId,
    /// The node's incarnation, which is higher after each restart; see [`super::incarnation_at`].
    pub incarnation: Incarnation,
    /// The heartbeat: the number of the node's digest intervals in this incarnation. A rise proves
    /// that the node is alive.
    pub beat: u32,
    /// The node's outstanding work, capped at `u32::MAX`.
    pub work: u32,
    /// Age of the work figure in steps of [`Self::AGE_STEP_MS`], capped at `u8::MAX`.
    pub age: u8,
    /// Whether this incarnation is leaving. Never reset within an incarnation.
    pub leaving: bool,
    /// Whether requests to the node failed at this beat.
    pub suspected: bool,
}

impl DigestEntry {
    /// Resolution of [`Self::age`] in milliseconds.
    pub const AGE_STEP_MS: u64 = 250;
    /// Size of one entry in an encoded datagram: four 8-byte words.
    pub const ENCODED_BYTES: usize = 32;

    /// Returns the node's outstanding work.
    pub fn work(&self) -> Work {
        Work(u64::from(self.work))
    }

    /// Returns the age of the work figure in milliseconds, rounded to the nearest step.
    pub fn age_ms(&self) -> u64 {
        u64::from(self.age) * Self::AGE_STEP_MS
    }

    pub(super) fn age_from_ms(age_ms: u64) -> u8 {
        let steps = (age_ms + Self::AGE_STEP_MS / 2) / Self::AGE_STEP_MS;
        u8::try_from(steps).unwrap_or(u8::MAX)
    }
}

/// One gossip datagram: the sender, the versions in force there, and its view of other nodes and of
/// suspect requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub from: NodeId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The record set in force at the sender.
    pub records: Option<SetVersion>,
    /// The version of the sender's VM list.
    pub vms_version: u64,
    /// Age in milliseconds of the latest successful contact between any process and the platform
    /// that the sender knows of.
    pub contact_age_ms: u32,
    /// Whether the sender requests a digest in return.
    pub wants_reply: bool,
    /// The sender's view of nodes, its own state first.
    pub entries: Vec<DigestEntry>,
    /// Marks of requests that may crash endpoints.
    pub suspects: Vec<SuspectMark>,
}

impl Digest {
    /// Maximum number of entries in one digest.
    pub const MAX_ENTRIES: usize = 26;
    /// Maximum number of suspect marks in one digest.
    pub const MAX_SUSPECTS: usize = 8;
    /// Maximum size of an encoded datagram, including the proof of the fleet's key.
    pub const MAX_BYTES: usize = 1_200;
    /// Size of an encoded datagram without its list items: segment table, pointers, fixed fields
    /// and two list tags.
    const FRAME_BYTES: usize = 128;
    /// Size of the proof that the sender has the fleet's key.
    const PROOF_BYTES: usize = 32;
    /// Size of the IP and UDP headers.
    const HEAD_BYTES: usize = 28;
    /// Size on the wire of a digest whose lists are full.
    pub(super) const FULL_WIRE_BYTES: usize = Self::HEAD_BYTES
        + Self::FRAME_BYTES
        + Self::PROOF_BYTES
        + Self::MAX_ENTRIES * DigestEntry::ENCODED_BYTES
        + Self::MAX_SUSPECTS * SuspectMark::ENCODED_BYTES;

    /// Returns the size of the encoded datagram.
    pub fn encoded_bytes(&self) -> usize {
        let entries = self.entries.len() * DigestEntry::ENCODED_BYTES;
        let suspects = self.suspects.len() * SuspectMark::ENCODED_BYTES;
        Self::FRAME_BYTES + Self::PROOF_BYTES + entries + suspects
    }

    /// Returns the size on the wire, including the IP and UDP headers.
    pub fn wire_bytes(&self) -> usize {
        self.encoded_bytes() + Self::HEAD_BYTES
    }
}
