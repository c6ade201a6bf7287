//! Execution of a request: waits for a slot, processes the prompt and streams the answer.

use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use super::answer::{MAX_ANSWER_TOKENS, Message, answer_words, prompt_tokens, token_text};
use super::cache::chain;
use super::state::{Run, StopReason};
use super::{Admission, Core};
use crate::http::{Call, JsonLines};

/// Longest wait before a run checks the state again without having been notified.
const MAX_WAIT: Duration = Duration::from_secs(1);

#[derive(Debug, Deserialize)]
pub(super) struct GenerateBody {
    request_id: String,
    pub(super) model: String,
    messages: Vec<Message>,
    max_tokens: u32,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    resume_from: u32,
}

/// One line of a streamed answer.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    Start { prompt_tokens: u32, cached_tokens: u32 },
    Token { index: u32, text: String },
    End { reason: EndReason, completion_tokens: u32 },
}

#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
enum EndReason {
    Stop,
    Length,
    Cancelled,
}

/// A waiting or running request of one incarnation. Dropping this frees its slot or its place in
/// the queue.
struct RunGuard<'a> {
    core: &'a Core,
    run_id: u64,
    incarnation: u64,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.core.state().remove_run(self.run_id);
        self.core.changed.notify_all();
    }
}

/// The reason why a stream has no end line.
#[derive(Debug, Clone, Copy)]
enum StreamFailure {
    Stopped(StopReason),
    ReaderGone,
}

impl From<StopReason> for StreamFailure {
    fn from(reason: StopReason) -> Self {
        Self::Stopped(reason)
    }
}

impl From<io::Error> for StreamFailure {
    fn from(_: io::Error) -> Self {
        Self::ReaderGone
    }
}

impl Core {
    /// Generates the answer to a request whose model is loaded.
    pub(super) fn generate(&self, call: Call, body: &GenerateBody) {
        let Some(run) = self.enqueue(body) else {
            return call.reply_empty(503);
        };
        let admitted = run.wait_for_slot(body, call.header("traceparent"));
        if admitted == Err(StopReason::Crashed) {
            return;
        }
        if self.settings.crashes_before_head && run.crash_if_marked(body).is_err() {
            return;
        }
        let Ok(mut lines) = call.into_json_lines() else {
            return;
        };
        let mut next = body.resume_from;
        let streamed = match admitted {
            Ok(cached_tokens) => run.stream(body, cached_tokens, &mut next, &mut lines),
            Err(reason) => Err(reason.into()),
        };
        let Some(end) = self.count_end(streamed, next) else {
            return;
        };
        // Frees the slot before the reader receives the end line.
        drop(run);
        let _ = lines.send(&end).and_then(|()| lines.close());
    }

    /// Adds the request to the queue. Returns `None` if all slots and the queue are full.
    fn enqueue(&self, body: &GenerateBody) -> Option<RunGuard<'_>> {
        let mut state = self.state();
        if state.runs.len() >= self.settings.slots + self.settings.queue {
            state.counts.refused += 1;
            return None;
        }
        let run = Run {
            request_id: body.request_id.clone(),
            priority: body.priority,
            running: false,
            cancelled: false,
        };
        let run_id = state.enqueue(run);
        Some(RunGuard { core: self, run_id, incarnation: state.incarnation })
    }

    /// Counts how a stream ended and returns its end line, unless the engine crashed or the reader
    /// disconnected.
    fn count_end(&self, streamed: Result<(), StreamFailure>, next: u32) -> Option<Line> {
        let counts = &mut self.state().counts;
        let reason = match streamed {
            Ok(()) if next == MAX_ANSWER_TOKENS => EndReason::Stop,
            Ok(()) => EndReason::Length,
            Err(StreamFailure::Stopped(StopReason::Cancelled)) => EndReason::Cancelled,
            Err(StreamFailure::Stopped(StopReason::Crashed)) => return None,
            Err(StreamFailure::ReaderGone) => {
                counts.cut += 1;
                return None;
            }
        };
        match reason {
            EndReason::Stop | EndReason::Length => counts.finished += 1,
            EndReason::Cancelled => counts.cancelled += 1,
        }
        Some(Line::End { reason, completion_tokens: next })
    }
}

impl RunGuard<'_> {
    /// Waits for a slot and returns the number of cached prompt tokens.
    fn wait_for_slot(
        &self,
        body: &GenerateBody,
        traceparent: Option<String>,
    ) -> Result<u32, StopReason> {
        let links = chain(&body.messages);
        let mut state = self.core.state();
        while !state.may_run(self.run_id, self.core.settings.slots) {
            if let Some(reason) = state.stop_reason(self.run_id, self.incarnation) {
                return Err(reason);
            }
            state = self.core.wait(state, MAX_WAIT);
        }
        let cached_tokens = state.cache.cached_tokens(&links);
        let admission = Admission {
            request_id: body.request_id.clone(),
            traceparent,
            at_unix_ms: unix_ms(),
            priority: body.priority,
            prompt_tokens: prompt_tokens(&body.messages),
            cached_tokens,
            resume_from: body.resume_from,
        };
        state.admit(self.run_id, admission);
        drop(state);
        // Wakes the other runs, because another slot may be free for the next in the queue.
        self.core.changed.notify_all();
        Ok(cached_tokens)
    }

    /// Streams the answer starting at the token `next`.
    fn stream(
        &self,
        body: &GenerateBody,
        cached_tokens: u32,
        next: &mut u32,
        lines: &mut JsonLines,
    ) -> Result<(), StreamFailure> {
        let prompt_tokens = prompt_tokens(&body.messages);
        lines.send(&Line::Start { prompt_tokens, cached_tokens })?;
        let settings = &self.core.settings;
        self.wait(settings.prefill_per_token * (prompt_tokens - cached_tokens), None)?;
        self.crash_if_marked(body)?;
        let words = answer_words(&body.messages, body.max_tokens);
        let first = *next;
        for word in words.iter().skip(first as usize) {
            let interval = if *next == first { Duration::ZERO } else { settings.token_interval };
            self.wait(interval, Some(*next))?;
            lines.send(&Line::Token { index: *next, text: token_text(word) })?;
            *next += 1;
        }
        self.cache_answer(body, &words);
        Ok(())
    }

    fn crash_if_marked(&self, body: &GenerateBody) -> Result<(), StopReason> {
        let Some(marker) = &self.core.settings.crash_marker else {
            return Ok(());
        };
        if !body.messages.iter().any(|message| message.content.contains(marker)) {
            return Ok(());
        }
        self.core.crash();
        Err(StopReason::Crashed)
    }

    /// Caches the prompt and its answer in the form in which the chat's next turn sends them.
    fn cache_answer(&self, body: &GenerateBody, words: &[&str]) {
        let answer: String = words.iter().map(|word| token_text(word)).collect();
        let mut messages = body.messages.clone();
        messages.push(Message::new("assistant", answer));
        self.core.state().cache.insert(&chain(&messages));
    }

    /// Waits for `time` multiplied by the slowdown factor, and until the engine is neither frozen
    /// nor stalled at the token `index`.
    fn wait(&self, time: Duration, index: Option<u32>) -> Result<(), StopReason> {
        let started_at = Instant::now();
        let mut state = self.core.state();
        loop {
            if let Some(reason) = state.stop_reason(self.run_id, self.incarnation) {
                return Err(reason);
            }
            let left = (time * state.slowdown_factor).saturating_sub(started_at.elapsed());
            let stalled = state.is_stalled(index);
            if !stalled && left.is_zero() {
                return Ok(());
            }
            let wait = if stalled { MAX_WAIT } else { left.min(MAX_WAIT) };
            state = self.core.wait(state, wait);
        }
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
