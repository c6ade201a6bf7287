//! Handles chat completions, streamed or complete.

use std::rc::Rc;
use std::sync::Arc;

use hyper::{Request, Response, StatusCode};
use persimmon_decide::outcome::{Dispatch, DispatchLimits, Repeatability, Stamp};
use persimmon_decide::{Attempt, Fingerprint, Incarnation, MonoMs};
use persimmon_wire::{ModelRequest, RequestRef};

use super::api::{ChatRequest, MAX_MESSAGES, MAX_TOKENS_LIMIT};
use super::body::{Reply, RequestBody};
use super::command::{Plan, RequestKind};
use super::context::TrafficCx;
use super::credit;
use super::exchange::{Exchange, ExchangeParts, MAX_QUEUED_PIECES};
use super::failure::Failure;
use super::head::{self, Head};
use super::render::RenderParts;
use super::respond::respond;

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 10;
/// Bytes of text per token, for estimating the length of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// Completes a chat.
///
/// # Errors
///
/// Returns a failure if the request is invalid or failed before the first piece of the answer.
pub(crate) async fn complete(
    cx: &Rc<TrafficCx>,
    req: &Request<()>,
    body: &mut RequestBody,
    head: Head,
) -> Result<Response<Reply>, Failure> {
    let token = head::text(req.headers(), head::CHAT)?.map(str::to_owned);
    let (bytes, memory) = body.read(cx).await?;
    let chat = parse(&bytes)?;
    let fingerprint = Fingerprint::of(&bytes);
    drop(bytes);
    let prompt_tokens = prompt_tokens(&chat);
    let kind = RequestKind::Chat {
        model: chat.model.as_str().into(),
        opening: opening(&chat),
        token,
        prompt_tokens,
        max_tokens: chat.max_tokens,
        fingerprint,
    };
    let plan = cx.plan(head.plan_request(kind)).await?;
    credit::charge_request(cx, &plan).await?;
    let template = template(&head, &plan, &chat, prompt_tokens, fingerprint)?;
    let ChatRequest { model, stream, messages, .. } = chat;
    drop(messages);
    let (out, progress) = flume::bounded(MAX_QUEUED_PIECES);
    let parts = ExchangeParts {
        workspace: plan.workspace.clone(),
        dispatch: Dispatch::new(
            Repeatability::Repeatable,
            Exchange::max_attempts(plan.endpoints.len()),
            DispatchLimits { max_attempts: MAX_ATTEMPTS, ..DispatchLimits::default() },
        ),
        deadline: cx.clock.now().plus_ms(head.deadline_ms(plan.class)),
        endpoints: plan.endpoints.clone(),
        template,
        out,
        _memory: Some(memory),
    };
    let started = cx.clock.now();
    let exchange = Exchange::new(cx.clone(), parts);
    let in_progress = cx.in_progress.enter();
    tokio::task::spawn_local(exchange.run());
    let render = RenderParts {
        request_id: head.request_id.to_string(),
        model,
        is_streamed: stream,
        started,
        _in_progress: in_progress,
    };
    respond(cx, &head, &plan, progress, render).await
}

fn parse(bytes: &[u8]) -> Result<ChatRequest, Failure> {
    let bad = |message: String| Failure::not_run(StatusCode::BAD_REQUEST, "bad-body", message);
    let chat: ChatRequest = serde_json::from_slice(bytes)
        .map_err(|err| bad(format!("the body isn't a valid chat completion request: {err}")))?;
    if chat.messages.is_empty() || chat.messages.len() > MAX_MESSAGES {
        return Err(bad(format!("messages must contain 1 to {MAX_MESSAGES} messages")));
    }
    if chat.max_tokens == 0 || chat.max_tokens > MAX_TOKENS_LIMIT {
        return Err(bad(format!("max_tokens must be from 1 to {MAX_TOKENS_LIMIT}")));
    }
    Ok(chat)
}

fn prompt_tokens(chat: &ChatRequest) -> u32 {
    let bytes: usize = chat.messages.iter().map(|message| message.content.len()).sum();
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Returns the messages up to and including the first one from the user, which stay the same in
/// every turn of a chat.
fn opening(chat: &ChatRequest) -> Vec<String> {
    let first_user = chat.messages.iter().position(|message| message.role == "user");
    let count = first_user.map_or(chat.messages.len(), |at| at + 1);
    chat.messages[..count].iter().map(|message| message.content.clone()).collect()
}

/// Returns the request without the fields that differ between attempts.
fn template(
    head: &Head,
    plan: &Plan,
    chat: &ChatRequest,
    prompt_tokens: u32,
    fingerprint: Fingerprint,
) -> Result<ModelRequest, Failure> {
    let messages = serde_json::to_string(&chat.messages).map_err(|_| Failure::stopped())?;
    // Each attempt sets the stamp of its sidecar.
    let stamp = Stamp { incarnation: Incarnation(0), issued_at: MonoMs(0) };
    Ok(ModelRequest {
        id: RequestRef { workspace: plan.workspace.clone(), id: head.request_id, stamp },
        attempt: Attempt(1),
        model: chat.model.as_str().into(),
        class: plan.class,
        fingerprint,
        uncached_tokens: prompt_tokens,
        max_tokens: chat.max_tokens,
        deadline_ms: head.deadline_ms(plan.class),
        messages: Arc::from(messages),
        traceparent: head.trace.child().to_string(),
        chat: plan.chat.0,
        refused_mean_per_slot: None,
    })
}
