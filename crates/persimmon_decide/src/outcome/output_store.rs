//! The answers that a sidecar keeps.

use std::collections::BTreeMap;

use thiserror::Error;

use super::{LedgerKey, OutputLimits, OutputState, RetainedOutput};
use crate::MonoMs;

/// Bounds of an [`OutputStore`]. It keeps at most `max_outputs` times
/// [`OutputLimits::max_bytes`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreLimits {
    /// Answers kept at once.
    pub max_outputs: usize,
    /// Bounds of each answer.
    pub output: OutputLimits,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self { max_outputs: 64, output: OutputLimits::default() }
    }
}

/// No room for another answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("every kept answer is still needed; withdraw the request and refuse it as queue-full")]
pub struct StoreError;

/// What a sweep found.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SweepReport {
    /// Requests whose reader is too slow or silent; cancel each and end its answer as cancelled.
    pub stalled: Vec<LedgerKey>,
    /// Answers forgotten.
    pub expired: usize,
}

/// Answers by call, so that any router can resume one for its caller.
#[derive(Debug)]
pub struct OutputStore {
    limits: StoreLimits,
    outputs: BTreeMap<LedgerKey, RetainedOutput>,
}

impl OutputStore {
    /// How long an ended answer that its router hasn't taken whole is kept in a full store, in
    /// milliseconds.
    pub const UNACKNOWLEDGED_RETENTION_MS: u64 = 10_000;

    /// A store without answers.
    pub fn new(limits: StoreLimits) -> Self {
        Self { limits, outputs: BTreeMap::new() }
    }

    /// Opens the answer of a run that starts, in place of an earlier one of the same call. If the
    /// store is full, the answer that ended first is forgotten, of those that were taken whole.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if every answer is in progress or still on its way to its router.
    pub fn open(&mut self, key: LedgerKey, now: MonoMs) -> Result<(), StoreError> {
        self.outputs.remove(&key);
        if self.outputs.len() >= self.limits.max_outputs {
            self.evict_oldest(now)?;
        }
        self.outputs.insert(key, RetainedOutput::new(self.limits.output.clone(), now));
        Ok(())
    }

    /// Forgets the answer of a call that wasn't run.
    pub fn remove(&mut self, key: LedgerKey) {
        self.outputs.remove(&key);
    }

    /// The answer of a call, if it is kept.
    pub fn get(&self, key: LedgerKey) -> Option<&RetainedOutput> {
        self.outputs.get(&key)
    }

    /// The answer of a call, to change it.
    pub fn get_mut(&mut self, key: LedgerKey) -> Option<&mut RetainedOutput> {
        self.outputs.get_mut(&key)
    }

    /// Answers kept.
    pub fn len(&self) -> usize {
        self.outputs.len()
    }

    /// Whether no answer is kept.
    pub fn is_empty(&self) -> bool {
        self.outputs.is_empty()
    }

    /// Forgets answers that ended long enough ago, and finds those whose reader has stalled.
    pub fn sweep(&mut self, now: MonoMs) -> SweepReport {
        let before = self.outputs.len();
        self.outputs.retain(|_, output| output.state(now) != OutputState::Expired);
        let is_stalled = |output: &RetainedOutput| output.state(now) == OutputState::Stalled;
        let stalled = self.outputs.iter().filter(|(_, output)| is_stalled(output));
        let stalled = stalled.map(|(key, _)| *key).collect();
        SweepReport { stalled, expired: before - self.outputs.len() }
    }

    /// Makes room: the first that ended of the taken answers goes, else of those whose router has
    /// had its time.
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
