//! Requests to the model engine: admission, the run, and the answer kept until it is taken.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use flume::Sender;
use persimmon_decide::load::{
    Admission as Admit, AdmissionConfig, AdmittedKey, Decision, Due, EndpointHash, LoadReport,
    Offer, RefuseReason, Work,
};
use persimmon_decide::membership::{NodeId, VmName};
use persimmon_decide::outcome::{
    Begin, FrameId, LedgerKey, Outcome, OutputStore, Presented, PushError, Refusal, Repeatability,
    Settled, StoreLimits, StreamEnd,
};
use persimmon_decide::recovery::{Probation, ProbationRefusal, ProbationStep, RunMode};
use persimmon_decide::{Attempt, Fingerprint, MonoMs, Offset};
use persimmon_records::Serves;
use persimmon_wire::{Admission, ModelRequest, Refused, RequestRef, StreamPosition};
use slotmap::SecondaryMap;
use tracing::Span;

use super::command::FrameTx;
use super::core::Core;
use super::engine::{
    Engine, EngineEvent, EngineFailure, EngineNews, EngineRun, GenerateBody, LINES_IN_FLIGHT,
    priority_of,
};
use super::subscriber::{Fed, Subscriber};
use crate::common::{Keeper, TraceContext};

/// How long requests are refused after the engine took no connection, in milliseconds.
const ENGINE_DOWN_MS: u64 = 500;

/// Where a run stands.
#[derive(Debug)]
enum Stage {
    /// It waits for a slot.
    Waiting,
    /// The engine runs it.
    Running {
        /// Permits for lines that the engine thread may report.
        permits: Sender<()>,
    },
    /// It has a slot and waits until it can run alone.
    AwaitingProbation,
    /// It was cancelled; the slot is free once the engine thread has ended.
    Cancelling,
}

/// One request that waits or runs.
#[derive(Debug)]
struct Run {
    req: Box<ModelRequest>,
    /// Tells this run's news from those of an earlier run of the same request.
    number: u64,
    admitted: AdmittedKey,
    stage: Stage,
    /// Lines that the output has no room for.
    held: VecDeque<Arc<[u8]>>,
    /// How the run ended, while lines are still held.
    ended: Option<StreamEnd>,
    tokens: u64,
    /// Whether the engine crashed while it ran.
    has_crashed: bool,
    /// Whether it has to run alone.
    is_alone: bool,
    /// The sidecar's span of the caller's trace, closed with the run.
    span: Span,
    trace: TraceContext,
}

/// A request that was taken and has no place in admission yet.
struct PendingRun {
    req: Box<ModelRequest>,
    number: u64,
    is_alone: bool,
    decision: Decision,
}

/// Every request to the engine beside this sidecar.
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
    /// The life of the engine, as far as it is known.
    engine_life: Option<u64>,
    probation: Probation,
    watches_health: bool,
}

impl Runs {
    /// No request yet.
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
            engine_life: None,
            probation: Probation::default(),
            watches_health: false,
        }
    }

    /// What the endpoint carries.
    pub(crate) fn load(&self) -> LoadReport {
        self.admission.load()
    }

    /// Requests that wait or run.
    pub(crate) fn in_progress(&self) -> usize {
        self.runs.len()
    }

    /// Answers that a router is still taking.
    pub(crate) fn being_taken(&self) -> usize {
        self.subscribers.len()
    }

    /// The estimate of the mean load per slot.
    pub(crate) fn mean_per_slot(&self, now: MonoMs) -> f64 {
        self.admission.mean().per_slot(now)
    }

    /// Takes in what another endpoint of the model carries.
    pub(crate) fn observe(&mut self, endpoint: EndpointHash, report: LoadReport, at: MonoMs) {
        self.admission.mean_mut().observe(endpoint, report, at);
    }

    /// Follows the records in force.
    pub(crate) fn follow_records(&mut self, core: &Core) {
        let Some(endpoint) = core.endpoint() else { return };
        if matches!(endpoint.serves, Serves::Model(_)) && !self.watches_health {
            self.watches_health = true;
            if let Err(err) = self.engine.watch_health() {
                tracing::error!("sidecar: the engine's health isn't watched: {err}.");
            }
        }
        let same = |other: &&persimmon_records::Endpoint| other.serves == endpoint.serves;
        let peers = core.records().set().endpoints.iter().filter(same).count();
        let cfg = AdmissionConfig::default()
            .with_policy(core.policy())
            .with_slots(endpoint.slots)
            .with_peers(u32::try_from(peers).unwrap_or(u32::MAX));
        self.admission.set_config(cfg);
    }

    /// Decides on a request that a router sent.
    pub(crate) fn submit(
        &mut self,
        core: &mut Core,
        keeper: &mut Keeper,
        req: Box<ModelRequest>,
        frames: FrameTx,
    ) -> Admission {
        let now = core.now();
        let refused = self.try_submit(core, keeper, req, frames).err();
        if let Some(refused) = &refused {
            core.count_refusal(refused);
        }
        Admission { load: self.load(), stamp: core.ledger.stamp(now), refused }
    }

    /// Goes on with an answer for a router.
    pub(crate) fn resume(
        &mut self,
        core: &mut Core,
        position: &StreamPosition,
        frames: FrameTx,
    ) -> Result<(), Refused> {
        let key = key_of(&position.id);
        let own = core.ledger.stamp(core.now()).incarnation == position.id.stamp.incarnation;
        if !own {
            return Err(at_once(Refusal::WrongIncarnation));
        }
        let id = frame_id(&position.id, position.attempt);
        self.subscribe(key, id, frames, position.offset)
    }

    /// Says what became of a request, and makes sure that one that hasn't begun never will.
    pub(crate) fn settle(&mut self, core: &mut Core, request: &RequestRef) -> Settled {
        let now = core.now();
        core.ledger.settle(key_of(request), request.stamp, Repeatability::Repeatable, now)
    }

    /// Cancels a request that waits or runs.
    pub(crate) fn cancel(&mut self, core: &mut Core, keeper: &mut Keeper, request: &RequestRef) {
        self.cancel_key(core, keeper, key_of(request));
    }

    /// Notes that a router has every frame before `next`.
    pub(crate) fn acknowledge(
        &mut self,
        core: &mut Core,
        keeper: &mut Keeper,
        key: LedgerKey,
        next: Offset,
    ) {
        if let Some(output) = self.outputs.get_mut(key) {
            output.acknowledge(next, core.now());
        }
        self.flush(core, keeper, key);
        self.feed(key);
    }

    /// Takes in which life of the engine runs.
    pub(crate) fn on_engine_life(&mut self, life: Option<u64>) {
        self.engine_life = life;
    }

    /// Takes in news from an engine thread.
    pub(crate) fn on_engine(&mut self, core: &mut Core, keeper: &mut Keeper, event: EngineEvent) {
        let EngineEvent { key, run, news } = event;
        let is_current = self.runs.get(&key).is_some_and(|current| current.number == run);
        if !is_current {
            return;
        }
        match news {
            EngineNews::Line(line) => self.on_line(core, keeper, key, line),
            EngineNews::Whole => self.on_end(core, keeper, key, StreamEnd::Whole),
            EngineNews::Cancelled => self.on_end(core, keeper, key, StreamEnd::Cancelled),
            EngineNews::Failed(failure) => self.on_failure(core, keeper, key, &failure),
        }
    }

    /// Starts what has become due and ends what has stalled.
    pub(crate) fn tick(&mut self, core: &mut Core, keeper: &mut Keeper) {
        let now = core.now();
        let swept = self.outputs.sweep(now);
        for key in swept.stalled {
            tracing::info!("sidecar: a request was cancelled, since its answer isn't taken.");
            self.cancel_key(core, keeper, key);
        }
        let due = self.admission.tick(now);
        self.follow_up(core, keeper, &due);
        let waits = |run: &Run| matches!(run.stage, Stage::AwaitingProbation);
        let alone: Vec<_> =
            self.runs.iter().filter(|(_, run)| waits(run)).map(|(key, _)| *key).collect();
        for key in alone {
            self.start(core, keeper, key);
        }
    }

    fn try_submit(
        &mut self,
        core: &mut Core,
        keeper: &mut Keeper,
        req: Box<ModelRequest>,
        frames: FrameTx,
    ) -> Result<(), Refused> {
        let now = core.now();
        let key = key_of(&req.id);
        let presented = Presented {
            key,
            stamp: req.id.stamp,
            fingerprint: req.fingerprint,
            repeatability: Repeatability::Repeatable,
        };
        match core.ledger.begin(&presented, now) {
            Begin::Run => {}
            Begin::Attach | Begin::Repeat(_) | Begin::RepeatStream => {
                let id = frame_id(&req.id, req.attempt);
                return self.subscribe(key, id, frames, Offset(0));
            }
            Begin::Refuse(refusal) => return Err(at_once(refusal)),
        }
        let opened = self.outputs.open(key, now).map_err(|_| at_once(Refusal::QueueFull));
        let admitted = opened.and_then(|()| {
            let mode = self.check_crashes(keeper, req.fingerprint, now)?;
            Ok((mode, self.admit(core, &req, now)?))
        });
        match admitted {
            Ok((mode, decision)) => {
                let id = frame_id(&req.id, req.attempt);
                self.subscribers.insert(key, Subscriber::new(id, frames, Offset(0)));
                let is_alone = matches!(mode, RunMode::Alone { .. });
                let run = self.new_run(req, is_alone, decision);
                self.begin(core, keeper, run);
                Ok(())
            }
            Err(refused) => {
                // Nothing was sent to the engine, so the refusal is definite.
                let _not_running = core.ledger.withdraw(key, now);
                self.outputs.forget(key);
                Err(refused)
            }
        }
    }

    /// Whether a request may run in view of endpoints that crashed, and whether only alone.
    fn check_crashes(
        &self,
        keeper: &Keeper,
        fingerprint: Fingerprint,
        now: MonoMs,
    ) -> Result<RunMode, Refused> {
        let mode = keeper.quarantine().check(fingerprint, now).map_err(Refused::from)?;
        if mode == RunMode::Shared && self.probation.check_other().is_err() {
            let retry_after_ms = Probation::MAX_WAIT_MS;
            return Err(Refused { refusal: Refusal::QueueFull, retry_after_ms });
        }
        Ok(mode)
    }

    fn new_run(
        &mut self,
        req: Box<ModelRequest>,
        is_alone: bool,
        decision: Decision,
    ) -> PendingRun {
        self.next_number += 1;
        PendingRun { req, number: self.next_number, is_alone, decision }
    }

    fn admit(&mut self, core: &Core, req: &ModelRequest, now: MonoMs) -> Result<Decision, Refused> {
        core.check_serving()?;
        let serves = Serves::Model(req.model.clone());
        let endpoint = core.endpoint().filter(|endpoint| endpoint.serves == serves);
        let workspace = core.workspace(&req.id.workspace);
        let permitted = workspace.filter(|workspace| workspace.models.contains(&req.model));
        let (Some(_), Some(workspace)) = (endpoint, permitted) else {
            return Err(at_once(Refusal::NotServed));
        };
        if now < self.engine_down_until {
            let retry_after_ms = self.engine_down_until.ms_since(now);
            return Err(Refused { refusal: Refusal::EndpointDown, retry_after_ms });
        }
        let offer = Offer {
            workspace: req.id.workspace.clone(),
            class: req.class,
            work: Work::of_request(req.uncached_tokens.into(), req.max_tokens.into()),
            deadline: Some(now.plus_ms(req.deadline_ms)),
            told_per_slot: req.told_per_slot,
            in_progress_limit: workspace.limits.get(req.class).in_progress,
        };
        match self.admission.offer(&offer, now) {
            Decision::Refuse(refusal) => Err(Refused {
                refusal: refusal_of(refusal.reason),
                retry_after_ms: refusal.retry_after_ms,
            }),
            decision => Ok(decision),
        }
    }

    fn begin(&mut self, core: &mut Core, keeper: &mut Keeper, pending: PendingRun) {
        let key = key_of(&pending.req.id);
        let (admitted, starts) = match pending.decision {
            Decision::Start(admitted) => (admitted, true),
            Decision::Wait { key: admitted, .. } => (admitted, false),
            Decision::Refuse(_) => return,
        };
        let PendingRun { req, number, is_alone, .. } = pending;
        let trace = TraceContext::from_header(Some(&req.traceparent));
        let span = tracing::info_span!(
            "run",
            hop = "sidecar",
            trace_id = %trace.trace_id(),
            request_id = %req.id.id,
        );
        let run = Run {
            span,
            trace,
            req,
            number,
            admitted,
            stage: Stage::Waiting,
            held: VecDeque::new(),
            ended: None,
            tokens: 0,
            has_crashed: false,
            is_alone,
        };
        self.runs.insert(key, run);
        self.by_admitted.insert(admitted, key);
        if starts {
            self.start(core, keeper, key);
        }
    }

    /// Starts the requests whose turn has come, and ends those that waited too long.
    fn follow_up(&mut self, core: &mut Core, keeper: &mut Keeper, due: &Due) {
        for admitted in &due.given_up {
            self.give_up(core, *admitted);
        }
        for admitted in &due.started {
            if let Some(key) = self.by_admitted.get(*admitted).copied() {
                self.start(core, keeper, key);
            }
        }
    }

    /// Sends a request to the engine, or waits until it can run alone if it has to.
    fn start(&mut self, core: &mut Core, keeper: &mut Keeper, key: LedgerKey) {
        match self.ask_probation(key, core.now()) {
            Ok(ProbationStep::Run) => {}
            Ok(ProbationStep::Wait) => {
                if let Some(run) = self.runs.get_mut(&key) {
                    run.stage = Stage::AwaitingProbation;
                }
                return;
            }
            Err(err) => {
                tracing::info!("sidecar: a suspect isn't run: {err}.");
                self.cancel_key(core, keeper, key);
                return;
            }
        }
        let Some(run) = self.runs.get_mut(&key) else { return };
        let Some(engine_run) = engine_run(key, run) else {
            self.on_end(core, keeper, key, StreamEnd::Cut);
            return;
        };
        let engine = &self.engine;
        let started = run.span.in_scope(|| engine.run(engine_run));
        if let Err(err) = started {
            tracing::error!("sidecar: a request's thread can't be started: {err}.");
            self.on_end(core, keeper, key, StreamEnd::Cut);
        }
    }

    fn ask_probation(
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
        self.probation.ask(run.req.fingerprint, running, now)
    }

    /// Ends a request that waited beyond its deadline.
    fn give_up(&mut self, core: &mut Core, admitted: AdmittedKey) {
        let Some(key) = self.by_admitted.remove(admitted) else { return };
        self.runs.remove(&key);
        let now = core.now();
        let _not_running = core.ledger.withdraw(key, now);
        self.finish_output(key, StreamEnd::Cancelled, now);
    }

    fn on_line(&mut self, core: &mut Core, keeper: &mut Keeper, key: LedgerKey, line: Arc<[u8]>) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        if matches!(run.stage, Stage::Cancelling) {
            return;
        }
        run.held.push_back(line);
        run.tokens += 1;
        let left = u64::from(run.req.max_tokens).saturating_sub(run.tokens);
        self.admission.progress(run.admitted, Work(left));
        self.flush(core, keeper, key);
        self.feed(key);
    }

    /// Moves held lines to the output, as far as it has room, and lets the engine thread go on.
    fn flush(&mut self, core: &mut Core, keeper: &mut Keeper, key: LedgerKey) {
        let now = core.now();
        let Some(run) = self.runs.get_mut(&key) else { return };
        let Some(output) = self.outputs.get_mut(key) else { return };
        while let Some(line) = run.held.front() {
            match output.push(line.clone(), now) {
                Ok(_) => {}
                Err(PushError::Full) => break,
                Err(_) => {
                    run.ended = Some(StreamEnd::Cut);
                    run.held.clear();
                    break;
                }
            }
            run.held.pop_front();
            if let Stage::Running { permits } = &run.stage {
                // The thread may have ended already.
                let _ended = permits.try_send(());
            }
        }
        if run.held.is_empty()
            && let Some(end) = run.ended
        {
            self.complete(core, keeper, key, end);
        }
    }

    fn on_end(&mut self, core: &mut Core, keeper: &mut Keeper, key: LedgerKey, end: StreamEnd) {
        if let Some(run) = self.runs.get_mut(&key) {
            let is_cancelled = matches!(run.stage, Stage::Cancelling);
            run.ended = Some(if is_cancelled { StreamEnd::Cancelled } else { end });
        }
        self.flush(core, keeper, key);
        self.feed(key);
    }

    fn on_failure(
        &mut self,
        core: &mut Core,
        keeper: &mut Keeper,
        key: LedgerKey,
        failure: &EngineFailure,
    ) {
        tracing::warn!("sidecar: {failure}.");
        match failure {
            EngineFailure::NotSent => {
                self.engine_down_until = core.now().plus_ms(ENGINE_DOWN_MS);
            }
            EngineFailure::Refused(_) => {}
            EngineFailure::BrokenOff { life } => self.note_crash(core, keeper, *life),
        }
        let has_crashed = self.runs.get(&key).is_some_and(|run| run.has_crashed);
        let end = if has_crashed { StreamEnd::Crashed } else { StreamEnd::Cut };
        self.on_end(core, keeper, key, end);
    }

    /// Notes the requests in progress if the engine's life has ended since they began.
    fn note_crash(&mut self, core: &Core, keeper: &mut Keeper, life: Option<u64>) {
        if life.is_some() && life == self.engine_life {
            return;
        }
        self.engine_life = life;
        let now = core.now();
        let mut in_progress = Vec::new();
        for run in self.runs.values_mut() {
            if matches!(run.stage, Stage::Running { .. } | Stage::Cancelling) && !run.has_crashed {
                run.has_crashed = true;
                in_progress.push(run.req.fingerprint);
            }
        }
        if life.is_none() {
            self.engine_down_until = now.plus_ms(ENGINE_DOWN_MS);
        }
        tracing::warn!(
            "sidecar: the engine crashed with {} requests in progress.",
            in_progress.len()
        );
        let site = NodeId::of(&VmName::new(core.name.as_str()));
        keeper.quarantine_mut().record_crash(in_progress, site, now);
    }

    /// Ends a run whose every line is in the output.
    fn complete(&mut self, core: &mut Core, keeper: &mut Keeper, key: LedgerKey, end: StreamEnd) {
        let Some(run) = self.runs.remove(&key) else { return };
        let now = core.now();
        let outcome = match end {
            StreamEnd::Whole => {
                let _not_running = core.ledger.finish(key, None, now);
                Outcome::Done
            }
            StreamEnd::Cancelled | StreamEnd::Cut | StreamEnd::Crashed => {
                let _not_running = core.ledger.fail(key, now);
                Outcome::Unknown
            }
        };
        if run.is_alone {
            self.probation.end(run.req.fingerprint);
            if end == StreamEnd::Whole {
                keeper.quarantine_mut().record_clean_run(run.req.fingerprint, now);
            }
        }
        core.count_outcome(outcome);
        self.finish_output(key, end, now);
        self.by_admitted.remove(run.admitted);
        let due = self.admission.finish(run.admitted, now);
        self.follow_up(core, keeper, &due);
    }

    fn cancel_key(&mut self, core: &mut Core, keeper: &mut Keeper, key: LedgerKey) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        if !matches!(run.stage, Stage::Waiting | Stage::AwaitingProbation) {
            self.engine.cancel(run.req.id.id.to_string());
            // Dropping the permits ends the engine thread as soon as it reads another line.
            run.stage = Stage::Cancelling;
            run.held.clear();
            return;
        }
        let admitted = run.admitted;
        if run.is_alone {
            self.probation.end(run.req.fingerprint);
        }
        self.runs.remove(&key);
        self.by_admitted.remove(admitted);
        let now = core.now();
        let _not_running = core.ledger.withdraw(key, now);
        self.finish_output(key, StreamEnd::Cancelled, now);
        let due = self.admission.finish(admitted, now);
        self.follow_up(core, keeper, &due);
    }

    fn finish_output(&mut self, key: LedgerKey, end: StreamEnd, now: MonoMs) {
        if let Some(output) = self.outputs.get_mut(key) {
            output.finish(end, now);
        }
        self.feed(key);
    }

    fn subscribe(
        &mut self,
        key: LedgerKey,
        id: FrameId,
        frames: FrameTx,
        next: Offset,
    ) -> Result<(), Refused> {
        let kept = self.outputs.get(key).is_some_and(|output| output.read_from(next).is_ok());
        if !kept {
            return Err(at_once(Refusal::AnswerNotKept));
        }
        let subscriber = Subscriber::new(id, frames, next);
        self.subscribers.insert(key, subscriber);
        self.feed(key);
        Ok(())
    }

    /// Sends a subscriber what it lacks.
    fn feed(&mut self, key: LedgerKey) {
        let Some(subscriber) = self.subscribers.get_mut(&key) else { return };
        let fed = match self.outputs.get(key) {
            Some(output) => subscriber.feed(output),
            None => Fed::Gone,
        };
        if fed != Fed::Waiting {
            self.subscribers.remove(&key);
        }
    }
}

fn key_of(request: &RequestRef) -> LedgerKey {
    LedgerKey::of_request(&request.workspace, request.id)
}

fn frame_id(request: &RequestRef, attempt: Attempt) -> FrameId {
    FrameId { request: request.id, attempt, incarnation: request.stamp.incarnation }
}

fn at_once(refusal: Refusal) -> Refused {
    Refused { refusal, retry_after_ms: 0 }
}

fn refusal_of(reason: RefuseReason) -> Refusal {
    match reason {
        RefuseReason::OverBound => Refusal::OverBound,
        RefuseReason::QueueFull => Refusal::QueueFull,
        RefuseReason::WorkspaceLimit => Refusal::LimitReached,
        RefuseReason::Deadline => Refusal::DeadlineUnmeetable,
    }
}

/// The request as the engine thread takes it; none if its messages aren't JSON.
fn engine_run(key: LedgerKey, run: &mut Run) -> Option<EngineRun> {
    let req = &run.req;
    let (permits, rx) = flume::bounded(LINES_IN_FLIGHT);
    for _ in 0..LINES_IN_FLIGHT {
        permits.try_send(()).ok()?;
    }
    let body = GenerateBody {
        request_id: req.id.id.to_string(),
        model: req.model.as_str().to_owned(),
        messages: serde_json::from_str(&req.messages).ok()?,
        max_tokens: req.max_tokens,
        priority: priority_of(req.class),
        resume_from: 0,
    };
    let engine_run = EngineRun {
        key,
        run: run.number,
        body,
        traceparent: run.trace.child().to_string(),
        timeout_s: req.deadline_ms.div_ceil(1_000).max(1),
        permits: rx,
    };
    run.stage = Stage::Running { permits };
    Some(engine_run)
}
