//! Sealed tokens that callers carry from one request to the next.

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

/// Names an answer in progress: which sidecar keeps it, and for whom. The caller carries it sealed.
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

/// The token by which the chat's next turn finds the endpoint that holds its prefix.
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

/// The token by which the caller comes back for the rest of an answer; none if it can't be sealed.
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
    cx.answers.seal(&token).ok()
}
