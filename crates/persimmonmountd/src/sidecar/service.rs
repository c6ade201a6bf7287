//! The plain service beside the sidecar, over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use flume::Sender;
use persimmon_decide::outcome::{Answer, LedgerKey};
use serde::Serialize;
use serde_json::value::RawValue;

use super::command::Command;
use crate::common::TraceContext;

/// Longest answer of a service that is taken, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// How a call ended.
#[derive(Debug)]
pub(crate) enum ServiceResult {
    /// The service answered.
    Answered(Answer),
    /// The call was never sent, since no connection could be opened.
    NotSent,
    /// The call was sent and its answer wasn't seen whole.
    Unknown(String),
}

/// How one call ended.
#[derive(Debug)]
pub(crate) struct ServiceEvent {
    pub(crate) key: LedgerKey,
    pub(crate) result: ServiceResult,
}

/// A call as the service takes it.
#[derive(Debug, Serialize)]
pub(crate) struct CallBody {
    pub(crate) key: String,
    pub(crate) operation: String,
    pub(crate) body: Box<RawValue>,
}

/// A call on its way to the service.
#[derive(Debug)]
pub(crate) struct ServiceRun {
    pub(crate) key: LedgerKey,
    pub(crate) body: CallBody,
    pub(crate) trace: TraceContext,
    pub(crate) timeout_s: u64,
}

/// The service as the control thread uses it.
#[derive(Debug, Clone)]
pub(crate) struct Service {
    address: SocketAddr,
    commands: Sender<Command>,
}

impl Service {
    /// The service at `address`, whose news go to `commands`.
    pub(crate) fn new(address: SocketAddr, commands: Sender<Command>) -> Self {
        Self { address, commands }
    }

    /// Runs a call on a thread of its own, which reports as [`Command::Service`].
    ///
    /// # Errors
    ///
    /// The thread can't be started. Nothing was sent.
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
        // A call that is sent again to another place might run twice.
        .with_follow_redirects(false)
        .with_header("traceparent", run.trace.child().to_string())
        .with_json(&run.body);
    match request.and_then(minreq::Request::send) {
        Ok(response) => answered(&response),
        Err(minreq::Error::IoError(io)) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            ServiceResult::NotSent
        }
        Err(err) => ServiceResult::Unknown(format!("the service's answer was not seen: {err}")),
    }
}

fn answered(response: &minreq::Response) -> ServiceResult {
    let status = response.status_code;
    let body = response.as_bytes();
    if body.len() > MAX_ANSWER_BYTES {
        return ServiceResult::Unknown("the service's answer is too long to keep".into());
    }
    if status >= 500 {
        return ServiceResult::Unknown(format!("the service failed with status {status}"));
    }
    ServiceResult::Answered(Answer { status, body: Arc::from(body) })
}
