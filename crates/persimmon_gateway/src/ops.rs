//! HTTP servers for readiness, metrics, status, and records for peers.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use persimmon_decide::forward::{FanOut, StoreEra};
use tokio::net::TcpListener;

use crate::gateway::Gateway;
use crate::http;
use crate::platform::Platform;
use crate::record_answers::{AnswerContent, ConnectionAnswer, PageBody};
use crate::status::Status;
use crate::update_codec;

/// Path at which peers of builds that don't know patches fetch records.
pub(crate) const RECORDS_PATH: &str = "/records";
/// Path at which peers fetch records, with patches.
pub(crate) const CHANGES_PATH: &str = "/changes";
/// End of the query of a peer that needs values in place of patches.
pub(crate) const VALUES: &str = "&values";
/// Prefix of the query that names the last known revision.
pub(crate) const SINCE: &str = "since=";
/// Maximum age of a connection. Each carries only a few requests, but a set of records may take long on a
/// narrow link.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(300);
/// Maximum size of what is written to a connection ahead of the link, in bytes.
const MAX_WRITTEN_AHEAD: usize = 64 * 1024;
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves readiness, metrics, status and records, each under its own path, on `listener`.
pub(crate) async fn serve_ops<P: Platform>(gw: Rc<Gateway<P>>, listener: TcpListener) {
    serve(listener, move |req, connection| answer(&gw, req, connection)).await;
}

/// Serves the pages that `answer` returns until the process ends.
pub(crate) async fn serve<B>(
    listener: TcpListener,
    answer: impl Fn(&Request<Incoming>, &ConnectionAnswer) -> Response<B> + 'static,
) where
    B: Body<Data = Bytes, Error = Infallible> + 'static,
{
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
        if let Err(err) = http::configure(&stream) {
            tracing::debug!(target: "ops", %err, "setting the options of a connection failed");
        }
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let connection = ConnectionAnswer::default();
            let service = service_fn(move |req| {
                let response = answer(&req, &connection);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .max_buf_size(MAX_WRITTEN_AHEAD)
                .serve_connection(TokioIo::new(stream), service);
            if let Ok(Err(err)) = tokio::time::timeout(MAX_CONNECTION_AGE, served).await {
                tracing::debug!(target: "ops", %err, "a connection failed");
            }
        });
    }
}

fn answer<P: Platform>(
    gw: &Gateway<P>,
    req: &Request<Incoming>,
    connection: &ConnectionAnswer,
) -> Response<PageBody> {
    let query = req.uri().query().unwrap_or_default();
    match req.uri().path() {
        "/ready" => ready(gw),
        "/metrics" => {
            let memory = gw.memory.borrow();
            gw.metrics.callers.record_held(memory.bodies().held_bytes(), "bodies");
            gw.metrics.callers.record_held(memory.answers().held_bytes(), "answers");
            metrics_page(gw.metrics.encode())
        }
        "/status" => match serde_json::to_vec(&Status::of(gw)) {
            Ok(text) => reply(StatusCode::OK, text.into()),
            Err(err) => failure("status", &err),
        },
        CHANGES_PATH => changes(gw, query, connection),
        RECORDS_PATH => records(gw, query),
        _ => no_such_page(),
    }
}

/// Returns the page with the metrics.
pub(crate) fn metrics_page(encoded: prometheus::Result<Vec<u8>>) -> Response<PageBody> {
    match encoded {
        Ok(text) => reply(StatusCode::OK, text.into()),
        Err(err) => failure("metrics", &err),
    }
}

pub(crate) fn no_such_page() -> Response<PageBody> {
    reply(StatusCode::NOT_FOUND, Bytes::from_static(b"no such page\n"))
}

fn ready<P: Platform>(gw: &Gateway<P>) -> Response<PageBody> {
    if gw.control.borrow().is_ready() {
        reply(StatusCode::OK, Bytes::from_static(b"ready\n"))
    } else {
        reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not ready\n"))
    }
}

/// Returns the revision in a query, or zero without one.
fn since(query: &str) -> u64 {
    query.strip_prefix(SINCE).and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// Returns the changes after the revision in the query, or all records without one.
fn changes<P: Platform>(
    gw: &Gateway<P>,
    query: &str,
    connection: &ConnectionAnswer,
) -> Response<PageBody> {
    let started = Instant::now();
    let now = gw.clock.now();
    let values = query.strip_suffix(VALUES);
    let revision = since(values.unwrap_or(query));
    let (size, content, is_settling) = {
        let view = &gw.control.borrow().view;
        let kept = view.kept_values();
        let content = AnswerContent { since: revision, revision: view.revision(), kept };
        (view.update_size(revision), content, view.is_settling(now))
    };
    // How long removals are deferred changes with the time.
    let may_keep = values.is_none() && !is_settling && FanOut::is_large(size);
    let kept = may_keep.then(|| gw.record_answers.kept(content)).flatten();
    let size = kept.as_ref().map_or(size, Bytes::len);
    if !FanOut::may_send(size, gw.record_answers.large(now)) {
        gw.metrics.records.answers.with_label_values(&["busy"]).inc();
        let busy = Bytes::from_static(b"busy with other peers\n");
        return reply(StatusCode::SERVICE_UNAVAILABLE, busy);
    }
    let bytes = match kept {
        Some(bytes) => bytes,
        None => match encode_changes(gw, revision, values.is_some()) {
            Ok(bytes) => {
                if may_keep {
                    gw.record_answers.keep(content, &bytes);
                }
                bytes
            }
            Err(err) => return failure("changes", &err),
        },
    };
    gw.metrics.records.answers.with_label_values(&["sent"]).inc();
    record_sent(gw, bytes.len(), revision, started);
    let body = match FanOut::is_large(bytes.len()) {
        true => gw.record_answers.large_body(bytes, connection, gw.clock),
        false => bytes.into(),
    };
    Response::new(body)
}

fn encode_changes<P: Platform>(
    gw: &Gateway<P>,
    revision: u64,
    needs_values: bool,
) -> postcard::Result<Bytes> {
    let control = gw.control.borrow();
    let update = match needs_values {
        true => control.view.values_since(revision, gw.clock.now()),
        false => control.view.update_since(revision, gw.clock.now()),
    };
    update_codec::encode(&update)
}

fn record_sent<P: Platform>(gw: &Gateway<P>, bytes: usize, since: u64, started: Instant) {
    gw.metrics.records.bytes.with_label_values(&["sent"]).inc_by(bytes as u64);
    if let Some(suppressed) = gw.log_limiter.admit("records_sent", gw.clock.now()) {
        let took_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        tracing::info!(target: "records", bytes, since = StoreEra::revision(since), took_us,
            suppressed, "sent records to a peer");
    }
}

/// Returns the records that changed after the revision in the query, or all records without one, for builds
/// that don't know patches.
fn records<P: Platform>(gw: &Gateway<P>, query: &str) -> Response<PageBody> {
    let revision = since(query);
    let started = Instant::now();
    let delta = gw.control.borrow().view.since(revision, gw.clock.now());
    match delta.to_bytes() {
        Ok(bytes) => {
            record_sent(gw, bytes.len(), revision, started);
            reply(StatusCode::OK, bytes.into())
        }
        Err(err) => failure("records", &err),
    }
}

fn failure(what: &str, err: &dyn std::error::Error) -> Response<PageBody> {
    tracing::warn!(target: "ops", what, %err, "encoding a page failed");
    reply(StatusCode::INTERNAL_SERVER_ERROR, Bytes::from_static(b"see the log\n"))
}

fn reply(status: StatusCode, body: Bytes) -> Response<PageBody> {
    let mut response = Response::new(PageBody::from(body));
    *response.status_mut() = status;
    response
}
