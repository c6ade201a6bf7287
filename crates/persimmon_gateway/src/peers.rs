//! Exchanges digests with the other gateways.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use persimmon_decide::forward::{
    AgeReason, ChangeNotice, CrashMessage, Digest, DigestFreshness, StoreEra, StreamMessage,
};
use tokio::net::UdpSocket;

use crate::crash_holders;
use crate::evacuation;
use crate::gateway::Gateway;
use crate::notices;
use crate::platform::Platform;
use crate::store_reader;
use crate::stream_versions;

/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(100);
/// Minimum delay of a digest that a change triggers, in milliseconds, so that one digest covers several
/// changes in quick succession.
const MIN_DIGEST_DELAY_MS: u64 = 10;
/// Divisor of the interval between digests; the delay is at least the quotient, so that many changes to
/// a large fleet take no more of a gateway's processor time than to a small one.
const DIGEST_DELAY_DIVISOR: u64 = 25;
/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Interval at which idle connections and silent peers are removed, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;
/// Minimum time by which the boot-time clock, which includes suspension, must gain on the monotonic
/// clock in one interval for the VM to count as suspended, in milliseconds.
const MIN_SUSPENDED_MS: u64 = 400;

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
        if let Some(notice) = ChangeNotice::from_bytes(&buf[..length]) {
            notices::receive(&gw, from, length, notice);
            continue;
        }
        if let Some(message) = StreamMessage::from_bytes(&buf[..length]) {
            receive_message(&gw, from, message);
            continue;
        }
        if let Some(message) = CrashMessage::from_bytes(&buf[..length]) {
            match message {
                Ok(message) => crash_holders::receive(&gw, from, message),
                Err(err) => log_invalid_message(&gw, from, &err),
            }
            continue;
        }
        let now = gw.clock.now();
        match Digest::from_bytes(&buf[..length]) {
            Ok(digest) => {
                gw.metrics.digests.with_label_values(&["received"]).inc();
                let mut control = gw.control.borrow_mut();
                if digest.revision > control.view.revision() {
                    gw.peer_ahead.notify_one();
                }
                if digest.routes_version > control.routes_version() {
                    gw.routes_ahead.notify_one();
                }
                let freshness = control.apply_digest(from.ip(), digest, now);
                drop(control);
                if freshness == DigestFreshness::NewIncarnation {
                    // A gateway that has just started needs the state of the others.
                    gw.newcomer.notify_one();
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
        Err(err) => log_invalid_message(gw, from, &err),
    }
}

fn log_invalid_message<P: Platform>(gw: &Gateway<P>, from: SocketAddr, err: &postcard::Error) {
    if let Some(suppressed) = gw.log_limiter.admit("bad_message", gw.clock.now()) {
        tracing::warn!(target: "peers", %from, %err, suppressed, "invalid message");
    }
}

/// Sends digests, and runs the other periodic tasks, until the process ends.
pub(crate) async fn send<P: Platform>(gw: Rc<Gateway<P>>, socket: Rc<UdpSocket>) {
    let mut boot_ms = gw.clock.since_boot_ms();
    let mut steady = gw.clock.now();
    let mut swept = steady;
    let mut sent = steady;
    gw.digest_due.notify_one();
    loop {
        let interval_ms = interval_ms(&gw);
        let next = sent.plus_ms(interval_ms).min(swept.plus_ms(SWEEP_INTERVAL_MS));
        // A change triggers a digest without waiting for the interval, so that gateways that don't
        // watch the store learn of it in time. The delay limits the rate of such digests.
        let delay_ms = MIN_DIGEST_DELAY_MS.max(interval_ms / DIGEST_DELAY_DIVISOR);
        let is_due = tokio::select! {
            () = tokio::time::sleep_until(gw.clock.instant(next).into()) => false,
            () = gw.digest_due.notified() => {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                true
            }
            () = gw.newcomer.notified() => {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                false
            }
        };
        let now = gw.clock.now();
        let boot_now_ms = gw.clock.since_boot_ms();
        let suspended_ms = boot_now_ms.saturating_sub(boot_ms).saturating_sub(now.ms_since(steady));
        (boot_ms, steady) = (boot_now_ms, now);
        if suspended_ms > MIN_SUSPENDED_MS {
            recover_from_suspension(&gw, suspended_ms);
        }
        let newcomers = std::mem::take(&mut gw.control.borrow_mut().newcomers);
        if !newcomers.is_empty() {
            let digest = gw.control.borrow_mut().newcomer_digest(now);
            send_digest(&gw, &socket, &digest, &newcomers).await;
            stream_versions::tell_newcomers(&gw, &newcomers);
        }
        if is_due || now.ms_since(sent) >= interval_ms {
            sent = now;
            let targets = gw.control.borrow().peers.targets();
            let digest = gw.control.borrow_mut().digest(now);
            send_digest(&gw, &socket, &digest, &targets).await;
        }
        if now.ms_since(swept) >= SWEEP_INTERVAL_MS {
            swept = now;
            sweep(&gw);
        }
        store_reader::apply_due(&gw);
        update_startup(&gw);
    }
}

/// Returns the interval between two digests of this gateway, in milliseconds.
fn interval_ms<P: Platform>(gw: &Gateway<P>) -> u64 {
    let control = gw.control.borrow();
    control.peers.interval_ms(control.is_watching)
}

async fn send_digest<P: Platform>(
    gw: &Rc<Gateway<P>>,
    socket: &UdpSocket,
    digest: &Digest,
    targets: &[IpAddr],
) {
    let bytes = match digest.to_bytes() {
        Ok(bytes) => bytes,
        Err(err) => {
            tracing::warn!(target: "peers", %err, "encoding a digest failed");
            return;
        }
    };
    for ip in targets {
        let to = gw.peer_address(*ip);
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

/// Updates the metrics of the age of the records in force, and logs why they aren't current.
fn report_records_age<P: Platform>(gw: &Gateway<P>) {
    let now = gw.clock.now();
    let control = gw.control.borrow();
    let age_ms = control.records_age.age_ms(now);
    let reason = control.records_age.reason(control.fan_out.is_fetching(), now);
    let metrics = &gw.metrics.records;
    // Without a confirmation, the records are as old as the process.
    let shown_ms = age_ms.unwrap_or(now.0);
    metrics.age_ms.set(i64::try_from(shown_ms).unwrap_or(i64::MAX));
    for it in AgeReason::ALL {
        metrics.age_reason.with_label_values(&[it.name()]).set(i64::from(it == reason));
    }
    if reason != AgeReason::Current
        && let Some(suppressed) = gw.log_limiter.admit("records_age", now)
    {
        let (known, latest) = (control.view.revision(), control.records_age.latest());
        tracing::warn!(target: "records", age_ms, reason = reason.name(),
            known = StoreEra::revision(known), latest = latest.map(StoreEra::revision),
            routes = control.routes_version(), suppressed, "records in force aren't current");
    }
}

fn sweep<P: Platform>(gw: &Rc<Gateway<P>>) {
    let now = gw.clock.now();
    let mut control = gw.control.borrow_mut();
    control.expire(now);
    let published = control.forget_unpublished(now);
    let lifetime_ms = control.speeds.lifetime_ms();
    drop(control);
    let shown_ms = i64::try_from(lifetime_ms).unwrap_or(i64::MAX);
    gw.metrics.endpoint.speed_lifetime_ms.set(shown_ms);
    report_records_age(gw);
    evacuation::report(gw);
    gw.upstream.sweep(|endpoint| published.contains(&endpoint));
}
