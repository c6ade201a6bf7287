//! HTTP client for the service beside the sidecar.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flume::Sender;
use persimmon_decide::outcome::{Answer, LedgerKey};
use serde::Serialize;
use serde::de::IgnoredAny;
use serde_json::value::RawValue;

use super::command::Command;
use crate::common::{HttpError, HttpRequest, TraceContext};

/// Pauses before the connections that show whether a service which broke a call off has crashed, in
/// milliseconds. The system closes a process's listener up to some milliseconds after its connections.
const CRASH_CHECK_PAUSES_MS: [u64; 3] = [0, 20, 80];
/// Timeout of such a connection, in milliseconds. The service is on the same VM.
const CRASH_CHECK_TIMEOUT_MS: u64 = 50;
/// Maximum length of a service's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// Result of a call.
#[derive(Debug)]
pub(crate) enum ServiceResult {
    /// The service answered.
    Answered(Answer),
    /// The call wasn't sent because the service refused the connection.
    NotSent,
    /// The call was sent, but its outcome is unknown for this reason.
    Unknown(String),
    /// The service crashed while it ran the call, as this reason shows.
    Crashed(String),
}

/// Result of a call with the call's key.
#[derive(Debug)]
pub(crate) struct ServiceEvent {
    pub(crate) key: LedgerKey,
    pub(crate) result: ServiceResult,
}

/// Body of a call to the service.
#[derive(Debug, Serialize)]
pub(crate) struct CallBody {
    pub(crate) key: String,
    pub(crate) operation: String,
    pub(crate) body: Box<RawValue>,
}

/// A call for a service thread to send.
#[derive(Debug)]
pub(crate) struct ServiceRun {
    pub(crate) key: LedgerKey,
    pub(crate) body: CallBody,
    pub(crate) trace: TraceContext,
    pub(crate) timeout_s: u64,
}

/// Handle through which the control thread uses the service.
#[derive(Debug, Clone)]
pub(crate) struct Service {
    address: SocketAddr,
    commands: Sender<Command>,
}

impl Service {
    /// Creates a handle for the service at `address`; results are sent to `commands`.
    pub(crate) fn new(address: SocketAddr, commands: Sender<Command>) -> Self {
        Self { address, commands }
    }

    /// Runs a call on a new thread, which sends the result as [`Command::Service`].
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started. The call wasn't sent.
    pub(crate) fn run(&self, run: ServiceRun) -> std::io::Result<()> {
        let address = self.address;
        let commands = self.commands.clone();
        thread::Builder::new().name("service-call".into()).spawn(move || {
            let span = tracing::info_span!(
                "call",
                hop = "sidecar",
                trace_id = %run.trace.trace_id(),
            );
            let result = span.in_scope(|| call(address, &run));
            drop(span);
            // A closed channel means that the process has ended.
            let _closed = commands.send(Command::Service(ServiceEvent { key: run.key, result }));
        })?;
        Ok(())
    }
}

fn call(address: SocketAddr, run: &ServiceRun) -> ServiceResult {
    match read_answer(address, run) {
        Ok(result) => result,
        Err(err) if err.is_refused() => ServiceResult::NotSent,
        Err(err) => {
            let reason = format!("the service's answer could not be read: {err}");
            match err.is_broken() && refuses_connections(address) {
                true => ServiceResult::Crashed(reason),
                false => ServiceResult::Unknown(reason),
            }
        }
    }
}

/// Reports whether the service refuses connections, as a process that has ended does.
fn refuses_connections(address: SocketAddr) -> bool {
    CRASH_CHECK_PAUSES_MS.into_iter().any(|pause_ms| {
        thread::sleep(Duration::from_millis(pause_ms));
        let timeout = Duration::from_millis(CRASH_CHECK_TIMEOUT_MS);
        let connected = TcpStream::connect_timeout(&address, timeout);
        connected.is_err_and(|err| err.kind() == io::ErrorKind::ConnectionRefused)
    })
}

fn read_answer(address: SocketAddr, run: &ServiceRun) -> Result<ServiceResult, HttpError> {
    let timeout = Duration::from_secs(run.timeout_s);
    let request = HttpRequest::post(address, "/v1/calls", &run.body, timeout)?;
    let answer = request.with_traceparent(run.trace.child().to_string()).send()?;
    let (status, is_end_framed) = (answer.status().as_u16(), answer.is_end_framed());
    let body = answer.read_complete(MAX_ANSWER_BYTES)?;
    if status >= 500 {
        return Ok(ServiceResult::Unknown(format!("the service failed with status {status}")));
    }
    // A service that crashes closes its connection like one that has sent everything.
    if !is_end_framed {
        serde_json::from_slice::<IgnoredAny>(&body)?;
    }
    Ok(ServiceResult::Answered(Answer { status, body: Arc::from(body) }))
}
