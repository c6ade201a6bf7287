//! The HTTP front end of a router: accepts callers' connections and distributes them over the
//! traffic threads.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use flume::{Receiver, Sender};
use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use persimmon_decide::forward::{CallerActivity, MemoryBudget};
use persimmon_process::{CallerConnection, limit_unread_bytes, serve_caller};
use tokio::task::LocalSet;

use super::context::{TrafficCx, TrafficParts};
use super::routes;

/// Timeout for receiving a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request's head, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Interval for closing idle connections to sidecars.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Divisor of the maximum number of connections; the quotient may be open in addition while others are
/// being closed.
const CLOSING_DIVISOR: usize = 4;
/// Maximum time that a new connection waits for others that are being closed.
const CLOSING_WAIT: Duration = Duration::from_millis(20);
const CLOSING_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The threads that process callers' requests, and the one that accepts their connections.
#[derive(Debug)]
pub(crate) struct Front {
    address: SocketAddr,
}

impl Front {
    /// Binds `listen` and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or a thread can't be started.
    pub(crate) fn start(listen: SocketAddr, parts: &TrafficParts) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let open = Arc::new(AtomicUsize::new(0));
        let max_connections = parts.max_connections;
        let budget = MemoryBudget::for_process(parts.memory_bytes).with_head_bytes(MAX_HEAD_BYTES);
        if budget.max_connections() < max_connections {
            let most = budget.max_connections();
            tracing::info!(
                "router: its memory bears {most} connections; more than these aren't kept open."
            );
        }
        let max_connections = max_connections.min(budget.max_connections());
        let parts = TrafficParts { max_connections, ..parts.clone() };
        let mut streams = Vec::new();
        for number in 0..parts.threads {
            let (tx, rx) = flume::bounded(max_connections);
            streams.push(tx);
            start_thread(number, rx, parts.clone())?;
        }
        thread::Builder::new()
            .name("accept".into())
            .spawn(move || accept_all(&listener, &streams, &open, max_connections, budget))?;
        Ok(Self { address })
    }

    /// Returns the address to which callers connect.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A caller's connection that no thread serves yet.
struct AcceptedConnection {
    stream: TcpStream,
    /// Address of the caller.
    address: IpAddr,
    open: OpenGuard,
}

/// Guard that counts a connection as open until it is dropped.
struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    fn enter(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::AcqRel);
        Self(open.clone())
    }

    /// Returns the number of open connections.
    fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Distributes connections over the traffic threads in turn, which close others while more than
/// `max_connections` are open. A new connection that finds too many being closed waits, and is closed if
/// that lasts.
fn accept_all(
    listener: &TcpListener,
    threads: &[Sender<AcceptedConnection>],
    open: &Arc<AtomicUsize>,
    max_connections: usize,
    mut budget: MemoryBudget,
) {
    let most = max_connections + max_connections / CLOSING_DIVISOR;
    let mut window_bytes = 0;
    for thread in threads.iter().cycle() {
        // New connections receive before they are accepted.
        budget.set_connections(open.load(Ordering::Acquire));
        if window_bytes != budget.receive_window_bytes() {
            window_bytes = budget.receive_window_bytes();
            limit_unread_bytes(listener, window_bytes);
        }
        let (stream, from) = match listener.accept() {
            Ok(accepted) => accepted,
            Err(err) => {
                tracing::warn!("router: accepting a connection failed: {err}.");
                thread::sleep(ACCEPT_RETRY_DELAY);
                continue;
            }
        };
        let until = Instant::now() + CLOSING_WAIT;
        while open.load(Ordering::Acquire) > most && Instant::now() < until {
            thread::sleep(CLOSING_CHECK_INTERVAL);
        }
        if open.load(Ordering::Acquire) > most {
            tracing::warn!("router: too many connections are open; closing a new one.");
            continue;
        }
        let (address, open) = (from.ip(), OpenGuard::enter(open));
        if thread.send(AcceptedConnection { stream, address, open }).is_err() {
            return;
        }
    }
}

fn start_thread(
    number: usize,
    streams: Receiver<AcceptedConnection>,
    parts: TrafficParts,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name(format!("traffic-{number}")).spawn(move || {
        let cx = Rc::new(TrafficCx::new(parts));
        let local = LocalSet::new();
        local.block_on(&runtime, async move {
            tokio::task::spawn_local(close_idle_links(cx.clone()));
            while let Ok(accepted) = streams.recv_async().await {
                if has_room(&cx, &accepted.open).await {
                    tokio::task::spawn_local(serve(cx.clone(), accepted));
                }
            }
        });
    })?;
    Ok(())
}

/// Returns whether there is room for a new connection, for which others of this thread give way.
async fn has_room(cx: &TrafficCx, open: &OpenGuard) -> bool {
    if open.count() <= cx.max_connections {
        return true;
    }
    // Requests that have arrived on other new connections are read first.
    tokio::task::yield_now().await;
    loop {
        let excess = open.count().saturating_sub(cx.max_connections);
        let closing = cx.callers.len() - cx.callers.lasting();
        if closing >= excess {
            return true;
        }
        let now = cx.clock.now();
        let gave_way = cx.callers.close_one(now);
        let closed = gave_way.map_or("new", CallerActivity::name);
        if let Some(suppressed) = cx.log_limiter.admit("callers_full", now) {
            tracing::warn!(
                "router: too many connections are open; closing one: {closed}. Lines left out: {suppressed}."
            );
        }
        if gave_way.is_none() {
            // The others are served by other threads, or run complete requests.
            return closing > 0;
        }
    }
}

async fn close_idle_links(cx: Rc<TrafficCx>) {
    loop {
        tokio::time::sleep(IDLE_SWEEP_INTERVAL).await;
        cx.pool.close_idle();
    }
}

async fn serve(cx: Rc<TrafficCx>, accepted: AcceptedConnection) {
    let AcceptedConnection { stream, address, open: _open } = accepted;
    let ready = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
    let Ok(stream) = ready.and_then(|()| tokio::net::TcpStream::from_std(stream)) else {
        return;
    };
    let connection = Rc::new(CallerConnection::new(cx.clock, address));
    let key = cx.callers.insert(&connection);
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
    let served = serve_caller(&connection, stream, &builder, |req, connection| {
        routes::handle(cx.clone(), req, connection)
    });
    if let Err(err) = served.await {
        tracing::debug!("router: a caller's connection failed: {err}.");
    }
    cx.callers.remove(key);
}
