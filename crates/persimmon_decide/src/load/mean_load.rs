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

/// The mean of the reports at an earlier time.
#[derive(Debug, Clone, Copy)]
struct PastMean {
    per_slot: f64,
    at: MonoMs,
}

/// Estimates the mean load per slot of a model's endpoints from the reports of peers. The estimate
/// is low rather than high, so that a partitioned or newly started sidecar applies a bound that is
/// too tight rather than too loose. It takes the lower of the mean of all reports and the mean of
/// the fresh ones, extrapolates a falling mean over the age of the reports, and decays when no
/// reports arrive. Without any report it is zero and the floor applies. A sidecar doesn't include
/// its own load, since a load that raised its own bound would never be refused.
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
    /// Maximum number of endpoints whose reports are stored.
    pub const MAX_ENTRIES: usize = 256;

    /// Age below which a report is fresh, in milliseconds.
    pub const FRESH_MS: u64 = 5_000;

    /// Minimum number of fresh reports for their mean to be used. The mean of fewer is too
    /// uncertain.
    pub const MIN_FRESH: usize = 8;

    /// Time in which the estimate halves once no report is fresh, in milliseconds.
    pub const HALF_LIFE_MS: u64 = 5_000;

    /// Age at which a report is evicted, in milliseconds.
    pub const MAX_AGE_MS: u64 = 10_000;

    /// How far a falling mean is extrapolated, as a multiple of the reports' mean age: once for the
    /// time since the measurement, and once more for the time in which requests admitted now
    /// continue to run.
    pub const PROJECTED_AGES: f64 = 2.0;

    /// Time between two stored earlier means, in milliseconds.
    pub const PAST_INTERVAL_MS: u64 = 1_000;

    /// Maximum number of earlier means stored to detect a falling mean.
    pub const MAX_PAST_MEANS: usize = 4;

    /// Minimum headroom for calculating the floor, where headroom is the load multiple minus one.
    pub const MIN_HEADROOM: f64 = 0.05;

    /// Share of the headroom that is applied to the estimated mean, because the estimate lags.
    pub const USED_HEADROOM: f64 = 0.8;

    /// Cap on the mean load sent with an offer, as a multiple of the estimate.
    pub const MAX_REFUSED_RATIO: f64 = 1.5;

    /// Records an endpoint's report measured at `at`, unless a later one is stored.
    pub fn observe(&mut self, endpoint: EndpointHash, report: LoadReport, at: MonoMs) {
        if self.entries.get(&endpoint).is_some_and(|entry| entry.at > at) {
            return;
        }
        if self.entries.len() >= Self::MAX_ENTRIES && !self.entries.contains_key(&endpoint) {
            self.evict_oldest();
        }
        self.entries.insert(endpoint, Entry { report, at });
        self.newest = self.newest.max(Some(at));
    }

    /// Removes the report of an endpoint that left.
    pub fn forget(&mut self, endpoint: EndpointHash) {
        self.entries.remove(&endpoint);
    }

    /// Evicts expired reports and, at intervals, stores the mean of the others.
    pub fn tick(&mut self, now: MonoMs) {
        self.entries.retain(|_, entry| now.ms_since(entry.at) < Self::MAX_AGE_MS);
        let due = |past: &PastMean| now.ms_since(past.at) >= Self::PAST_INTERVAL_MS;
        if !self.past.back().is_none_or(due) {
            return;
        }
        if self.past.len() >= Self::MAX_PAST_MEANS {
            self.past.pop_front();
        }
        self.past.push_back(PastMean { per_slot: self.lower_mean(now), at: now });
    }

    /// Returns the estimated mean in work units per slot.
    pub fn per_slot(&self, now: MonoMs) -> f64 {
        let Some(newest) = self.newest else { return 0.0 };
        let stale_ms = now.ms_since(newest).saturating_sub(Self::FRESH_MS);
        let decay = 0.5_f64.powf(stale_ms as f64 / Self::HALF_LIFE_MS as f64);
        decay * self.projected(now)
    }

    /// Returns the load bound of an endpoint with this number of slots: the load multiple times its
    /// share of the mean, but never less than the floor.
    ///
    /// Only [`MeanLoad::USED_HEADROOM`] of the headroom is used with the estimate, since the mean
    /// may fall faster than the load of one endpoint. `refused_mean` is the mean load per slot of
    /// the endpoints that have just refused the request. It doesn't lag, so the whole multiple
    /// applies to it. It is ignored without reports, and [`MeanLoad::MAX_REFUSED_RATIO`] limits the
    /// effect of an outdated one.
    pub fn bound(
        &self,
        policy: &Policy,
        slots: u32,
        refused_mean: Option<f64>,
        now: MonoMs,
    ) -> Work {
        let estimate = self.per_slot(now);
        let refused_mean = refused_mean.filter(|mean| mean.is_finite()).unwrap_or(0.0);
        let refused_mean = refused_mean.min(estimate * Self::MAX_REFUSED_RATIO);
        let above_one = policy.load_multiple - 1.0;
        let usual = estimate * (1.0 + above_one * Self::USED_HEADROOM);
        let per_slot = usual.max(refused_mean * policy.load_multiple);
        self.floor(policy).max(Work((per_slot * f64::from(slots)) as u64))
    }

    /// Returns the load below which the multiple isn't applied: `load_floor` requests of mean size,
    /// but at least the mean above which a request of any size stays within the multiple. With a
    /// lower floor, endpoints at the mean would refuse a large request, and the mean couldn't grow
    /// with demand.
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

    /// Extrapolates the lower mean over [`MeanLoad::PROJECTED_AGES`] at the rate at which it has
    /// been falling.
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

    fn evict_oldest(&mut self) {
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
