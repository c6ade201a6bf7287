//! Sends and receives notices of changed records.

use std::net::SocketAddr;
use std::rc::Rc;

use persimmon_decide::forward::{ChangeNotice, UpdateError};

use crate::control::AddressedNotice;
use crate::gateway::Gateway;
use crate::platform::Platform;
use crate::store_reader;

/// Passes a change on to other gateways, if this gateway has one that it hasn't passed on. `is_from_store`
/// says whether the store sent it to this gateway.
pub(crate) fn spread<P: Platform>(gw: &Gateway<P>, is_from_store: bool) {
    let notices = gw.control.borrow_mut().spread(is_from_store, gw.clock.now());
    send(gw, notices);
}

/// Repeats notices that are due.
pub(crate) fn send_due<P: Platform>(gw: &Gateway<P>) {
    let notices = gw.control.borrow_mut().due_notices(gw.clock.now());
    send(gw, notices);
}

fn send<P: Platform>(gw: &Gateway<P>, notices: Vec<AddressedNotice>) {
    let Some(socket) = gw.socket.get() else { return };
    for (ip, notice) in notices {
        let bytes = match notice.to_bytes() {
            Ok(bytes) => bytes,
            Err(err) => {
                tracing::warn!(target: "records", %err, "encoding a notice failed");
                return;
            }
        };
        let to = gw.peer_address(ip);
        match socket.try_send_to(&bytes, to) {
            Ok(_) => {
                gw.metrics.records.notices.with_label_values(&["sent"]).inc();
                gw.metrics.records.bytes.with_label_values(&["sent"]).inc_by(bytes.len() as u64);
            }
            // The receiver finds out by another notice or a digest.
            Err(err) => tracing::debug!(target: "records", %to, %err, "sending a notice failed"),
        }
    }
}

/// Applies a notice, passes it on, and lets the records be fetched if it doesn't contain them.
pub(crate) fn receive<P: Platform>(
    gw: &Rc<Gateway<P>>,
    from: SocketAddr,
    length: usize,
    notice: postcard::Result<ChangeNotice>,
) {
    let now = gw.clock.now();
    let notice = match notice {
        Ok(notice) => notice,
        Err(err) => {
            if let Some(suppressed) = gw.log_limiter.admit("bad_notice", now) {
                tracing::warn!(target: "records", %from, %err, suppressed, "invalid notice");
            }
            return;
        }
    };
    gw.metrics.records.notices.with_label_values(&["received"]).inc();
    gw.metrics.records.bytes.with_label_values(&["received"]).inc_by(length as u64);
    let position = notice.position;
    let (applied, notices) = gw.control.borrow_mut().apply_notice(from.ip(), notice, now);
    send(gw, notices);
    match applied {
        Ok(changes) => store_reader::apply(gw, changes, false),
        // A notice was lost, or overtaken by this one.
        Err(UpdateError::Gap) => {}
        Err(err) => {
            if let Some(suppressed) = gw.log_limiter.admit("unusable_notice", now) {
                tracing::info!(target: "records", %from, %err, suppressed,
                    "the change in a notice can't be applied; fetching it");
            }
        }
    }
    if gw.control.borrow().view.revision() < position {
        gw.peer_ahead.notify_one();
    }
}
