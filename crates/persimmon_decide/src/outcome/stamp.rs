//! Stamps: when and by which life of a sidecar something was made possible.

use serde::{Deserialize, Serialize};

use super::LedgerKey;
use crate::{Fingerprint, Incarnation, MonoMs};

/// Whether running a request twice does harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeatability {
    /// It may run again, such as a lookup or a chat turn.
    Repeatable,
    /// It may run once at most, such as a booking.
    Once,
}

/// A moment in one life of a sidecar, by that life's own monotonic clock.
///
/// A sidecar hands stamps out in its greeting, its heartbeats, its replies and its claims; routers
/// send the newest one back with each request. Only the sidecar that made a stamp compares it with
/// a clock, so no two clocks are ever compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// The sidecar's life.
    pub incarnation: Incarnation,
    /// When the stamp was made, by the sidecar's clock.
    pub issued_at: MonoMs,
}

/// A request as it is presented to the ledger of a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PresentedCall {
    /// What identifies the call.
    pub key: LedgerKey,
    /// The claim's stamp, or the one that the router sent with an ordinary request.
    pub stamp: Stamp,
    /// The fingerprint of the body.
    pub fingerprint: Fingerprint,
    /// Whether the call may run again.
    pub repeatability: Repeatability,
}
