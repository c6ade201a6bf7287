//! Heads of callers' requests: validation and the headers to forward.

use std::sync::Arc;

use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use persimmon_decide::forward::PromptPart;
use persimmon_process::header_bytes;

use crate::platform::HeaderNames;
use crate::refusal::Refusal;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const BEARER: &str = "Bearer ";
/// Maximum number of prompt parts used for placement; prompts rarely share the parts after these.
const MAX_PARTS: usize = 64;

/// A validated request of a caller, without its body.
#[derive(Debug)]
pub(crate) struct RequestHead {
    /// Id of this attempt of the caller.
    pub(crate) id: Arc<str>,
    pub(crate) method: hyper::Method,
    /// Size of the target and the headers as the caller sent them, in bytes.
    pub(crate) bytes: usize,
    /// Path and query as sent by the caller.
    pub(crate) target: hyper::Uri,
    pub(crate) host: String,
    /// Headers to forward.
    pub(crate) headers: HeaderMap,
    /// Key of the caller's workspace.
    pub(crate) key: Option<String>,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) parts: Vec<PromptPart>,
    /// Number of the last event of a stream that the caller has received.
    pub(crate) last_event: Option<u64>,
    /// Whether the request takes a stream up again.
    pub(crate) takes_up_stream: bool,
    /// Id of the attempt that brought the stream's first event, if the caller names it.
    pub(crate) first_id: Option<Arc<str>>,
}

impl RequestHead {
    /// Validates and reads a request head.
    ///
    /// # Errors
    ///
    /// The head is malformed, or endpoints might interpret it differently from the gateway.
    pub(crate) fn read(parts: &Parts, names: &HeaderNames) -> Result<Self, Refusal> {
        check_framing(&parts.headers)?;
        let single = [&HOST, &names.request_id, &names.deadline_ms, &names.prompt_parts];
        let of_streams = [&names.token_usage, &names.last_event, &names.first_request_id];
        for name in single.into_iter().chain(of_streams) {
            if parts.headers.get_all(name).iter().count() > 1 {
                return Err(Refusal::BadRequest("a header that may appear only once is repeated"));
            }
        }
        let text = |name: &HeaderName| parts.headers.get(name).and_then(|it| it.to_str().ok());
        let id = text(&names.request_id).filter(|id| !id.is_empty());
        let id = id.ok_or(Refusal::BadRequest("the request id header is missing"))?.into();
        let host = text(&HOST).ok_or(Refusal::BadRequest("the Host header is missing"))?.to_owned();
        let path_and_query = parts.uri.path_and_query().filter(|it| it.as_str().starts_with('/'));
        let path_and_query =
            path_and_query.ok_or(Refusal::BadRequest("the request target must be a path"))?;
        let deadline_ms = match text(&names.deadline_ms) {
            Some(value) => Some(value.trim().parse().map_err(|_| {
                Refusal::BadRequest("the deadline must be a number of milliseconds")
            })?),
            None => None,
        };
        let key = text(&AUTHORIZATION).and_then(|value| value.strip_prefix(BEARER));
        Ok(Self {
            id,
            method: parts.method.clone(),
            bytes: path_and_query.as_str().len() + header_bytes(&parts.headers),
            target: hyper::Uri::from(path_and_query.clone()),
            host,
            key: key.map(|key| key.trim().to_owned()),
            deadline_ms,
            parts: text(&names.prompt_parts).map(prompt_parts).unwrap_or_default(),
            last_event: text(&names.last_event).and_then(|value| value.trim().parse().ok()),
            takes_up_stream: [&names.last_event, &names.first_request_id]
                .into_iter()
                .any(|name| parts.headers.contains_key(name)),
            first_id: text(&names.first_request_id).map(|id| id.trim().into()),
            headers: forwarded(&parts.headers, names)?,
        })
    }
}

/// Refuses heads with ambiguous framing, which the gateway and an endpoint could read as bodies of
/// different lengths.
fn check_framing(headers: &HeaderMap) -> Result<(), Refusal> {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let codings: Vec<_> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    if lengths > 1 || codings.len() > 1 || (lengths == 1 && !codings.is_empty()) {
        return Err(Refusal::BadRequest("the body's length is stated more than once"));
    }
    if codings.iter().any(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"chunked")) {
        return Err(Refusal::BadRequest("the transfer coding must be chunked"));
    }
    Ok(())
}

/// Returns the headers to forward: all except those of the connection, those that the gateway sets,
/// and the caller's key.
fn forwarded(headers: &HeaderMap, names: &HeaderNames) -> Result<HeaderMap, Refusal> {
    let mut passed = headers.clone();
    let listed: Vec<_> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in &listed {
        let Ok(name) = HeaderName::from_bytes(name.as_bytes()) else { continue };
        let is_needed =
            [&names.request_id, &names.deadline_ms, &names.prompt_parts, &names.token_usage]
                .into_iter()
                .chain([&HOST, &AUTHORIZATION, &names.last_event])
                .any(|needed| *needed == name);
        if is_needed {
            return Err(Refusal::BadRequest("the Connection header lists a required header"));
        }
        passed.remove(name);
    }
    let connection = [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING];
    let own = [UPGRADE, EXPECT, CONTENT_LENGTH, AUTHORIZATION, names.deadline_ms.clone()];
    for name in connection.iter().chain(&own).chain(&names.reserved) {
        passed.remove(name);
    }
    Ok(passed)
}

/// Parses `ID:TOKENS` entries, separated by commas, with the id in hexadecimal. Ignores the first
/// invalid entry and all after it, which only reduces cache reuse.
fn prompt_parts(text: &str) -> Vec<PromptPart> {
    let part = |entry: &str| {
        let (id, tokens) = entry.trim().split_once(':')?;
        let tokens = tokens.trim().parse().ok()?;
        Some(PromptPart { id: part_id(id)?, tokens })
    };
    text.split(',').take(MAX_PARTS).map_while(part).collect()
}

/// Parses the hexadecimal id of a prompt part. Uses only the low 64 bits of a longer id.
fn part_id(text: &str) -> Option<u64> {
    let low = text.get(text.len().saturating_sub(16)..)?;
    u64::from_str_radix(low, 16).ok()
}

/// Converts a number into a header value.
pub(crate) fn number(value: u64) -> HeaderValue {
    HeaderValue::from(value)
}
