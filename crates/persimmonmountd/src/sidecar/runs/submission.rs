//! Admits or refuses requests from routers.

use std::collections::VecDeque;

use persimmon_decide::load::{Decision, Offer, RefuseReason, Work};
use persimmon_decide::outcome::{Begin, PresentedCall, Refusal, Repeatability};
use persimmon_decide::recovery::{Probation, RunMode};
use persimmon_decide::{Fingerprint, MonoMs, Offset};
use persimmon_records::Serves;
use persimmon_wire::{Admission, ModelRequest, Refused};

use super::super::command::FrameTx;
use super::super::core::Core;
use super::super::subscriber::Subscriber;
use super::run::{PendingRun, Run, Stage};
use super::{Runs, frame_id, key_of, refuse};
use crate::common::TraceContext;

impl Runs {
    /// Admits or refuses a request, or subscribes the router to the answer of an earlier copy.
    pub(crate) fn submit(
        &mut self,
        core: &mut Core,
        req: Box<ModelRequest>,
        frames: FrameTx,
    ) -> Admission {
        let now = core.now();
        let refused = self.try_submit(core, req, frames).err();
        if let Some(refused) = &refused {
            core.count_refusal(refused);
        }
        Admission { load: self.load(), stamp: core.ledger.stamp(now), refused }
    }

    fn try_submit(
        &mut self,
        core: &mut Core,
        req: Box<ModelRequest>,
        frames: FrameTx,
    ) -> Result<(), Refused> {
        let now = core.now();
        let key = key_of(&req.id);
        let presented = PresentedCall {
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
            Begin::Refuse(refusal) => return Err(refuse(refusal)),
        }
        let opened = self.outputs.open(key, now).map_err(|_| refuse(Refusal::QueueFull));
        let admitted = opened.and_then(|()| {
            let mode = self.check_crashes(core, req.fingerprint, now)?;
            Ok((mode, self.admit(core, &req, now)?))
        });
        match admitted {
            Ok((mode, decision)) => {
                let id = frame_id(&req.id, req.attempt);
                self.subscribers.insert(key, Subscriber::new(id, frames, Offset(0)));
                let is_alone = matches!(mode, RunMode::Alone { .. });
                let run = self.new_run(req, is_alone, decision);
                self.begin(core, run);
                Ok(())
            }
            Err(refused) => {
                // The request wasn't sent to the engine, so it definitely hasn't run.
                let _not_running = core.ledger.withdraw(key, now);
                self.outputs.remove(key);
                Err(refused)
            }
        }
    }

    /// Checks whether a request is quarantined or suspected of crashing endpoints, and returns
    /// whether it must run alone.
    fn check_crashes(
        &self,
        core: &Core,
        fingerprint: Fingerprint,
        now: MonoMs,
    ) -> Result<RunMode, Refused> {
        let mode = core.fleet.quarantine().check(fingerprint, now).map_err(Refused::from)?;
        if mode == RunMode::Shared && self.probation.check_regular().is_err() {
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
        let (Some(endpoint), Some(workspace)) = (endpoint, workspace) else {
            return Err(refuse(Refusal::NotServed));
        };
        if !workspace.may_use(endpoint) {
            return Err(refuse(Refusal::NotServed));
        }
        if now < self.engine_down_until {
            let retry_after_ms = self.engine_down_until.ms_since(now);
            return Err(Refused { refusal: Refusal::EndpointDown, retry_after_ms });
        }
        let offer = Offer {
            workspace: req.id.workspace.clone(),
            class: req.class,
            work: Work::of_request(req.uncached_tokens.into(), req.max_tokens.into()),
            deadline: Some(now.plus_ms(req.deadline_ms)),
            refused_mean_per_slot: req.refused_mean_per_slot,
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

    fn begin(&mut self, core: &mut Core, pending: PendingRun) {
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
            buffered: VecDeque::new(),
            ended: None,
            tokens: 0,
            engine_incarnation: None,
            has_crashed: false,
            is_alone,
        };
        self.runs.insert(key, run);
        self.by_admitted.insert(admitted, key);
        if starts {
            self.start(core, key);
        }
    }
}

fn refusal_of(reason: RefuseReason) -> Refusal {
    match reason {
        RefuseReason::OverBound => Refusal::OverBound,
        RefuseReason::QueueFull => Refusal::QueueFull,
        RefuseReason::WorkspaceLimit => Refusal::LimitReached,
        RefuseReason::Deadline => Refusal::DeadlineUnmeetable,
    }
}
