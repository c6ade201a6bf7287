//! Stamps: timestamps that are valid only for the sidecar incarnation that issued them.

use serde::{Deserialize, Serialize};

use super::LedgerKey;
use crate::{Fingerprint, Incarnation, MonoMs};

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeatability {
    /// The request may run again, e.g. a lookup or a chat turn.
    Repeatable,
    /// The request may run at most once, e.g. a booking.
    Once,
}

/// A time on the monotonic clock of one incarnation of a sidecar.
///
/// A sidecar issues stamps in its greeting, heartbeats, replies and claims; routers return the
/// newest one with each request. Only the sidecar that issued a stamp compares it with a clock, so
/// no two clocks are ever compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// The incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// When the stamp was issued, by the sidecar's clock.
    pub issued_at: MonoMs,
}

/// A call as it is presented to the ledger of a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PresentedCall {
    /// The key of the call in the ledger.
    pub key: LedgerKey,
    /// The stamp of the claim, or for an ordinary request, the one that the router sent.
    pub stamp: Stamp,
    /// The fingerprint of the body.
    pub fingerprint: Fingerprint,
    /// Whether the call may run again.
    pub repeatability: Repeatability,
}
