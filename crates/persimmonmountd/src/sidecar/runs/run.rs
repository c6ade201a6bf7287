//! State of one request to the engine, from admission to its end.

use std::collections::VecDeque;
use std::sync::Arc;

use flume::Sender;
use persimmon_decide::load::{AdmittedKey, Decision};
use persimmon_decide::outcome::{LedgerKey, StreamEnd};
use persimmon_wire::ModelRequest;
use tracing::Span;

use super::super::engine::{EngineRun, GenerateBody, MAX_LINES_IN_FLIGHT, engine_priority};
use crate::common::TraceContext;

/// Stage of a run.
#[derive(Debug)]
pub(super) enum Stage {
    /// Queued until a slot is free.
    Waiting,
    /// Running in the engine.
    Running {
        /// Permits for lines that the engine thread may send.
        permits: Sender<()>,
    },
    /// Assigned a slot, but waiting until it can run alone.
    AwaitingProbation,
    /// Cancelled, but occupying its slot until the engine thread ends.
    Cancelling,
}

/// A request that waits or runs.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) req: Box<ModelRequest>,
    /// Distinguishes this run's updates from those of an earlier run of the same request.
    pub(super) number: u64,
    pub(super) admitted: AdmittedKey,
    pub(super) stage: Stage,
    /// Lines that don't fit into the output yet.
    pub(super) buffered: VecDeque<Arc<[u8]>>,
    /// How the run ended, set while lines are still buffered.
    pub(super) ended: Option<StreamEnd>,
    pub(super) tokens: u64,
    /// The engine's incarnation when the run started, or `None` if it wasn't known.
    pub(super) engine_incarnation: Option<u64>,
    /// Whether the engine crashed during the run.
    pub(super) has_crashed: bool,
    /// Whether the request must run alone because it is suspected of crashing endpoints.
    pub(super) is_alone: bool,
    /// The sidecar's span in the caller's trace, closed when the run is dropped.
    pub(super) span: Span,
    pub(super) trace: TraceContext,
}

/// A request with its admission decision, before its run is created.
pub(super) struct PendingRun {
    pub(super) req: Box<ModelRequest>,
    pub(super) number: u64,
    pub(super) is_alone: bool,
    pub(super) decision: Decision,
}

/// Sets the run to running and returns the request for the engine thread, or `None` if its messages
/// aren't valid JSON.
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
