//! The fencing number of orders.

use persimmon_records::Generation;
use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// Fencing number of an order, by which an engine can recognise outdated orders. Fences are ordered
/// by the generation of the records first, then by the incarnation of the sidecar. Later
/// incarnations of a sidecar are higher; see [`crate::membership::incarnation_at`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// Generation of the records that require the order.
    pub generation: Generation,
    /// Incarnation of the sidecar that sends the order.
    pub incarnation: Incarnation,
}
