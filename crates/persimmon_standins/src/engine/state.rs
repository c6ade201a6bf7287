//! What the engine holds while it runs.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::cache::PrefixCache;
use super::{Admission, EngineCounts};

/// Admissions that are kept, the newest.
const MAX_ADMISSIONS: usize = 65_536;

/// Orders that are kept, the newest.
const MAX_ORDERS: usize = 1_024;

/// Models that are loaded at once.
const MAX_MODELS: usize = 16;

/// Samples of the load that are kept, the newest.
const MAX_LOAD_SAMPLES: usize = 4_096;

/// What a cancelled, crashed or abandoned run ends with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopReason {
    /// It was cancelled by request id.
    Cancelled,
    /// The engine crashed or was closed.
    Crashed,
}

/// A request that waits or runs.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) request_id: String,
    pub(super) priority: u8,
    pub(super) running: bool,
    pub(super) cancelled: bool,
}

/// Who gives an order, and in which of its lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Fence {
    /// The generation of the records that ask for the order.
    pub generation: u64,
    /// The life of the sidecar.
    pub incarnation: u64,
}

/// The load at one time.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadSample {
    at: Instant,
    pub(super) running: usize,
    pub(super) waiting: usize,
}

/// Everything that the engine holds and counts.
#[derive(Debug)]
pub(super) struct State {
    pub(super) incarnation: u64,
    /// The life in which a health check was answered last.
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

    /// Whether the run of `run_id` is the next to run and a slot is free for it.
    pub(super) fn may_run(&self, run_id: u64, slots: usize) -> bool {
        let waiting = self.runs.iter().filter(|(_, run)| !run.running);
        let next = waiting.min_by_key(|(run_id, run)| (run.priority, **run_id));
        !self.frozen
            && self.running() < slots
            && next.is_some_and(|(next_run_id, _)| *next_run_id == run_id)
    }

    /// Why the run of `run_id`, begun in the life `incarnation`, must stop.
    pub(super) fn stop_reason(&self, run_id: u64, incarnation: u64) -> Option<StopReason> {
        if self.closed || self.incarnation != incarnation {
            return Some(StopReason::Crashed);
        }
        let cancelled = self.runs.get(&run_id).is_some_and(|run| run.cancelled);
        cancelled.then_some(StopReason::Cancelled)
    }

    /// Lets `run` wait and returns its run_id.
    pub(super) fn enqueue(&mut self, run: Run) -> u64 {
        let run_id = self.next_run_id;
        self.next_run_id += 1;
        self.runs.insert(run_id, run);
        self.sample_load();
        run_id
    }

    /// Starts the run of `run_id`.
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

    /// Ends this life: everything in progress and in the cache is lost.
    pub(super) fn crash(&mut self) {
        self.incarnation += 1;
        self.counts.crashes += 1;
        self.runs.clear();
        self.load.clear();
        self.cache.clear();
    }

    /// Loads `model`, in place of the first that was loaded if too many are.
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

    /// Whether the token `index` may not be sent yet.
    pub(super) fn is_stalled(&self, index: Option<u32>) -> bool {
        let at_limit =
            index.zip(self.stall_after_tokens).is_some_and(|(index, tokens)| index >= tokens);
        self.frozen || at_limit
    }

    /// The load as it was `lag` ago.
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
