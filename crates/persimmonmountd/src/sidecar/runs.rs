//! Requests to the model engine: admission, the run, and the answer kept until it is taken.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use flume::Sender;
use persimmon_decide::load::{
    Admission as Admit, AdmissionConfig, AdmittedKey, Decision, Due, EndpointHash, LoadReport,
    Offer, RefuseReason, Work,
};
use persimmon_decide::outcome::{
    Begin, FrameId, LedgerKey, Outcome, OutputStore, Presented, PushError, Refusal, Repeatability,
    Settled, StoreLimits, StreamEnd,
};
use persimmon_decide::{Attempt, MonoMs, Offset};
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
use crate::common::TraceContext;

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
    /// The sidecar's span of the caller's trace, closed with the run.
    span: Span,
    trace: TraceContext,
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
        req: Box<ModelRequest>,
        frames: FrameTx,
    ) -> Admission {
        let now = core.now();
        let refused = self.try_submit(core, req, frames, now).err();
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
    pub(crate) fn cancel(&mut self, core: &mut Core, request: &RequestRef) {
        self.cancel_key(core, key_of(request));
    }

    /// Notes that a router has every frame before `next`.
    pub(crate) fn acknowledge(&mut self, core: &mut Core, key: LedgerKey, next: Offset) {
        if let Some(output) = self.outputs.get_mut(key) {
            output.acknowledge(next, core.now());
        }
        self.flush(core, key);
        self.feed(key);
    }

    /// Takes in news from an engine thread.
    pub(crate) fn on_engine(&mut self, core: &mut Core, event: EngineEvent) {
        let EngineEvent { key, run, news } = event;
        let is_current = self.runs.get(&key).is_some_and(|current| current.number == run);
        if !is_current {
            return;
        }
        match news {
            EngineNews::Line(line) => self.on_line(core, key, line),
            EngineNews::Whole => self.on_end(core, key, StreamEnd::Whole),
            EngineNews::Cancelled => self.on_end(core, key, StreamEnd::Cancelled),
            EngineNews::Failed(failure) => self.on_failure(core, key, &failure),
        }
    }

    /// Starts what has become due and ends what has stalled.
    pub(crate) fn tick(&mut self, core: &mut Core) {
        let now = core.now();
        let swept = self.outputs.sweep(now);
        for key in swept.stalled {
            tracing::info!("sidecar: a request was cancelled, since its answer isn't taken.");
            self.cancel_key(core, key);
        }
        let due = self.admission.tick(now);
        self.follow_up(core, &due);
    }

    fn try_submit(
        &mut self,
        core: &mut Core,
        req: Box<ModelRequest>,
        frames: FrameTx,
        now: MonoMs,
    ) -> Result<(), Refused> {
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
        let admitted = self.admit(core, &req, now).and_then(|decision| {
            let opened = self.outputs.open(key, now);
            opened.map(|()| decision).map_err(|_| at_once(Refusal::QueueFull))
        });
        match admitted {
            Ok(decision) => {
                let id = frame_id(&req.id, req.attempt);
                self.subscribers.insert(key, Subscriber::new(id, frames, Offset(0)));
                self.begin(core, key, req, decision);
                Ok(())
            }
            Err(refused) => {
                // Nothing was sent to the engine, so the refusal is definite.
                let _not_running = core.ledger.withdraw(key, now);
                Err(refused)
            }
        }
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

    fn begin(&mut self, core: &mut Core, key: LedgerKey, req: Box<ModelRequest>, made: Decision) {
        let (admitted, starts) = match made {
            Decision::Start(admitted) => (admitted, true),
            Decision::Wait { key: admitted, .. } => (admitted, false),
            Decision::Refuse(_) => return,
        };
        self.next_number += 1;
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
            number: self.next_number,
            admitted,
            stage: Stage::Waiting,
            held: VecDeque::new(),
            ended: None,
            tokens: 0,
        };
        self.runs.insert(key, run);
        self.by_admitted.insert(admitted, key);
        if starts {
            self.start(core, key);
        }
    }

    /// Starts the requests whose turn has come, and ends those that waited too long.
    fn follow_up(&mut self, core: &mut Core, due: &Due) {
        for admitted in &due.given_up {
            self.give_up(core, *admitted);
        }
        for admitted in &due.started {
            if let Some(key) = self.by_admitted.get(*admitted).copied() {
                self.start(core, key);
            }
        }
    }

    /// Sends a request to the engine.
    fn start(&mut self, core: &mut Core, key: LedgerKey) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        let Some(engine_run) = engine_run(key, run) else {
            self.on_end(core, key, StreamEnd::Cut);
            return;
        };
        let engine = &self.engine;
        let started = run.span.in_scope(|| engine.run(engine_run));
        if let Err(err) = started {
            tracing::error!("sidecar: a request's thread can't be started: {err}.");
            self.on_end(core, key, StreamEnd::Cut);
        }
    }

    /// Ends a request that waited beyond its deadline.
    fn give_up(&mut self, core: &mut Core, admitted: AdmittedKey) {
        let Some(key) = self.by_admitted.remove(admitted) else { return };
        self.runs.remove(&key);
        let now = core.now();
        let _not_running = core.ledger.withdraw(key, now);
        self.finish_output(key, StreamEnd::Cancelled, now);
    }

    fn on_line(&mut self, core: &mut Core, key: LedgerKey, line: Arc<[u8]>) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        if matches!(run.stage, Stage::Cancelling) {
            return;
        }
        run.held.push_back(line);
        run.tokens += 1;
        let left = u64::from(run.req.max_tokens).saturating_sub(run.tokens);
        self.admission.progress(run.admitted, Work(left));
        self.flush(core, key);
        self.feed(key);
    }

    /// Moves held lines to the output, as far as it has room, and lets the engine thread go on.
    fn flush(&mut self, core: &mut Core, key: LedgerKey) {
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
            self.complete(core, key, end);
        }
    }

    fn on_end(&mut self, core: &mut Core, key: LedgerKey, end: StreamEnd) {
        if let Some(run) = self.runs.get_mut(&key) {
            let is_cancelled = matches!(run.stage, Stage::Cancelling);
            run.ended = Some(if is_cancelled { StreamEnd::Cancelled } else { end });
        }
        self.flush(core, key);
        self.feed(key);
    }

    fn on_failure(&mut self, core: &mut Core, key: LedgerKey, failure: &EngineFailure) {
        tracing::warn!("sidecar: {failure}.");
        if *failure == EngineFailure::NotSent {
            self.engine_down_until = core.now().plus_ms(ENGINE_DOWN_MS);
        }
        self.on_end(core, key, StreamEnd::Cut);
    }

    /// Ends a run whose every line is in the output.
    fn complete(&mut self, core: &mut Core, key: LedgerKey, end: StreamEnd) {
        let Some(run) = self.runs.remove(&key) else { return };
        let now = core.now();
        let outcome = match end {
            StreamEnd::Whole => {
                let _not_running = core.ledger.finish(key, None, now);
                Outcome::Done
            }
            StreamEnd::Cancelled | StreamEnd::Cut => {
                let _not_running = core.ledger.fail(key, now);
                Outcome::Unknown
            }
        };
        core.count_outcome(outcome);
        self.finish_output(key, end, now);
        self.by_admitted.remove(run.admitted);
        let due = self.admission.finish(run.admitted, now);
        self.follow_up(core, &due);
    }

    fn cancel_key(&mut self, core: &mut Core, key: LedgerKey) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        if !matches!(run.stage, Stage::Waiting) {
            self.engine.cancel(run.req.id.id.to_string());
            // Dropping the permits ends the engine thread as soon as it reads another line.
            run.stage = Stage::Cancelling;
            run.held.clear();
            return;
        }
        let admitted = run.admitted;
        self.runs.remove(&key);
        self.by_admitted.remove(admitted);
        let now = core.now();
        let _not_running = core.ledger.withdraw(key, now);
        self.finish_output(key, StreamEnd::Cancelled, now);
        let due = self.admission.finish(admitted, now);
        self.follow_up(core, &due);
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
