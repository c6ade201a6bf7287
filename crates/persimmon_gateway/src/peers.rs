//! Exchanges digests with the other gateways, and fetches records from a peer with newer ones.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{Digest, DigestFreshness, StoreDelta, StoreEra, StreamMessage};
use thiserror::Error;
use tokio::net::UdpSocket;

use crate::gateway::Gateway;
use crate::http;
use crate::ops::{RECORDS_PATH, SINCE};
use crate::platform::Platform;
use crate::store_reader;
use crate::stream_versions;

/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(100);
/// Delay of a digest that a change triggers, so that one digest covers several changes in quick
/// succession.
const DIGEST_DELAY: Duration = Duration::from_millis(10);
/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Interval at which idle connections and silent peers are removed, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;
/// Minimum time by which the boot-time clock, which includes suspension, must gain on the monotonic
/// clock in one interval for the VM to count as suspended, in milliseconds.
const MIN_SUSPENDED_MS: u64 = 400;
/// Time for which a peer must be ahead before a gateway that watches the store itself fetches the
/// peer's records, in milliseconds. The gateway's own watch usually returns the change sooner.
const MIN_AHEAD_MS: u64 = 250;
/// Timeout for fetching records from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum size of a peer's answer, in bytes.
const MAX_DELTA_BYTES: usize = 16 * 1024 * 1024;

/// Receives digests until the process ends.
pub(crate) async fn receive<P: Platform>(gw: Rc<Gateway<P>>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                tracing::debug!(target: "peers", %err, "receiving a datagram failed");
                tokio::time::sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        if let Some(message) = StreamMessage::from_bytes(&buf[..length]) {
            receive_message(&gw, from, message);
            continue;
        }
        let now = gw.clock.now();
        match Digest::from_bytes(&buf[..length]) {
            Ok(digest) => {
                gw.metrics.digests.with_label_values(&["received"]).inc();
                if gw.control.borrow_mut().apply_digest(from.ip(), digest, now)
                    == DigestFreshness::NewIncarnation
                {
                    // A gateway that has just started needs the state of the others.
                    gw.digest_due.notify_one();
                }
                gw.log_newly_refused();
                log_changed_limits(&gw, from.ip());
                update_startup(&gw);
            }
            Err(err) => {
                if let Some(suppressed) = gw.log_limiter.admit("bad_digest", now) {
                    tracing::warn!(target: "peers", %from, %err, suppressed, "invalid digest");
                }
            }
        }
    }
}

/// Lets the requests go on that wait for the records of a gateway which has just started.
fn update_startup<P: Platform>(gw: &Gateway<P>) {
    let mut control = gw.control.borrow_mut();
    if control.update_startup(gw.clock.now()) {
        let revision = StoreEra::revision(control.view.revision());
        tracing::info!(target: "records", revision, "records of peers are in force");
        gw.configured.notify_waiters();
    }
}

fn log_changed_limits<P: Platform>(gw: &Gateway<P>, peer: IpAddr) {
    for (report, endpoint) in gw.control.borrow_mut().take_changed_limits() {
        let suppressed = gw.log_limiter.admit("peer_limit", gw.clock.now());
        let Some(suppressed) = suppressed else { continue };
        tracing::info!(target: "endpoint", endpoint = endpoint.as_ref().map(|it| &*it.id),
            hash = report.endpoint.0, limit = report.per_s.map(tracing::field::display),
            age_ms = report.age_ms, %peer, suppressed, "a peer says that an endpoint's limit has changed");
    }
}

fn receive_message<P: Platform>(
    gw: &Gateway<P>,
    from: SocketAddr,
    message: postcard::Result<StreamMessage>,
) {
    match message {
        Ok(message) => stream_versions::receive(gw, from, message),
        Err(err) => {
            if let Some(suppressed) = gw.log_limiter.admit("bad_message", gw.clock.now()) {
                tracing::warn!(target: "peers", %from, %err, suppressed, "invalid message");
            }
        }
    }
}

/// Sends digests, and runs the other periodic tasks, until the process ends.
pub(crate) async fn send<P: Platform>(gw: Rc<Gateway<P>>, socket: Rc<UdpSocket>) {
    let mut boot_ms = gw.clock.since_boot_ms();
    let mut steady = gw.clock.now();
    let mut swept = steady;
    let mut sent = steady;
    let mut ahead_since = None;
    gw.digest_due.notify_one();
    loop {
        let interval_ms = gw.control.borrow().peers.interval_ms().min(SWEEP_INTERVAL_MS);
        // A change triggers a digest without waiting for the interval, so that gateways that don't
        // watch the store learn of it in time. The delay limits the rate of such digests.
        let is_due = tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(interval_ms)) => false,
            () = gw.digest_due.notified() => {
                tokio::time::sleep(DIGEST_DELAY).await;
                true
            }
        };
        let now = gw.clock.now();
        let boot_now_ms = gw.clock.since_boot_ms();
        let suspended_ms = boot_now_ms.saturating_sub(boot_ms).saturating_sub(now.ms_since(steady));
        (boot_ms, steady) = (boot_now_ms, now);
        if suspended_ms > MIN_SUSPENDED_MS {
            recover_from_suspension(&gw, suspended_ms);
        }
        if is_due || now.ms_since(sent) >= gw.control.borrow().peers.interval_ms() {
            sent = now;
            let targets = gw.control.borrow().peers.targets();
            send_digest(&gw, &socket, &targets).await;
        }
        if now.ms_since(swept) >= SWEEP_INTERVAL_MS {
            swept = now;
            sweep(&gw);
        }
        store_reader::apply_due(&gw);
        adopt_routes(&gw).await;
        update_startup(&gw);
        ahead_since = catch_up(&gw, ahead_since).await;
    }
}

async fn send_digest<P: Platform>(gw: &Rc<Gateway<P>>, socket: &UdpSocket, targets: &[IpAddr]) {
    let digest = gw.control.borrow_mut().digest(gw.clock.now());
    let bytes = match digest.to_bytes() {
        Ok(bytes) => bytes,
        Err(err) => {
            tracing::warn!(target: "peers", %err, "encoding a digest failed");
            return;
        }
    };
    for ip in targets {
        let to = SocketAddr::new(*ip, gw.settings.peers.port());
        match socket.send_to(&bytes, to).await {
            Ok(_) => gw.metrics.digests.with_label_values(&["sent"]).inc(),
            Err(err) => tracing::debug!(target: "peers", %to, %err, "sending a digest failed"),
        }
    }
}

/// Closes idle connections and reads the records again after the VM was suspended, since
/// connections may be dead and records stale.
fn recover_from_suspension<P: Platform>(gw: &Rc<Gateway<P>>, suspended_ms: u64) {
    tracing::warn!(target: "gateway", suspended_ms,
        "VM was suspended; closing idle connections and listing the records again");
    gw.upstream.clear();
    gw.resync.notify_one();
}

fn sweep<P: Platform>(gw: &Rc<Gateway<P>>) {
    let now = gw.clock.now();
    let mut control = gw.control.borrow_mut();
    control.expire(now);
    let published = control.forget_unpublished(now);
    drop(control);
    gw.upstream.sweep(|endpoint| published.contains(&endpoint));
}

/// Fetches the records of a peer that knows a later revision. A gateway that watches the store
/// first waits until a peer has been ahead for [`MIN_AHEAD_MS`]. Until then, this returns the time
/// since which a peer has been ahead, to be given as `since` in the next call.
async fn catch_up<P: Platform>(gw: &Rc<Gateway<P>>, since: Option<MonoMs>) -> Option<MonoMs> {
    let now = gw.clock.now();
    let (known, peer, is_watching) = {
        let mut control = gw.control.borrow_mut();
        let known = control.view.revision();
        let draw = control.draw();
        (known, control.peers.ahead_of(known, draw, now)?, control.store_contact.is_some())
    };
    let since = since.unwrap_or(now);
    if is_watching && now.ms_since(since) < MIN_AHEAD_MS {
        return Some(since);
    }
    let address = SocketAddr::new(peer, gw.settings.peers.port());
    match fetch(address, known).await {
        Ok(delta) => {
            let now = gw.clock.now();
            tracing::info!(target: "records", %peer, revision = StoreEra::revision(delta.revision),
                era = StoreEra::of(delta.revision).0, known = StoreEra::revision(known),
                is_whole = delta.is_whole, "fetched records from a peer");
            let changes = gw.control.borrow_mut().view.apply_peer(delta, now);
            store_reader::apply(gw, changes);
        }
        Err(err) => {
            tracing::warn!(target: "records", %peer, %err, "fetching records from a peer failed");
        }
    }
    None
}

/// Fetches the routes of a peer that has later ones. Gateways keep routes that a store has lost by coming
/// back from an older copy, until they are written again.
async fn adopt_routes<P: Platform>(gw: &Rc<Gateway<P>>) {
    let (own, peer) = {
        let control = gw.control.borrow();
        // Before the era of the store's first restoration, positions tell who is ahead.
        if StoreEra::of(control.view.revision()) == StoreEra::default() {
            return;
        }
        let own = control.routes_version();
        let Some(peer) = control.peers.ahead_in_routes(own, gw.clock.now()) else { return };
        (own, peer)
    };
    match fetch(SocketAddr::new(peer, gw.settings.peers.port()), 0).await {
        Ok(delta) => {
            if gw.control.borrow_mut().adopt_routes(&gw.platform, delta) {
                let version = gw.control.borrow().routes_version();
                tracing::info!(target: "records", %peer, own, version, "adopted a peer's routes");
                gw.digest_due.notify_one();
            }
        }
        Err(err) => {
            tracing::warn!(target: "records", %peer, %err, "fetching routes from a peer failed");
        }
    }
}

/// The reason why fetching records from a peer failed.
#[derive(Debug, Error)]
enum FetchError {
    #[error("{0}")]
    Get(#[from] http::GetError),
    #[error("invalid records: {0}")]
    Format(#[from] postcard::Error),
}

async fn fetch(address: SocketAddr, known: u64) -> Result<StoreDelta, FetchError> {
    let path = format!("{RECORDS_PATH}?{SINCE}{known}");
    let body = http::get(address, &path, MAX_DELTA_BYTES, FETCH_TIMEOUT).await?;
    Ok(postcard::from_bytes(&body)?)
}
