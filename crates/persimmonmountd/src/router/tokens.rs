//! Sealed tokens that callers receive with an answer and send with a later request.

use persimmon_decide::load::{ChatToken, EndpointHash, Holder};
use persimmon_decide::outcome::Stamp;
use persimmon_decide::{Attempt, RequestId};
use persimmon_records::{EndpointName, ModelName, WorkspaceName};
use serde::{Deserialize, Serialize};

use super::api::Piece;
use super::command::Plan;
use super::context::TrafficCx;
use super::exchange::Source;
use super::head::Head;

/// Identifies an answer, the workspace it belongs to and the sidecar that retains it. The caller
/// receives it in sealed form and sends it to resume the answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AnswerToken {
    pub(crate) workspace: WorkspaceName,
    pub(crate) request_id: RequestId,
    pub(crate) endpoint: EndpointName,
    pub(crate) stamp: Stamp,
    pub(crate) attempt: Attempt,
    pub(crate) model: ModelName,
}

/// Returns the token that lists the endpoints with the chat's prefix in their caches, for placing
/// the chat's next turn. Returns `None` if `line` isn't the start of an answer.
pub(crate) fn chat_token(
    cx: &TrafficCx,
    plan: &Plan,
    line: &[u8],
    from: &Source,
) -> Option<String> {
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

/// Returns the token with which the caller can resume the answer, or `None` if sealing fails.
pub(crate) fn answer_token(
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
    cx.answer_sealer.seal(&token).ok()
}
