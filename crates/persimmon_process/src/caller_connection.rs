//! A connection of a caller: what the caller does on it, and how it is served and closed.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::error::Error;
use std::net::IpAddr;
use std::os::fd::AsFd;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::TokioIo;
use persimmon_decide::MonoMs;
use persimmon_decide::forward::{BodyKey, CallerActivity};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_util::io::InspectReader;

use crate::{AnswerSocket, AnswerState, BodyBuffers, Clock};

/// Time between the decision to close a connection and its close, within which the runtime receives what
/// has arrived.
const CLOSE_DELAY: Duration = Duration::from_millis(2);
/// Maximum time for which the rest of a refused request's body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// The answer to a caller's request.
#[derive(Debug)]
pub struct CallerAnswer<B> {
    /// The response.
    pub response: Response<B>,
    /// The request's body if it wasn't read to its end.
    pub unread: Option<Incoming>,
    /// Whether the response is a stream of unknown length.
    pub is_stream: bool,
}

/// The body of a response. The caller's connection is idle once it is dropped.
#[derive(Debug)]
struct TrackedBody<B> {
    body: B,
    connection: Rc<CallerConnection>,
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.connection.record_answered();
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// State of a connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    clock: Clock,
    address: IpAddr,
    /// End of the last answer, or the time when the connection was opened.
    idle_since: Cell<MonoMs>,
    /// Arrival of a request head's first byte; none unless the head is still incomplete.
    head_since: Cell<Option<MonoMs>>,
    /// Whether a request is in progress.
    has_request: Cell<bool>,
    is_closing: Cell<bool>,
    has_answered: Cell<bool>,
    /// Whether the rest of a refused request's body is being read.
    is_discarding: Cell<bool>,
    /// Whether the body of the request in progress was given up, so that the connection gives way to a new one.
    gives_way: Cell<bool>,
    /// Body of the last request; none before its first byte.
    body: Cell<Option<BodyKey>>,
    answers: AnswerState,
    stop: Notify,
    /// Receive window, in bytes; none before it is set.
    window_bytes: Cell<Option<usize>>,
    /// The socket while the connection is served.
    socket: RefCell<Weak<TcpStream>>,
}

impl CallerConnection {
    /// Creates the state of a connection that was opened now, by the caller at this address.
    pub fn new(clock: Clock, address: IpAddr) -> Self {
        Self {
            clock,
            address,
            idle_since: Cell::new(clock.now()),
            head_since: Cell::new(None),
            has_request: Cell::new(false),
            is_closing: Cell::new(false),
            has_answered: Cell::new(false),
            is_discarding: Cell::new(false),
            gives_way: Cell::new(false),
            body: Cell::new(None),
            answers: AnswerState::default(),
            stop: Notify::new(),
            window_bytes: Cell::new(None),
            socket: RefCell::default(),
        }
    }

    /// Returns the caller's address.
    pub fn address(&self) -> IpAddr {
        self.address
    }

    /// Records that the body of the request in progress has begun.
    pub fn record_body(&self, body: BodyKey) {
        self.body.set(Some(body));
    }

    /// Sets the receive window, in bytes.
    pub(crate) fn set_window(&self, bytes: usize) {
        self.window_bytes.set(Some(bytes));
        if let Some(socket) = self.socket.borrow().upgrade() {
            limit_unread_bytes(&*socket, bytes);
        }
    }

    /// Sets the socket that is served from now on.
    fn set_socket(&self, socket: &Rc<TcpStream>) {
        *self.socket.borrow_mut() = Rc::downgrade(socket);
        if let Some(bytes) = self.window_bytes.get() {
            limit_unread_bytes(&**socket, bytes);
        }
    }

    /// Returns what the caller does, and since when.
    pub(crate) fn activity(&self, bodies: &BodyBuffers) -> (CallerActivity, MonoMs) {
        let since = self.idle_since.get();
        if self.has_request.get() {
            let arriving_since = self.body.get().and_then(|it| bodies.arriving_since(it));
            return match arriving_since {
                Some(since) => (CallerActivity::PartialBody, since),
                None => (CallerActivity::Request, since),
            };
        }
        match self.head_since.get() {
            _ if self.answers.is_unwritten() => (CallerActivity::Request, since),
            _ if self.is_discarding.get() => (CallerActivity::Answered, since),
            Some(since) => (CallerActivity::PartialHead, since),
            None => (CallerActivity::Idle, since),
        }
    }

    /// Reports whether the connection stays open until it is closed, or for a request that has arrived
    /// before its close.
    pub(crate) fn is_lasting(&self) -> bool {
        !self.gives_way.get() && (!self.is_closing.get() || self.has_request.get())
    }

    /// Reports whether the connection is being closed.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Reports whether the rest of a refused request's body is being read.
    pub(crate) fn is_discarding(&self) -> bool {
        self.is_discarding.get()
    }

    /// Reports whether an answer was sent on the connection.
    pub(crate) fn has_answered(&self) -> bool {
        self.has_answered.get()
    }

    /// Closes the connection for a new one, after the answer in progress.
    pub(crate) fn give_way(&self, bodies: &BodyBuffers) {
        match self.body.get() {
            Some(body) if bodies.give_up_arriving(body) => self.gives_way.set(true),
            _ => self.close(),
        }
    }

    /// Closes the connection after the answer in progress.
    pub(crate) fn close(&self) {
        self.is_closing.set(true);
        self.stop.notify_one();
    }

    /// Reports whether the connection has been idle for more than `idle_ms`, or its request's head has been
    /// incomplete for more than `head_ms`.
    pub(crate) fn is_overdue(&self, idle_ms: u64, head_ms: u64) -> bool {
        let now = self.clock.now();
        match self.head_since.get() {
            _ if self.is_busy() => false,
            Some(since) => now.ms_since(since) > head_ms,
            None => now.ms_since(self.idle_since.get()) > idle_ms,
        }
    }

    fn record_read(&self) {
        if !self.is_busy() && self.head_since.get().is_none() {
            self.head_since.set(Some(self.clock.now()));
        }
    }

    fn record_head(&self) {
        self.has_request.set(true);
        self.head_since.set(None);
        self.body.set(None);
    }

    /// Reports whether a request is in progress, or a part of its body or answer still on its way.
    fn is_busy(&self) -> bool {
        self.has_request.get() || self.is_discarding.get() || self.answers.is_unwritten()
    }

    /// Records that an answer is complete, or abandoned.
    fn record_answered(&self) {
        self.has_request.set(false);
        self.answers.record_complete();
        self.has_answered.set(true);
        self.idle_since.set(self.clock.now());
    }
}

/// Limits the bytes that may have arrived on a socket and weren't read, or on sockets that are accepted from it.
pub fn limit_unread_bytes<S: AsFd>(socket: &S, bytes: usize) {
    // The kernel reserves twice this size, half of it for its own bookkeeping.
    if let Err(err) = SockRef::from(socket).set_recv_buffer_size(bytes) {
        tracing::debug!(target: "callers", %err, "setting the receive buffer of a socket failed");
    }
}

/// Serves a connection until either side closes it: answers its requests with `answer`.
///
/// # Errors
///
/// The connection broke, or what its caller sent isn't HTTP.
pub async fn serve_caller<B, F>(
    connection: &Rc<CallerConnection>,
    stream: TcpStream,
    builder: &http1::Builder,
    answer: impl Fn(Request<Incoming>, Rc<CallerConnection>) -> F,
) -> hyper::Result<()>
where
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    F: Future<Output = CallerAnswer<B>>,
{
    let stream = Rc::new(stream);
    connection.set_socket(&stream);
    let socket = AnswerSocket::new(stream, connection.answers.clone());
    let arriving = connection.clone();
    let io = TokioIo::new(InspectReader::new(socket, move |bytes: &[u8]| {
        if !bytes.is_empty() {
            arriving.record_read();
        }
    }));
    let service = service_fn(|req| {
        connection.record_head();
        let version = req.version();
        let answered = answer(req, connection.clone());
        async move {
            let CallerAnswer { response, unread, is_stream } = answered.await;
            if let Some(unread) = unread.filter(|_| !connection.gives_way.get()) {
                discard_rest(connection.clone(), unread);
            }
            connection.answers.set_until_close(version < Version::HTTP_11 && is_stream);
            let connection = connection.clone();
            Ok::<_, Infallible>(response.map(|body| TrackedBody { body, connection }))
        }
    });
    let mut served = pin!(builder.serve_connection(io, service));
    // Requests that have arrived before the connection is closed are read first.
    let stopped = async {
        connection.stop.notified().await;
        if !connection.is_discarding.get() {
            tokio::time::sleep(CLOSE_DELAY).await;
        }
    };
    tokio::select! {
        biased;
        result = served.as_mut() => result,
        () = stopped => {
            served.as_mut().graceful_shutdown();
            // Waiting for the rest of a head or of a refused body could keep the connection open for long.
            let is_partial = connection.is_discarding.get() || connection.head_since.get().is_some();
            if is_partial { Ok(()) } else { served.await }
        }
    }
}

/// Reads and discards the rest of a refused request's body, which its caller may still be sending. A
/// connection that is closed with unread bytes is reset, and the reset can overtake the answer.
fn discard_rest(connection: Rc<CallerConnection>, mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    connection.is_discarding.set(true);
    tokio::task::spawn_local(async move {
        let discarded = async { while let Some(Ok(_)) = body.frame().await {} };
        if tokio::time::timeout(DISCARD_TIMEOUT, discarded).await.is_err() {
            tracing::debug!(target: "callers", "the rest of a refused request's body is too slow");
        }
        connection.is_discarding.set(false);
        connection.idle_since.set(connection.clock.now());
    });
}
