//! Chat completions, streamed or whole.

use std::rc::Rc;
use std::sync::Arc;

use flume::Receiver;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use persimmon_decide::load::{ChatToken, EndpointHash, Holder};
use persimmon_decide::outcome::{Cause, Dispatch, DispatchLimits, Outcome, Repeatability, Stamp};
use persimmon_decide::recovery::{QuarantineSettings, RetryPacer};
use persimmon_decide::{Attempt, Fingerprint, Incarnation, MonoMs};
use persimmon_wire::{ModelRequest, RequestRef};

use super::answers::AnswerToken;
use super::api::{ChatRequest, MAX_MAX_TOKENS, MAX_MESSAGES, Piece};
use super::body::{self, Reply};
use super::command::{Plan, Wanted};
use super::credit;
use super::exchange::{Exchange, ExchangeParts, PIECES_WAITING, Progress, Source};
use super::failure::Failure;
use super::head::{self, Head};
use super::render::{RenderParts, Renderer};
use super::routes::plan;
use super::traffic::TrafficCx;
use crate::common::random_u64;

/// Sendings of one request.
const MAX_ATTEMPTS: u32 = 10;
/// Bytes of text that count as one token where nothing better is known.
const BYTES_PER_TOKEN: usize = 4;

/// Completes a chat.
///
/// # Errors
///
/// The request is bad, or failed before its first token.
pub(crate) async fn complete(
    cx: &Rc<TrafficCx>,
    req: Request<Incoming>,
    head: Head,
) -> Result<Response<Reply>, Failure> {
    let token = head::text(req.headers(), head::CHAT)?.map(str::to_owned);
    let bytes = body::read_body(req.into_body()).await?;
    let chat = parse(&bytes)?;
    let prompt_tokens = prompt_tokens(&chat);
    let wanted = Wanted::Chat {
        model: chat.model.as_str().into(),
        opening: opening(&chat),
        token,
        prompt_tokens,
        max_tokens: chat.max_tokens,
        fingerprint: Fingerprint::of(&bytes),
    };
    let plan = plan(cx, &head, wanted).await?;
    credit::pay(cx, &plan).await?;
    let template = template(&head, &plan, &chat, prompt_tokens, Fingerprint::of(&bytes))?;
    let (out, progress) = flume::bounded(PIECES_WAITING);
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
    };
    let started = cx.clock.now();
    let exchange = Exchange::new(cx.clone(), parts);
    let in_progress = cx.in_progress.enter();
    tokio::task::spawn_local(exchange.run());
    let render = RenderParts {
        request_id: head.request_id.to_string(),
        model: chat.model,
        is_streamed: chat.stream,
        started,
        _in_progress: in_progress,
    };
    respond(cx, &head, &plan, progress, render).await
}

/// Answers with what an exchange gives, once its first piece or its failure is known.
pub(crate) async fn respond(
    cx: &Rc<TrafficCx>,
    head: &Head,
    plan: &Plan,
    progress: Receiver<Progress>,
    render: RenderParts,
) -> Result<Response<Reply>, Failure> {
    let first = progress.recv_async().await.map_err(|_| stopped())?;
    let Progress::Line { line, from, .. } = &first else {
        return Err(failure_of(&first));
    };
    let chat_token = chat_token(cx, plan, line, from);
    let answer = answer_token(cx, head, plan, from, &render.model);
    let renderer = Renderer::new(cx.clone(), render, first, progress);
    let mut response = renderer.into_response().await?;
    let headers = response.headers_mut();
    let values = [
        (head::REQUEST_ID, Some(head.request_id.to_string())),
        (head::TRACEPARENT, Some(head.trace.to_string())),
        (head::CHAT, chat_token),
        (head::ANSWER, answer),
    ];
    for (name, value) in values {
        if let Some(Ok(value)) = value.map(|value| HeaderValue::from_str(&value)) {
            headers.insert(name, value);
        }
    }
    Ok(response)
}

/// The failure that a final piece stands for.
pub(crate) fn failure_of(progress: &Progress) -> Failure {
    let Progress::Final(end) = progress else { return stopped() };
    let status = match end.outcome {
        Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Done | Outcome::Unknown => StatusCode::BAD_GATEWAY,
    };
    let failure = match end.cause {
        Cause::Refused(refusal) => {
            let refused = persimmon_wire::Refused {
                refusal,
                retry_after_ms: end.retry_after_ms.unwrap_or_default(),
            };
            Failure::refused(refused).with_outcome(end.outcome)
        }
        cause => Failure::failed(status, cause.as_str(), end.outcome, cause.to_string()),
    };
    match end.retry_after_ms.or_else(|| own_retry_after_ms(end.cause)) {
        Some(ms) => failure.with_retry_after_ms(ms),
        None => failure,
    }
}

/// When to come back where no sidecar said so. Callers that failed together come back apart.
fn own_retry_after_ms(cause: Cause) -> Option<u64> {
    let after_s = match cause {
        // The fleet has to hear of the crash before the request runs again.
        Cause::Crashed => u64::from(QuarantineSettings::default().spread_s),
        Cause::NoEndpoint | Cause::BudgetSpent | Cause::Withdrawn | Cause::DeadlinePassed => 1,
        _ => return None,
    };
    Some(RetryPacer::retry_after_s(after_s, random_u64()) * 1_000)
}

fn stopped() -> Failure {
    Failure::failed(
        StatusCode::BAD_GATEWAY,
        "stopped",
        Outcome::Unknown,
        "the router stopped working on the request; resume the answer, or ask again",
    )
}

fn parse(bytes: &[u8]) -> Result<ChatRequest, Failure> {
    let bad = |message: String| Failure::bad_request(StatusCode::BAD_REQUEST, "bad-body", message);
    let chat: ChatRequest = serde_json::from_slice(bytes)
        .map_err(|err| bad(format!("the body isn't a chat completion request: {err}")))?;
    if chat.messages.is_empty() || chat.messages.len() > MAX_MESSAGES {
        return Err(bad(format!("messages must hold 1 to {MAX_MESSAGES} messages")));
    }
    if chat.max_tokens == 0 || chat.max_tokens > MAX_MAX_TOKENS {
        return Err(bad(format!("max_tokens must be from 1 to {MAX_MAX_TOKENS}")));
    }
    Ok(chat)
}

fn prompt_tokens(chat: &ChatRequest) -> u32 {
    let bytes: usize = chat.messages.iter().map(|message| message.content.len()).sum();
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// The messages up to and including the first one from the user, which never change in a chat.
fn opening(chat: &ChatRequest) -> Vec<String> {
    let first_user = chat.messages.iter().position(|message| message.role == "user");
    let count = first_user.map_or(chat.messages.len(), |at| at + 1);
    chat.messages[..count].iter().map(|message| message.content.clone()).collect()
}

fn template(
    head: &Head,
    plan: &Plan,
    chat: &ChatRequest,
    prompt_tokens: u32,
    fingerprint: Fingerprint,
) -> Result<ModelRequest, Failure> {
    let messages = serde_json::to_string(&chat.messages).map_err(|_| stopped())?;
    // The stamp is filled in for each sidecar.
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
        told_per_slot: None,
    })
}

/// The token by which the chat's next turn finds the endpoint that holds its prefix.
fn chat_token(cx: &TrafficCx, plan: &Plan, line: &[u8], from: &Source) -> Option<String> {
    let Ok(Piece::Start { prompt_tokens, .. }) = serde_json::from_slice(line) else {
        return None;
    };
    let mut token = ChatToken::new(plan.chat);
    for holder in plan.holders.iter().rev() {
        token = token.with_holder(*holder);
    }
    let holder = Holder {
        endpoint: EndpointHash::of(&from.endpoint),
        tokens: prompt_tokens,
        at: cx.clock.unix(),
    };
    Some(token.with_holder(holder).seal(&cx.token_key))
}

fn answer_token(
    cx: &TrafficCx,
    head: &Head,
    plan: &Plan,
    from: &Source,
    model: &str,
) -> Option<String> {
    let token = AnswerToken {
        workspace: plan.workspace.clone(),
        request_id: head.request_id,
        endpoint: from.endpoint.clone(),
        stamp: from.stamp,
        attempt: Attempt(from.candidate as u32 + 1),
        model: model.into(),
    };
    cx.answers.seal(&token).ok()
}
