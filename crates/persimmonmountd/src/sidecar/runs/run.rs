//! One request to the engine, from its admission to its end.

use std::collections::VecDeque;
use std::sync::Arc;

use flume::Sender;
use persimmon_decide::load::{AdmittedKey, Decision};
use persimmon_decide::outcome::{LedgerKey, StreamEnd};
use persimmon_wire::ModelRequest;
use tracing::Span;

use super::super::engine::{EngineRun, GenerateBody, MAX_LINES_IN_FLIGHT, engine_priority};
use crate::common::TraceContext;

/// Where a run stands.
#[derive(Debug)]
pub(super) enum Stage {
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
pub(super) struct Run {
    pub(super) req: Box<ModelRequest>,
    /// Tells this run's news from those of an earlier run of the same request.
    pub(super) number: u64,
    pub(super) admitted: AdmittedKey,
    pub(super) stage: Stage,
    /// Lines that the output has no room for.
    pub(super) held: VecDeque<Arc<[u8]>>,
    /// How the run ended, while lines are still held.
    pub(super) ended: Option<StreamEnd>,
    pub(super) tokens: u64,
    /// The engine's life as it was known when the run began; none if it wasn't known.
    pub(super) engine_incarnation: Option<u64>,
    /// Whether the engine crashed while it ran.
    pub(super) has_crashed: bool,
    /// Whether it has to run alone.
    pub(super) is_alone: bool,
    /// The sidecar's span of the caller's trace, closed with the run.
    pub(super) span: Span,
    pub(super) trace: TraceContext,
}

/// A request that was taken and has no place in admission yet.
pub(super) struct PendingRun {
    pub(super) req: Box<ModelRequest>,
    pub(super) number: u64,
    pub(super) is_alone: bool,
    pub(super) decision: Decision,
}

/// The request as the engine thread takes it; none if its messages aren't JSON.
pub(super) fn engine_run(key: LedgerKey, run: &mut Run) -> Option<EngineRun> {
    let req = &run.req;
    let (permits, rx) = flume::bounded(MAX_LINES_IN_FLIGHT);
    for _ in 0..MAX_LINES_IN_FLIGHT {
        permits.try_send(()).ok()?;
    }
    let body = GenerateBody {
        request_id: req.id.id.to_string(),
        model: req.model.as_str().to_owned(),
        messages: serde_json::from_str(&req.messages).ok()?,
        max_tokens: req.max_tokens,
        priority: engine_priority(req.class),
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
