//! Accepts, serves and closes connections of callers.

use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use persimmon_decide::forward::CallerActivity;
use persimmon_process::{CallerAnswer, CallerConnection, limit_unread_bytes, serve_caller};
use tokio::net::{TcpListener, TcpStream};

use crate::answer::answer;
use crate::gateway::Gateway;
use crate::http;
use crate::platform::Platform;

/// Interval at which idle and slow connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
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

/// Accepts callers' connections until the process ends.
pub(crate) async fn accept_callers<P: Platform>(gw: Rc<Gateway<P>>, listener: TcpListener) {
    tokio::task::spawn_local(sweep(gw.clone()));
    let mut window_bytes = 0;
    loop {
        // New connections receive before they are accepted.
        if window_bytes != gw.callers.window_bytes() {
            window_bytes = gw.callers.window_bytes();
            limit_unread_bytes(&listener, window_bytes);
        }
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                tracing::warn!(target: "callers", %err, "accepting a connection failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let max_connections = gw.settings.max_descriptors / DESCRIPTORS_PER_CALLER;
        if gw.callers.len() >= max_connections && !make_room(&gw, max_connections).await {
            continue;
        }
        if let Err(err) = http::configure(&stream) {
            tracing::debug!(target: "callers", %err, "a new connection was already closed");
            continue;
        }
        let connection = Rc::new(CallerConnection::new(gw.clock, from.ip()));
        let key = gw.callers.insert(&connection);
        let gw = gw.clone();
        tokio::task::spawn_local(async move {
            serve(&gw, stream, connection).await;
            gw.callers.remove(key);
        });
    }
}

/// Makes room for a new connection. Returns whether there is room.
async fn make_room<P: Platform>(gw: &Gateway<P>, max_connections: usize) -> bool {
    // Requests that have arrived on other new connections are read first.
    tokio::task::yield_now().await;
    while gw.callers.lasting() >= max_connections {
        if !close_one(gw) {
            return false;
        }
    }
    // A connection that gives way keeps its descriptor until its task has ended.
    while gw.callers.len() > max_connections + max_connections / CLOSING_DIVISOR {
        if !gw.callers.wait_closed(CLOSING_WAIT).await && !close_one(gw) {
            return false;
        }
    }
    true
}

/// Closes a connection that gives way to a new one, and logs and counts it. Returns whether one does.
fn close_one<P: Platform>(gw: &Gateway<P>) -> bool {
    let now = gw.clock.now();
    let gave_way = gw.callers.close_one(now);
    let closed = gave_way.map_or("new", CallerActivity::name);
    gw.metrics.callers.closed.with_label_values(&[closed]).inc();
    if let Some(suppressed) = gw.log_limiter.admit("callers_full", now) {
        tracing::warn!(target: "callers", open = gw.callers.len(), closed, suppressed,
            "too many connections; one is closed");
    }
    gave_way.is_some()
}

/// Serves one connection until either side closes it.
async fn serve<P: Platform>(
    gw: &Rc<Gateway<P>>,
    stream: TcpStream,
    connection: Rc<CallerConnection>,
) {
    let head_bytes = match &gw.control.borrow().routes {
        Some(routes) => routes.limits.max_head_bytes,
        None => DEFAULT_HEAD_BYTES,
    };
    let mut builder = http1::Builder::new();
    builder.half_close(false).max_buf_size(head_bytes.max(MIN_BUFFER_BYTES));
    let served = serve_caller(&connection, stream, &builder, async |req, connection| {
        let (response, unread) = answer(gw, req, &connection).await;
        let is_stream = response.body().is_stream();
        CallerAnswer { response, unread, is_stream }
    });
    if let Err(err) = served.await {
        tracing::debug!(target: "callers", %err, "a connection failed");
    }
}

/// Closes connections that have been idle for too long, or whose request head takes too long.
async fn sweep<P: Platform>(gw: Rc<Gateway<P>>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let (idle_ms, head_ms) = match &gw.control.borrow().routes {
            Some(routes) => (routes.limits.idle_timeout_ms, routes.limits.head_timeout_ms),
            None => (DEFAULT_IDLE_MS, DEFAULT_HEAD_MS),
        };
        gw.callers.close_overdue(idle_ms, head_ms);
    }
}
