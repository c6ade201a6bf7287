//! Finds out what began a stream which a caller takes up again, and tells other gateways of streams
//! that begin here.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use persimmon_decide::forward::{
    OpenStreams, StoreEra, StreamKey, StreamMessage, StreamOrigin, StreamVersions, Undetermined,
};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::exchange::NO_ENDPOINT_RETRY_MS;
use crate::gateway::Gateway;
use crate::plan::Plan;
use crate::platform::Platform;
use crate::refusal::Refusal;

/// Delay of messages on streams that have begun, so that one message covers several.
const BEGUN_DELAY: Duration = Duration::from_millis(10);
/// Time that each try of a question waits for replies, in milliseconds.
const QUERY_WAITS_MS: [u64; 3] = [60, 100, 140];
/// Number of gateways that are asked: more than remember a stream, since views of the fleet differ.
const MAX_ASKED: usize = 2 * StreamVersions::HOLDERS;

/// How the origin of a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// It is remembered here.
    Own,
    /// A peer or a holder has it.
    Peer,
    /// The caller names no first attempt, and the service has had one version only.
    OnlyVersion,
    /// The store's history shows only one.
    History,
    /// It wasn't found.
    Unknown,
}

impl Source {
    /// Returns the name for logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::OnlyVersion => "only_version",
            Self::History => "history",
            Self::Unknown => "unknown",
        }
    }
}

/// What was found out about the origin of a stream.
#[derive(Debug)]
struct Lookup {
    origin: Option<Arc<StreamOrigin>>,
    source: Source,
    /// The question to others, if there was one.
    query: Option<Rc<Query>>,
    /// Why the store's history doesn't show the origin, if it was read.
    undetermined: Option<Undetermined>,
}

/// A question to peers and holders that is waiting for replies.
#[derive(Debug)]
struct Query {
    asked: Vec<IpAddr>,
    replied: RefCell<HashSet<IpAddr>>,
    origin: RefCell<Option<Arc<StreamOrigin>>>,
    is_answered: Notify,
}

impl Query {
    fn is_done(&self) -> bool {
        self.origin.borrow().is_some() || self.replied.borrow().len() == self.asked.len()
    }

    /// Returns those that were asked and haven't replied.
    fn silent(&self) -> Vec<IpAddr> {
        let replied = self.replied.borrow();
        self.asked.iter().copied().filter(|it| !replied.contains(it)).collect()
    }
}

/// Messages on streams to and from the other gateways.
#[derive(Debug, Default)]
pub(crate) struct StreamExchange {
    /// Notified when streams have begun of which peers haven't been told.
    pub(crate) begun: Notify,
    queries: RefCell<HashMap<StreamKey, Weak<Query>>>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
}

impl StreamExchange {
    /// Sets the socket for messages.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>) {
        *self.socket.borrow_mut() = Some(socket);
    }

    /// Sends a message. Like any datagram, it may get lost.
    fn send(&self, message: &StreamMessage, to: SocketAddr) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let bytes = match message.to_bytes() {
            Ok(bytes) => bytes,
            Err(err) => {
                tracing::warn!(target: "peers", %err, "encoding a message on streams failed");
                return;
            }
        };
        if let Err(err) = socket.try_send_to(&bytes, to) {
            tracing::debug!(target: "peers", %to, %err, "sending a message on streams failed");
        }
    }

    fn open_query(&self, stream: StreamKey, asked: Vec<IpAddr>) -> Rc<Query> {
        let mut queries = self.queries.borrow_mut();
        queries.retain(|_, it| it.strong_count() > 0);
        if let Some(open) = queries.get(&stream).and_then(Weak::upgrade) {
            return open;
        }
        let query = Rc::new(Query {
            asked,
            replied: RefCell::default(),
            origin: RefCell::default(),
            is_answered: Notify::new(),
        });
        queries.insert(stream, Rc::downgrade(&query));
        query
    }

    /// Records a reply, of a peer or a holder.
    fn record_reply(&self, from: IpAddr, stream: StreamKey, origin: Option<Arc<StreamOrigin>>) {
        let query = self.queries.borrow().get(&stream).and_then(Weak::upgrade);
        let Some(query) = query.filter(|it| it.asked.contains(&from)) else { return };
        query.replied.borrow_mut().insert(from);
        if origin.is_some() {
            *query.origin.borrow_mut() = origin;
        }
        query.is_answered.notify_waiters();
    }
}

/// Handles a message of a peer.
pub(crate) fn receive<P: Platform>(gw: &Gateway<P>, from: SocketAddr, message: StreamMessage) {
    let now = gw.clock.now();
    match message {
        StreamMessage::Begun { origin, streams } => {
            let mut control = gw.control.borrow_mut();
            for stream in streams {
                control.streams.record(stream, &origin, now);
            }
        }
        StreamMessage::Query { stream } => {
            let origin = gw.control.borrow_mut().streams.look_up(stream, now);
            gw.streams.send(&StreamMessage::Reply { stream, origin }, from);
        }
        StreamMessage::Reply { stream, origin } => {
            gw.control.borrow_mut().holders.record_reply(from.ip());
            gw.streams.record_reply(from.ip(), stream, origin);
        }
        StreamMessage::Stored => gw.control.borrow_mut().holders.record_reply(from.ip()),
    }
}

/// A stream that brings a caller events, until it is dropped. Others are told of it in the meantime.
#[derive(Debug)]
pub(crate) struct StreamInProgress<P: Platform> {
    gw: Rc<Gateway<P>>,
    stream: StreamKey,
}

impl<P: Platform> StreamInProgress<P> {
    pub(crate) fn begin(
        gw: &Rc<Gateway<P>>,
        stream: StreamKey,
        origin: &Arc<StreamOrigin>,
    ) -> Self {
        let now = gw.clock.now();
        let mut control = gw.control.borrow_mut();
        control.streams.record_own(stream, origin, now);
        control.open_streams.begin(stream, origin, now);
        gw.streams.begun.notify_one();
        Self { gw: gw.clone(), stream }
    }
}

impl<P: Platform> Drop for StreamInProgress<P> {
    fn drop(&mut self) {
        let now = self.gw.clock.now();
        let mut control = self.gw.control.borrow_mut();
        if let Some(origin) = control.open_streams.end(self.stream) {
            control.streams.record(self.stream, &origin, now);
        }
    }
}

/// Sends the streams that have begun, and those that are still in progress, to peers and holders until the process
/// ends.
pub(crate) async fn tell_streams<P: Platform>(gw: Rc<Gateway<P>>) {
    loop {
        let check = Duration::from_millis(OpenStreams::CHECK_INTERVAL_MS);
        let is_begun = tokio::time::timeout(check, gw.streams.begun.notified()).await.is_ok();
        if is_begun {
            tokio::time::sleep(BEGUN_DELAY).await;
        }
        let mut control = gw.control.borrow_mut();
        let now = gw.clock.now();
        let due = control.open_streams.take_due(now);
        due.iter().for_each(|(stream, origin)| control.streams.record(*stream, origin, now));
        let mut told = control.streams.take_untold();
        told.extend(due);
        if told.is_empty() {
            continue;
        }
        let fleet = control.peers.fleet();
        let own = gw.settings.peers.ip();
        let mut messages = Messages::new();
        let mut holders = BTreeSet::new();
        for (stream, origin) in told {
            let peers = stream.holders(own, &fleet, StreamVersions::HOLDERS);
            let selected = control.select_holders(stream, &origin, now);
            holders.extend(selected.iter().copied());
            for ip in peers.into_iter().chain(selected) {
                messages.entry((ip, origin.clone())).or_default().push(stream);
            }
        }
        holders.into_iter().for_each(|it| control.holders.record_sent(it, now));
        drop(control);
        send_begun(&gw, messages);
    }
}

/// Sends the streams in progress to gateways that have just started and are to remember them.
pub(crate) fn tell_newcomers<P: Platform>(gw: &Gateway<P>, newcomers: &[IpAddr]) {
    let control = gw.control.borrow();
    let fleet = control.peers.fleet();
    let own = gw.settings.peers.ip();
    let mut messages = Messages::new();
    for (stream, origin) in control.open_streams.iter() {
        let peers = stream.holders(own, &fleet, StreamVersions::HOLDERS);
        for ip in peers.into_iter().filter(|it| newcomers.contains(it)) {
            messages.entry((ip, origin.clone())).or_default().push(stream);
        }
    }
    drop(control);
    send_begun(gw, messages);
}

/// Streams by receiver and origin.
type Messages = BTreeMap<(IpAddr, Arc<StreamOrigin>), Vec<StreamKey>>;

fn send_begun<P: Platform>(gw: &Gateway<P>, messages: Messages) {
    for ((ip, origin), streams) in messages {
        let to = gw.peer_address(ip);
        for streams in streams.chunks(StreamMessage::MAX_STREAMS) {
            let (origin, streams) = (origin.clone(), streams.to_vec());
            gw.streams.send(&StreamMessage::Begun { origin, streams }, to);
        }
    }
}

/// Returns what began the stream which a request takes up again; none for a request that doesn't.
///
/// # Errors
///
/// The origin isn't known, so that the stream might go on at another one.
pub(crate) async fn find_origin<P: Platform>(
    gw: &Rc<Gateway<P>>,
    plan: &Plan,
) -> Result<Option<Arc<StreamOrigin>>, Refusal> {
    if !plan.route.is_stream || !plan.head.takes_up_stream {
        return Ok(None);
    }
    let started = gw.clock.now();
    let Lookup { origin, source, query, undetermined } = look_up(gw, plan).await;
    gw.metrics.stream_lookups.with_label_values(&[source.name()]).inc();
    let now = gw.clock.now();
    if let Some(suppressed) = gw.log_limiter.admit("stream_version", now) {
        let control = gw.control.borrow();
        let asked = query.as_ref().map_or(&[][..], |it| &it.asked);
        let silent = query.as_ref().map_or_else(Vec::new, |it| it.silent());
        tracing::info!(target: "request", id = &*plan.head.id,
            first_id = plan.head.first_id.as_deref(),
            service = origin.as_ref().map(|it| &*it.service),
            version = origin.as_ref().map(|it| &*it.version),
            source = source.name(), undetermined = undetermined.map(|it| it.to_string()),
            ms = now.ms_since(started), ?asked, ?silent,
            heard = control.peers.gateways(now), gateways = control.peers.fleet().len(),
            revision = StoreEra::revision(control.view.revision()), suppressed, "version that began a stream");
    }
    if origin.is_none() && !gw.control.borrow().has_endpoints(&plan.service) {
        return Err(Refusal::NoEndpoint { retry_after_ms: NO_ENDPOINT_RETRY_MS });
    }
    origin.map(Some).ok_or(Refusal::UnknownStream)
}

/// Looks up what began a stream. Nothing is concluded from the versions that this gateway has seen, unless the
/// caller names no first attempt: on a gateway that is cut off, the records and contacts may be out of date.
async fn look_up<P: Platform>(gw: &Rc<Gateway<P>>, plan: &Plan) -> Lookup {
    if plan.head.first_id.is_none() {
        return look_up_only_version(gw, plan);
    }
    let stream = plan.stream();
    let origin = gw.control.borrow_mut().streams.look_up(stream, gw.clock.now());
    if origin.is_some() {
        return Lookup { origin, source: Source::Own, query: None, undetermined: None };
    }
    let query = ask(gw, plan, stream).await;
    let origin = query.origin.borrow().clone();
    if origin.is_some() {
        return Lookup { origin, source: Source::Peer, query: Some(query), undetermined: None };
    }
    let (origin, source, undetermined) = match gw.history.find_origin(gw, plan).await {
        Ok(origin) => (Some(origin), Source::History, None),
        Err(undetermined) => (None, Source::Unknown, Some(undetermined)),
    };
    Lookup { origin, source, query: Some(query), undetermined }
}

fn look_up_only_version<P: Platform>(gw: &Gateway<P>, plan: &Plan) -> Lookup {
    let only = gw.control.borrow().served.only(&plan.service).cloned();
    let service = plan.service.clone();
    let origin = only.map(|version| Arc::new(StreamOrigin { service, version }));
    let source = if origin.is_some() { Source::OnlyVersion } else { Source::Unknown };
    Lookup { origin, source, query: None, undetermined: None }
}

/// Asks the gateways and holders that may remember a stream what began it.
async fn ask<P: Platform>(gw: &Gateway<P>, plan: &Plan, stream: StreamKey) -> Rc<Query> {
    let asked = {
        let control = gw.control.borrow();
        let fleet = control.peers.fleet();
        let mut asked = stream.holders(gw.settings.peers.ip(), &fleet, MAX_ASKED);
        asked.extend(control.holders_to_ask(stream, &plan.route));
        asked
    };
    let query = gw.streams.open_query(stream, asked);
    for wait_ms in QUERY_WAITS_MS {
        if query.is_done() {
            break;
        }
        for ip in &query.asked {
            if !query.replied.borrow().contains(ip) {
                let to = gw.peer_address(*ip);
                gw.streams.send(&StreamMessage::Query { stream }, to);
            }
        }
        let until = gw.clock.instant(gw.clock.now().plus_ms(wait_ms)).into();
        while !query.is_done() {
            if tokio::time::timeout_at(until, query.is_answered.notified()).await.is_err() {
                break;
            }
        }
    }
    query
}
