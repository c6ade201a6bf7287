//! Starts runs, handles their updates and ends them.

use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::load::{AdmittedKey, QueueUpdate, Work};
use persimmon_decide::outcome::{LedgerKey, Outcome, PushError, StreamEnd};
use persimmon_decide::recovery::{ProbationRefusal, ProbationStep};

use super::super::core::Core;
use super::super::engine::{EngineEvent, EngineFailure, EngineUpdate};
use super::Runs;
use super::run::{Run, Stage, engine_run};

/// Time for which requests are refused after the engine refused a connection or stopped responding,
/// in milliseconds.
const ENGINE_RETRY_MS: u64 = 500;

impl Runs {
    /// Updates the engine's incarnation, which is `None` if the engine doesn't respond.
    pub(crate) fn on_engine_incarnation(&mut self, incarnation: Option<u64>) {
        self.engine_incarnation = incarnation;
    }

    /// Handles an update from an engine thread, unless it belongs to an earlier run.
    pub(crate) fn on_engine_event(&mut self, core: &mut Core, event: EngineEvent) {
        let EngineEvent { key, run, update } = event;
        let is_current = self.runs.get(&key).is_some_and(|current| current.number == run);
        if !is_current {
            return;
        }
        match update {
            EngineUpdate::Line(line) => self.on_line(core, key, line),
            EngineUpdate::Whole => self.on_end(core, key, StreamEnd::Whole),
            EngineUpdate::Cancelled => self.on_end(core, key, StreamEnd::Cancelled),
            EngineUpdate::Failed(failure) => self.on_failure(core, key, &failure),
        }
    }

    /// Starts the requests that admission started, and ends those that expired in its queue.
    pub(super) fn apply_queue_update(&mut self, core: &mut Core, due: &QueueUpdate) {
        for admitted in &due.expired {
            self.expire(core, *admitted);
        }
        for admitted in &due.started {
            if let Some(key) = self.by_admitted.get(*admitted).copied() {
                self.start(core, key);
            }
        }
    }

    /// Sends a request to the engine. A request that must run alone waits until it can.
    pub(super) fn start(&mut self, core: &mut Core, key: LedgerKey) {
        match self.reserve_probation(key, core.now()) {
            Ok(ProbationStep::Run) => {}
            Ok(ProbationStep::Wait) => {
                if let Some(run) = self.runs.get_mut(&key) {
                    run.stage = Stage::AwaitingProbation;
                }
                return;
            }
            Err(err) => {
                tracing::info!("sidecar: suspected request not run: {err}.");
                self.cancel_key(core, key);
                return;
            }
        }
        let Some(run) = self.runs.get_mut(&key) else { return };
        run.engine_incarnation = self.engine_incarnation;
        let Some(engine_run) = engine_run(key, run) else {
            self.on_end(core, key, StreamEnd::Cut);
            return;
        };
        let engine = &self.engine;
        let started = run.span.in_scope(|| engine.run(engine_run));
        if let Err(err) = started {
            tracing::error!("sidecar: can't start a thread for a request: {err}.");
            self.on_end(core, key, StreamEnd::Cut);
        }
    }

    pub(super) fn reserve_probation(
        &mut self,
        key: LedgerKey,
        now: MonoMs,
    ) -> Result<ProbationStep, ProbationRefusal> {
        let Some(run) = self.runs.get(&key).filter(|run| run.is_alone) else {
            return Ok(ProbationStep::Run);
        };
        let is_running =
            |run: &&Run| matches!(run.stage, Stage::Running { .. } | Stage::Cancelling);
        let running = self.runs.values().filter(is_running).count();
        self.probation.reserve(run.req.fingerprint, running, now)
    }

    /// Ends a request whose deadline passed in the queue.
    pub(super) fn expire(&mut self, core: &mut Core, admitted: AdmittedKey) {
        let Some(key) = self.by_admitted.remove(admitted) else { return };
        self.runs.remove(&key);
        let now = core.now();
        let _not_running = core.ledger.withdraw(key, now);
        core.count_outcome(Outcome::NotRun);
        self.finish_output(key, StreamEnd::Withdrawn, now);
    }

    pub(super) fn on_line(&mut self, core: &mut Core, key: LedgerKey, line: Arc<[u8]>) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        if matches!(run.stage, Stage::Cancelling) {
            return;
        }
        run.buffered.push_back(line);
        run.tokens += 1;
        let left = u64::from(run.req.max_tokens).saturating_sub(run.tokens);
        self.admission.progress(run.admitted, Work(left));
        self.flush(core, key);
        self.feed(key);
    }

    /// Moves buffered lines to the output while it has room, and returns a permit to the engine
    /// thread for each line. Completes the run once it has ended and all its lines are moved.
    pub(super) fn flush(&mut self, core: &mut Core, key: LedgerKey) {
        let now = core.now();
        let Some(run) = self.runs.get_mut(&key) else { return };
        let Some(output) = self.outputs.get_mut(key) else { return };
        while let Some(line) = run.buffered.front() {
            match output.push(line.clone(), now) {
                Ok(_) => {}
                Err(PushError::Full) => break,
                Err(_) => {
                    run.ended = Some(StreamEnd::Cut);
                    run.buffered.clear();
                    break;
                }
            }
            run.buffered.pop_front();
            if let Stage::Running { permits } = &run.stage {
                // The thread may have ended.
                let _ended = permits.try_send(());
            }
        }
        if run.buffered.is_empty()
            && let Some(end) = run.ended
        {
            self.complete(core, key, end);
        }
    }

    pub(super) fn on_end(&mut self, core: &mut Core, key: LedgerKey, end: StreamEnd) {
        if let Some(run) = self.runs.get_mut(&key) {
            let is_cancelled = matches!(run.stage, Stage::Cancelling);
            run.ended = Some(if is_cancelled { StreamEnd::Cancelled } else { end });
        }
        self.flush(core, key);
        self.feed(key);
    }

    pub(super) fn on_failure(&mut self, core: &mut Core, key: LedgerKey, failure: &EngineFailure) {
        tracing::warn!("sidecar: {failure}.");
        match failure {
            EngineFailure::NotSent => {
                self.engine_down_until = core.now().plus_ms(ENGINE_RETRY_MS);
            }
            EngineFailure::Refused(_) => {}
            EngineFailure::Interrupted { incarnation } => self.record_crash(core, *incarnation),
        }
        let has_crashed = self.runs.get(&key).is_some_and(|run| run.has_crashed);
        let end = if has_crashed { StreamEnd::Crashed } else { StreamEnd::Cut };
        self.on_end(core, key, end);
    }

    /// Records a crash with the fingerprints of all requests that were running when the engine's
    /// incarnation changed. A health check may have detected the new incarnation earlier, so each
    /// run is compared with the incarnation at its start.
    pub(super) fn record_crash(&mut self, core: &mut Core, incarnation: Option<u64>) {
        self.engine_incarnation = incarnation;
        let mut in_progress = Vec::new();
        for run in self.runs.values_mut() {
            let is_running = matches!(run.stage, Stage::Running { .. } | Stage::Cancelling);
            let has_restarted = incarnation.is_none() || run.engine_incarnation != incarnation;
            if is_running && has_restarted && !run.has_crashed {
                run.has_crashed = true;
                in_progress.push(run.req.fingerprint);
            }
        }
        if incarnation.is_none() {
            self.engine_down_until = core.now().plus_ms(ENGINE_RETRY_MS);
        }
        if in_progress.is_empty() {
            return;
        }
        tracing::warn!("sidecar: engine crashed with {} requests in progress.", in_progress.len());
        core.record_crash(in_progress);
    }

    /// Ends a run after all its lines were moved to the output.
    pub(super) fn complete(&mut self, core: &mut Core, key: LedgerKey, end: StreamEnd) {
        let Some(run) = self.runs.remove(&key) else { return };
        let now = core.now();
        let outcome = match end {
            StreamEnd::Whole => {
                let _not_running = core.ledger.finish(key, None, now);
                Outcome::Done
            }
            StreamEnd::Cancelled | StreamEnd::Withdrawn | StreamEnd::Cut | StreamEnd::Crashed => {
                let _not_running = core.ledger.fail(key, now);
                Outcome::Unknown
            }
        };
        if run.is_alone {
            self.probation.release(run.req.fingerprint);
            if end == StreamEnd::Whole {
                core.fleet.quarantine_mut().record_clean_run(run.req.fingerprint, now);
            }
        }
        core.count_outcome(outcome);
        self.finish_output(key, end, now);
        self.by_admitted.remove(run.admitted);
        let due = self.admission.finish(run.admitted, now);
        self.apply_queue_update(core, &due);
    }

    pub(super) fn cancel_key(&mut self, core: &mut Core, key: LedgerKey) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        if !matches!(run.stage, Stage::Waiting | Stage::AwaitingProbation) {
            self.engine.cancel(run.req.id.id.to_string());
            // Without permits, the engine thread ends when it reads the next line.
            run.stage = Stage::Cancelling;
            run.buffered.clear();
            return;
        }
        let admitted = run.admitted;
        if run.is_alone {
            self.probation.release(run.req.fingerprint);
        }
        self.runs.remove(&key);
        self.by_admitted.remove(admitted);
        let now = core.now();
        let _not_running = core.ledger.withdraw(key, now);
        core.count_outcome(Outcome::NotRun);
        self.finish_output(key, StreamEnd::Withdrawn, now);
        let due = self.admission.finish(admitted, now);
        self.apply_queue_update(core, &due);
    }
}
