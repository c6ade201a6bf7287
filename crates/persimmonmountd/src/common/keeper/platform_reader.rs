//! Reads records and VM lists from the platform and checks them, on a thread of its own.

use std::sync::Arc;

use persimmon_decide::membership::VmList;
use persimmon_records::{Head, Published, RECORDS_KEY, RecordIndex, SetVersion, part_key};

use super::command::{FleetInput, Offered, PlatformRecords};
use crate::common::{Clock, Metrics, Platform};

/// Reads records and VM lists from the platform.
#[derive(Debug)]
pub(crate) struct PlatformReader {
    platform: Platform,
    clock: Clock,
    metrics: Metrics,
}

impl PlatformReader {
    /// Creates a reader of `platform`.
    pub(crate) fn new(platform: Platform, clock: Clock, metrics: Metrics) -> Self {
        Self { platform, clock, metrics }
    }

    /// Reads the records if the version of their value is higher than `after`.
    pub(crate) fn read_records(
        &self,
        after: u64,
        wait_ms: u64,
        have: Option<&RecordIndex>,
    ) -> FleetInput {
        let requested_at = self.clock.now();
        let result = match self.platform.value(RECORDS_KEY, after, wait_ms) {
            Ok(Some(value)) => {
                self.count_received("records", value.value.len());
                let offered = self.offer(&value.value, have);
                Ok(PlatformRecords { value_version: value.version, offered })
            }
            Ok(None) => Ok(PlatformRecords { value_version: after, offered: None }),
            Err(err) => Err(err.to_string()),
        };
        FleetInput::PlatformRecords { requested_at, result }
    }

    /// Reads the VM list if its version is higher than `after`.
    pub(crate) fn read_vms(&self, after: u64, wait_ms: u64) -> Option<VmList> {
        match self.platform.vms(after, wait_ms) {
            Ok(list) => list,
            Err(err) => {
                tracing::debug!("vms: {err}.");
                None
            }
        }
    }

    /// Returns the set of a published value, or `None` if `have` is the same version.
    fn offer(&self, text: &str, have: Option<&RecordIndex>) -> Option<Offered> {
        let published = match Published::parse(text) {
            Ok(published) => published,
            Err(faults) => {
                let set = Err(faults.to_string());
                return Some(Offered { version: None, set, changes: None });
            }
        };
        let version = published.version();
        if have.is_some_and(|have| have.version() == version) {
            return None;
        }
        let (set, changes) = match published {
            Published::Set(set) => (Ok(RecordIndex::new(set)), None),
            Published::Head(head) => (self.build_set(&head, have), Some(head.change_set)),
        };
        Some(Offered { version: Some(version), set: set.map(Arc::new), changes })
    }

    /// Builds the set of a head by applying the head's changes to `have`, or from the head's parts
    /// if that isn't possible.
    fn build_set(&self, head: &Head, have: Option<&RecordIndex>) -> Result<RecordIndex, String> {
        let changed = have.and_then(|have| {
            let changes = head.change_set.since(have.version().generation)?;
            have.apply(&changes).ok()
        });
        match changed {
            Some(changed) => Ok(changed),
            None => self.assemble(head),
        }
    }

    fn assemble(&self, head: &Head) -> Result<RecordIndex, String> {
        let mut parts = Vec::with_capacity(head.parts.len());
        for digest in &head.parts {
            let key = part_key(*digest);
            let value = self.platform.value(&key, 0, 0).map_err(|err| err.to_string())?;
            let part = value.ok_or_else(|| {
                format!("the part {key} isn't published; publish the parts before their head")
            })?;
            self.count_received("records", part.value.len());
            parts.push(part.value);
        }
        head.assemble(&parts).map(RecordIndex::new).map_err(|err| err.to_string())
    }

    fn count_received(&self, kind: &str, bytes: usize) {
        self.metrics.control_bytes.with_label_values(&["received", kind]).inc_by(bytes as u64);
    }
}

/// Returns the set that a peer sent.
pub(crate) fn offered_by_peer(
    version: SetVersion,
    set: Result<RecordIndex, String>,
    changes: Option<persimmon_records::ChangeSet>,
) -> Offered {
    Offered { version: Some(version), set: set.map(Arc::new), changes }
}
