//! The answers that a sidecar retains for its routers.

use std::collections::BTreeMap;

use thiserror::Error;

use super::{LedgerKey, OutputLimits, OutputState, RetainedOutput};
use crate::MonoMs;

/// Bounds of an [`OutputStore`], which uses at most `max_outputs` times
/// [`OutputLimits::max_bytes`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreLimits {
    /// The maximum number of answers that are retained at once.
    pub max_outputs: usize,
    /// Bounds of each answer.
    pub output: OutputLimits,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self { max_outputs: 64, output: OutputLimits::default() }
    }
}

/// The error for a full store from which no answer can be evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error(
    "the output store is full and no answer may be evicted; withdraw the request and refuse it as \
     queue-full"
)]
pub struct StoreError;

/// The result of [`OutputStore::sweep`].
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SweepReport {
    /// Requests whose reader is too slow or silent; the caller cancels each and ends its answer as
    /// cancelled.
    pub stalled: Vec<LedgerKey>,
    /// The number of expired answers that were evicted.
    pub expired: usize,
}

/// Retained answers by call, so that any router can resume an answer for its caller.
#[derive(Debug)]
pub struct OutputStore {
    limits: StoreLimits,
    outputs: BTreeMap<LedgerKey, RetainedOutput>,
}

impl OutputStore {
    /// How long a full store retains an ended answer that its router hasn't fully acknowledged, in
    /// milliseconds.
    pub const UNACKNOWLEDGED_RETENTION_MS: u64 = 10_000;

    /// Creates an empty store.
    pub fn new(limits: StoreLimits) -> Self {
        Self { limits, outputs: BTreeMap::new() }
    }

    /// Opens an empty answer for a new run, and replaces an earlier answer of the same call. A full
    /// store first evicts one: of the fully acknowledged answers the one that ended first, or else
    /// the oldest that ended at least [`Self::UNACKNOWLEDGED_RETENTION_MS`] ago.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if all answers are in progress, or ended only recently and aren't fully
    /// acknowledged.
    pub fn open(&mut self, key: LedgerKey, now: MonoMs) -> Result<(), StoreError> {
        self.outputs.remove(&key);
        if self.outputs.len() >= self.limits.max_outputs {
            self.evict_oldest(now)?;
        }
        self.outputs.insert(key, RetainedOutput::new(self.limits.output.clone(), now));
        Ok(())
    }

    /// Removes the answer of a call that wasn't run.
    pub fn remove(&mut self, key: LedgerKey) {
        self.outputs.remove(&key);
    }

    /// Returns the answer of a call, if it is retained.
    pub fn get(&self, key: LedgerKey) -> Option<&RetainedOutput> {
        self.outputs.get(&key)
    }

    /// Returns the answer of a call for modification, if it is retained.
    pub fn get_mut(&mut self, key: LedgerKey) -> Option<&mut RetainedOutput> {
        self.outputs.get_mut(&key)
    }

    /// Returns the number of retained answers.
    pub fn len(&self) -> usize {
        self.outputs.len()
    }

    /// Reports whether no answer is retained.
    pub fn is_empty(&self) -> bool {
        self.outputs.is_empty()
    }

    /// Evicts expired answers, and finds those whose reader has stalled.
    pub fn sweep(&mut self, now: MonoMs) -> SweepReport {
        let before = self.outputs.len();
        self.outputs.retain(|_, output| output.state(now) != OutputState::Expired);
        let is_stalled = |output: &RetainedOutput| output.state(now) == OutputState::Stalled;
        let stalled = self.outputs.iter().filter(|(_, output)| is_stalled(output));
        let stalled = stalled.map(|(key, _)| *key).collect();
        SweepReport { stalled, expired: before - self.outputs.len() }
    }

    /// Evicts one ended answer: the oldest that is fully acknowledged, or else the oldest whose
    /// router had [`Self::UNACKNOWLEDGED_RETENTION_MS`] to acknowledge it.
    fn evict_oldest(&mut self, now: MonoMs) -> Result<(), StoreError> {
        let may_evict = |output: &RetainedOutput, ended_at: MonoMs| {
            output.is_fully_acknowledged()
                || now.ms_since(ended_at) >= Self::UNACKNOWLEDGED_RETENTION_MS
        };
        let ended = self.outputs.iter().filter_map(|(key, output)| {
            let ended_at = output.ended_at().filter(|at| may_evict(output, *at))?;
            Some((!output.is_fully_acknowledged(), ended_at, *key))
        });
        let (.., oldest) = ended.min().ok_or(StoreError)?;
        self.outputs.remove(&oldest);
        Ok(())
    }
}
