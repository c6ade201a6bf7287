//! Builds the response to a model request, including the chat and answer tokens.

use std::rc::Rc;

use flume::Receiver;
use hyper::Response;
use hyper::header::HeaderValue;

use super::body::Reply;
use super::command::Plan;
use super::context::TrafficCx;
use super::exchange::Progress;
use super::failure::Failure;
use super::head::{self, Head};
use super::render::{RenderParts, Renderer};
use super::tokens::{answer_token, chat_token};

/// Waits for the first piece of an exchange's answer and returns the response.
///
/// # Errors
///
/// Returns a failure if the exchange ended before the first piece.
pub(crate) async fn respond(
    cx: &Rc<TrafficCx>,
    head: &Head,
    plan: &Plan,
    progress: Receiver<Progress>,
    render: RenderParts,
) -> Result<Response<Reply>, Failure> {
    let first = progress.recv_async().await.map_err(|_| Failure::stopped())?;
    let (line, from) = match &first {
        Progress::Line { line, from, .. } => (line, from),
        Progress::Finished(end) => return Err(Failure::from_result(end)),
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
