//! HTTP client for the service beside the sidecar.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use flume::Sender;
use persimmon_decide::outcome::{Answer, LedgerKey};
use serde::Serialize;
use serde_json::value::RawValue;

use super::command::Command;
use crate::common::TraceContext;

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
    let request = minreq::post(format!("http://{address}/v1/calls"))
        .with_timeout(run.timeout_s)
        // A call that follows a redirect might run twice.
        .with_follow_redirects(false)
        .with_header("traceparent", run.trace.child().to_string())
        .with_json(&run.body);
    match request.and_then(minreq::Request::send) {
        Ok(response) => answered(&response),
        Err(minreq::Error::IoError(io)) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            ServiceResult::NotSent
        }
        Err(err) => {
            ServiceResult::Unknown(format!("the service's answer could not be read: {err}"))
        }
    }
}

fn answered(response: &minreq::Response) -> ServiceResult {
    let status = response.status_code;
    let body = response.as_bytes();
    if body.len() > MAX_ANSWER_BYTES {
        return ServiceResult::Unknown("the service's answer is too long to record".into());
    }
    if status >= 500 {
        return ServiceResult::Unknown(format!("the service failed with status {status}"));
    }
    ServiceResult::Answered(Answer { status, body: Arc::from(body) })
}
