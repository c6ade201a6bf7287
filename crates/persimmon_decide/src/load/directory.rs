//! A router's view of the endpoints.

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

/// A router's view of one endpoint. Everything except the name, its hash and the slots is a hint
/// that may be outdated.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Hash of the name.
    pub hash: EndpointHash,
    /// Slots, from the records.
    pub slots: u32,
    /// Last reported load.
    pub load: LoadReport,
    /// Time at which that load was measured, or `None` if none was reported.
    pub reported_at: Option<MonoMs>,
    /// Time at which the bound was measured, or `None` if it wasn't reported. Only replies and
    /// refusals include a bound; digests don't.
    pub bound_at: Option<MonoMs>,
    /// Work that this router has sent since the last report.
    pub sent_since_report: Work,
    /// Whether the records mark the endpoint as draining.
    pub draining: bool,
    /// Whether the endpoint or the platform's list reports that it is leaving.
    pub leaving: bool,
    /// Time until which the endpoint is tried only after all others.
    pub suspect_until: Option<MonoMs>,
}

impl EndpointView {
    /// Age at which a reported load expires, in milliseconds.
    pub const LOAD_AGE_MS: u64 = 15_000;

    /// Age at which a reported bound expires, in milliseconds. It is short because a refusal costs
    /// only one hop, while skipping a holder that has room again loses its cache.
    pub const BOUND_AGE_MS: u64 = 250;

    /// Returns the expected load of the endpoint.
    pub fn expected_work(&self, now: MonoMs) -> Work {
        match self.reported_at {
            Some(at) if now.ms_since(at) < Self::LOAD_AGE_MS => {
                self.load.work + self.sent_since_report
            }
            _ => self.sent_since_report,
        }
    }

    /// Returns the expected load per slot.
    pub fn expected_per_slot(&self, now: MonoMs) -> f64 {
        self.expected_work(now).0 as f64 / f64::from(self.slots.max(1))
    }

    /// Records a load unless a later one is stored. Returns whether it was recorded.
    fn record_load(&mut self, load: LoadReport, at: MonoMs) -> bool {
        let is_newer = self.reported_at.is_none_or(|held| held <= at);
        if is_newer {
            self.load = load;
            self.reported_at = Some(at);
            self.sent_since_report = Work::ZERO;
        }
        is_newer
    }

    /// Reports whether `more` work would take the endpoint over its bound, so that an offer would
    /// waste a hop. Returns false if the bound is older than [`Self::BOUND_AGE_MS`] or unknown.
    pub fn is_over_bound(&self, more: Work, now: MonoMs) -> bool {
        let fresh = self.bound_at.is_some_and(|at| now.ms_since(at) < Self::BOUND_AGE_MS);
        fresh && self.expected_work(now) + more > self.load.bound
    }

    /// Reports whether the endpoint is draining or leaving and gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.draining || self.leaving
    }

    /// Reports whether the endpoint is tried only after all others.
    pub fn is_suspect(&self, now: MonoMs) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }
}

/// Error for a record set with more endpoints than a router supports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the records list {found} endpoints, but a router supports at most {max}; split the fleet")]
pub struct DirectoryError {
    /// Number of endpoints in the records.
    pub found: usize,
    /// Maximum number of endpoints.
    pub max: usize,
}

/// Every endpoint in the current records, with the router's view of its load and state.
#[derive(Debug, Default)]
pub struct Directory {
    views: SlotMap<EndpointKey, EndpointView>,
    by_hash: BTreeMap<EndpointHash, EndpointKey>,
    by_target: HashMap<Serves, Vec<EndpointKey>>,
}

impl Directory {
    /// Maximum number of endpoints.
    pub const MAX_ENDPOINTS: usize = 16_384;

    /// Applies a record set: adds new endpoints, removes those that aren't listed any more, and
    /// keeps the load and state of the others.
    ///
    /// # Errors
    ///
    /// Returns a [`DirectoryError`] and leaves the directory unchanged if the set has too many
    /// endpoints.
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

    /// Records a load and bound measured at `at`, from a reply or a refusal, unless a later load is
    /// stored.
    pub fn record_report(&mut self, endpoint: EndpointHash, load: LoadReport, at: MonoMs) {
        let Some(view) = self.view_mut(endpoint) else { return };
        if view.record_load(load, at) {
            view.bound_at = Some(at);
        }
    }

    /// Records an endpoint's work from a digest, measured at `at`, unless a later load is stored.
    pub fn record_digest(&mut self, endpoint: EndpointHash, work: Work, at: MonoMs) {
        let Some(view) = self.view_mut(endpoint) else { return };
        let load = LoadReport { work, ..view.load };
        view.record_load(load, at);
    }

    /// Adds work that was just sent to the expected load until the next report.
    pub fn record_sent(&mut self, endpoint: EndpointHash, work: Work) {
        if let Some(view) = self.view_mut(endpoint) {
            view.sent_since_report += work;
        }
    }

    /// Sets whether the endpoint or the platform's list reports that it is leaving.
    pub fn set_leaving(&mut self, endpoint: EndpointHash, leaving: bool) {
        if let Some(view) = self.view_mut(endpoint) {
            view.leaving = leaving;
        }
    }

    /// Marks the endpoint as suspect until `until`: it is tried only after all others.
    pub fn mark_suspect(&mut self, endpoint: EndpointHash, until: MonoMs) {
        if let Some(view) = self.view_mut(endpoint) {
            view.suspect_until = view.suspect_until.max(Some(until));
        }
    }

    /// Returns the view of an endpoint.
    pub fn view(&self, endpoint: EndpointHash) -> Option<&EndpointView> {
        self.by_hash.get(&endpoint).map(|key| &self.views[*key])
    }

    /// Returns the endpoints that serve a model or a service, in the order of the records.
    pub fn serving(&self, target: &Serves) -> impl Iterator<Item = &EndpointView> {
        self.by_target.get(target).into_iter().flatten().map(|key| &self.views[*key])
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.views.len()
    }

    /// Reports whether the directory has no endpoints.
    pub fn is_empty(&self) -> bool {
        self.views.is_empty()
    }

    fn view_mut(&mut self, endpoint: EndpointHash) -> Option<&mut EndpointView> {
        let key = *self.by_hash.get(&endpoint)?;
        self.views.get_mut(key)
    }
}
