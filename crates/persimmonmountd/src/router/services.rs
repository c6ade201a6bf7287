//! Handles calls to plain services, and the claims for calls that may not be repeated.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use persimmon_decide::outcome::{Claim, IdempotencyKey, Outcome, Refusal, Stamp};
use persimmon_decide::{Fingerprint, Incarnation, MonoMs};
use persimmon_records::ServiceName;
use persimmon_wire::{ClaimReply, ClaimRequest, Refused, RequestRef, ServiceCall};
use tokio::time::timeout;

use super::api::{ClaimBody, ServiceRequest};
use super::body::{self, Reply, RequestBody};
use super::call_exchange::CallExchange;
use super::command::{Command, Plan, PlannedEndpoint, RequestKind};
use super::context::TrafficCx;
use super::credit;
use super::failure::Failure;
use super::head::{self, Head};

/// Timeout for a sidecar's reply to a claim request.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Obtains a claim for a call that may not be repeated.
///
/// # Errors
///
/// Returns a failure if the request is invalid or no worker issues a claim. Nothing was run.
pub(crate) async fn claim(
    cx: &Rc<TrafficCx>,
    req: &Request<()>,
    head: &Head,
    service: ServiceName,
) -> Result<Response<Reply>, Failure> {
    let key = idempotency_key(req)?.ok_or_else(|| {
        Failure::not_run(
            StatusCode::BAD_REQUEST,
            "no-idempotency-key",
            "a claim requires an idempotency key; send the header Idempotency-Key",
        )
    })?;
    let _in_progress = cx.in_progress.enter();
    let kind = RequestKind::Claim { service: service.clone(), key: key.as_str().to_owned() };
    let plan = cx.plan(head.plan_request(kind)).await?;
    let request = ClaimRequest { workspace: plan.workspace.clone(), service, key };
    let mut last = Failure::no_worker(Outcome::NotRun);
    for endpoint in &plan.endpoints {
        match request_claim(cx, endpoint, &request).await {
            Some(ClaimReply::Issued { claim, expires_in_ms }) => {
                let body = ClaimBody { claim: &claim, expires_in_ms };
                let text = serde_json::to_string(&body).unwrap_or_default();
                return Ok(body::json(StatusCode::OK, text));
            }
            Some(ClaimReply::Refused(refused)) => last = Failure::refused(refused),
            None => cx.send(Command::Suspect { endpoint: endpoint.hash }),
        }
    }
    Err(last)
}

/// Runs a call, or returns the recorded answer of an earlier run.
///
/// # Errors
///
/// Returns a failure if the request is invalid or refused, or if the call may have run without an
/// answer.
pub(crate) async fn call(
    cx: &Rc<TrafficCx>,
    req: &Request<()>,
    body: &mut RequestBody,
    head: &Head,
    service: ServiceName,
) -> Result<Response<Reply>, Failure> {
    let claim = read_claim(cx, req)?;
    let key = idempotency_key(req)?;
    let (bytes, _memory) = body.read(cx).await?;
    let request: ServiceRequest = serde_json::from_slice(&bytes).map_err(|err| {
        let message = format!("the body isn't a valid call: {err}; send operation and body");
        Failure::not_run(StatusCode::BAD_REQUEST, "bad-body", message)
    })?;
    drop(bytes);
    let ServiceRequest { operation, body } = request;
    let call_body: Arc<str> = body.into_text().into();
    let _in_progress = cx.in_progress.enter();
    let owner = claim.as_ref().map(|(_, claim)| claim.owner.clone());
    let spread_key =
        key.as_ref().map_or_else(|| head.request_id.to_string(), |key| key.as_str().into());
    let fingerprint = Fingerprint::of_call(&operation, &call_body);
    let kind =
        RequestKind::Service { service: service.clone(), key: spread_key, owner, fingerprint };
    let plan = cx.plan(head.plan_request(kind)).await?;
    credit::charge_request(cx, &plan).await?;
    let claim = claim.map(|(text, _)| text);
    if claim.is_none() && plan.endpoints.iter().any(|endpoint| !endpoint.repeatable) {
        return Err(Failure::refused(Refused { refusal: Refusal::NeedsClaim, retry_after_ms: 0 }));
    }
    let call = service_call(head, &plan, service, (operation, call_body), claim);
    let exchange = CallExchange::new(cx.clone(), head, plan.endpoints, call);
    Ok(with_trace(exchange.run().await?, head))
}

/// Returns the call without the fields that differ between sends.
fn service_call(
    head: &Head,
    plan: &Plan,
    service: ServiceName,
    (operation, body): (String, Arc<str>),
    claim: Option<String>,
) -> ServiceCall {
    ServiceCall {
        id: RequestRef {
            workspace: plan.workspace.clone(),
            id: head.request_id,
            stamp: Stamp { incarnation: Incarnation(0), issued_at: MonoMs(0) },
        },
        service,
        claim,
        operation,
        body,
        deadline_ms: 0,
        traceparent: head.trace.child().to_string(),
    }
}

/// Requests a claim from an endpoint's sidecar. Returns `None` if there is no valid reply.
async fn request_claim(
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

fn idempotency_key(req: &Request<()>) -> Result<Option<IdempotencyKey>, Failure> {
    let Some(text) = head::text(req.headers(), head::IDEMPOTENCY_KEY)? else { return Ok(None) };
    let key = IdempotencyKey::try_from(text.to_owned());
    key.map(Some)
        .map_err(|err| Failure::not_run(StatusCode::BAD_REQUEST, "bad-header", err.to_string()))
}

/// Reads the claim from its header. Returns both its sealed text and its content.
fn read_claim(cx: &TrafficCx, req: &Request<()>) -> Result<Option<(String, Claim)>, Failure> {
    let Some(text) = head::text(req.headers(), head::CLAIM)? else { return Ok(None) };
    let claim = cx
        .claim_sealer
        .open(text)
        .map_err(|err| Failure::not_run(StatusCode::BAD_REQUEST, "bad-claim", err.to_string()))?;
    Ok(Some((text.to_owned(), claim)))
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
