//! Renders an engine's answer as one JSON object or as server-sent events.

use std::rc::Rc;

use flume::Receiver;
use hyper::body::Bytes;
use hyper::{Response, StatusCode};
use persimmon_decide::outcome::Outcome;
use persimmon_decide::{MonoMs, Offset};
use persimmon_process::{PieceSender, piece_channel};

use super::api::{
    Chunk, ChunkChoice, Completion, CompletionChoice, Delta, Message, Piece, PromptTokensDetails,
    Usage,
};
use super::body::{self, Reply};
use super::context::TrafficCx;
use super::control::InProgressGuard;
use super::exchange::{MAX_QUEUED_PIECES, Progress};
use super::failure::Failure;

/// The properties of the request that a [`Renderer`] needs.
#[derive(Debug)]
pub(crate) struct RenderParts {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) is_streamed: bool,
    pub(crate) started: MonoMs,
    /// Counts the request as in progress until its answer has been rendered.
    pub(crate) _in_progress: InProgressGuard,
}

/// Renders one answer.
pub(crate) struct Renderer {
    cx: Rc<TrafficCx>,
    parts: RenderParts,
    first: Option<Progress>,
    progress: Receiver<Progress>,
    prompt_tokens: u32,
    cached_tokens: u32,
    saw_token: bool,
}

impl Renderer {
    /// Creates a renderer of `first` and of the messages that follow it in `progress`.
    pub(crate) fn new(
        cx: Rc<TrafficCx>,
        parts: RenderParts,
        first: Progress,
        progress: Receiver<Progress>,
    ) -> Self {
        Self {
            cx,
            parts,
            first: Some(first),
            progress,
            prompt_tokens: 0,
            cached_tokens: 0,
            saw_token: false,
        }
    }

    /// Returns the response, a JSON object or a stream of events.
    ///
    /// # Errors
    ///
    /// Returns a failure if a response that isn't streamed has no complete answer.
    pub(crate) async fn into_response(self) -> Result<Response<Reply>, Failure> {
        if self.parts.is_streamed {
            let (tx, rx) = piece_channel(MAX_QUEUED_PIECES);
            tokio::task::spawn_local(self.stream(tx));
            return Ok(body::events(rx));
        }
        self.collect().await
    }

    async fn next(&mut self) -> Option<Progress> {
        match self.first.take() {
            Some(first) => Some(first),
            None => self.progress.recv_async().await.ok(),
        }
    }

    /// Sends the events of the answer, which is complete once the exchange has finished.
    async fn stream(mut self, pieces: PieceSender) {
        while let Some(progress) = self.next().await {
            let (text, has_finished) = match &progress {
                Progress::Line { offset, line, .. } => (self.event(*offset, line), false),
                Progress::Finished(end) if end.outcome == Outcome::Done => {
                    ("data: [DONE]\n\n".into(), true)
                }
                Progress::Finished(end) => {
                    (format!("data: {}\n\n", Failure::from_result(end).to_json()), true)
                }
            };
            if pieces.send(Bytes::from(text)).await.is_err() {
                return;
            }
            if has_finished {
                return pieces.complete();
            }
        }
    }

    async fn collect(mut self) -> Result<Response<Reply>, Failure> {
        let mut content = String::new();
        let mut end = None;
        while let Some(progress) = self.next().await {
            match &progress {
                Progress::Line { line, .. } => match self.piece(line) {
                    Some(Piece::Token { text, .. }) => content.push_str(&text),
                    Some(Piece::End { reason, completion_tokens }) => {
                        end = Some((reason, completion_tokens));
                    }
                    Some(Piece::Start { .. }) | None => {}
                },
                Progress::Finished(last) if last.outcome == Outcome::Done => break,
                Progress::Finished(end) => return Err(Failure::from_result(end)),
            }
        }
        let (finish_reason, completion_tokens) = end.ok_or_else(truncated)?;
        let completion = Completion {
            id: &self.parts.request_id,
            object: "chat.completion",
            model: &self.parts.model,
            choices: [CompletionChoice {
                index: 0,
                message: Message { role: "assistant".into(), content },
                finish_reason,
            }],
            usage: self.usage(completion_tokens),
        };
        let text = serde_json::to_string(&completion).unwrap_or_default();
        Ok(body::json(StatusCode::OK, text))
    }

    fn event(&mut self, offset: Offset, line: &[u8]) -> String {
        let Some(piece) = self.piece(line) else { return String::new() };
        let (delta, finish_reason, usage) = match &piece {
            Piece::Start { .. } => (Delta { role: Some("assistant"), content: None }, None, None),
            Piece::Token { text, .. } => (Delta { role: None, content: Some(text) }, None, None),
            Piece::End { reason, completion_tokens } => {
                (Delta::default(), Some(reason.as_str()), Some(self.usage(*completion_tokens)))
            }
        };
        let chunk = Chunk {
            id: &self.parts.request_id,
            object: "chat.completion.chunk",
            model: &self.parts.model,
            choices: [ChunkChoice { index: 0, delta, finish_reason }],
            usage,
        };
        let json = serde_json::to_string(&chunk).unwrap_or_default();
        format!("id: {}\ndata: {json}\n\n", offset.0)
    }

    /// Parses a line and records the values that later pieces and the metrics need.
    fn piece(&mut self, line: &[u8]) -> Option<Piece> {
        let piece: Piece = serde_json::from_slice(line).ok()?;
        match &piece {
            Piece::Start { prompt_tokens, cached_tokens } => {
                self.prompt_tokens = *prompt_tokens;
                self.cached_tokens = *cached_tokens;
            }
            Piece::Token { .. } if !self.saw_token => {
                self.saw_token = true;
                let ms = self.cx.clock.now().ms_since(self.parts.started);
                let histogram = self.cx.metrics.first_token.with_label_values(&["router"]);
                histogram.observe(ms as f64 / 1_000.0);
            }
            Piece::Token { .. } | Piece::End { .. } => {}
        }
        Some(piece)
    }

    fn usage(&self, completion_tokens: u32) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens,
            total_tokens: self.prompt_tokens.saturating_add(completion_tokens),
            prompt_tokens_details: PromptTokensDetails { cached_tokens: self.cached_tokens },
        }
    }
}

fn truncated() -> Failure {
    Failure::failed(
        StatusCode::BAD_GATEWAY,
        "broken",
        Outcome::Unknown,
        "the answer ended early; send the request again",
    )
}
