//! HTTP server for operators: metrics, health, readiness and status.
//!
//! It must only be reachable from the operators' network, not by callers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use tiny_http::{Header, Request, Response, Server};

use super::{Metrics, Status};

const TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json";

/// Shared flag that says whether the process accepts new requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Sets whether the process accepts new requests.
    pub(crate) fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }

    /// Reports whether the process accepts new requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// The HTTP server for operators.
#[derive(Debug)]
pub(crate) struct OpsServer {
    address: SocketAddr,
}

impl OpsServer {
    /// Starts the server on a new thread, which calls `status` for each request for `/status`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or the thread can't be started.
    pub(crate) fn start(
        listen: SocketAddr,
        metrics: Metrics,
        readiness: Readiness,
        status: impl Fn() -> Option<Status> + Send + 'static,
    ) -> io::Result<Self> {
        let server = Server::http(listen).map_err(io::Error::other)?;
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| io::Error::other("the operators' address is not an IP address"))?;
        thread::Builder::new().name("ops".into()).spawn(move || {
            for req in server.incoming_requests() {
                let page = Page::of(req.url(), &metrics, &readiness, &status);
                answer(req, page);
            }
        })?;
        Ok(Self { address })
    }

    /// Returns the address that the server listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

struct Page {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
}

impl Page {
    fn of(
        url: &str,
        metrics: &Metrics,
        readiness: &Readiness,
        status: &impl Fn() -> Option<Status>,
    ) -> Self {
        match url.split('?').next().unwrap_or_default() {
            "/metrics" => Self::metrics(metrics),
            "/healthz" => Self::text(200, "ok\n"),
            "/readyz" if readiness.is_ready() => Self::text(200, "ready\n"),
            "/readyz" => Self::text(503, "not ready: starting, draining or without records\n"),
            "/status" => Self::status(status()),
            _ => Self::text(404, "no such page; ask for /metrics, /healthz, /readyz or /status\n"),
        }
    }

    fn text(status: u16, text: &str) -> Self {
        Self { status, content_type: TEXT, body: text.as_bytes().to_vec() }
    }

    fn metrics(metrics: &Metrics) -> Self {
        match metrics.encode() {
            Ok(body) => Self { status: 200, content_type: TEXT, body },
            Err(err) => Self::text(500, &format!("can't encode the metrics: {err}\n")),
        }
    }

    fn status(status: Option<Status>) -> Self {
        let body = status.and_then(|status| serde_json::to_vec(&status).ok());
        match body {
            Some(body) => Self { status: 200, content_type: JSON, body },
            None => Self::text(503, "the control thread doesn't respond; see the logs\n"),
        }
    }
}

fn answer(req: Request, page: Page) {
    let mut response = Response::from_data(page.body).with_status_code(page.status);
    if let Ok(header) = Header::from_bytes("Content-Type", page.content_type) {
        response.add_header(header);
    }
    if let Err(err) = req.respond(response) {
        tracing::debug!("ops: can't send a response: {err}.");
    }
}
