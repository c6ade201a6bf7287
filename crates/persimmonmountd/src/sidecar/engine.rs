//! The model engine beside the sidecar, over HTTP.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use flume::{Receiver, Sender};
use persimmon_decide::outcome::LedgerKey;
use persimmon_records::Class;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

use super::command::Command;

/// Lines that an engine thread may report before the control thread has taken them in.
pub(crate) const LINES_IN_FLIGHT: usize = 32;
/// Longest line of an engine's answer, in bytes.
const MAX_LINE_BYTES: u64 = 64 * 1024;
/// Time that the engine has for a short order such as a cancellation, in seconds.
const ORDER_TIMEOUT_S: u64 = 5;
/// Orders that wait for the order thread.
const MAX_WAITING_ORDERS: usize = 1_024;

/// Why an engine's answer isn't whole.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum EngineFailure {
    /// The request was never sent, since no connection could be opened.
    #[error("the engine takes no connection; it is down or restarting")]
    NotSent,
    /// The engine refused the request before running it.
    #[error("the engine refused the request with status {0}; check that the model is loaded")]
    Refused(u16),
    /// The stream stopped before its end.
    #[error("the engine's answer broke off; it may have crashed")]
    BrokenOff,
}

/// What an engine thread reports of its request.
#[derive(Debug)]
pub(crate) enum EngineNews {
    /// One line of the answer.
    Line(Arc<[u8]>),
    /// The answer is whole.
    Whole,
    /// The engine cancelled the request.
    Cancelled,
    /// The answer isn't whole.
    Failed(EngineFailure),
}

/// News of one request.
#[derive(Debug)]
pub(crate) struct EngineEvent {
    pub(crate) key: LedgerKey,
    /// Which run of the request this is about.
    pub(crate) run: u64,
    pub(crate) news: EngineNews,
}

/// A request as the engine takes it.
#[derive(Debug, Serialize)]
pub(crate) struct GenerateBody {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) messages: Box<RawValue>,
    pub(crate) max_tokens: u32,
    pub(crate) priority: u8,
    pub(crate) resume_from: u64,
}

/// A request on its way to the engine.
#[derive(Debug)]
pub(crate) struct EngineRun {
    pub(crate) key: LedgerKey,
    pub(crate) run: u64,
    pub(crate) body: GenerateBody,
    pub(crate) traceparent: String,
    pub(crate) timeout_s: u64,
    /// One permit for each line that may be reported.
    pub(crate) permits: Receiver<()>,
}

/// The priority that the engine takes for a class.
pub(crate) fn priority_of(class: Class) -> u8 {
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
#[serde(rename_all = "lowercase")]
enum LastLine {
    End { reason: String },
}

/// The engine as the control thread uses it.
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
    /// The thread can't be started.
    pub(crate) fn start(address: SocketAddr, commands: Sender<Command>) -> std::io::Result<Self> {
        let (cancellations, rx) = flume::bounded(MAX_WAITING_ORDERS);
        thread::Builder::new()
            .name("engine-orders".into())
            .spawn(move || send_cancellations(address, &rx))?;
        Ok(Self { address, commands, cancellations })
    }

    /// Runs a request on a thread of its own, which reports as [`Command::Engine`].
    ///
    /// # Errors
    ///
    /// The thread can't be started. Nothing was sent.
    pub(crate) fn run(&self, run: EngineRun) -> std::io::Result<()> {
        let address = self.address;
        let commands = self.commands.clone();
        thread::Builder::new().name("engine-run".into()).spawn(move || {
            let (key, number) = (run.key, run.run);
            let news = generate(address, &run, &commands);
            let event = EngineEvent { key, run: number, news };
            // A closed channel means that the process has ended.
            let _closed = commands.send(Command::Engine(event));
        })?;
        Ok(())
    }

    /// Asks the engine to cancel a request. An order that finds the queue full is dropped; the
    /// stream then ends with its deadline.
    pub(crate) fn cancel(&self, request_id: String) {
        if self.cancellations.try_send(request_id).is_err() {
            tracing::warn!("engine: a cancellation was dropped, since too many wait.");
        }
    }
}

fn send_cancellations(address: SocketAddr, rx: &Receiver<String>) {
    for request_id in rx {
        let request = minreq::post(format!("http://{address}/v1/cancel"))
            .with_timeout(ORDER_TIMEOUT_S)
            .with_json(&CancelBody { request_id });
        if let Err(err) = request.and_then(minreq::Request::send) {
            tracing::warn!("engine: a cancellation failed: {err}.");
        }
    }
}

/// Runs one request and reports its lines. Returns how it ended.
fn generate(address: SocketAddr, run: &EngineRun, commands: &Sender<Command>) -> EngineNews {
    let request = minreq::post(format!("http://{address}/v1/generate"))
        .with_timeout(run.timeout_s)
        .with_header("traceparent", run.traceparent.as_str())
        .with_json(&run.body);
    let response = match request.and_then(minreq::Request::send_lazy) {
        Ok(response) => response,
        Err(err) => return EngineNews::Failed(failure_before_answer(&err)),
    };
    let status = response.status_code;
    if status != 200 {
        return EngineNews::Failed(EngineFailure::Refused(status));
    }
    read_lines(BufReader::new(response), run, commands)
}

/// A connection that was refused carried nothing; after any other error the engine may have run.
fn failure_before_answer(err: &minreq::Error) -> EngineFailure {
    match err {
        minreq::Error::IoError(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            EngineFailure::NotSent
        }
        minreq::Error::AddressNotFound => EngineFailure::NotSent,
        _ => EngineFailure::BrokenOff,
    }
}

fn read_lines(mut reader: impl BufRead, run: &EngineRun, commands: &Sender<Command>) -> EngineNews {
    loop {
        let mut line = Vec::new();
        let read = (&mut reader).take(MAX_LINE_BYTES).read_until(b'\n', &mut line);
        if read.is_err() || line.pop() != Some(b'\n') {
            return EngineNews::Failed(EngineFailure::BrokenOff);
        }
        let last = serde_json::from_slice::<LastLine>(&line).ok();
        if let Some(LastLine::End { reason }) = &last
            && reason == "cancelled"
        {
            return EngineNews::Cancelled;
        }
        // Without a permit the control thread has dropped the run.
        if run.permits.recv().is_err() {
            return EngineNews::Cancelled;
        }
        let news = EngineNews::Line(line.into());
        let event = EngineEvent { key: run.key, run: run.run, news };
        if commands.send(Command::Engine(event)).is_err() {
            return EngineNews::Cancelled;
        }
        if last.is_some() {
            return EngineNews::Whole;
        }
    }
}
