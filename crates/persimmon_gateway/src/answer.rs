//! Handles a caller's request: plans it, sends it to endpoints and forwards the answer.

use std::rc::Rc;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::{Request, Response};
use persimmon_decide::MonoMs;
use persimmon_decide::forward::StoreEra;
use persimmon_process::piece_channel;

use crate::body::AnswerBody;
use crate::exchange::{Answered, Exchange, KEEP_ALIVE, OpenStream, keep_alive_timeout_s};
use crate::gateway::Gateway;
use crate::head::RequestHead;
use crate::open_requests::InProgress;
use crate::plan::{Plan, plan};
use crate::platform::Platform;
use crate::refusal::Refusal;
use crate::relay;
use crate::shutdown;
use crate::stream_versions::find_origin;
use persimmon_process::CallerConnection;

/// Maximum number of pieces of a stream buffered for a caller. When the buffer is full, the
/// endpoint has to wait until the caller reads.
const MAX_QUEUED_PIECES: usize = 8;

/// Handles a caller's request, and returns the response, and the request's body if it wasn't read.
pub(crate) async fn answer<P: Platform>(
    gw: &Rc<Gateway<P>>,
    req: Request<Incoming>,
    caller: &CallerConnection,
) -> (Response<AnswerBody>, Option<Incoming>) {
    let arrived = gw.clock.now();
    let in_progress = InProgress::begin(gw, arrived);
    let (parts, mut body) = req.into_parts();
    let head = match RequestHead::read(&parts, gw.platform.headers()) {
        Ok(head) => head,
        Err(refusal) => return (refuse(gw, "", refusal), Some(body)),
    };
    let id = head.id.clone();
    in_progress.set_id(&id);
    let accepted =
        gw.cut_off.run_until_cancelled(accept(gw, head, &mut body, caller, arrived)).await;
    let (plan, version) = match accepted.unwrap_or_else(|| Err(shutdown::refusal(gw))) {
        Ok(accepted) => accepted,
        Err(refusal) => return (refuse(gw, &id, refusal), Some(body)),
    };
    in_progress.record_accepted(&plan.route.name);
    let mut exchange = Exchange::new(gw.clone(), Rc::new(plan), version, in_progress);
    let opened = gw.cut_off.run_until_cancelled(exchange.open(None)).await;
    let mut response = match opened.unwrap_or_else(|| Err(exchange.cut_off())) {
        Ok(Answered::Complete(response)) => {
            exchange.record_end("answered");
            response.map(AnswerBody::buffered)
        }
        Ok(Answered::Stream(stream)) => start_relay(exchange, *stream),
        Err(refusal) => {
            exchange.record_end(refusal.name());
            refuse(gw, &id, refusal)
        }
    };
    remove_connection_headers(response.headers_mut());
    if gw.control.borrow().shutdown.is_leaving() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    (response, None)
}

/// Plans a request. For a stream that its caller takes up again, also returns the software version that
/// began it.
async fn accept<P: Platform>(
    gw: &Rc<Gateway<P>>,
    head: RequestHead,
    body: &mut Incoming,
    caller: &CallerConnection,
    arrived: MonoMs,
) -> Result<(Plan, Option<Arc<str>>), Refusal> {
    let mut plan = plan(gw, head, body, caller, arrived).await?;
    let origin = find_origin(gw, &plan).await?;
    if let Some(origin) = &origin {
        plan.prefer_service(&origin.service);
    }
    Ok((plan, origin.map(|it| it.version.clone())))
}

/// Starts a task that relays a stream; the task is aborted when the caller stops reading.
fn start_relay<P: Platform>(
    exchange: Exchange<P>,
    mut stream: OpenStream<P>,
) -> Response<AnswerBody> {
    let mut head = Response::new(());
    *head.status_mut() = stream.response.status();
    *head.headers_mut() = std::mem::take(stream.response.headers_mut());
    let keep_alive_s = keep_alive_timeout_s(head.headers());
    // Another endpoint may continue the stream with a part of a different length.
    head.headers_mut().remove(CONTENT_LENGTH);
    let (tx, rx) = piece_channel(MAX_QUEUED_PIECES);
    let task = tokio::task::spawn_local(relay::relay(exchange, stream, keep_alive_s, tx));
    head.map(|()| AnswerBody::stream(rx, task.abort_handle()))
}

fn refuse<P: Platform>(gw: &Rc<Gateway<P>>, id: &str, refusal: Refusal) -> Response<AnswerBody> {
    gw.metrics.requests.with_label_values(&[refusal.name()]).inc();
    if let Some(suppressed) = gw.log_limiter.admit(refusal.name(), gw.clock.now()) {
        let control = gw.control.borrow();
        let version = control.routes.as_ref().map(|routes| routes.version);
        tracing::info!(target: "request", id, reason = refusal.name(),
            status = refusal.status().as_u16(), routes = version,
            revision = StoreEra::revision(control.view.revision()), suppressed, "refused");
    }
    let mut response = refusal.into_response();
    if gw.control.borrow().shutdown.is_leaving() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Removes headers that apply only to one connection.
fn remove_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<_> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in
        listed.iter().chain(&[CONNECTION, KEEP_ALIVE, TE, TRAILER, TRANSFER_ENCODING, UPGRADE])
    {
        headers.remove(name);
    }
}
