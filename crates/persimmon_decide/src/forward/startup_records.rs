//! When a gateway that has just started may use the records that its peers sent.

use crate::MonoMs;

/// What a gateway has of the records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RecordsVersion {
    /// Position of the store up to which it has every change.
    pub position: u64,
    /// Version of the routes in force.
    pub routes: u64,
}

/// Decides when a gateway that has just started knows the records in force.
///
/// Handles a restart while the store doesn't answer, or after it has come back from an older copy: peers
/// learn of a change at different times, and the first one that is heard, or the store, may not have it.
/// A gateway that used such records at once would return to routes and keys that the fleet has already
/// given up.
#[derive(Debug, Default)]
pub struct StartupRecords {
    /// Time at which the first peer was heard, or the store listed its records.
    began_at: Option<MonoMs>,
    is_listed: bool,
    is_complete: bool,
}

impl StartupRecords {
    /// Time from the beginning in which the other peers are heard, in milliseconds. Each sends a digest
    /// at once to a gateway that has just started.
    pub const PEERS_MS: u64 = 250;
    /// Maximum time from the beginning that the records of a peer are waited for, in milliseconds.
    pub const MAX_WAIT_MS: u64 = 2_000;

    /// Creates the state of a gateway that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reports whether the records may be used.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Records that the store has listed all records. `was_restored` says whether it may have come back
    /// from an older copy, so that peers may know more.
    pub fn record_list(&mut self, was_restored: bool, now: MonoMs) {
        self.began_at.get_or_insert(now);
        self.is_listed = true;
        self.is_complete |= !was_restored;
    }

    /// Records what this gateway has, and the highest of what the peers that are heard have; none if none
    /// is heard. Returns whether the records may be used from now on.
    pub fn update(
        &mut self,
        own: RecordsVersion,
        peers: Option<RecordsVersion>,
        now: MonoMs,
    ) -> bool {
        if self.is_complete || (peers.is_none() && !self.is_listed) {
            return false;
        }
        let waited_ms = now.ms_since(*self.began_at.get_or_insert(now));
        let peers = peers.unwrap_or_default();
        let has_latest = own.position >= peers.position && own.routes >= peers.routes;
        let is_latest = waited_ms >= Self::PEERS_MS && has_latest;
        self.is_complete = own.position > 0 && (is_latest || waited_ms >= Self::MAX_WAIT_MS);
        self.is_complete
    }
}
