//! What a router knows of each endpoint.

use std::collections::{BTreeMap, HashMap};

use persimmon_records::{EndpointName, RecordSet, Serves};
use slotmap::{SlotMap, new_key_type};
use thiserror::Error;

use super::{EndpointHash, LoadReport, Work};
use crate::MonoMs;

new_key_type! {
    /// Identifies an endpoint in one process's [`Directory`].
    pub struct EndpointKey;
}

/// What a router knows of one endpoint. All of it but the name and the slots is a hint.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The hash of the name.
    pub hash: EndpointHash,
    /// Slots, from the records.
    pub slots: u32,
    /// The last load reported.
    pub load: LoadReport,
    /// When that load was measured; `None` if none was ever reported.
    pub reported_at: Option<MonoMs>,
    /// When the endpoint told its bound, which only its replies do; `None` if it never did.
    pub bound_at: Option<MonoMs>,
    /// Work that this router has sent since then.
    pub sent_since_report: Work,
    /// Whether an operator drains the endpoint, by the records.
    pub draining: bool,
    /// Whether the endpoint or the platform's list says that it is leaving.
    pub leaving: bool,
    /// Until when the endpoint is tried only after all others.
    pub suspect_until: Option<MonoMs>,
}

impl EndpointView {
    /// Age up to which a reported load is used, in milliseconds.
    pub const LOAD_AGE_MS: u64 = 15_000;

    /// Age up to which a reported bound is believed, in milliseconds. A refusal costs a hop, but
    /// leaving out a holder that has room again costs its cache.
    pub const BOUND_AGE_MS: u64 = 250;

    /// The load that the endpoint is expected to have.
    pub fn expected_work(&self, now: MonoMs) -> Work {
        match self.reported_at {
            Some(at) if now.ms_since(at) < Self::LOAD_AGE_MS => {
                self.load.work + self.sent_since_report
            }
            _ => self.sent_since_report,
        }
    }

    /// The expected load for each slot.
    pub fn expected_per_slot(&self, now: MonoMs) -> f64 {
        self.expected_work(now).0 as f64 / f64::from(self.slots.max(1))
    }

    /// Takes in a load unless a later one is held.
    fn record_load(&mut self, load: LoadReport, at: MonoMs) -> bool {
        let is_newer = self.reported_at.is_none_or(|held| held <= at);
        if is_newer {
            self.load = load;
            self.reported_at = Some(at);
            self.sent_since_report = Work::ZERO;
        }
        is_newer
    }

    /// Whether the endpoint would exceed its bound with `more` work, by a report so fresh that
    /// asking the endpoint itself isn't worth the hop.
    pub fn is_over_bound(&self, more: Work, now: MonoMs) -> bool {
        let fresh = self.bound_at.is_some_and(|at| now.ms_since(at) < Self::BOUND_AGE_MS);
        fresh && self.expected_work(now) + more > self.load.bound
    }

    /// Whether the endpoint gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.draining || self.leaving
    }

    /// Whether the endpoint is tried only after all others.
    pub fn is_suspect(&self, now: MonoMs) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }
}

/// A record set that names more endpoints than a router keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the records name {found} endpoints, more than {max}; split the fleet")]
pub struct DirectoryError {
    /// Endpoints in the records.
    pub found: usize,
    /// Endpoints that a router keeps.
    pub max: usize,
}

/// A router's view of every endpoint in the records in force.
#[derive(Debug, Default)]
pub struct Directory {
    views: SlotMap<EndpointKey, EndpointView>,
    by_hash: BTreeMap<EndpointHash, EndpointKey>,
    by_target: HashMap<Serves, Vec<EndpointKey>>,
}

impl Directory {
    /// The most endpoints kept.
    pub const MAX_ENDPOINTS: usize = 16_384;

    /// Follows a record set: adds its new endpoints, drops those that it no longer names and keeps
    /// what is known of the others.
    ///
    /// # Errors
    ///
    /// [`DirectoryError`] if the set names too many endpoints; the directory stays as it was.
    pub fn apply_records(&mut self, records: &RecordSet) -> Result<(), DirectoryError> {
        let found = records.endpoints.len();
        if found > Self::MAX_ENDPOINTS {
            return Err(DirectoryError { found, max: Self::MAX_ENDPOINTS });
        }
        let mut kept = BTreeMap::new();
        self.by_target.clear();
        for endpoint in &records.endpoints {
            let hash = EndpointHash::of(&endpoint.name);
            let known = self.by_hash.remove(&hash);
            let key = known.unwrap_or_else(|| self.add(&endpoint.name, hash));
            let view = &mut self.views[key];
            view.slots = endpoint.slots;
            view.draining = endpoint.draining;
            kept.insert(hash, key);
            self.by_target.entry(endpoint.serves.clone()).or_default().push(key);
        }
        for dropped in self.by_hash.values() {
            self.views.remove(*dropped);
        }
        self.by_hash = kept;
        Ok(())
    }

    fn add(&mut self, name: &EndpointName, hash: EndpointHash) -> EndpointKey {
        self.views.insert(EndpointView {
            name: name.clone(),
            hash,
            slots: 1,
            load: LoadReport::default(),
            reported_at: None,
            bound_at: None,
            sent_since_report: Work::ZERO,
            draining: false,
            leaving: false,
            suspect_until: None,
        })
    }

    /// Takes in a load measured at `at`, from a reply or a refusal. An older one than is
    /// held is ignored.
    pub fn record_report(&mut self, endpoint: EndpointHash, load: LoadReport, at: MonoMs) {
        let Some(view) = self.view_mut(endpoint) else { return };
        if view.record_load(load, at) {
            view.bound_at = Some(at);
        }
    }

    /// Takes in the work that a digest gives for an endpoint, measured at `at`.
    pub fn record_digest(&mut self, endpoint: EndpointHash, work: Work, at: MonoMs) {
        let Some(view) = self.view_mut(endpoint) else { return };
        let load = LoadReport { work, ..view.load };
        view.record_load(load, at);
    }

    /// Counts work just sent, until the next report.
    pub fn record_sent(&mut self, endpoint: EndpointHash, work: Work) {
        if let Some(view) = self.view_mut(endpoint) {
            view.sent_since_report += work;
        }
    }

    /// Sets whether the endpoint or the platform's list says that it is leaving.
    pub fn set_leaving(&mut self, endpoint: EndpointHash, leaving: bool) {
        if let Some(view) = self.view_mut(endpoint) {
            view.leaving = leaving;
        }
    }

    /// Tries the endpoint only after all others until `until`.
    pub fn mark_suspect(&mut self, endpoint: EndpointHash, until: MonoMs) {
        if let Some(view) = self.view_mut(endpoint) {
            view.suspect_until = view.suspect_until.max(Some(until));
        }
    }

    /// What is known of an endpoint.
    pub fn view(&self, endpoint: EndpointHash) -> Option<&EndpointView> {
        self.by_hash.get(&endpoint).map(|key| &self.views[*key])
    }

    /// The endpoints that serve a model or a service, in the order of the records.
    pub fn serving(&self, target: &Serves) -> impl Iterator<Item = &EndpointView> {
        self.by_target.get(target).into_iter().flatten().map(|key| &self.views[*key])
    }

    /// Endpoints kept.
    pub fn len(&self) -> usize {
        self.views.len()
    }

    /// Whether no endpoint is kept.
    pub fn is_empty(&self) -> bool {
        self.views.is_empty()
    }

    fn view_mut(&mut self, endpoint: EndpointHash) -> Option<&mut EndpointView> {
        let key = *self.by_hash.get(&endpoint)?;
        self.views.get_mut(key)
    }
}
