//! Reader of server-sent events.

use std::io::{BufRead, BufReader, Read};
use std::time::Instant;

use minreq::ResponseLazy;
use serde_json::Value;

use super::caller::{CallError, Reply, find_header};

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// One server-sent event.
#[derive(Debug, Clone)]
pub struct SseEvent {
    /// `id` of the event, which is the offset in the answer.
    pub id: Option<u64>,
    /// Data of the event.
    pub data: String,
    /// Time at which the event had arrived completely.
    pub arrived_at: Instant,
}

impl SseEvent {
    /// Reports whether this event ends the stream.
    pub fn is_done(&self) -> bool {
        self.data == DONE
    }

    /// Returns the text that the event adds to the answer.
    pub fn text(&self) -> String {
        let data: Value = serde_json::from_str(&self.data).unwrap_or_default();
        data["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
    }
}

/// A streamed answer, read until it ended or failed.
#[derive(Debug, Clone)]
pub struct StreamedAnswer {
    /// Events in order of arrival.
    pub events: Vec<SseEvent>,
    /// Text of all events.
    pub text: String,
    /// Whether the last event was the one that ends a stream.
    pub done: bool,
}

/// A reply whose body is read as it arrives.
pub struct ChatStream {
    status: u16,
    headers: Vec<(String, String)>,
    body: BufReader<ResponseLazy>,
}

impl ChatStream {
    pub(super) fn new(response: ResponseLazy) -> Self {
        Self {
            status: response.status_code,
            headers: response.headers.clone(),
            body: BufReader::new(response),
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the header `name`, compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Reads the next event, or returns `None` at the end of the body.
    ///
    /// # Errors
    /// Returns an error if the stream fails or its deadline passes.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, CallError> {
        let mut id = None;
        let mut data = String::new();
        loop {
            let mut line = String::new();
            if self.body.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            let line = line.trim_end();
            if let Some(value) = line.strip_prefix("id:") {
                id = value.trim().parse().ok();
            } else if let Some(value) = line.strip_prefix("data:") {
                data.push_str(value.trim_start());
            } else if line.is_empty() && !data.is_empty() {
                return Ok(Some(SseEvent { id, data, arrived_at: Instant::now() }));
            }
        }
    }

    /// Reads the rest of the stream. If the stream fails, `done` is false in the result.
    pub fn read_rest(mut self) -> StreamedAnswer {
        let mut answer = StreamedAnswer { events: Vec::new(), text: String::new(), done: false };
        while let Ok(Some(event)) = self.next_event() {
            answer.done = event.is_done();
            answer.text.push_str(&event.text());
            answer.events.push(event);
        }
        answer
    }

    /// Reads the rest of the body as a plain reply, such as an error reply.
    ///
    /// # Errors
    /// Returns an error if the connection fails or its deadline passes.
    pub fn into_reply(mut self) -> Result<Reply, CallError> {
        let mut body = String::new();
        self.body.read_to_string(&mut body)?;
        Ok(Reply { status: self.status, headers: self.headers, body })
    }
}
