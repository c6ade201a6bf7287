//! Mutable state of the engine.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::cache::PrefixCache;
use super::{Admission, EngineCounts};

/// Maximum number of admissions in the counts; the oldest are dropped first.
const MAX_ADMISSIONS: usize = 65_536;

/// Maximum number of orders in the counts; the oldest are dropped first.
const MAX_ORDERS: usize = 1_024;

/// Maximum number of models loaded at the same time.
const MAX_MODELS: usize = 16;

/// Maximum number of load samples; the oldest are dropped first.
const MAX_LOAD_SAMPLES: usize = 4_096;

/// The reason why a run stops before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopReason {
    /// A caller cancelled the run by request id.
    Cancelled,
    /// The engine crashed or was closed.
    Crashed,
}

/// A request that waits for a slot or runs.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) request_id: String,
    pub(super) priority: u8,
    pub(super) running: bool,
    pub(super) cancelled: bool,
}

/// Fencing token of an order. It compares by generation first, then by incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Fence {
    /// Generation of the records that require the order.
    pub generation: u64,
    /// Incarnation of the sidecar that sends the order.
    pub incarnation: u64,
}

/// Load at a point in time.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadSample {
    at: Instant,
    pub(super) running: usize,
    pub(super) waiting: usize,
}

/// Everything that the engine stores and counts.
#[derive(Debug)]
pub(super) struct State {
    pub(super) incarnation: u64,
    /// Incarnation that answered the most recent health check.
    pub(super) last_health_check_in: Option<u64>,
    pub(super) closed: bool,
    pub(super) frozen: bool,
    pub(super) slowdown_factor: u32,
    pub(super) stall_after_tokens: Option<u32>,
    pub(super) models: Vec<String>,
    pub(super) cache: PrefixCache,
    pub(super) fence: Fence,
    pub(super) runs: BTreeMap<u64, Run>,
    next_run_id: u64,
    load: VecDeque<LoadSample>,
    admissions: VecDeque<Admission>,
    orders: VecDeque<(Fence, serde_json::Value)>,
    pub(super) counts: EngineCounts,
}

impl State {
    pub(super) fn new(incarnation: u64, models: Vec<String>, cache: PrefixCache) -> Self {
        Self {
            incarnation,
            last_health_check_in: None,
            closed: false,
            frozen: false,
            slowdown_factor: 1,
            stall_after_tokens: None,
            models,
            cache,
            fence: Fence::default(),
            runs: BTreeMap::new(),
            next_run_id: 0,
            load: VecDeque::new(),
            admissions: VecDeque::new(),
            orders: VecDeque::new(),
            counts: EngineCounts::default(),
        }
    }

    pub(super) fn running(&self) -> usize {
        self.runs.values().filter(|run| run.running).count()
    }

    pub(super) fn waiting(&self) -> usize {
        self.runs.len() - self.running()
    }

    /// Reports whether the run `run_id` is next in the queue and a slot is free for it.
    pub(super) fn may_run(&self, run_id: u64, slots: usize) -> bool {
        let waiting = self.runs.iter().filter(|(_, run)| !run.running);
        let next = waiting.min_by_key(|(run_id, run)| (run.priority, **run_id));
        !self.frozen
            && self.running() < slots
            && next.is_some_and(|(next_run_id, _)| *next_run_id == run_id)
    }

    /// Returns why the run `run_id`, which started in `incarnation`, must stop, or `None`.
    pub(super) fn stop_reason(&self, run_id: u64, incarnation: u64) -> Option<StopReason> {
        if self.closed || self.incarnation != incarnation {
            return Some(StopReason::Crashed);
        }
        let cancelled = self.runs.get(&run_id).is_some_and(|run| run.cancelled);
        cancelled.then_some(StopReason::Cancelled)
    }

    /// Adds `run` to the queue and returns its id.
    pub(super) fn enqueue(&mut self, run: Run) -> u64 {
        let run_id = self.next_run_id;
        self.next_run_id += 1;
        self.runs.insert(run_id, run);
        self.sample_load();
        run_id
    }

    /// Marks the run `run_id` as running and records its admission.
    pub(super) fn admit(&mut self, run_id: u64, admission: Admission) {
        if let Some(run) = self.runs.get_mut(&run_id) {
            run.running = true;
        }
        self.counts.most_running = self.counts.most_running.max(self.running());
        self.admissions.push_back(admission);
        if self.admissions.len() > MAX_ADMISSIONS {
            self.admissions.pop_front();
        }
        self.sample_load();
    }

    pub(super) fn remove_run(&mut self, run_id: u64) {
        self.runs.remove(&run_id);
        self.sample_load();
    }

    /// Starts the next incarnation and drops all runs and the cache.
    pub(super) fn crash(&mut self) {
        self.incarnation += 1;
        self.counts.crashes += 1;
        self.runs.clear();
        self.load.clear();
        self.cache.clear();
    }

    /// Loads `model`. If [`MAX_MODELS`] are loaded, it replaces the one loaded first.
    pub(super) fn load_model(&mut self, model: &str) {
        if self.models.iter().any(|loaded| loaded == model) {
            return;
        }
        if self.models.len() >= MAX_MODELS {
            self.models.remove(0);
        }
        self.models.push(model.to_owned());
    }

    pub(super) fn record_order(&mut self, fence: Fence, order: serde_json::Value) {
        self.orders.push_back((fence, order));
        if self.orders.len() > MAX_ORDERS {
            self.orders.pop_front();
        }
    }

    /// Reports whether the engine is frozen or must not send the token `index` yet.
    pub(super) fn is_stalled(&self, index: Option<u32>) -> bool {
        let at_limit =
            index.zip(self.stall_after_tokens).is_some_and(|(index, tokens)| index >= tokens);
        self.frozen || at_limit
    }

    /// Returns the numbers of running and waiting requests as they were `lag` ago.
    pub(super) fn load_before(&self, now: Instant, lag: Duration) -> (usize, usize) {
        let known = self.load.iter().rev().find(|sample| sample.at + lag <= now);
        known.map_or((0, 0), |sample| (sample.running, sample.waiting))
    }

    pub(super) fn counts(&self) -> EngineCounts {
        let mut counts = self.counts.clone();
        for admission in &self.admissions {
            *counts.runs.entry(admission.request_id.clone()).or_default() += 1;
        }
        counts.admissions = self.admissions.iter().cloned().collect();
        (counts.fences, counts.orders) = self.orders.iter().cloned().unzip();
        counts.incarnation = self.incarnation;
        counts
    }

    fn sample_load(&mut self) {
        let sample =
            LoadSample { at: Instant::now(), running: self.running(), waiting: self.waiting() };
        self.load.push_back(sample);
        if self.load.len() > MAX_LOAD_SAMPLES {
            self.load.pop_front();
        }
    }
}
