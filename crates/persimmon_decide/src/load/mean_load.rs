//! A conservative estimate of the mean load of a model's endpoints.

use std::collections::{BTreeMap, VecDeque};

use persimmon_records::Policy;

use super::{EndpointHash, LoadReport, Work};
use crate::MonoMs;

#[derive(Debug, Clone, Copy)]
struct Entry {
    report: LoadReport,
    at: MonoMs,
}

/// What the reports came to at an earlier time.
#[derive(Debug, Clone, Copy)]
struct PastMean {
    per_slot: f64,
    at: MonoMs,
}

/// Estimates the mean load per slot of the endpoints of one model from the reports of peers. It
/// errs downwards, so that the bound of a partitioned or newly started sidecar is too tight rather
/// than too loose: of the mean of every report held and that of the fresh ones the lower counts, a
/// falling mean is projected over the age of the reports, the estimate decays when no report
/// arrives, and with none it is zero, so that the floor holds.
/// A sidecar doesn't count its own load: a load that raised its own bound would never be refused.
///
/// ```
/// use persimmon_decide::MonoMs;
/// use persimmon_decide::load::{EndpointHash, LoadReport, MeanLoad, Work};
///
/// let mut mean = MeanLoad::default();
/// let report = LoadReport { work: Work(4_000), slots: 8, ..LoadReport::default() };
/// mean.observe(EndpointHash(1), report, MonoMs(0));
/// assert_eq!(mean.per_slot(MonoMs(0)), 500.0);
/// assert!(mean.per_slot(MonoMs(60_000)) < 50.0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct MeanLoad {
    entries: BTreeMap<EndpointHash, Entry>,
    newest: Option<MonoMs>,
    past: VecDeque<PastMean>,
}

impl MeanLoad {
    /// Endpoints whose reports are kept.
    pub const MAX_ENTRIES: usize = 256;

    /// Age up to which a report is fresh, in milliseconds.
    pub const FRESH_MS: u64 = 5_000;

    /// Fresh reports below which their mean is too uncertain to count.
    pub const MIN_FRESH: usize = 8;

    /// Time in which the estimate halves once no report is fresh, in milliseconds.
    pub const HALF_LIFE_MS: u64 = 5_000;

    /// Age at which a report is forgotten, in milliseconds.
    pub const MAX_AGE_MS: u64 = 10_000;

    /// How far a falling mean is projected, in ages of the reports: one for the time since they
    /// were measured, and as long again in which what is admitted now goes on running.
    pub const PROJECTED_AGES: f64 = 2.0;

    /// Time between the earlier estimates kept, in milliseconds.
    pub const PAST_INTERVAL_MS: u64 = 1_000;

    /// Earlier estimates kept, to see whether the mean falls.
    pub const MAX_PAST: usize = 4;

    /// Least part of the load multiple above one that the floor is worked out from.
    pub const MIN_HEADROOM: f64 = 0.05;

    /// Part of the load multiple above one that is used on a mean that lags.
    pub const USED_HEADROOM: f64 = 0.8;

    /// The most by which a mean told with an offer may exceed the estimate, as a multiple.
    pub const MAX_REFUSED_RATIO: f64 = 1.5;

    /// Takes in an endpoint's report, measured at `at`. An older one than is held is ignored.
    pub fn observe(&mut self, endpoint: EndpointHash, report: LoadReport, at: MonoMs) {
        if self.entries.get(&endpoint).is_some_and(|entry| entry.at > at) {
            return;
        }
        if self.entries.len() >= Self::MAX_ENTRIES && !self.entries.contains_key(&endpoint) {
            self.drop_oldest();
        }
        self.entries.insert(endpoint, Entry { report, at });
        self.newest = self.newest.max(Some(at));
    }

    /// Forgets an endpoint that left.
    pub fn forget(&mut self, endpoint: EndpointHash) {
        self.entries.remove(&endpoint);
    }

    /// Drops reports that are too old to count, and notes now and then what the others come to.
    pub fn tick(&mut self, now: MonoMs) {
        self.entries.retain(|_, entry| now.ms_since(entry.at) < Self::MAX_AGE_MS);
        let due = |past: &PastMean| now.ms_since(past.at) >= Self::PAST_INTERVAL_MS;
        if !self.past.back().is_none_or(due) {
            return;
        }
        if self.past.len() >= Self::MAX_PAST {
            self.past.pop_front();
        }
        self.past.push_back(PastMean { per_slot: self.lower_mean(now), at: now });
    }

    /// The estimate in work per slot.
    pub fn per_slot(&self, now: MonoMs) -> f64 {
        let Some(newest) = self.newest else { return 0.0 };
        let stale_ms = now.ms_since(newest).saturating_sub(Self::FRESH_MS);
        let decay = 0.5_f64.powf(stale_ms as f64 / Self::HALF_LIFE_MS as f64);
        decay * self.projected(now)
    }

    /// The most that an endpoint with these slots may carry: the load multiple times its share of
    /// the mean, but never under the floor.
    ///
    /// A part of the multiple is kept back, since the mean may fall faster than the load of one
    /// endpoint. `refused_mean_per_slot` is the mean of the endpoints that have just refused a request. It
    /// doesn't lag, so the whole multiple of it holds; but without reports it doesn't count, and
    /// an old one does no more harm than [`MeanLoad::MAX_REFUSED_RATIO`] allows.
    pub fn bound(
        &self,
        policy: &Policy,
        slots: u32,
        refused_mean: Option<f64>,
        now: MonoMs,
    ) -> Work {
        let estimate = self.per_slot(now);
        let refused_mean =
            refused_mean.filter(|refused_mean| refused_mean.is_finite()).unwrap_or(0.0);
        let refused_mean = refused_mean.min(estimate * Self::MAX_REFUSED_RATIO);
        let above_one = policy.load_multiple - 1.0;
        let usual = estimate * (1.0 + above_one * Self::USED_HEADROOM);
        let per_slot = usual.max(refused_mean * policy.load_multiple);
        self.floor(policy).max(Work((per_slot * f64::from(slots)) as u64))
    }

    /// The load up to which the multiple isn't applied: `load_floor` requests of the mean work of
    /// a request in progress, and never less than the mean above which one request of any size
    /// stays within the multiple. Under a lower floor endpoints at the mean would refuse a large
    /// request, and the mean could never grow with the demand.
    pub fn floor(&self, policy: &Policy) -> Work {
        let least = Work::MIN_PER_FLOOR_REQUEST.0 as f64;
        let request = self.request_work().clamp(least, Work::MAX_PER_REQUEST.0 as f64);
        let headroom = (policy.load_multiple - 1.0).clamp(Self::MIN_HEADROOM, 1.0);
        let one_more = Work::MAX_PER_REQUEST.0 as f64 / headroom;
        Work((request * f64::from(policy.load_floor)).max(one_more) as u64)
    }

    fn request_work(&self) -> f64 {
        let work: Work = self.entries.values().map(|entry| entry.report.work).sum();
        let requests: u64 = self.entries.values().map(|entry| entry.report.requests()).sum();
        if requests == 0 {
            return Work::PER_FLOOR_REQUEST.0 as f64;
        }
        work.0 as f64 / requests as f64
    }

    /// The lower mean, less what it will have fallen in [`MeanLoad::PROJECTED_AGES`] if it goes on
    /// falling as it did.
    fn projected(&self, now: MonoMs) -> f64 {
        let mean = self.lower_mean(now);
        let Some(past) = self.past.front() else { return mean };
        let elapsed_ms = now.ms_since(past.at).max(1);
        let fall = (past.per_slot - mean).max(0.0) / elapsed_ms as f64;
        (mean - fall * Self::PROJECTED_AGES * self.mean_age_ms(now)).max(0.0)
    }

    fn mean_age_ms(&self, now: MonoMs) -> f64 {
        let ages: u64 = self.entries.values().map(|entry| now.ms_since(entry.at)).sum();
        ages as f64 / self.entries.len().max(1) as f64
    }

    fn lower_mean(&self, now: MonoMs) -> f64 {
        let mut all = Totals::default();
        let mut fresh = Totals::default();
        for entry in self.entries.values() {
            let age_ms = now.ms_since(entry.at);
            if age_ms < Self::MAX_AGE_MS {
                all.add(&entry.report);
            }
            if age_ms < Self::FRESH_MS {
                fresh.add(&entry.report);
            }
        }
        if fresh.reports < Self::MIN_FRESH {
            return all.per_slot();
        }
        all.per_slot().min(fresh.per_slot())
    }

    fn drop_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.at).map(|(key, _)| *key);
        if let Some(key) = oldest {
            self.entries.remove(&key);
        }
    }
}

#[derive(Debug, Default)]
struct Totals {
    reports: usize,
    work: u64,
    slots: u64,
}

impl Totals {
    fn add(&mut self, report: &LoadReport) {
        self.reports += 1;
        self.work += report.work.0;
        self.slots += u64::from(report.slots);
    }

    fn per_slot(&self) -> f64 {
        self.work as f64 / self.slots.max(1) as f64
    }
}
