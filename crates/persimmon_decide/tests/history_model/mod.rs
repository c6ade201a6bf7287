//! A model of a store with a limited history, of endpoints whose versions replace one another, and of streams that
//! callers take up again after all that the gateways knew is lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    Endpoint, HistoryChange, HistoryPart, HistorySearch, HistoryValue, VersionHistory,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub(crate) const SERVICE: &str = "chat";
pub(crate) const HEARTBEAT_MS: u64 = 1_200;
/// Time within which the first attempt of a stream and all that follow it end, in milliseconds.
pub(crate) const TIMEOUT_MS: u64 = 15_000;
/// Time for which the store keeps its history, in milliseconds.
const HISTORY_MS: u64 = 20_000;
const STEP_MS: u64 = 100;
/// Time for which a gateway may use an endpoint after its removal, in milliseconds.
const MAX_LAG_MS: u64 = VersionHistory::REMOVAL_DELAY_MS;

/// What the model plays.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    /// Whether the store records writes that change only an endpoint's sequence number.
    pub(crate) shows_heartbeats: bool,
    /// Probability of a change of an endpoint in each step.
    pub(crate) change: f64,
    /// Probability that the store drops its history in a step.
    pub(crate) drop: f64,
    /// Probability that the store goes down in a step.
    pub(crate) down: f64,
    /// Probability that the store comes back from an older copy in a step.
    pub(crate) restore: f64,
}

#[derive(Debug, Clone)]
struct Worker {
    record: Endpoint,
    sequence: u64,
    next_write: u64,
}

#[derive(Debug, Clone)]
struct Event {
    at: u64,
    change: HistoryChange,
}

/// The store and the endpoints.
#[derive(Debug)]
pub(crate) struct World {
    rng: Pcg64Mcg,
    load: Load,
    pub(crate) now: u64,
    workers: BTreeMap<Arc<str>, Worker>,
    /// Records that the store holds.
    items: BTreeMap<Arc<str>, Endpoint>,
    /// All changes; the revision of each is its index plus one.
    events: Vec<Event>,
    /// Number of changes that the store no longer has.
    compacted: usize,
    down_until: u64,
    release: u64,
    starts: u64,
    /// Versions whose endpoints could be sent requests, with the last time.
    usable: BTreeMap<Arc<str>, u64>,
}

impl World {
    pub(crate) fn new(seed: u64, load: Load) -> Self {
        let mut world = Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            load,
            now: 1_000,
            workers: BTreeMap::new(),
            items: BTreeMap::new(),
            events: Vec::new(),
            compacted: 0,
            down_until: 0,
            release: 1,
            starts: 0,
            usable: BTreeMap::new(),
        };
        let count = world.rng.random_range(2..8);
        (0..count).for_each(|_| world.start_worker());
        world
    }

    pub(crate) fn rng(&mut self) -> &mut impl Rng {
        &mut self.rng
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn start_worker(&mut self) {
        self.starts += 1;
        let id = format!("e-{}", self.starts);
        let address = SocketAddr::from(([10, 0, 0, 1], 1));
        let record = Endpoint::new(&id, Some(self.now), SERVICE.into(), address)
            .with_version(&format!("v{}", self.release));
        let next_write = self.now;
        self.workers.insert(id.as_str().into(), Worker { record, sequence: 0, next_write });
    }

    fn is_down(&self) -> bool {
        self.now < self.down_until
    }

    fn push(&mut self, key: &Arc<str>, value: HistoryValue) {
        let is_creation = !self.items.contains_key(key);
        match &value {
            HistoryValue::Endpoint(endpoint) => {
                self.items.insert(key.clone(), endpoint.clone());
            }
            HistoryValue::Nothing => {
                self.items.remove(key);
            }
            HistoryValue::Routes => {}
        }
        let change = HistoryChange { key: key.clone(), value, is_creation };
        self.events.push(Event { at: self.now, change });
    }

    fn write(&mut self, id: &Arc<str>, is_changed: bool) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.sequence += 1;
        let record = worker.record.clone().with_sequence(Some(worker.sequence));
        if is_changed || self.load.shows_heartbeats || !self.items.contains_key(id) {
            self.push(id, HistoryValue::Endpoint(record));
        }
    }

    fn any_worker(&mut self) -> Option<Arc<str>> {
        let count = self.workers.len();
        let number = if count == 0 { 0 } else { self.rng.random_range(0..count) };
        self.workers.keys().nth(number).cloned()
    }

    /// Plays one change of an endpoint, or of the version that new ones run.
    fn change(&mut self) {
        let Some(id) = self.any_worker() else { return self.start_worker() };
        match self.rng.random_range(0..6) {
            0 => self.start_worker(),
            1 => self.release += 1,
            // The endpoint leaves. It may serve on.
            2 if self.workers.len() > 1 => {
                self.workers.remove(&id);
                self.push(&id, HistoryValue::Nothing);
            }
            // Started again at another version under its ID.
            3 => {
                let version = format!("v{}", self.release);
                let (address, now) = (SocketAddr::from(([10, 0, 0, 1], 1)), self.now);
                let record = Endpoint::new(&id, Some(now), SERVICE.into(), address);
                let record = record.with_version(&version);
                self.workers.insert(id.clone(), Worker { record, sequence: 0, next_write: now });
            }
            // A flapping endpoint writes its record often.
            _ => {
                if let Some(worker) = self.workers.get_mut(&id) {
                    let slots = worker.record.slots % 4 + 1;
                    worker.record = worker.record.clone().with_slots(slots);
                }
                self.write(&id, true);
            }
        }
    }

    /// Brings the store back from a copy of some seconds ago: all later changes are lost, and endpoints write their
    /// records again.
    fn restore(&mut self) {
        let kept = self.events.partition_point(|it| it.at + 4_000 < self.now);
        self.events.truncate(kept);
        self.items.clear();
        for event in &self.events {
            match &event.change.value {
                HistoryValue::Endpoint(it) => {
                    self.items.insert(event.change.key.clone(), it.clone());
                }
                _ => {
                    self.items.remove(&event.change.key);
                }
            }
        }
        self.compacted = self.compacted.min(kept);
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP_MS;
        if !self.is_down() {
            let due = self.workers.iter().filter(|(_, it)| it.next_write <= self.now);
            let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
            for id in due {
                let is_first = self.workers[&id].sequence == 0;
                self.write(&id, is_first);
                let jitter = self.rng.random_range(0..3) * STEP_MS;
                self.workers.get_mut(&id).unwrap().next_write = self.now + HEARTBEAT_MS + jitter;
            }
            if self.chance(self.load.change) {
                self.change();
            }
            if self.chance(self.load.drop) {
                self.compacted = self.events.len();
            }
            if self.chance(self.load.restore) {
                self.restore();
            }
            if self.chance(self.load.down) {
                self.down_until = self.now + self.rng.random_range(1..8) * 1_000;
            }
        }
        let old = self.events.partition_point(|it| it.at + HISTORY_MS < self.now);
        self.compacted = self.compacted.max(old);
        for endpoint in self.items.values() {
            self.usable.insert(endpoint.version.clone(), self.now);
        }
    }

    /// Returns the versions that may have begun a stream whose caller still waits.
    pub(crate) fn possible_versions(&self) -> Vec<Arc<str>> {
        let since = self.now.saturating_sub(TIMEOUT_MS + MAX_LAG_MS);
        let usable = self.usable.iter().filter(|(_, last)| **last > since);
        usable.map(|(version, _)| version.clone()).collect()
    }

    /// Reads the changes after a revision; none if the store doesn't have them.
    fn read(&self, after: usize) -> Option<HistoryPart> {
        let has_all = after >= self.compacted && after <= self.events.len() && !self.is_down();
        has_all.then(|| HistoryPart {
            changes: self.events[after..].iter().map(|it| it.change.clone()).collect(),
            position: self.events.len() as u64,
            is_whole: after == 0,
        })
    }

    /// Reads the history as a gateway does. Returns whether the store could be read.
    pub(crate) fn read_into(&self, history: &mut VersionHistory) -> bool {
        if self.is_down() {
            return false;
        }
        let now = MonoMs(self.now);
        if let Some(position) = history.position() {
            match self.read(position as usize) {
                Some(part) => {
                    history.record_changes(&part, now);
                    return true;
                }
                None => history.clear(),
            }
        }
        let needed_ms = VersionHistory::needed_ms(TIMEOUT_MS);
        let latest = self.events.len();
        let mut search =
            HistorySearch::new(latest as u64, self.items.len(), needed_ms, HEARTBEAT_MS);
        while let Some(after) = search.next_revision() {
            match self.read(after as usize) {
                Some(part) => {
                    history.record_part(&part, self.items.values(), HEARTBEAT_MS, now);
                    if history.covered_ms(now) >= needed_ms {
                        return true;
                    }
                    search.record_short();
                }
                None => search.record_gone(),
            }
        }
        if history.position().is_none() {
            let part = self.read(latest).expect("the store has the present state");
            history.record_part(&part, self.items.values(), HEARTBEAT_MS, now);
        }
        true
    }
}
