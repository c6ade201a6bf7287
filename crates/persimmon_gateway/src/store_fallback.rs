//! Reads changes from the store that peers have and don't send.

use std::rc::Rc;

use persimmon_decide::forward::StoreEra;

use crate::gateway::Gateway;
use crate::platform::Platform;
use crate::store_reader::{self, StoreError, WatchCall};

/// What follows on a check whether this gateway reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AfterRead {
    /// It waits for other gateways, as before.
    Waits,
    /// It lists the records, as the store has no history of the changes.
    Lists,
}

/// Reads the changes that this gateway lacks from the store, once, if its peers don't send them.
pub(crate) async fn read_if_due<P: Platform>(gw: &Rc<Gateway<P>>) -> AfterRead {
    let (known, lacking_ms) = {
        let now = gw.clock.now();
        let mut control = gw.control.borrow_mut();
        if !control.reads_store(now) {
            return AfterRead::Waits;
        }
        (control.view.revision(), control.store_fallback.lacking_ms(now))
    };
    let result = read_changes(gw, known).await;
    store_reader::record_call(gw, "fallback", &result);
    let now = gw.clock.now();
    let mut control = gw.control.borrow_mut();
    let (known, own) = (StoreEra::revision(known), control.view.revision());
    match result {
        Ok(()) => {
            control.store_fallback.record_read(own);
            tracing::info!(target: "store", lacking_ms, known, revision = StoreEra::revision(own),
                "read changes from the store that peers don't send");
            AfterRead::Waits
        }
        Err(err @ (StoreError::HistoryGone | StoreError::Restored)) => {
            tracing::info!(target: "store", %err, lacking_ms, known,
                "the store has no history of the changes that peers don't send; listing");
            AfterRead::Lists
        }
        Err(err) => {
            control.store_fallback.record_failure(now);
            tracing::warn!(target: "store", %err, lacking_ms, known,
                "reading changes from the store that peers don't send failed; retrying");
            AfterRead::Waits
        }
    }
}

/// Reads the changes after `known` over a connection of their own, and puts them in force.
async fn read_changes<P: Platform>(gw: &Rc<Gateway<P>>, known: u64) -> Result<(), StoreError> {
    let mut connection = store_reader::connect(gw).await?;
    let call = WatchCall {
        after: known,
        wait_ms: store_reader::SHORT_WATCH_WAIT_MS,
        limit_ms: store_reader::SHORT_WATCH_TIMEOUT_MS,
        max_bytes: store_reader::MAX_ANSWER_BYTES,
    };
    let page = store_reader::watch(gw, &mut connection, &call).await?;
    {
        let now = gw.clock.now();
        let mut control = gw.control.borrow_mut();
        let lost_since = control.peers.store_lost_since(now).unwrap_or_default();
        control.peers.record_store_contact(now);
        store_reader::defer_removals(&mut control, lost_since, now);
    }
    store_reader::apply_page(gw, page);
    Ok(())
}
