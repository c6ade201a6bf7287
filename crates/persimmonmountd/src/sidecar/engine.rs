//! The model engine beside the sidecar, over HTTP.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flume::{Receiver, Sender};
use persimmon_decide::outcome::LedgerKey;
use persimmon_records::Class;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

use super::command::Command;

/// Lines that an engine thread may report before the control thread has taken them in.
pub(crate) const MAX_LINES_IN_FLIGHT: usize = 32;
/// Longest line of an engine's answer, in bytes.
const MAX_LINE_BYTES: u64 = 64 * 1024;
/// Time that the engine has for a short order such as a cancellation, in seconds.
const ORDER_TIMEOUT_S: u64 = 5;
/// Time that the engine has to answer a health check, in seconds.
const HEALTH_TIMEOUT_S: u64 = 1;
/// Time between two health checks.
const HEALTH_INTERVAL: Duration = Duration::from_millis(500);
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
    /// The stream stopped before its end. Holds the life of the engine that was found afterwards.
    #[error("the engine's answer broke off; its life is now {incarnation:?}")]
    Interrupted {
        /// The incarnation; none if the engine doesn't answer.
        incarnation: Option<u64>,
    },
}

/// What an engine thread reports of its request.
#[derive(Debug)]
pub(crate) enum EngineUpdate {
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
    pub(crate) update: EngineUpdate,
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

/// The life of the engine that runs, if one does.
fn engine_incarnation(address: SocketAddr) -> Option<u64> {
    let request = minreq::get(format!("http://{address}/v1/health")).with_timeout(HEALTH_TIMEOUT_S);
    let health: Health = request.send().ok()?.json().ok()?;
    Some(health.incarnation)
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
            let update = generate(address, &run, &commands);
            let event = EngineEvent { key, run: number, update };
            // A closed channel means that the process has ended.
            let _closed = commands.send(Command::Engine(event));
        })?;
        Ok(())
    }

    /// Starts the thread that watches which life of the engine runs.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
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
fn generate(address: SocketAddr, run: &EngineRun, commands: &Sender<Command>) -> EngineUpdate {
    let request = minreq::post(format!("http://{address}/v1/generate"))
        .with_timeout(run.timeout_s)
        // A call that is sent again to another place might run twice.
        .with_follow_redirects(false)
        .with_header("traceparent", run.traceparent.as_str())
        .with_json(&run.body);
    let response = match request.and_then(minreq::Request::send_lazy) {
        Ok(response) => response,
        Err(err) => return EngineUpdate::Failed(failure_before_answer(address, &err)),
    };
    let status = response.status_code;
    if has_no_response(status, &response.headers) {
        return EngineUpdate::Failed(EngineFailure::Interrupted {
            incarnation: engine_incarnation(address),
        });
    }
    if status != 200 {
        return EngineUpdate::Failed(EngineFailure::Refused(status));
    }
    match read_lines(BufReader::new(response), run, commands) {
        Some(update) => update,
        None => EngineUpdate::Failed(EngineFailure::Interrupted {
            incarnation: engine_incarnation(address),
        }),
    }
}

/// Whether the connection was closed before an answer began. `minreq` then makes up a 503 without
/// headers, which isn't the engine's word that it refused.
fn has_no_response(status: u16, headers: &[(String, String)]) -> bool {
    status == 503 && headers.is_empty()
}

/// A connection that was refused carried nothing; after any other error the engine may have run.
fn failure_before_answer(address: SocketAddr, err: &minreq::Error) -> EngineFailure {
    match err {
        minreq::Error::IoError(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            EngineFailure::NotSent
        }
        minreq::Error::AddressNotFound => EngineFailure::NotSent,
        _ => EngineFailure::Interrupted { incarnation: engine_incarnation(address) },
    }
}

/// Reports the lines of an answer. Returns how it ended; none if it broke off.
fn read_lines(
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
        let last = serde_json::from_slice::<LastLine>(&line).ok();
        if let Some(LastLine::End { reason }) = &last
            && reason == "cancelled"
        {
            return Some(EngineUpdate::Cancelled);
        }
        // Without a permit the control thread has dropped the run.
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
