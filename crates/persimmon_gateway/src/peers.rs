//! Digests between gateways, and records from a peer that knows more.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{Digest, DigestFreshness, StoreDelta};
use thiserror::Error;
use tokio::net::UdpSocket;

use crate::gateway::Gateway;
use crate::http;
use crate::ops::{RECORDS_PATH, SINCE};
use crate::platform::Platform;
use crate::store_reader;

/// Pause after a datagram that can't be received.
const RECEIVE_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a digest that is sent at once, which gathers changes that come together.
const DIGEST_DELAY: Duration = Duration::from_millis(10);
/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Time between two looks for idle connections and old peers, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;
/// How far the clock that counts suspended time may run ahead in one interval, in milliseconds,
/// before the process takes itself for suspended.
const MIN_SUSPENDED_MS: u64 = 400;
/// How long a peer has to be ahead before its records are fetched by a gateway that is_watching the store
/// itself, in milliseconds. Its own watch mostly brings the change in that time.
const MIN_AHEAD_MS: u64 = 250;
/// Longest time that fetching records from a peer may take.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest answer of a peer that is read, in bytes.
const MAX_DELTA_BYTES: usize = 16 * 1024 * 1024;

/// Receives digests until the process ends.
pub(crate) async fn receive<P: Platform>(gw: Rc<Gateway<P>>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                tracing::debug!(target: "peers", %err, "a datagram can't be received");
                tokio::time::sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        let now = gw.clock.now();
        match postcard::from_bytes::<Digest>(&buf[..length]) {
            Ok(digest) => {
                gw.metrics.digests.with_label_values(&["received"]).inc();
                if gw.control.borrow_mut().apply_digest(from.ip(), digest, now)
                    == DigestFreshness::NewIncarnation
                {
                    // A gateway that has just started needs what the others know.
                    gw.digest_due.notify_one();
                }
            }
            Err(err) => {
                if let Some(suppressed) = gw.log_limiter.admit("bad_digest", now) {
                    tracing::warn!(target: "peers", %from, %err, suppressed, "a digest can't be read");
                }
            }
        }
    }
}

/// Sends digests, and looks after all that goes by time.
pub(crate) async fn send<P: Platform>(gw: Rc<Gateway<P>>, socket: Rc<UdpSocket>) {
    let mut boot_ms = gw.clock.since_boot_ms();
    let mut steady = gw.clock.now();
    let mut swept = steady;
    let mut sent = steady;
    let mut ahead_since = None;
    gw.digest_due.notify_one();
    loop {
        let interval_ms = gw.control.borrow().peers.interval_ms().min(SWEEP_INTERVAL_MS);
        // A change is told at once, so that gateways that don't watch the store have it in time.
        // The pause bounds the digests when one change follows another.
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
        ahead_since = catch_up(&gw, ahead_since).await;
    }
}

async fn send_digest<P: Platform>(gw: &Rc<Gateway<P>>, socket: &UdpSocket, targets: &[IpAddr]) {
    let digest = gw.control.borrow_mut().digest(gw.clock.now());
    let bytes = match postcard::to_allocvec(&digest) {
        Ok(bytes) => bytes,
        Err(err) => {
            tracing::warn!(target: "peers", %err, "a digest can't be written");
            return;
        }
    };
    for ip in targets {
        let to = SocketAddr::new(*ip, gw.settings.peers.port());
        match socket.send_to(&bytes, to).await {
            Ok(_) => gw.metrics.digests.with_label_values(&["sent"]).inc(),
            Err(err) => tracing::debug!(target: "peers", %to, %err, "a digest can't be sent"),
        }
    }
}

/// The process was suspended: connections may be dead, and what is known may be old.
fn recover_from_suspension<P: Platform>(gw: &Rc<Gateway<P>>, suspended_ms: u64) {
    tracing::warn!(target: "gateway", suspended_ms, "the process was suspended; reading all again");
    gw.upstream.clear();
    gw.resync.notify_one();
}

fn sweep<P: Platform>(gw: &Rc<Gateway<P>>) {
    let now = gw.clock.now();
    let mut control = gw.control.borrow_mut();
    control.expire(now);
    let published = control.forget_unpublished();
    drop(control);
    gw.upstream.sweep(|endpoint| published.contains(&endpoint));
}

/// Fetches the records of a peer that has known more for a while. Returns since when one has.
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
            tracing::info!(target: "records", %peer, revision = delta.revision, known,
                is_whole = delta.is_whole, "records taken from a peer");
            let changes = gw.control.borrow_mut().view.apply_peer(delta, now);
            store_reader::apply(gw, changes);
        }
        Err(err) => {
            tracing::warn!(target: "records", %peer, %err, "a peer's records can't be read");
        }
    }
    None
}

/// Why a peer's records couldn't be read.
#[derive(Debug, Error)]
enum FetchError {
    #[error("{0}")]
    Get(#[from] http::GetError),
    #[error("unreadable records: {0}")]
    Format(#[from] postcard::Error),
}

async fn fetch(address: SocketAddr, known: u64) -> Result<StoreDelta, FetchError> {
    let path = format!("{RECORDS_PATH}?{SINCE}{known}");
    let body = http::get(address, &path, MAX_DELTA_BYTES, FETCH_TIMEOUT).await?;
    Ok(postcard::from_bytes(&body)?)
}
