//! Accepts, serves and closes connections of callers.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Version;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    BodyKey, CallerActivity, OpenConnection, Shutdown, connection_to_close,
};
use slotmap::{SlotMap, new_key_type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_util::io::InspectReader;

use crate::answer::answer;
use crate::body_buffer::BodyBuffers;
use crate::gateway::Gateway;
use crate::http;
use crate::platform::Platform;
use persimmon_process::{AnswerSocket, AnswerState, Clock};

/// Interval at which idle and slow connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Time between the decision to close a connection and its close, within which the runtime receives what
/// has arrived.
const CLOSE_DELAY: Duration = Duration::from_millis(2);
/// Maximum time for which the rest of a refused request's body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept, which usually means that no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Minimum size of a connection's read buffer, in bytes, as the HTTP library requires it. A larger
/// limit on request heads enlarges the buffer.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Limit on request heads while no routes are known, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Timeout for an idle connection while no routes are known, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;
/// Timeout for receiving a request head while no routes are known, in milliseconds.
const DEFAULT_HEAD_MS: u64 = 3_000;
/// File descriptors of the process per connection of a caller; those left over are for connections
/// to endpoints.
const DESCRIPTORS_PER_CALLER: usize = 2;
/// Divisor of the maximum number of connections; the quotient may be open in addition while others are
/// being closed.
const CLOSING_DIVISOR: usize = 4;
/// Maximum time that a new connection waits for one that is being closed.
const CLOSING_WAIT: Duration = Duration::from_millis(20);

new_key_type! {
    struct ConnectionKey;
}

/// State of a connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
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
}

impl CallerConnection {
    fn new(clock: Clock, address: IpAddr) -> Self {
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
        }
    }

    /// Returns the caller's address.
    pub(crate) fn address(&self) -> IpAddr {
        self.address
    }

    /// Records that the body of the request in progress has begun.
    pub(crate) fn record_body(&self, body: BodyKey) {
        self.body.set(Some(body));
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
    pub(crate) fn record_answered(&self) {
        self.has_request.set(false);
        self.answers.record_complete();
        self.has_answered.set(true);
        self.idle_since.set(self.clock.now());
    }

    /// Returns what the caller does, and since when.
    fn activity(&self, bodies: &BodyBuffers) -> (CallerActivity, MonoMs) {
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
    fn is_lasting(&self) -> bool {
        !self.gives_way.get() && (!self.is_closing.get() || self.has_request.get())
    }

    /// Closes the connection for a new one, after the answer in progress.
    fn give_way(&self, bodies: &BodyBuffers) {
        match self.body.get() {
            Some(body) if bodies.give_up_arriving(body) => self.gives_way.set(true),
            _ => self.close(),
        }
    }

    fn close(&self) {
        self.is_closing.set(true);
        self.stop.notify_one();
    }

    fn is_overdue(&self, idle_ms: u64, head_ms: u64) -> bool {
        let now = self.clock.now();
        match self.head_since.get() {
            _ if self.is_busy() => false,
            Some(since) => now.ms_since(since) > head_ms,
            None => now.ms_since(self.idle_since.get()) > idle_ms,
        }
    }
}

/// The open connections of callers.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: RefCell<SlotMap<ConnectionKey, Rc<CallerConnection>>>,
    /// Notified when a connection has been closed.
    closed: Notify,
}

impl Connections {
    /// Closes a connection that gives way to a new one, and returns what its caller was doing; none if
    /// each has a complete request in progress.
    fn close_one(&self, bodies: &BodyBuffers, now: MonoMs) -> Option<CallerActivity> {
        let open = self.open.borrow();
        let candidates: Vec<_> = open
            .iter()
            .filter(|(_, connection)| connection.is_lasting())
            .map(|(key, connection)| {
                let (activity, since) = connection.activity(bodies);
                OpenConnection { key, address: connection.address, activity, since }
            })
            .collect();
        let closed = open.get(connection_to_close(&candidates, now)?)?;
        let (activity, _) = closed.activity(bodies);
        closed.give_way(bodies);
        Some(activity)
    }

    /// Closes the connections that a shutdown closes now, each after the answer in progress.
    pub(crate) fn close_unused(&self, bodies: &BodyBuffers, shutdown: &Shutdown, now: MonoMs) {
        for connection in self.open.borrow().values() {
            let (activity, since) = connection.activity(bodies);
            let has_request =
                matches!(activity, CallerActivity::Request | CallerActivity::PartialBody);
            let is_used = has_request || connection.has_answered.get();
            // While the rest of a refused body is read, a close would reset the connection. One with a
            // partial head is closed after its answer, or when the head takes too long.
            let is_kept = connection.is_closing.get()
                || connection.is_discarding.get()
                || activity == CallerActivity::PartialHead;
            if !is_kept && shutdown.closes_connection(is_used, since, now) {
                connection.close();
            }
        }
    }

    /// Returns the number of connections that an exit waits for: those with an unfinished answer, and idle
    /// ones that aren't closed yet.
    pub(crate) fn awaited(&self, bodies: &BodyBuffers) -> usize {
        let open = self.open.borrow();
        open.values().filter(|it| it.activity(bodies).0 != CallerActivity::PartialHead).count()
    }

    /// Returns the number of connections that aren't about to be closed.
    fn lasting(&self) -> usize {
        let open = self.open.borrow();
        open.values().filter(|it| it.is_lasting()).count()
    }

    /// Returns the number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.open.borrow().len()
    }
}

/// Accepts callers' connections until the process ends.
pub(crate) async fn accept_callers<P: Platform>(gw: Rc<Gateway<P>>, listener: TcpListener) {
    let connections = &gw.callers;
    tokio::task::spawn_local(sweep(gw.clone()));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                tracing::warn!(target: "callers", %err, "accepting a connection failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let max_connections = gw.settings.max_descriptors / DESCRIPTORS_PER_CALLER;
        if connections.len() >= max_connections && !make_room(&gw, max_connections).await {
            continue;
        }
        if let Err(err) = http::configure(&stream) {
            tracing::debug!(target: "callers", %err, "a new connection was already closed");
            continue;
        }
        let connection = Rc::new(CallerConnection::new(gw.clock, from.ip()));
        let key = connections.open.borrow_mut().insert(connection.clone());
        gw.memory.borrow_mut().set_connections(connections.len());
        let gw = gw.clone();
        tokio::task::spawn_local(async move {
            serve(gw.clone(), stream, connection).await;
            gw.callers.open.borrow_mut().remove(key);
            gw.callers.closed.notify_one();
            gw.memory.borrow_mut().set_connections(gw.callers.len());
        });
    }
}

/// Makes room for a new connection. Returns whether there is room.
async fn make_room<P: Platform>(gw: &Gateway<P>, max_connections: usize) -> bool {
    let connections = &gw.callers;
    // Requests that have arrived on other new connections are read first.
    tokio::task::yield_now().await;
    while connections.lasting() >= max_connections {
        if !close_one(gw, connections) {
            return false;
        }
    }
    // A connection that gives way keeps its descriptor until its task has ended.
    while connections.len() > max_connections + max_connections / CLOSING_DIVISOR {
        let closed = connections.closed.notified();
        if tokio::time::timeout(CLOSING_WAIT, closed).await.is_err() && !close_one(gw, connections)
        {
            return false;
        }
    }
    true
}

/// Closes a connection that gives way to a new one, and logs and counts it. Returns whether one does.
fn close_one<P: Platform>(gw: &Gateway<P>, connections: &Connections) -> bool {
    let now = gw.clock.now();
    let gave_way = connections.close_one(&gw.bodies, now);
    let closed = match gave_way {
        Some(CallerActivity::PartialHead) => "unfinished_head",
        Some(CallerActivity::PartialBody) => "unfinished_body",
        Some(CallerActivity::Answered) => "answered",
        Some(CallerActivity::Idle) => "idle",
        Some(CallerActivity::Request) | None => "new",
    };
    gw.metrics.callers.closed.with_label_values(&[closed]).inc();
    if let Some(suppressed) = gw.log_limiter.admit("callers_full", now) {
        tracing::warn!(target: "callers", open = connections.len(), closed, suppressed,
            "too many connections; one is closed");
    }
    gave_way.is_some()
}

/// Serves one connection until either side closes it.
async fn serve<P: Platform>(
    gw: Rc<Gateway<P>>,
    stream: TcpStream,
    connection: Rc<CallerConnection>,
) {
    let head_bytes = match &gw.control.borrow().routes {
        Some(routes) => routes.limits.max_head_bytes,
        None => DEFAULT_HEAD_BYTES,
    };
    let socket = AnswerSocket::new(stream, connection.answers.clone());
    let arriving = connection.clone();
    let io = TokioIo::new(InspectReader::new(socket, move |bytes: &[u8]| {
        if !bytes.is_empty() {
            arriving.record_read();
        }
    }));
    let service = {
        let (gw, connection) = (gw.clone(), connection.clone());
        service_fn(move |req| {
            let (gw, connection) = (gw.clone(), connection.clone());
            async move {
                connection.record_head();
                let version = req.version();
                let (response, rest) = answer(&gw, req, &connection).await;
                if let Some(rest) = rest.filter(|_| !connection.gives_way.get()) {
                    discard_rest(connection.clone(), rest);
                }
                let is_until_close = version < Version::HTTP_11 && response.body().is_stream();
                connection.answers.set_until_close(is_until_close);
                Ok::<_, Infallible>(response.map(|body| body.with_connection(connection)))
            }
        })
    };
    let served = http1::Builder::new()
        .half_close(false)
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    let mut served = std::pin::pin!(served);
    // Requests that have arrived before the connection is closed are read first.
    let stopped = async {
        connection.stop.notified().await;
        if !connection.is_discarding.get() {
            tokio::time::sleep(CLOSE_DELAY).await;
        }
    };
    let result = tokio::select! {
        biased;
        result = served.as_mut() => result,
        () = stopped => {
            served.as_mut().graceful_shutdown();
            // Waiting for the rest of a head or of a refused body could keep the connection open for long.
            match connection.head_since.get() {
                _ if connection.is_discarding.get() => Ok(()),
                Some(_) => Ok(()),
                None => served.await,
            }
        }
    };
    if let Err(err) = result {
        tracing::debug!(target: "callers", %err, "a connection failed");
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

/// Closes connections that have been idle for too long, or whose request head takes too long.
async fn sweep<P: Platform>(gw: Rc<Gateway<P>>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let (idle_ms, head_ms) = match &gw.control.borrow().routes {
            Some(routes) => (routes.limits.idle_timeout_ms, routes.limits.head_timeout_ms),
            None => (DEFAULT_IDLE_MS, DEFAULT_HEAD_MS),
        };
        for connection in gw.callers.open.borrow().values() {
            if connection.is_overdue(idle_ms, head_ms) {
                connection.close();
            }
        }
    }
}
