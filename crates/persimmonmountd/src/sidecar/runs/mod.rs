//! Requests to the model engine: admits and runs them, and retains their answers until a router
//! acknowledges them.

mod answers;
mod progress;
mod run;
mod submission;

use std::collections::BTreeMap;

use persimmon_decide::load::{
    Admission as Admit, AdmissionConfig, AdmittedKey, EndpointHash, LoadReport,
};
use persimmon_decide::outcome::{
    FrameId, LedgerKey, OutputStore, Refusal, Repeatability, Settled, StoreLimits,
};
use persimmon_decide::recovery::Probation;
use persimmon_decide::{Attempt, MonoMs, Offset};
use persimmon_records::Serves;
use persimmon_wire::{Refused, RequestRef, StreamPosition};
use slotmap::SecondaryMap;

use self::run::{Run, Stage};
use super::command::FrameTx;
use super::core::Core;
use super::engine::Engine;
use super::subscriber::Subscriber;

/// The requests to the engine beside this sidecar.
#[derive(Debug)]
pub(crate) struct Runs {
    engine: Engine,
    admission: Admit,
    outputs: OutputStore,
    runs: BTreeMap<LedgerKey, Run>,
    by_admitted: SecondaryMap<AdmittedKey, LedgerKey>,
    subscribers: BTreeMap<LedgerKey, Subscriber>,
    next_number: u64,
    engine_down_until: MonoMs,
    /// The engine's incarnation, or `None` if it isn't known.
    engine_incarnation: Option<u64>,
    probation: Probation,
    watches_health: bool,
}

impl Runs {
    /// Creates an empty set of requests.
    pub(crate) fn new(engine: Engine) -> Self {
        Self {
            engine,
            admission: Admit::new(AdmissionConfig::default()),
            outputs: OutputStore::new(StoreLimits::default()),
            runs: BTreeMap::new(),
            by_admitted: SecondaryMap::new(),
            subscribers: BTreeMap::new(),
            next_number: 0,
            engine_down_until: MonoMs::default(),
            engine_incarnation: None,
            probation: Probation::default(),
            watches_health: false,
        }
    }

    /// Returns the endpoint's load.
    pub(crate) fn load(&self) -> LoadReport {
        self.admission.load()
    }

    /// Returns the number of requests that wait or run.
    pub(crate) fn in_progress(&self) -> usize {
        self.runs.len()
    }

    /// Returns the number of answers that routers are still receiving.
    pub(crate) fn subscriber_count(&self) -> usize {
        self.subscribers.len()
    }

    /// Returns the estimated mean load per slot.
    pub(crate) fn mean_per_slot(&self, now: MonoMs) -> f64 {
        self.admission.mean().per_slot(now)
    }

    /// Adds the load of another endpoint with the same model to the estimate of the mean.
    pub(crate) fn observe(&mut self, endpoint: EndpointHash, report: LoadReport, at: MonoMs) {
        self.admission.mean_mut().observe(endpoint, report, at);
    }

    /// Configures admission from the records in force, and starts checking the engine's health if
    /// the endpoint serves a model.
    pub(crate) fn apply_records(&mut self, core: &Core) {
        let Some(endpoint) = core.endpoint() else { return };
        if matches!(endpoint.serves, Serves::Model(_)) && !self.watches_health {
            self.watches_health = true;
            if let Err(err) = self.engine.watch_health() {
                tracing::error!("sidecar: can't start checking the engine's health: {err}.");
            }
        }
        let serves_same = |other: &&persimmon_records::Endpoint| other.serves == endpoint.serves;
        let peers = core.records().set().endpoints.iter().filter(serves_same).count();
        let cfg = AdmissionConfig::default()
            .with_policy(core.policy())
            .with_slots(endpoint.slots)
            .with_peers(u32::try_from(peers).unwrap_or(u32::MAX));
        self.admission.set_config(cfg);
    }

    /// Resumes an answer for a router.
    pub(crate) fn resume(
        &mut self,
        core: &mut Core,
        position: &StreamPosition,
        frames: FrameTx,
    ) -> Result<(), Refused> {
        let key = key_of(&position.id);
        let own = core.ledger.stamp(core.now()).incarnation == position.id.stamp.incarnation;
        if !own {
            return Err(refuse(Refusal::WrongIncarnation));
        }
        let id = frame_id(&position.id, position.attempt);
        self.subscribe(key, id, frames, position.offset)
    }

    /// Returns the outcome of a request, and prevents a request that hasn't started from starting.
    pub(crate) fn settle(&mut self, core: &mut Core, request: &RequestRef) -> Settled {
        let now = core.now();
        core.ledger.settle(key_of(request), request.stamp, Repeatability::Repeatable, now)
    }

    /// Cancels a request that waits or runs.
    pub(crate) fn cancel(&mut self, core: &mut Core, request: &RequestRef) {
        self.cancel_key(core, key_of(request));
    }

    /// Records that a router has received every frame before `next`.
    pub(crate) fn acknowledge(&mut self, core: &mut Core, key: LedgerKey, next: Offset) {
        if let Some(output) = self.outputs.get_mut(key) {
            output.acknowledge(next, core.now());
        }
        self.flush(core, key);
        self.feed(key);
    }

    /// Starts requests that are due, and cancels requests whose answers no router reads.
    pub(crate) fn tick(&mut self, core: &mut Core) {
        let now = core.now();
        let swept = self.outputs.sweep(now);
        for key in swept.stalled {
            tracing::info!("sidecar: request cancelled because no router reads its answer.");
            self.cancel_key(core, key);
        }
        let due = self.admission.tick(now);
        self.apply_queue_update(core, &due);
        let waits = |run: &Run| matches!(run.stage, Stage::AwaitingProbation);
        let deferred: Vec<_> =
            self.runs.iter().filter(|(_, run)| waits(run)).map(|(key, _)| *key).collect();
        for key in deferred {
            self.start(core, key);
        }
    }
}

fn key_of(request: &RequestRef) -> LedgerKey {
    LedgerKey::of_request(&request.workspace, request.id)
}

fn frame_id(request: &RequestRef, attempt: Attempt) -> FrameId {
    FrameId { request: request.id, attempt, incarnation: request.stamp.incarnation }
}

fn refuse(refusal: Refusal) -> Refused {
    Refused { refusal, retry_after_ms: 0 }
}
