//! HTTP servers for readiness, metrics, status, and records for peers.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use persimmon_decide::forward::StoreEra;
use tokio::net::TcpListener;

use crate::gateway::Gateway;
use crate::platform::Platform;
use crate::status::Status;

/// Path at which peers fetch records.
pub(crate) const RECORDS_PATH: &str = "/records";
/// Prefix of the query that names the last known revision.
pub(crate) const SINCE: &str = "since=";
/// Maximum age of a connection; each carries only a few small requests.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(30);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves readiness, metrics, status and records, each under its own path, on `listener`.
pub(crate) async fn serve_ops<P: Platform>(gw: Rc<Gateway<P>>, listener: TcpListener) {
    serve(listener, move |req| answer(&gw, req)).await;
}

/// Serves the pages that `answer` returns until the process ends.
pub(crate) async fn serve(
    listener: TcpListener,
    answer: impl Fn(&Request<Incoming>) -> Response<Full<Bytes>> + 'static,
) {
    let answer = Rc::new(answer);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                tracing::warn!(target: "ops", %err, "accepting a connection failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |req| {
                let response = answer(&req);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Ok(Err(err)) = tokio::time::timeout(MAX_CONNECTION_AGE, served).await {
                tracing::debug!(target: "ops", %err, "a connection failed");
            }
        });
    }
}

fn answer<P: Platform>(gw: &Gateway<P>, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    match req.uri().path() {
        "/ready" => ready(gw),
        "/metrics" => metrics_page(gw.metrics.encode()),
        "/status" => match serde_json::to_vec(&Status::of(gw)) {
            Ok(text) => reply(StatusCode::OK, text.into()),
            Err(err) => failure("status", &err),
        },
        RECORDS_PATH => records(gw, req.uri().query()),
        _ => no_such_page(),
    }
}

/// Returns the page with the metrics.
pub(crate) fn metrics_page(encoded: prometheus::Result<Vec<u8>>) -> Response<Full<Bytes>> {
    match encoded {
        Ok(text) => reply(StatusCode::OK, text.into()),
        Err(err) => failure("metrics", &err),
    }
}

pub(crate) fn no_such_page() -> Response<Full<Bytes>> {
    reply(StatusCode::NOT_FOUND, Bytes::from_static(b"no such page\n"))
}

fn ready<P: Platform>(gw: &Gateway<P>) -> Response<Full<Bytes>> {
    if gw.control.borrow().is_ready() {
        reply(StatusCode::OK, Bytes::from_static(b"ready\n"))
    } else {
        reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not ready\n"))
    }
}

/// Returns the records that changed after the revision in the query, or all records without one.
fn records<P: Platform>(gw: &Gateway<P>, query: Option<&str>) -> Response<Full<Bytes>> {
    let revision = query.and_then(|it| it.strip_prefix(SINCE)).and_then(|it| it.parse().ok());
    let started = Instant::now();
    let delta = gw.control.borrow().view.since(revision.unwrap_or(0), gw.clock.now());
    match delta.to_bytes() {
        Ok(bytes) => {
            gw.metrics.records.bytes.with_label_values(&["sent"]).inc_by(bytes.len() as u64);
            if let Some(suppressed) = gw.log_limiter.admit("records_sent", gw.clock.now()) {
                let took_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
                tracing::info!(target: "records", bytes = bytes.len(), is_whole = delta.is_whole,
                    since = revision.map(StoreEra::revision), took_us, suppressed,
                    "sent records to a peer");
            }
            reply(StatusCode::OK, bytes.into())
        }
        Err(err) => failure("records", &err),
    }
}

fn failure(what: &str, err: &dyn std::error::Error) -> Response<Full<Bytes>> {
    tracing::warn!(target: "ops", what, %err, "encoding a page failed");
    reply(StatusCode::INTERNAL_SERVER_ERROR, Bytes::from_static(b"see the log\n"))
}

fn reply(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
