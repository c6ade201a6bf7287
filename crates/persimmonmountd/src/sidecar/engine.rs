//! HTTP client for the model engine beside the sidecar.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flume::{Receiver, Sender};
use persimmon_decide::outcome::LedgerKey;
use persimmon_records::Class;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

use super::command::Command;
use crate::common::{HttpAnswer, HttpError, HttpRequest};

/// Maximum number of lines that an engine thread has sent and the control thread hasn't handled.
pub(crate) const MAX_LINES_IN_FLIGHT: usize = 32;
/// Maximum length of a line of an engine's answer, in bytes.
const MAX_LINE_BYTES: u64 = 64 * 1024;
/// Timeout of a cancellation, in seconds.
const CANCEL_TIMEOUT_S: u64 = 5;
/// Maximum length of an answer that isn't streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Timeout of a health check, in seconds.
const HEALTH_TIMEOUT_S: u64 = 1;
/// Interval between health checks.
const HEALTH_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of queued cancellations.
const MAX_WAITING_CANCELLATIONS: usize = 1_024;

/// Why an engine's answer is incomplete.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum EngineFailure {
    /// The request wasn't sent because the engine refused the connection.
    #[error("the engine accepts no connections; check whether it is down or restarting")]
    NotSent,
    /// The engine refused the request before running it.
    #[error("the engine refused the request with status {0}; check that the model is loaded")]
    Refused(u16),
    /// The answer ended early.
    #[error("the engine's answer ended early; the engine's incarnation is now {incarnation:?}")]
    Interrupted {
        /// The engine's incarnation after the failure, or `None` if the engine doesn't respond.
        incarnation: Option<u64>,
    },
}

/// An update on a request from its engine thread.
#[derive(Debug)]
pub(crate) enum EngineUpdate {
    /// One line of the answer.
    Line(Arc<[u8]>),
    /// The answer is complete.
    Whole,
    /// The engine cancelled the request.
    Cancelled,
    /// The answer is incomplete.
    Failed(EngineFailure),
}

/// An update with the run that it belongs to.
#[derive(Debug)]
pub(crate) struct EngineEvent {
    pub(crate) key: LedgerKey,
    /// Number of the run, which differs between runs of the same request.
    pub(crate) run: u64,
    pub(crate) update: EngineUpdate,
}

/// Body of a request to the engine.
#[derive(Debug, Serialize)]
pub(crate) struct GenerateBody {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) messages: Box<RawValue>,
    pub(crate) max_tokens: u32,
    pub(crate) priority: u8,
    pub(crate) resume_from: u64,
}

/// A request for an engine thread to send.
#[derive(Debug)]
pub(crate) struct EngineRun {
    pub(crate) key: LedgerKey,
    pub(crate) run: u64,
    pub(crate) body: GenerateBody,
    pub(crate) traceparent: String,
    pub(crate) timeout_s: u64,
    /// Permits, one of which the engine thread takes for each line that it sends.
    pub(crate) permits: Receiver<()>,
}

/// Returns the engine's priority for a class.
pub(crate) fn engine_priority(class: Class) -> u8 {
    match class {
        Class::Quick => 0,
        Class::Conversation => 1,
        Class::Drafting => 2,
    }
}

#[derive(Serialize)]
struct CancelBody {
    request_id: String,
}

#[derive(Deserialize)]
struct Health {
    incarnation: u64,
}

/// Returns the engine's incarnation, or `None` if the engine doesn't respond.
fn engine_incarnation(address: SocketAddr) -> Option<u64> {
    let timeout = Duration::from_secs(HEALTH_TIMEOUT_S);
    let answer = HttpRequest::get(address, "/v1/health", timeout).send().ok()?;
    let health: Health = answer.json(MAX_ANSWER_BYTES).ok()?;
    Some(health.incarnation)
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum LastLine {
    End { reason: String },
}

/// Handle through which the control thread uses the engine.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    address: SocketAddr,
    commands: Sender<Command>,
    cancellations: Sender<String>,
}

impl Engine {
    /// Starts the thread that sends cancellations.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub(crate) fn start(address: SocketAddr, commands: Sender<Command>) -> std::io::Result<Self> {
        let (cancellations, rx) = flume::bounded(MAX_WAITING_CANCELLATIONS);
        thread::Builder::new()
            .name("engine-orders".into())
            .spawn(move || send_cancellations(address, &rx))?;
        Ok(Self { address, commands, cancellations })
    }

    /// Runs a request on a new thread, which sends its updates as [`Command::Engine`].
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started. The request wasn't sent.
    pub(crate) fn run(&self, run: EngineRun) -> std::io::Result<()> {
        let address = self.address;
        let commands = self.commands.clone();
        thread::Builder::new().name("engine-run".into()).spawn(move || {
            let (key, number) = (run.key, run.run);
            let update = generate(address, &run, &commands);
            let event = EngineEvent { key, run: number, update };
            // A closed channel means that the process has ended.
            let _closed = commands.send(Command::Engine(event));
        })?;
        Ok(())
    }

    /// Starts the thread that checks the engine's health and sends changes of its incarnation as
    /// [`Command::EngineIncarnation`].
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub(crate) fn watch_health(&self) -> std::io::Result<()> {
        let address = self.address;
        let commands = self.commands.clone();
        thread::Builder::new().name("engine-health".into()).spawn(move || {
            let mut last = None;
            loop {
                let incarnation = engine_incarnation(address);
                if incarnation != last
                    && commands.send(Command::EngineIncarnation(incarnation)).is_err()
                {
                    return;
                }
                last = incarnation;
                thread::sleep(HEALTH_INTERVAL);
            }
        })?;
        Ok(())
    }

    /// Queues the cancellation of a request. If the queue is full, the cancellation is dropped and
    /// the request runs until its deadline.
    pub(crate) fn cancel(&self, request_id: String) {
        if self.cancellations.try_send(request_id).is_err() {
            tracing::warn!("engine: cancellation dropped because the queue is full.");
        }
    }
}

fn send_cancellations(address: SocketAddr, rx: &Receiver<String>) {
    for request_id in rx {
        let timeout = Duration::from_secs(CANCEL_TIMEOUT_S);
        let body = CancelBody { request_id };
        let request = HttpRequest::post(address, "/v1/cancel", &body, timeout);
        if let Err(err) = request.and_then(HttpRequest::send).and_then(HttpAnswer::discard) {
            tracing::warn!("engine: cancellation failed: {err}.");
        }
    }
}

/// Runs a request and sends its lines to the control thread. Returns the final update.
fn generate(address: SocketAddr, run: &EngineRun, commands: &Sender<Command>) -> EngineUpdate {
    let timeout = Duration::from_secs(run.timeout_s);
    let request = HttpRequest::post(address, "/v1/generate", &run.body, timeout);
    let sent = request.and_then(|it| it.with_traceparent(run.traceparent.clone()).send());
    let answer = match sent {
        Ok(answer) => answer,
        Err(err) => return EngineUpdate::Failed(failure_before_answer(address, &err)),
    };
    let status = answer.status().as_u16();
    if status != 200 {
        return EngineUpdate::Failed(match answer.discard() {
            Ok(()) => EngineFailure::Refused(status),
            Err(_) => EngineFailure::Interrupted { incarnation: engine_incarnation(address) },
        });
    }
    match read_lines(BufReader::new(answer), run, commands) {
        Some(update) => update,
        None => EngineUpdate::Failed(EngineFailure::Interrupted {
            incarnation: engine_incarnation(address),
        }),
    }
}

/// Classifies an error before the answer. Only a refused connection proves that the engine didn't
/// receive the request; after other errors it may have run.
fn failure_before_answer(address: SocketAddr, err: &HttpError) -> EngineFailure {
    if err.is_refused() {
        return EngineFailure::NotSent;
    }
    EngineFailure::Interrupted { incarnation: engine_incarnation(address) }
}

/// Sends the lines of an answer to the control thread. Returns the final update, or `None` if the
/// answer ended early.
pub(super) fn read_lines(
    mut reader: impl BufRead,
    run: &EngineRun,
    commands: &Sender<Command>,
) -> Option<EngineUpdate> {
    loop {
        let mut line = Vec::new();
        let read = (&mut reader).take(MAX_LINE_BYTES).read_until(b'\n', &mut line);
        if read.is_err() || line.pop() != Some(b'\n') {
            return None;
        }
        // Without a line that can't be read, the answer would be one that lacks a piece.
        if let Err(err) = serde_json::from_slice::<IgnoredAny>(&line) {
            tracing::warn!("engine: a line of an answer is no JSON: {err}.");
            return None;
        }
        let last = serde_json::from_slice::<LastLine>(&line).ok();
        if let Some(LastLine::End { reason }) = &last
            && reason == "cancelled"
        {
            return Some(EngineUpdate::Cancelled);
        }
        // The control thread drops the permits when it cancels or removes the run.
        if run.permits.recv().is_err() {
            return Some(EngineUpdate::Cancelled);
        }
        let update = EngineUpdate::Line(line.into());
        let event = EngineEvent { key: run.key, run: run.run, update };
        if commands.send(Command::Engine(event)).is_err() {
            return Some(EngineUpdate::Cancelled);
        }
        if last.is_some() {
            return Some(EngineUpdate::Whole);
        }
    }
}
