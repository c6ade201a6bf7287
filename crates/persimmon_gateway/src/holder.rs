//! The holder role: stores what began streams, and what is refused because endpoints crashed, on a VM of an
//! endpoint, for gateways that may all end at one moment.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use persimmon_decide::MonoMs;
use persimmon_decide::forward::{CrashMessage, CrashTracker, StreamMessage, StreamVersions};
use persimmon_process::{Clock, MetricSet};
use prometheus::{IntCounterVec, IntGauge};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

use crate::http;
use crate::ops;
use crate::record_answers::ConnectionAnswer;
use persimmon_process::LogLimiter;

/// Maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(100);

/// Settings of a holder, provided by the adapter of a platform.
#[derive(Debug, Clone)]
pub struct HolderSettings {
    /// Name of the process in logs.
    pub name: Arc<str>,
    /// Availability zone of the holder.
    pub zone: Arc<str>,
    /// Address for messages of gateways (UDP).
    pub address: SocketAddr,
    /// Address for metrics; none if they aren't served.
    pub metrics: Option<SocketAddr>,
}

#[derive(Debug)]
struct Holder {
    clock: Clock,
    streams: RefCell<StreamVersions>,
    crashes: RefCell<CrashTracker>,
    log_limiter: LogLimiter,
    metrics: MetricSet,
    /// Messages of gateways by kind.
    messages: IntCounterVec,
    /// Number of stored streams.
    stored: IntGauge,
}

/// Runs a holder until SIGTERM or SIGINT.
///
/// # Errors
///
/// An address can't be bound, or a metric can't be registered.
pub fn run_holder(settings: &HolderSettings) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let holder = Rc::new(Holder::new().map_err(io::Error::other)?);
    LocalSet::new().block_on(&runtime, run(holder, settings))
}

async fn run(holder: Rc<Holder>, settings: &HolderSettings) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    let socket = UdpSocket::bind(settings.address).await?;
    if let Some(address) = settings.metrics {
        spawn_local(serve_metrics(holder.clone(), http::listen(address)?));
    }
    tracing::info!(target: "holder", name = &*settings.name, zone = &*settings.zone,
        address = %settings.address, "started");
    spawn_local(receive(holder.clone(), socket));
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            // No setting can change at run time.
            _ = hup.recv() => tracing::info!(target: "holder", "settings need a restart to change"),
        }
    }
    tracing::info!(target: "holder", streams = holder.streams.borrow().len(), "stopped");
    Ok(())
}

/// Stores what gateways send, and answers their questions, until the process ends.
async fn receive(holder: Rc<Holder>, socket: UdpSocket) {
    let mut buf = vec![0; MAX_MESSAGE_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => {
                let reply = holder.handle(&buf[..length], from);
                if let Some(reply) = reply
                    && let Err(err) = socket.try_send_to(&reply, from)
                {
                    tracing::debug!(target: "holder", %from, %err, "sending a reply failed");
                }
            }
            Err(err) => {
                tracing::debug!(target: "holder", %err, "receiving a message failed");
                tokio::time::sleep(RECEIVE_PAUSE).await;
            }
        }
    }
}

impl Holder {
    fn new() -> prometheus::Result<Self> {
        let metrics = MetricSet::default();
        let messages = metrics.counters(
            "persimmon_holder_messages_total",
            "Messages of gateways by kind.",
            &["kind"],
        )?;
        let stored = metrics.gauge("persimmon_holder_streams", "Stored streams.")?;
        Ok(Self {
            clock: Clock::start(),
            streams: RefCell::default(),
            crashes: RefCell::default(),
            log_limiter: LogLimiter::new(),
            metrics,
            messages,
            stored,
        })
    }

    /// Handles a datagram and returns the encoded reply, if it gets one.
    fn handle(&self, bytes: &[u8], from: SocketAddr) -> Option<Vec<u8>> {
        if let Some(message) = CrashMessage::from_bytes(bytes) {
            let reply = self.handle_crashes(message, from)?;
            return self.check_encoded(reply.to_bytes());
        }
        let reply = self.handle_streams(bytes, from)?;
        self.check_encoded(reply.to_bytes())
    }

    fn handle_crashes(
        &self,
        message: postcard::Result<CrashMessage>,
        from: SocketAddr,
    ) -> Option<CrashMessage> {
        let now = self.clock.now();
        let mut crashes = self.crashes.borrow_mut();
        crashes.expire(now);
        let (kind, reply) = match message {
            Ok(CrashMessage::Store(reports)) => {
                crashes.record_peer_reports(&reports, now);
                for refused in crashes.take_newly_refused() {
                    tracing::info!(target: "holder", %refused, "gateways refuse requests");
                }
                ("crashes", Some(CrashMessage::Stored))
            }
            Ok(CrashMessage::Query) => {
                let reports = crashes.reports(CrashMessage::MAX_CRASHES, now);
                ("crash_query", Some(CrashMessage::Reply(reports)))
            }
            Ok(CrashMessage::Reply(_) | CrashMessage::Stored) => ("unexpected", None),
            Err(err) => {
                self.log_invalid(from, &err, now);
                ("invalid", None)
            }
        };
        self.messages.with_label_values(&[kind]).inc();
        reply
    }

    fn handle_streams(&self, bytes: &[u8], from: SocketAddr) -> Option<StreamMessage> {
        let now = self.clock.now();
        let mut streams = self.streams.borrow_mut();
        streams.expire(now);
        let (kind, reply) = match StreamMessage::from_bytes(bytes) {
            Some(Ok(StreamMessage::Begun { origin, streams: begun })) => {
                begun.into_iter().for_each(|it| streams.record(it, &origin, now));
                ("begun", Some(StreamMessage::Stored))
            }
            Some(Ok(StreamMessage::Query { stream })) => {
                let origin = streams.look_up(stream, now);
                let kind = if origin.is_some() { "found" } else { "not_found" };
                (kind, Some(StreamMessage::Reply { stream, origin }))
            }
            Some(Ok(StreamMessage::Reply { .. } | StreamMessage::Stored)) | None => {
                ("unexpected", None)
            }
            Some(Err(err)) => {
                self.log_invalid(from, &err, now);
                ("invalid", None)
            }
        };
        self.messages.with_label_values(&[kind]).inc();
        self.stored.set(i64::try_from(streams.len()).unwrap_or(i64::MAX));
        reply
    }

    fn log_invalid(&self, from: SocketAddr, err: &postcard::Error, now: MonoMs) {
        if let Some(suppressed) = self.log_limiter.admit("bad_message", now) {
            tracing::warn!(target: "holder", %from, %err, suppressed, "invalid message");
        }
    }

    fn check_encoded(&self, encoded: postcard::Result<Vec<u8>>) -> Option<Vec<u8>> {
        encoded
            .inspect_err(|err| {
                if let Some(suppressed) = self.log_limiter.admit("encoding", self.clock.now()) {
                    tracing::warn!(target: "holder", %err, suppressed, "encoding a reply failed");
                }
            })
            .ok()
    }
}

async fn serve_metrics(holder: Rc<Holder>, listener: TcpListener) {
    let answer = move |req: &Request<Incoming>, _: &ConnectionAnswer| match req.uri().path() {
        "/metrics" => ops::metrics_page(holder.metrics.encode()),
        _ => ops::no_such_page(),
    };
    ops::serve(listener, answer).await;
}
