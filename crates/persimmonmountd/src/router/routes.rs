//! Dispatches callers' requests by method and path.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use persimmon_process::{CallerAnswer, CallerConnection, header_bytes};
use persimmon_records::ServiceName;
use tracing::Instrument;

use super::api::{ModelEntry, ModelList};
use super::body::{self, Reply, RequestBody};
use super::command::RequestKind;
use super::context::TrafficCx;
use super::failure::Failure;
use super::head::{self, Head};
use super::{answers, chat, services};

/// Maximum length of a request's URI, in bytes.
const MAX_PATH_BYTES: usize = 8 * 1024;

/// The operation that a path stands for.
#[derive(Debug)]
enum Route {
    Chat,
    Models,
    Answer(String),
    Claim(ServiceName),
    Call(ServiceName),
}

/// Handles one request on `connection`. Failures become responses.
pub(crate) async fn handle(
    cx: Rc<TrafficCx>,
    req: Request<Incoming>,
    connection: Rc<CallerConnection>,
) -> CallerAnswer<Reply> {
    let (parts, incoming) = req.into_parts();
    let head_bytes = parts.uri.path().len() + header_bytes(&parts.headers);
    let req = Request::from_parts(parts, ());
    let mut request_body = RequestBody::new(incoming, connection, head_bytes);
    let response = match prepare(&req) {
        Ok((route, head)) => {
            let span = tracing::info_span!(
                "request",
                hop = "router",
                trace_id = %head.trace.trace_id(),
                request_id = %head.request_id,
            );
            answer(&cx, &req, &mut request_body, route, head).instrument(span).await
        }
        Err(failure) => Err(failure),
    };
    let is_cut = request_body.is_cut();
    let unread = request_body.into_unread();
    let mut response = response.unwrap_or_else(|failure| {
        tracing::info!("router: a request failed: {}.", failure.kind());
        let mut response = body::failure(&failure);
        let outcome = HeaderValue::from_static(failure.outcome().as_str());
        response.headers_mut().insert(head::OUTCOME, outcome);
        response
    });
    if is_cut {
        // The bytes after an incompletely read request may belong to it.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let is_stream = body::is_stream(response.body());
    CallerAnswer { response, unread, is_stream }
}

fn prepare(req: &Request<()>) -> Result<(Route, Head), Failure> {
    let route = Route::of(req.method(), req.uri().path(), req.uri().to_string().len())?;
    Ok((route, Head::of(req)?))
}

async fn answer(
    cx: &Rc<TrafficCx>,
    req: &Request<()>,
    body: &mut RequestBody,
    route: Route,
    head: Head,
) -> Result<Response<Reply>, Failure> {
    match route {
        Route::Chat => chat::complete(cx, req, body, head).await,
        Route::Models => models(cx, &head).await,
        Route::Answer(token) => answers::resume(cx, req, &head, &token).await,
        Route::Claim(service) => services::claim(cx, req, &head, service).await,
        Route::Call(service) => services::call(cx, req, body, &head, service).await,
    }
}

async fn models(cx: &TrafficCx, head: &Head) -> Result<Response<Reply>, Failure> {
    let plan = cx.plan(head.plan_request(RequestKind::Models)).await?;
    let entry = |name| ModelEntry { id: name, object: "model", owned_by: "persimmonmount" };
    let data = plan.models.iter().map(|model| entry(model.as_str())).collect();
    let list = ModelList { object: "list", data };
    Ok(body::json(StatusCode::OK, serde_json::to_string(&list).unwrap_or_default()))
}

impl Route {
    fn of(method: &Method, path: &str, length: usize) -> Result<Self, Failure> {
        if length > MAX_PATH_BYTES {
            return Err(Failure::not_run(
                StatusCode::URI_TOO_LONG,
                "path-too-long",
                format!("the path is longer than {MAX_PATH_BYTES} bytes; send a shorter one"),
            ));
        }
        let parts: Vec<_> = path.trim_start_matches('/').split('/').collect();
        let (route, expected) = match parts.as_slice() {
            ["v1", "chat", "completions"] => (Self::Chat, Method::POST),
            ["v1", "models"] => (Self::Models, Method::GET),
            ["v1", "answers", token] => (Self::Answer((*token).to_owned()), Method::GET),
            ["v1", "services", name, "claims"] => (Self::Claim((*name).into()), Method::POST),
            ["v1", "services", name, "calls"] => (Self::Call((*name).into()), Method::POST),
            _ => {
                return Err(Failure::not_run(
                    StatusCode::NOT_FOUND,
                    "unknown-path",
                    "unknown path; see the callers' guide for the available ones",
                ));
            }
        };
        if *method == expected {
            return Ok(route);
        }
        Err(Failure::not_run(
            StatusCode::METHOD_NOT_ALLOWED,
            "unknown-method",
            format!("this path only accepts {expected}; use that method"),
        ))
    }
}
