//! Availability zones that the operator has evacuated.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::MonoMs;

/// Availability zones whose endpoints get no new requests until the operator takes the zone back.
///
/// Handles the loss of a zone that is known in advance: requests that run there go on, all others go to
/// the remaining zones.
#[derive(Debug, Default)]
pub struct EvacuatedZones {
    since: BTreeMap<Arc<str>, MonoMs>,
}

impl EvacuatedZones {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a zone is evacuated. Returns whether that is new.
    pub fn insert(&mut self, zone: &Arc<str>, now: MonoMs) -> bool {
        if self.contains(zone) {
            return false;
        }
        self.since.insert(zone.clone(), now);
        true
    }

    /// Records that a zone is taken back. Returns whether it was evacuated.
    pub fn remove(&mut self, zone: &str) -> bool {
        self.since.remove(zone).is_some()
    }

    /// Reports whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.since.contains_key(zone)
    }

    /// Returns the evacuated zones, each with the time at which this gateway learned of it.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, MonoMs)> {
        self.since.iter().map(|(zone, since)| (zone, *since))
    }

    /// Reports whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.since.is_empty()
    }
}
