//! A caller that sends requests to a router.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::{Value, json};
use thiserror::Error;

use super::stream::ChatStream;
use crate::engine::Message;

/// Timeout for one call, in seconds.
const CALL_TIMEOUT_S: u64 = 30;

/// Default number of tokens of an answer.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// An error that leaves a call without a complete reply.
#[derive(Debug, Error)]
pub enum CallError {
    /// A connection that failed or a deadline that passed.
    #[error("the router sent no complete reply ({0}); check its log")]
    NoReply(#[from] minreq::Error),
    /// A reply that is shorter than its stated length, which the HTTP client doesn't check.
    #[error("the reply is truncated: {got} of {stated} bytes")]
    Truncated {
        /// Bytes received.
        got: usize,
        /// Stated length in bytes.
        stated: usize,
    },
    /// A stream that failed before its end.
    #[error("the stream failed ({0}); check the router's log")]
    Broken(#[from] std::io::Error),
}

/// The error object in a router's reply.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Failure {
    /// Machine-readable kind, which stays the same between versions.
    pub kind: String,
    /// Whether the request ran: `not-run`, `unknown` or `done`.
    pub outcome: String,
    /// Message that says what to do about the error.
    pub message: String,
    /// Time to wait before a retry, in seconds.
    #[serde(default)]
    pub retry_after_s: Option<u64>,
}

/// A complete reply.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers as the router sent them.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl Reply {
    /// Returns the header `name`, compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Parses the body as JSON; returns null if it isn't valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the text of a chat answer that wasn't streamed.
    pub fn text(&self) -> String {
        self.json()["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the error object of the body, if it has one.
    pub fn failure(&self) -> Option<Failure> {
        serde_json::from_value(self.json()["error"].clone()).ok()
    }
}

pub(super) fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// A chat request.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    model: String,
    messages: Vec<Message>,
    max_tokens: u32,
    headers: Vec<(String, String)>,
}

impl ChatRequest {
    /// Creates a request to `model` with a single user message.
    pub fn new(model: &str, content: &str) -> Self {
        Self::with_messages(model, vec![Message::new("user", content)])
    }

    /// Creates a request to `model` with all messages of a chat.
    pub fn with_messages(model: &str, messages: Vec<Message>) -> Self {
        Self {
            model: model.to_owned(),
            messages,
            max_tokens: DEFAULT_MAX_TOKENS,
            headers: Vec::new(),
        }
    }

    /// Sets how many tokens the engine stand-in generates for the answer.
    #[must_use]
    pub fn with_max_tokens(mut self, max_tokens: u32) -> Self {
        self.max_tokens = max_tokens;
        self
    }

    /// Adds a header, such as `Persimmon-Chat`.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Returns the messages of the chat.
    pub fn messages(&self) -> &[Message] {
        &self.messages
    }

    /// Returns the answer that the engine stand-in generates for the request.
    pub fn expected_answer(&self) -> String {
        crate::engine::expected_answer(&self.messages, self.max_tokens)
    }

    /// Returns the body of the request.
    pub fn body(&self, stream: bool) -> String {
        json!({
            "model": self.model,
            "messages": self.messages,
            "max_tokens": self.max_tokens,
            "stream": stream,
        })
        .to_string()
    }
}

/// A caller that sends requests to one router with a workspace key.
#[derive(Debug, Clone)]
pub struct Caller {
    router: SocketAddr,
    key: String,
}

impl Caller {
    /// Creates a caller that sends requests to `router` with `key`.
    pub fn new(router: SocketAddr, key: &str) -> Self {
        Self { router, key: key.to_owned() }
    }

    /// Sends a chat request and reads the complete answer.
    ///
    /// # Errors
    /// Returns an error if no complete reply arrives in time.
    pub fn chat(&self, request: &ChatRequest) -> Result<Reply, CallError> {
        self.send(self.chat_request(request, false))
    }

    /// Sends a chat request whose answer is streamed.
    ///
    /// # Errors
    /// Returns an error if no reply begins in time.
    pub fn stream(&self, request: &ChatRequest) -> Result<ChatStream, CallError> {
        Ok(ChatStream::new(self.chat_request(request, true).send_lazy()?))
    }

    /// Resumes the answer to an earlier request at `offset`.
    ///
    /// # Errors
    /// Returns an error if no reply begins in time.
    pub fn resume(&self, request_id: &str, offset: u64) -> Result<ChatStream, CallError> {
        let path = format!("/v1/answers/{request_id}?offset={offset}");
        Ok(ChatStream::new(self.request(minreq::Method::Get, &path).send_lazy()?))
    }

    /// Requests a claim for the idempotency key `key` of a service.
    ///
    /// # Errors
    /// Returns an error if no complete reply arrives in time.
    pub fn claim(&self, service: &str, key: &str) -> Result<Reply, CallError> {
        let path = format!("/v1/services/{service}/claims");
        let request = self.request(minreq::Method::Post, &path);
        self.send(request.with_header("Idempotency-Key", key).with_body("{}"))
    }

    /// Calls a service. `header` is `Persimmon-Claim` or `Idempotency-Key`, with its value.
    ///
    /// # Errors
    /// Returns an error if no complete reply arrives in time.
    pub fn call_service(
        &self,
        service: &str,
        header: (&str, &str),
        operation: &str,
    ) -> Result<Reply, CallError> {
        let path = format!("/v1/services/{service}/calls");
        let request = self.request(minreq::Method::Post, &path);
        let body = json!({"operation": operation, "body": {}}).to_string();
        self.send(request.with_header(header.0, header.1).with_body(body))
    }

    /// Creates a request with this caller's key, to be completed and sent with [`Self::send`].
    pub fn request(&self, method: minreq::Method, path: &str) -> minreq::Request {
        let url = format!("http://{}{path}", self.router);
        minreq::Request::new(method, url)
            .with_header("Authorization", format!("Bearer {}", self.key))
            .with_header("Content-Type", "application/json")
            .with_timeout(CALL_TIMEOUT_S)
    }

    /// Sends `request` and reads the complete reply.
    ///
    /// # Errors
    /// Returns an error if no complete reply arrives in time.
    pub fn send(&self, request: minreq::Request) -> Result<Reply, CallError> {
        let reply = request.send()?;
        let body = reply.as_str()?.to_owned();
        let stated = reply.header("Content-Length").and_then(|text| text.parse().ok());
        if let Some(stated) = stated.filter(|stated| *stated != body.len()) {
            return Err(CallError::Truncated { got: body.len(), stated });
        }
        Ok(Reply { status: reply.status_code, headers: reply.headers, body })
    }

    fn chat_request(&self, chat: &ChatRequest, stream: bool) -> minreq::Request {
        let request = self.request(minreq::Method::Post, "/v1/chat/completions");
        let headers = chat.headers.iter().map(|(name, value)| (name.as_str(), value.as_str()));
        request.with_headers(headers).with_body(chat.body(stream))
    }
}
