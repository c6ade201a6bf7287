//! Issues claims, runs calls to the service beside the sidecar and repeats recorded answers.

use std::collections::BTreeMap;
use std::sync::Arc;

use flume::Sender;
use persimmon_decide::outcome::{
    Answer, Begin, Claim, ClaimSealer, LedgerKey, LedgerLimits, Outcome, PresentedCall, Refusal,
    Repeatability, check_unclaimed_call,
};
use persimmon_decide::recovery::{Probation, ProbationStep, RunMode};
use persimmon_decide::{Fingerprint, MonoMs, RequestId};
use persimmon_records::{Serves, ServiceName, WorkspaceName};
use persimmon_wire::{CallReply, ClaimReply, ClaimRequest, Refused, ServiceCall};

use super::core::Core;
use super::service::{CallBody, Service, ServiceEvent, ServiceResult, ServiceRun};
use crate::common::{TraceContext, random_u64};

/// Maximum number of requests that wait for the answer of the same call.
const MAX_ATTACHED: usize = 64;
/// Retry delay sent to routers when all slots are in use or the service is down, in milliseconds.
const BUSY_RETRY_MS: u64 = 500;

/// The calls to the service beside this sidecar.
#[derive(Debug)]
pub(crate) struct Calls {
    service: Service,
    sealer: ClaimSealer,
    in_progress: BTreeMap<LedgerKey, RunningCall>,
    /// Reserves the service for a call that is suspected of crashing services.
    probation: Probation,
}

/// A call that the service runs.
#[derive(Debug)]
struct RunningCall {
    fingerprint: Fingerprint,
    /// Whether no other call may run beside it.
    is_alone: bool,
    /// Reply channels of the routers that wait for it.
    replies: Vec<Sender<CallReply>>,
}

impl Calls {
    /// Creates an empty set of calls.
    pub(crate) fn new(service: Service, sealer: ClaimSealer) -> Self {
        Self { service, sealer, in_progress: BTreeMap::new(), probation: Probation::default() }
    }

    /// Returns the number of calls in progress.
    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.len()
    }

    /// Issues a claim that names this sidecar and its incarnation.
    pub(crate) fn claim(&mut self, core: &mut Core, req: ClaimRequest) -> ClaimReply {
        match self.try_claim(core, req) {
            Ok(claim) => {
                let expires_in_ms = LedgerLimits::default().claim_ttl_ms;
                ClaimReply::Issued { claim, expires_in_ms }
            }
            Err(refused) => {
                core.count_refusal(&refused);
                ClaimReply::Refused(refused)
            }
        }
    }

    /// Runs a call, or replies with the recorded answer if the call ran before.
    pub(crate) fn call(&mut self, core: &mut Core, call: &ServiceCall, reply: &Sender<CallReply>) {
        if let Err(refused) = self.try_call(core, call, reply) {
            core.count_refusal(&refused);
            send(reply, CallReply::Refused(refused));
        }
    }

    /// Records the result of a call and replies to the routers that wait for it.
    pub(crate) fn on_service(&mut self, core: &mut Core, event: ServiceEvent) {
        let ServiceEvent { key, result } = event;
        let now = core.now();
        let call = self.in_progress.remove(&key);
        if let Some(call) = &call {
            self.record_end(core, call, &result);
        }
        let reply = match result {
            ServiceResult::Answered(answer) => {
                let _not_running = core.ledger.finish(key, Some(answer.clone()), now);
                core.count_outcome(Outcome::Done);
                answered(&answer, false)
            }
            ServiceResult::NotSent => {
                let _not_running = core.ledger.withdraw(key, now);
                core.count_outcome(Outcome::NotRun);
                let refused =
                    Refused { refusal: Refusal::EndpointDown, retry_after_ms: BUSY_RETRY_MS };
                CallReply::Refused(refused)
            }
            ServiceResult::Unknown(reason) | ServiceResult::Crashed(reason) => {
                let _not_running = core.ledger.fail(key, now);
                core.count_outcome(Outcome::Unknown);
                CallReply::Unknown(format!("{reason}; check with the service whether it ran"))
            }
        };
        for waiting in call.map(|it| it.replies).unwrap_or_default() {
            send(&waiting, reply.clone());
        }
    }

    /// Records whether a call crashed the service, or ran alone without doing so.
    fn record_end(&mut self, core: &mut Core, call: &RunningCall, result: &ServiceResult) {
        let now = core.now();
        if let ServiceResult::Crashed(reason) = result {
            tracing::warn!("sidecar: service crashed while it ran a call: {reason}.");
            core.record_crash([call.fingerprint]);
        }
        if call.is_alone {
            self.probation.release(call.fingerprint);
            if matches!(result, ServiceResult::Answered(_)) {
                core.fleet.quarantine_mut().record_clean_run(call.fingerprint, now);
            }
        }
    }

    fn try_claim(&mut self, core: &mut Core, req: ClaimRequest) -> Result<String, Refused> {
        core.check_serving()?;
        check_permitted(core, &req.workspace, &req.service)?;
        let key = LedgerKey::of_call(&req.workspace, &req.service, &req.key);
        let stamp = core.ledger.issue(key, core.now()).map_err(refuse)?;
        let call_id = (u128::from(random_u64()) << 64) | u128::from(random_u64());
        let claim = Claim {
            workspace: req.workspace,
            service: req.service,
            key: req.key,
            owner: core.name.clone(),
            stamp,
            call_id: RequestId(call_id),
        };
        self.sealer.seal(&claim).map_err(|_| refuse(Refusal::BadClaim))
    }

    fn try_call(
        &mut self,
        core: &mut Core,
        call: &ServiceCall,
        reply: &Sender<CallReply>,
    ) -> Result<(), Refused> {
        let now = core.now();
        let (presented, service_key) = self.present(core, call)?;
        let key = presented.key;
        match core.ledger.begin(&presented, now) {
            Begin::Run => {}
            Begin::Attach => return self.attach(key, reply.clone()),
            Begin::Repeat(answer) => {
                send(reply, answered(&answer, true));
                return Ok(());
            }
            Begin::RepeatStream => return Err(refuse(Refusal::AnswerNotKept)),
            Begin::Refuse(refusal) => return Err(refuse(refusal)),
        }
        let fingerprint = presented.fingerprint;
        let admitted = self.admit(core, call).and_then(|()| {
            let run = service_run(key, service_key, call);
            let run = run.ok_or_else(|| refuse(Refusal::NotServed))?;
            let is_alone = self.check_crashes(core, &presented, now)?;
            Ok((run, RunningCall { fingerprint, is_alone, replies: vec![reply.clone()] }))
        });
        match admitted {
            Ok((run, call)) => self.start(core, run, call),
            Err(refused) => {
                // The call wasn't sent to the service, so it definitely hasn't run.
                let _not_running = core.ledger.withdraw(key, now);
                Err(refused)
            }
        }
    }

    /// Checks the claim, if there is one, and returns the call for the ledger and the key for the
    /// service.
    fn present(&self, core: &Core, call: &ServiceCall) -> Result<(PresentedCall, String), Refused> {
        let Some(text) = &call.claim else {
            let endpoint = core.endpoint().ok_or_else(|| refuse(Refusal::NotServed))?;
            check_unclaimed_call(endpoint).map_err(refuse)?;
            let presented = PresentedCall {
                key: LedgerKey::of_request(&call.id.workspace, call.id.id),
                stamp: call.id.stamp,
                fingerprint: Fingerprint::of_call(&call.operation, &call.body),
                repeatability: Repeatability::Repeatable,
            };
            return Ok((presented, call.id.id.to_string()));
        };
        let claim = self.sealer.open(text).map_err(|_| refuse(Refusal::BadClaim))?;
        claim.check_use(&call.id.workspace, &call.service).map_err(refuse)?;
        claim.check_owner(&core.name).map_err(refuse)?;
        let presented = PresentedCall {
            key: claim.ledger_key(),
            stamp: claim.stamp,
            fingerprint: Fingerprint::of_call(&call.operation, &call.body),
            repeatability: Repeatability::Once,
        };
        // The workspace's name keeps equal keys of two workspaces apart.
        Ok((presented, format!("{}/{}", claim.workspace, claim.key.as_str())))
    }

    fn admit(&self, core: &Core, call: &ServiceCall) -> Result<(), Refused> {
        core.check_serving()?;
        check_permitted(core, &call.id.workspace, &call.service)?;
        let slots = core.endpoint().map_or(0, |endpoint| endpoint.slots as usize);
        if self.in_progress.len() >= slots {
            return Err(Refused { refusal: Refusal::QueueFull, retry_after_ms: BUSY_RETRY_MS });
        }
        Ok(())
    }

    /// Checks whether calls with this content crash services. Returns whether the call must run alone.
    ///
    /// A call that may not be repeated runs under its claim once, and thus crashes one service at most;
    /// it doesn't wait for a service of its own.
    fn check_crashes(
        &mut self,
        core: &Core,
        call: &PresentedCall,
        now: MonoMs,
    ) -> Result<bool, Refused> {
        let busy = Refused { refusal: Refusal::QueueFull, retry_after_ms: BUSY_RETRY_MS };
        let mode = core.fleet.quarantine().check(call.fingerprint, now).map_err(Refused::from)?;
        let is_alone = matches!(mode, RunMode::Alone { .. })
            && call.repeatability == Repeatability::Repeatable;
        if !is_alone {
            return self.probation.check_regular().map(|()| false).map_err(|_| busy);
        }
        match self.probation.reserve(call.fingerprint, self.in_progress.len(), now) {
            Ok(ProbationStep::Run) => Ok(true),
            Ok(ProbationStep::Wait) => {
                self.probation.release(call.fingerprint);
                Err(busy)
            }
            Err(_) => Err(busy),
        }
    }

    fn start(
        &mut self,
        core: &mut Core,
        run: ServiceRun,
        call: RunningCall,
    ) -> Result<(), Refused> {
        let key = run.key;
        if let Err(err) = self.service.run(run) {
            tracing::error!("sidecar: a call's thread can't be started: {err}.");
            if call.is_alone {
                self.probation.release(call.fingerprint);
            }
            let _not_running = core.ledger.withdraw(key, core.now());
            return Err(Refused { refusal: Refusal::QueueFull, retry_after_ms: BUSY_RETRY_MS });
        }
        self.in_progress.insert(key, call);
        Ok(())
    }

    fn attach(&mut self, key: LedgerKey, reply: Sender<CallReply>) -> Result<(), Refused> {
        let running = self.in_progress.get_mut(&key);
        let replies = running.map(|it| &mut it.replies).filter(|it| it.len() < MAX_ATTACHED);
        // The call is running, so its outcome is unknown to a duplicate that can't wait for it.
        replies.ok_or_else(|| refuse(Refusal::EarlierRunUnknown))?.push(reply);
        Ok(())
    }
}

fn check_permitted(
    core: &Core,
    workspace: &WorkspaceName,
    service: &ServiceName,
) -> Result<(), Refused> {
    let serves = Serves::Service(service.clone());
    let endpoint = core.endpoint().filter(|endpoint| endpoint.serves == serves);
    let workspace = core.workspace(workspace);
    let is_permitted =
        endpoint.zip(workspace).is_some_and(|(endpoint, workspace)| workspace.may_use(endpoint));
    if is_permitted { Ok(()) } else { Err(refuse(Refusal::NotServed)) }
}

fn service_run(key: LedgerKey, service_key: String, call: &ServiceCall) -> Option<ServiceRun> {
    let body = serde_json::from_str(&call.body).ok()?;
    Some(ServiceRun {
        key,
        body: CallBody { key: service_key, operation: call.operation.clone(), body },
        trace: TraceContext::from_header(Some(&call.traceparent)),
        timeout_s: call.deadline_ms.div_ceil(1_000).max(1),
    })
}

fn answered(answer: &Answer, repeated: bool) -> CallReply {
    let body = String::from_utf8_lossy(&answer.body);
    CallReply::Answered { status: answer.status, body: Arc::from(body), repeated }
}

fn refuse(refusal: Refusal) -> Refused {
    Refused { refusal, retry_after_ms: 0 }
}

fn send(reply: &Sender<CallReply>, message: CallReply) {
    // The router may have stopped waiting; the ledger retains the answer.
    let _gone = reply.try_send(message);
}
