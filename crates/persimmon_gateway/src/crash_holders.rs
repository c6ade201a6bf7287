//! Stores at holders what is refused because endpoints crashed, and asks them for it after a start.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{CrashMessage, StreamHolders};

use crate::gateway::Gateway;
use crate::platform::Platform;

/// Interval at which holders are told of what is refused, in milliseconds. Those that have started again learn it
/// by that.
const STORE_INTERVAL_MS: u64 = 4_000;
/// Times after the first endpoints are known at which holders are asked, in milliseconds, until one replies.
const QUERY_AT_MS: [u64; 4] = [0, 100, 400, 1_500];

/// Tells holders of what is refused, until the process ends; first asks them what gateways refused before this one
/// started.
pub(crate) async fn exchange<P: Platform>(gw: Rc<Gateway<P>>) {
    while !gw.control.borrow().can_route() {
        gw.configured.notified().await;
    }
    ask(&gw).await;
    let mut stored_at: Option<MonoMs> = None;
    loop {
        let next = stored_at.unwrap_or(gw.clock.now()).plus_ms(STORE_INTERVAL_MS);
        tokio::select! {
            () = tokio::time::sleep_until(gw.clock.instant(next).into()) => {}
            () = gw.crashes_changed.notified() => {}
        }
        stored_at = Some(gw.clock.now());
        store(&gw);
    }
}

fn store<P: Platform>(gw: &Gateway<P>) {
    let now = gw.clock.now();
    let mut control = gw.control.borrow_mut();
    if !control.crashes.has_refused_or_cleared() {
        return;
    }
    let reports = control.crashes.reports(CrashMessage::MAX_CRASHES, now);
    let addresses: Vec<_> = control.directory.iter().map(|it| it.address.ip()).collect();
    let holders = control.holders.select_for_crashes(addresses.into_iter(), now);
    holders.iter().for_each(|it| control.holders.record_sent(*it, now));
    drop(control);
    send(gw, &CrashMessage::Store(reports), &holders);
}

async fn ask<P: Platform>(gw: &Gateway<P>) {
    let started = gw.clock.now();
    for at_ms in QUERY_AT_MS {
        tokio::time::sleep_until(gw.clock.instant(started.plus_ms(at_ms)).into()).await;
        if gw.control.borrow().has_crashes_of_holders {
            return;
        }
        let asked = {
            let control = gw.control.borrow();
            StreamHolders::asked_for_crashes(control.directory.iter().map(|it| it.address.ip()))
        };
        send(gw, &CrashMessage::Query, &asked);
    }
}

fn send<P: Platform>(gw: &Gateway<P>, message: &CrashMessage, to: &[IpAddr]) {
    let Some(socket) = gw.socket.get() else { return };
    let bytes = match message.to_bytes() {
        Ok(bytes) => bytes,
        Err(err) => {
            tracing::warn!(target: "peers", %err, "encoding a message on crashes failed");
            return;
        }
    };
    for ip in to {
        let to = gw.peer_address(*ip);
        if let Err(err) = socket.try_send_to(&bytes, to) {
            tracing::debug!(target: "peers", %to, %err, "sending a message on crashes failed");
        }
    }
}

/// Handles a message of a holder.
pub(crate) fn receive<P: Platform>(gw: &Gateway<P>, from: SocketAddr, message: CrashMessage) {
    let now = gw.clock.now();
    let mut control = gw.control.borrow_mut();
    control.holders.record_reply(from.ip());
    if let CrashMessage::Reply(reports) = message {
        control.has_crashes_of_holders = true;
        control.crashes.record_peer_reports(&reports, now);
        drop(control);
        gw.log_newly_refused();
    }
}
