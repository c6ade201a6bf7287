//! How changes of the records are passed on.

use std::net::IpAddr;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    ChangeNotice, FanOutInput, NoticeTo, PeerTable, Relay, StoreChange, StoreFallbackInput,
    StoreUpdate, StoreView, UpdateError,
};
use rand::RngExt;

use super::Control;

/// A notice and the gateway that gets it.
pub(crate) type AddressedNotice = (IpAddr, ChangeNotice);

impl Control {
    /// Returns the notices to send now that the records have changed, if they have. `is_from_store` says
    /// whether the store sent the change to this gateway.
    pub(crate) fn spread(&mut self, is_from_store: bool, now: MonoMs) -> Vec<AddressedNotice> {
        if !self.fan_out.is_new(self.view.revision()) {
            return Vec::new();
        }
        let update = self.small_update(now);
        let input = FanOutInput {
            is_small: update.is_some(),
            ..input(&self.view, &self.peers, self.is_watching, now)
        };
        let own = input.own;
        let draw = || self.rng.random();
        let notices = self.fan_out.record_position(&input, is_from_store, draw);
        address(notices, own, update.as_ref())
    }

    /// Applies a peer's notice to the view. Returns the changes to put in force, or the reason why the notice's
    /// update can't be applied, and the notices to pass on.
    pub(crate) fn apply_notice(
        &mut self,
        from: IpAddr,
        notice: ChangeNotice,
        now: MonoMs,
    ) -> (Result<Vec<StoreChange>, UpdateError>, Vec<AddressedNotice>) {
        self.peers.record_notice(from, notice.position, now);
        let applied = match notice.update {
            Some(update) => self.view.apply_update(update, now),
            None => Ok(Vec::new()),
        };
        let update = (!notice.relay_to.is_empty()).then(|| self.small_update(now)).flatten();
        let input = FanOutInput {
            is_small: update.is_some(),
            ..input(&self.view, &self.peers, self.is_watching, now)
        };
        let own = input.own;
        let relay = Relay { position: notice.position, group: notice.relay_to };
        let draw = || self.rng.random();
        let notices = self.fan_out.record_notice(from, relay, &input, draw);
        (applied, address(notices, own, update.as_ref()))
    }

    /// Returns the notices of a round that is due.
    pub(crate) fn due_notices(&mut self, now: MonoMs) -> Vec<AddressedNotice> {
        let input = input(&self.view, &self.peers, self.is_watching, now);
        let own = input.own;
        let notices = self.fan_out.due(&input, || self.rng.random());
        address(notices, own, None)
    }

    /// Returns the peer to fetch records from now, if there is one.
    pub(crate) fn next_fetch(&mut self, now: MonoMs) -> Option<IpAddr> {
        let input = input(&self.view, &self.peers, self.is_watching, now);
        self.fan_out.next_fetch(&input, || self.rng.random())
    }

    /// Reports whether this gateway reads from the store now what it can't get from peers.
    pub(crate) fn reads_store(&mut self, now: MonoMs) -> bool {
        let input = StoreFallbackInput {
            own: self.view.revision(),
            progress_at: self.fan_out.progress_at(),
            peers: &self.peers,
            now,
        };
        self.store_fallback.is_due(&input)
    }

    /// Returns the update for a notice; none if none is small enough.
    fn small_update(&self, now: MonoMs) -> Option<StoreUpdate> {
        let mut bases = self.fan_out.update_bases(self.view.revision(), now);
        let base = bases.find(|it| self.view.update_size(*it) <= ChangeNotice::MAX_UPDATE_BYTES)?;
        Some(self.view.update_since(base, now))
    }
}

/// Returns the input of the fan-out for a change that doesn't fit into a notice.
fn input<'a>(
    view: &StoreView,
    peers: &'a PeerTable,
    is_watching: bool,
    now: MonoMs,
) -> FanOutInput<'a> {
    FanOutInput { own: view.revision(), is_small: false, is_watching, peers, now }
}

fn address(
    notices: Vec<NoticeTo>,
    position: u64,
    update: Option<&StoreUpdate>,
) -> Vec<AddressedNotice> {
    let notice = |it: NoticeTo| {
        let update = update.filter(|_| it.has_update).cloned();
        (it.to, ChangeNotice { position, relay_to: it.relay_to, update })
    };
    notices.into_iter().map(notice).collect()
}
