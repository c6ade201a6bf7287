//! Mutable state of the platform, with the versions of everything published.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use persimmon_records::Vm;

use super::{PlatformCounts, PlatformSwitch};

/// Maximum number of versions kept for stale answers; the oldest are dropped first.
const MAX_VERSIONS: usize = 16;

/// Maximum number of keys that the platform stores. A further key replaces the alphabetically first
/// one.
const MAX_KEYS: usize = 1_024;

/// A version of a published value.
#[derive(Debug, Clone)]
pub(super) struct Version<T> {
    pub(super) number: u64,
    pub(super) value: T,
    visible_at: Instant,
}

/// The newest versions of a published value, oldest first.
#[derive(Debug)]
pub(super) struct Versions<T>(VecDeque<Version<T>>);

impl<T> Default for Versions<T> {
    fn default() -> Self {
        Self(VecDeque::new())
    }
}

impl<T> Versions<T> {
    fn push(&mut self, value: T, visible_at: Instant) -> u64 {
        let number = self.0.back().map_or(1, |newest| newest.number + 1);
        self.0.push_back(Version { number, value, visible_at });
        if self.0.len() > MAX_VERSIONS {
            self.0.pop_front();
        }
        number
    }

    /// Returns the version that readers see at `now`.
    pub(super) fn visible(&self, now: Instant, switch: PlatformSwitch) -> Option<&Version<T>> {
        let visible_count = self.0.iter().filter(|version| version.visible_at <= now).count();
        let behind = match switch {
            PlatformSwitch::Stale { versions_behind } => versions_behind,
            _ => 0,
        };
        self.0.get(visible_count.checked_sub(1)?.saturating_sub(behind))
    }

    /// Returns when the next version becomes visible to readers.
    pub(super) fn next_visible_at(&self, now: Instant) -> Option<Instant> {
        self.0.iter().map(|version| version.visible_at).find(|at| *at > now)
    }
}

/// Kind of data that a reader requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Read {
    Value,
    Vms,
    Weights,
}

/// Everything that the platform stores and counts.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) switch: PlatformSwitch,
    pub(super) closed: bool,
    pub(super) vms: Versions<Vec<Vm>>,
    values: BTreeMap<String, Versions<String>>,
    counts: PlatformCounts,
    second: u64,
    reads_in_second: u64,
    weights_in_second: u64,
}

impl State {
    pub(super) fn counts(&self) -> PlatformCounts {
        self.counts
    }

    pub(super) fn value(&self, key: &str) -> Option<&Versions<String>> {
        self.values.get(key)
    }

    pub(super) fn publish(&mut self, key: &str, value: String, now: Instant) -> u64 {
        if self.values.len() >= MAX_KEYS && !self.values.contains_key(key) {
            self.values.pop_first();
        }
        self.values.entry(key.to_owned()).or_default().push(value, now)
    }

    pub(super) fn set_vms(&mut self, vms: Vec<Vm>, visible_at: Instant) -> u64 {
        self.vms.push(vms, visible_at)
    }

    /// Counts a read that arrived `second` seconds after the start.
    pub(super) fn count(&mut self, read: Read, second: u64) {
        if second != self.second {
            self.second = second;
            self.reads_in_second = 0;
            self.weights_in_second = 0;
        }
        self.reads_in_second += 1;
        let counts = &mut self.counts;
        counts.reads += 1;
        counts.most_reads_in_a_second = counts.most_reads_in_a_second.max(self.reads_in_second);
        match read {
            Read::Value => counts.values += 1,
            Read::Vms => counts.vms += 1,
            Read::Weights => {
                counts.weights += 1;
                self.weights_in_second += 1;
            }
        }
    }

    /// Reports whether the reads of the weight store in this second exceed its rate limit.
    pub(super) fn over_weight_rate(&self, per_second: u64) -> bool {
        self.weights_in_second > per_second
    }

    pub(super) fn count_refused_weights(&mut self) {
        self.counts.weights_refused += 1;
    }
}
