//! Calls to plain services: claims, and calls with or without one.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use persimmon_decide::outcome::{Claim, IdempotencyKey, Outcome, Refusal, RetryHint};
use persimmon_records::{Class, ServiceName};
use persimmon_wire::{CallReply, ClaimReply, ClaimRequest, Refused, RequestRef, ServiceCall};
use tokio::time::timeout;

use super::api::{ClaimBody, ServiceRequest};
use super::body::{self, Reply};
use super::command::{Command, Plan, PlannedEndpoint, Wanted};
use super::credit;
use super::failure::Failure;
use super::head::{self, Head};
use super::pool::Link;
use super::routes::plan;
use super::traffic::TrafficCx;

/// Time that a sidecar has to issue a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Obtains a claim for a call that may not be repeated.
///
/// # Errors
///
/// The request is bad, or no worker issues a claim. Nothing was run.
pub(crate) async fn claim(
    cx: &Rc<TrafficCx>,
    req: &Request<Incoming>,
    head: &Head,
    service: ServiceName,
) -> Result<Response<Reply>, Failure> {
    let key = idempotency_key(req)?.ok_or_else(|| {
        Failure::bad_request(
            StatusCode::BAD_REQUEST,
            "no-idempotency-key",
            "a claim needs a key; send the header Idempotency-Key",
        )
    })?;
    let _in_progress = cx.in_progress.enter();
    let wanted = Wanted::Claim { service: service.clone(), key: key.as_str().to_owned() };
    let plan = plan(cx, head, wanted).await?;
    let request = ClaimRequest { workspace: plan.workspace.clone(), service, key };
    let mut last = no_worker(Outcome::NotRun);
    for endpoint in &plan.endpoints {
        match claim_at(cx, endpoint, &request).await {
            Some(ClaimReply::Issued { claim, expires_in_ms }) => {
                let body = ClaimBody { claim: &claim, expires_in_ms };
                let text = serde_json::to_string(&body).unwrap_or_default();
                return Ok(body::json(StatusCode::OK, text));
            }
            Some(ClaimReply::Refused(refused)) => last = Failure::refused(refused),
            None => cx.tell(Command::Suspect { endpoint: endpoint.hash }),
        }
    }
    Err(last)
}

/// Runs a call, or gives the answer of its earlier run.
///
/// # Errors
///
/// The request is bad, was refused, or may have run.
pub(crate) async fn call(
    cx: &Rc<TrafficCx>,
    req: Request<Incoming>,
    head: &Head,
    service: ServiceName,
) -> Result<Response<Reply>, Failure> {
    let claim = claim_of(cx, &req)?;
    let key = idempotency_key(&req)?;
    let bytes = body::read_body(req.into_body()).await?;
    let request: ServiceRequest = serde_json::from_slice(&bytes).map_err(|err| {
        let message = format!("the body isn't a call: {err}; send operation and body");
        Failure::bad_request(StatusCode::BAD_REQUEST, "bad-body", message)
    })?;
    let _in_progress = cx.in_progress.enter();
    let owner = claim.as_ref().map(|(_, claim)| claim.owner.clone());
    let spread =
        key.as_ref().map_or_else(|| head.request_id.to_string(), |key| key.as_str().into());
    let wanted = Wanted::Service { service: service.clone(), key: spread, owner };
    let plan = plan(cx, head, wanted).await?;
    credit::pay(cx, &plan).await?;
    let template = call_template(head, &plan, service, &request, claim.map(|(text, _)| text));
    let response = match template.claim.is_some() {
        true => call_owner(cx, &plan, template).await,
        false => call_any(cx, &plan, template).await,
    }?;
    Ok(with_trace(response, head))
}

/// Sends a call with a claim to its owner, which alone may run it.
async fn call_owner(
    cx: &Rc<TrafficCx>,
    plan: &Plan,
    template: CallTemplate,
) -> Result<Response<Reply>, Failure> {
    let endpoint = plan.endpoints.first().ok_or_else(owner_gone)?;
    for is_fresh in [false, true] {
        let link = match is_fresh {
            false => cx.pool.link(endpoint).await,
            true => cx.pool.fresh_link(endpoint).await,
        };
        let Ok(link) = link else { break };
        match send_call(&link, &template).await {
            // The owner knows the claim, so the same call can be sent again: it attaches to the
            // first or repeats its answer.
            None => cx.pool.discard(&endpoint.name),
            Some(reply) => return finish(cx, reply),
        }
    }
    cx.tell(Command::Suspect { endpoint: endpoint.hash });
    cx.tell(Command::Ended { outcome: Outcome::Unknown });
    Err(Failure::failed(
        StatusCode::BAD_GATEWAY,
        "unreachable",
        Outcome::Unknown,
        "the claim's owner can't be reached; present the same claim again",
    )
    .with_retry_after_ms(1_000))
}

/// Sends a call without a claim to the workers in turn. Only calls that may be repeated are.
async fn call_any(
    cx: &Rc<TrafficCx>,
    plan: &Plan,
    template: CallTemplate,
) -> Result<Response<Reply>, Failure> {
    if plan.endpoints.iter().any(|endpoint| !endpoint.repeatable) {
        let refused = Refused { refusal: Refusal::NeedsClaim, retry_after_ms: 0 };
        return Err(Failure::refused(refused));
    }
    let mut last = no_worker(Outcome::NotRun);
    let mut may_have_run = false;
    for endpoint in &plan.endpoints {
        let Ok(link) = cx.pool.link(endpoint).await else {
            cx.tell(Command::Suspect { endpoint: endpoint.hash });
            continue;
        };
        match send_call(&link, &template).await {
            Some(CallReply::Refused(refused)) if leads_elsewhere(refused.refusal) => {
                last = Failure::refused(refused);
            }
            Some(CallReply::Unknown(_)) | None => {
                cx.pool.discard(&endpoint.name);
                may_have_run = true;
                if !ask_budget(cx).await {
                    break;
                }
            }
            Some(reply) => return finish(cx, reply),
        }
    }
    let outcome = if may_have_run { Outcome::Unknown } else { Outcome::NotRun };
    cx.tell(Command::Ended { outcome });
    Err(last.with_outcome(outcome))
}

fn finish(cx: &TrafficCx, reply: CallReply) -> Result<Response<Reply>, Failure> {
    let result = match reply {
        CallReply::Answered { status, body, repeated } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            let mut response = body::json(status, body.to_string());
            let repeated = HeaderValue::from_static(if repeated { "true" } else { "false" });
            response.headers_mut().insert("persimmon-repeated", repeated);
            Ok(response)
        }
        CallReply::Refused(refused) => Err(Failure::refused(refused)),
        CallReply::Unknown(reason) => Err(Failure::failed(
            StatusCode::BAD_GATEWAY,
            "unknown-outcome",
            Outcome::Unknown,
            reason,
        )),
    };
    let outcome = result.as_ref().map_or_else(Failure::outcome, |_| Outcome::Done);
    cx.tell(Command::Ended { outcome });
    result
}

/// A call, without what differs between sidecars.
struct CallTemplate {
    call: ServiceCall,
    claim: Option<String>,
    deadline_ms: u64,
}

fn call_template(
    head: &Head,
    plan: &Plan,
    service: ServiceName,
    request: &ServiceRequest,
    claim: Option<String>,
) -> CallTemplate {
    use persimmon_decide::outcome::Stamp;
    use persimmon_decide::{Incarnation, MonoMs};

    let deadline_ms = head.deadline_ms(Class::Quick);
    let stamp = Stamp { incarnation: Incarnation(0), issued_at: MonoMs(0) };
    let call = ServiceCall {
        id: RequestRef { workspace: plan.workspace.clone(), id: head.request_id, stamp },
        service,
        claim: claim.clone(),
        operation: request.operation.clone(),
        body: Arc::from(request.body.to_string()),
        deadline_ms,
        traceparent: head.trace.child().to_string(),
    };
    CallTemplate { call, claim, deadline_ms }
}

async fn claim_at(
    cx: &TrafficCx,
    endpoint: &PlannedEndpoint,
    request: &ClaimRequest,
) -> Option<ClaimReply> {
    let link = cx.pool.link(endpoint).await.ok()?;
    let mut call = link.sidecar.claim_request();
    request.write(call.get().init_request());
    let reply = timeout(CLAIM_TIMEOUT, call.send().promise).await;
    let Ok(Ok(reply)) = reply else {
        cx.pool.discard(&endpoint.name);
        return None;
    };
    ClaimReply::read(reply.get().ok()?.get_reply().ok()?).ok()
}

/// Sends one call; none if its reply didn't come or the connection went silent.
async fn send_call(link: &Link, template: &CallTemplate) -> Option<CallReply> {
    let _link = link.keep_open();
    let mut call = link.sidecar.call_request();
    let mut message = template.call.clone();
    message.id.stamp = link.stamp;
    message.write(call.get().init_call());
    let limit = Duration::from_millis(template.deadline_ms);
    let reply = tokio::select! {
        reply = timeout(limit, call.send().promise) => reply.ok()?.ok()?,
        () = link.silence() => return None,
    };
    CallReply::read(reply.get().ok()?.get_reply().ok()?).ok()
}

async fn ask_budget(cx: &TrafficCx) -> bool {
    let (reply, rx) = flume::bounded(1);
    cx.tell(Command::AskBudget { reply });
    rx.recv_async().await.unwrap_or(false)
}

fn leads_elsewhere(refusal: Refusal) -> bool {
    refusal.hint() == RetryHint::Elsewhere || refusal == Refusal::WrongIncarnation
}

fn idempotency_key(req: &Request<Incoming>) -> Result<Option<IdempotencyKey>, Failure> {
    let Some(text) = head::text(req.headers(), head::IDEMPOTENCY_KEY)? else { return Ok(None) };
    let key = IdempotencyKey::try_from(text.to_owned());
    key.map(Some)
        .map_err(|err| Failure::bad_request(StatusCode::BAD_REQUEST, "bad-header", err.to_string()))
}

fn claim_of(cx: &TrafficCx, req: &Request<Incoming>) -> Result<Option<(String, Claim)>, Failure> {
    let Some(text) = head::text(req.headers(), head::CLAIM)? else { return Ok(None) };
    let claim = cx.claims.open(text).map_err(|err| {
        Failure::bad_request(StatusCode::BAD_REQUEST, "bad-claim", err.to_string())
    })?;
    Ok(Some((text.to_owned(), claim)))
}

fn no_worker(outcome: Outcome) -> Failure {
    Failure::failed(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-endpoint",
        outcome,
        "no worker of the service can be reached; retry after the given delay",
    )
    .with_retry_after_ms(1_000)
}

fn owner_gone() -> Failure {
    Failure::failed(
        StatusCode::BAD_GATEWAY,
        "owner-gone",
        Outcome::Unknown,
        "the claim's owner is no longer in the records; check with the service whether the call ran",
    )
}

fn with_trace(mut response: Response<Reply>, head: &Head) -> Response<Reply> {
    let values = [
        (head::REQUEST_ID, head.request_id.to_string()),
        (head::TRACEPARENT, head.trace.to_string()),
    ];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::from_str(&value) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}
