//! Resumes answers by their answer tokens.

use std::rc::Rc;

use hyper::{Request, Response, StatusCode};
use persimmon_decide::outcome::{Dispatch, DispatchLimits, Repeatability};
use persimmon_decide::{Fingerprint, Offset};
use persimmon_wire::{ModelRequest, RequestRef};

use super::body::Reply;
use super::command::RequestKind;
use super::context::TrafficCx;
use super::exchange::{Exchange, ExchangeParts, MAX_QUEUED_PIECES};
use super::failure::Failure;
use super::head::Head;
use super::render::RenderParts;
use super::respond::respond;
use super::tokens::AnswerToken;

/// Streams the rest of an answer from an offset on, as server-sent events.
///
/// # Errors
///
/// Returns a failure if the token is invalid or belongs to another workspace, or if the sidecar no
/// longer retains the answer.
pub(crate) async fn resume(
    cx: &Rc<TrafficCx>,
    req: &Request<()>,
    head: &Head,
    token: &str,
) -> Result<Response<Reply>, Failure> {
    let offset = offset(req.uri().query().unwrap_or_default())?;
    let token: AnswerToken = cx.answer_sealer.open(token).map_err(|err| {
        let message = format!("the answer token is invalid: {err}");
        Failure::not_run(StatusCode::BAD_REQUEST, "bad-answer-token", message)
    })?;
    let kind = RequestKind::Answer { endpoint: token.endpoint.clone() };
    let plan = cx.plan(head.plan_request(kind)).await?;
    if plan.workspace != token.workspace {
        return Err(Failure::not_run(
            StatusCode::FORBIDDEN,
            "other-workspace",
            "the answer belongs to another workspace; send the key of the original request",
        ));
    }
    let (out, progress) = flume::bounded(MAX_QUEUED_PIECES);
    let limits = DispatchLimits::default();
    let parts = ExchangeParts {
        workspace: plan.workspace.clone(),
        template: template(&token, head),
        dispatch: Dispatch::new(Repeatability::Repeatable, plan.endpoints.len(), limits),
        deadline: cx.clock.now().plus_ms(head.deadline_ms(plan.class)),
        endpoints: plan.endpoints.clone(),
        out,
        _memory: None,
    };
    let exchange = Exchange::new(cx.clone(), parts);
    let in_progress = cx.in_progress.enter();
    tokio::task::spawn_local(exchange.resume(token.stamp, offset));
    let render = RenderParts {
        request_id: token.request_id.to_string(),
        model: token.model.to_string(),
        is_streamed: true,
        started: cx.clock.now(),
        _in_progress: in_progress,
    };
    let resumed = Head { request_id: token.request_id, ..head.clone() };
    respond(cx, &resumed, &plan, progress, render).await
}

/// Returns a request that identifies the answer. Since it is never run, its other fields are empty.
fn template(token: &AnswerToken, head: &Head) -> ModelRequest {
    ModelRequest {
        id: RequestRef {
            workspace: token.workspace.clone(),
            id: token.request_id,
            stamp: token.stamp,
        },
        attempt: token.attempt,
        model: token.model.clone(),
        class: persimmon_records::Class::default(),
        fingerprint: Fingerprint(0),
        uncached_tokens: 0,
        max_tokens: 0,
        deadline_ms: 0,
        messages: "".into(),
        traceparent: head.trace.child().to_string(),
        chat: 0,
        refused_mean_per_slot: None,
    }
}

fn offset(query: &str) -> Result<Offset, Failure> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix("offset="));
    let offset = value.map_or(Ok(0), str::parse);
    offset.map(Offset).map_err(|_| {
        Failure::not_run(
            StatusCode::BAD_REQUEST,
            "bad-offset",
            "offset must be a number; send the id of the last event plus one",
        )
    })
}
