//! Reads server-sent events as they arrive.

use std::io::{BufRead, BufReader, Read};
use std::time::Instant;

use minreq::ResponseLazy;
use serde_json::Value;

use super::caller::{CallError, Reply, find_header};

/// The data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// One server-sent event.
#[derive(Debug, Clone)]
pub struct SseEvent {
    /// Its `id`, the offset in the answer.
    pub id: Option<u64>,
    /// Its data.
    pub data: String,
    /// When it had arrived whole.
    pub arrived_at: Instant,
}

impl SseEvent {
    /// Whether this event ends the stream.
    pub fn is_done(&self) -> bool {
        self.data == DONE
    }

    /// The text that the event adds to the answer.
    pub fn text(&self) -> String {
        let data: Value = serde_json::from_str(&self.data).unwrap_or_default();
        data["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
    }
}

/// A streamed answer, read to its end or until it broke.
#[derive(Debug, Clone)]
pub struct StreamedAnswer {
    /// The events in order of arrival.
    pub events: Vec<SseEvent>,
    /// The text of all events.
    pub text: String,
    /// Whether the stream ended with the event that says so.
    pub done: bool,
}

/// A reply whose body is still arriving.
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

    /// The HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// The header `name`, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// The next event, or none at the end of the body.
    ///
    /// # Errors
    /// When the stream breaks or its deadline passes.
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

    /// Reads the rest of the stream; one that breaks isn't done.
    pub fn read_rest(mut self) -> StreamedAnswer {
        let mut answer = StreamedAnswer { events: Vec::new(), text: String::new(), done: false };
        while let Ok(Some(event)) = self.next_event() {
            answer.done = event.is_done();
            answer.text.push_str(&event.text());
            answer.events.push(event);
        }
        answer
    }

    /// Reads the rest as a body that isn't a stream, such as a failure.
    ///
    /// # Errors
    /// When the body breaks or its deadline passes.
    pub fn into_reply(mut self) -> Result<Reply, CallError> {
        let mut body = String::new();
        self.body.read_to_string(&mut body)?;
        Ok(Reply { status: self.status, headers: self.headers, body })
    }
}
