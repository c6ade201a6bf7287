//! HTTP server and request types that the stand-ins share.

use std::fmt;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};

use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use tiny_http::{Header, Method, Request, Response, Server};

/// Maximum size of a request body. A stand-in ignores the rest.
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// Maximum number of requests that one stand-in handles concurrently. It answers further ones with
/// a 503.
const MAX_HANDLERS: usize = 2_048;

/// Request handler of a stand-in.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers `call`. The server runs it on a separate thread for each request.
    fn handle(&self, call: Call);
}

/// An HTTP server on a port that the operating system assigns, with one thread per request.
pub(crate) struct HttpServer {
    server: Arc<Server>,
    address: SocketAddr,
    accept_thread: JoinHandle<()>,
}

impl fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpServer").field("address", &self.address).finish_non_exhaustive()
    }
}

impl HttpServer {
    /// Starts a server for `handler` on the loopback interface.
    pub(crate) fn start<H: Handler>(handler: &Arc<H>) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        // Accepted sockets inherit the option, so that no token waits for an acknowledgement.
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let accept_thread = {
            let server = Arc::clone(&server);
            let handler = Arc::clone(handler);
            thread::spawn(move || accept_requests(&server, &handler))
        };
        Ok(Self { server, address, accept_thread })
    }

    /// Returns the address on which the server listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting requests. Those in progress continue.
    pub(crate) fn close(self) {
        self.server.unblock();
        let _ = self.accept_thread.join();
    }
}

fn accept_requests<H: Handler>(server: &Server, handler: &Arc<H>) {
    let in_progress = Arc::new(AtomicUsize::new(0));
    while let Ok(request) = server.recv() {
        if in_progress.fetch_add(1, Ordering::Relaxed) >= MAX_HANDLERS {
            in_progress.fetch_sub(1, Ordering::Relaxed);
            Call(request).reply_empty(503);
            continue;
        }
        let handler = Arc::clone(handler);
        let in_progress = Arc::clone(&in_progress);
        thread::spawn(move || {
            handler.handle(Call(request));
            in_progress.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// A request that has not been answered yet.
pub(crate) struct Call(Request);

impl Call {
    pub(crate) fn method(&self) -> Method {
        self.0.method().clone()
    }

    /// Returns the path without its query.
    pub(crate) fn path(&self) -> String {
        let url = self.0.url();
        url.split_once('?').map_or(url, |(path, _)| path).to_owned()
    }

    /// Returns the query parameter `name` as a number.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        let (_, query) = self.0.url().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }

    pub(crate) fn header(&self, name: &'static str) -> Option<String> {
        let mut headers = self.0.headers().iter();
        let header = headers.find(|header| header.field.equiv(name))?;
        Some(header.value.as_str().to_owned())
    }

    /// Reads the body, up to [`MAX_BODY_BYTES`].
    pub(crate) fn read_body(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        self.0.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body)?;
        Ok(body)
    }

    pub(crate) fn read_json<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        Ok(serde_json::from_slice(&self.read_body()?)?)
    }

    pub(crate) fn reply_json<T: Serialize>(self, status: u16, value: &T) {
        match serde_json::to_vec(value) {
            Ok(body) => self.reply_bytes(status, body),
            Err(_) => self.reply_empty(500),
        }
    }

    pub(crate) fn reply_bytes(self, status: u16, body: Vec<u8>) {
        // Ignores the error, because it means that the client has disconnected.
        let _ = self.0.respond(Response::from_data(body).with_status_code(status));
    }

    pub(crate) fn reply_empty(self, status: u16) {
        let _ = self.0.respond(Response::empty(status));
    }

    /// Sends the first half of an answer. The connection then closes if the client asked for that.
    pub(crate) fn reply_truncated<T: Serialize>(self, value: &T, is_chunked: bool) {
        let body = serde_json::to_string(value).unwrap_or_default();
        let (half, _) = body.split_at(body.len() / 2);
        let answer = if is_chunked {
            let length = half.len();
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{half}\r\n")
        } else {
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{half}", body.len())
        };
        let mut out = self.0.into_writer();
        // Ignores the error, because it means that the client has disconnected.
        let _ = out.write_all(answer.as_bytes()).and_then(|()| out.flush());
    }

    /// Refuses the call with a `Retry-After` header.
    pub(crate) fn reply_retry_after(self, status: u16, seconds: u64) {
        let mut response = Response::empty(status);
        if let Ok(header) = Header::from_bytes("Retry-After", seconds.to_string()) {
            response.add_header(header);
        }
        let _ = self.0.respond(response);
    }

    /// Starts a chunked answer whose lines are sent immediately.
    pub(crate) fn into_json_lines(self) -> io::Result<JsonLines> {
        let mut out = self.0.into_writer();
        out.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\
              Transfer-Encoding: chunked\r\n\r\n",
        )?;
        Ok(JsonLines { out, buf: Vec::new() })
    }
}

/// A chunked answer with one JSON object per line.
pub(crate) struct JsonLines {
    out: Box<dyn Write + Send>,
    buf: Vec<u8>,
}

impl JsonLines {
    /// Sends `value` as one line and flushes it.
    pub(crate) fn send<T: Serialize>(&mut self, value: &T) -> io::Result<()> {
        let mut line = serde_json::to_vec(value)?;
        line.push(b'\n');
        self.buf.clear();
        write!(self.buf, "{:x}\r\n", line.len())?;
        self.buf.extend_from_slice(&line);
        self.buf.extend_from_slice(b"\r\n");
        self.out.write_all(&self.buf)?;
        self.out.flush()
    }

    /// Sends the last chunk.
    pub(crate) fn close(mut self) -> io::Result<()> {
        self.out.write_all(b"0\r\n\r\n")?;
        self.out.flush()
    }
}
