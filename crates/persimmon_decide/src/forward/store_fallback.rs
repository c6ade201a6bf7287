//! When a gateway that doesn't watch the store reads from it what it can't get from other gateways.

use super::PeerTable;
use super::gateway_rank::{GatewayKey, gateway_score};
use crate::MonoMs;

/// The state of a gateway that decides whether it reads the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreFallbackInput<'a> {
    /// Position up to which this gateway has every change.
    pub own: u64,
    /// Time at which a peer last sent a part of later changes, or answered that it is busy.
    pub progress_at: Option<MonoMs>,
    /// The other gateways.
    pub peers: &'a PeerTable,
    /// The present time.
    pub now: MonoMs,
}

/// Changes that this gateway lacks.
#[derive(Debug, Clone, Copy)]
struct Lack {
    /// Position of the last of them.
    position: u64,
    /// Time since which the first of them is known.
    since: MonoMs,
}

/// Decides when a gateway that lacks changes reads them from the store, although others watch it.
///
/// Handles peers that are heard but send no records: paths that pass one way only, peers that accept a
/// connection and stay silent, or whose records don't fit. Without it, a gateway that hears a watcher waits for
/// its peers for as long as that lasts. It reads once for each lack, so that it goes back to its peers by itself.
/// The gateways that lack a change turn to the store one after another, in an order on which they agree: the
/// first ones pass it on to those that they reach, and the store isn't called by hundreds at once.
#[derive(Debug, Default)]
pub struct StoreFallback {
    /// What has been lacking for longest.
    oldest: Option<Lack>,
    /// What became known while `oldest` was lacking.
    later: Option<Lack>,
    /// Position that peers claimed at the last read. What the store didn't have then isn't asked for again.
    claimed: u64,
    /// Number of reads that have failed since the last change, or the last read.
    failures: u32,
    retry_at: MonoMs,
}

impl StoreFallback {
    /// Time from which changes are known to be lacking until the first gateways read them from the store, in
    /// milliseconds. In a sound fleet of hundreds, a change of all routes reaches the last gateway sooner.
    const FIRST_MS: u64 = 600;
    /// Delay of the next gateways in order, in milliseconds: the first ones have read the store by then. Each
    /// step has twice as many as the one before.
    const STEP_MS: u64 = 100;
    /// Time without progress after which a fetch from peers counts as stuck, in milliseconds.
    const STUCK_MS: u64 = 250;
    /// Time after which changes are read from the store though peers still send them, in milliseconds.
    const MAX_PROGRESS_MS: u64 = 1_000;
    /// Delay after the first failed read, in milliseconds; each further failure doubles it.
    const MIN_RETRY_MS: u64 = 100;
    /// Maximum delay after a failed read, in milliseconds.
    const MAX_RETRY_MS: u64 = 1_000;
    /// Subject by which gateways are ordered.
    const ORDER_SUBJECT: u64 = 0x6661_6c6c_6261_636b;

    /// Creates the state of a gateway that lacks nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the time for which this gateway has known of changes that it still lacks, in milliseconds; none
    /// if it lacks none.
    pub fn lacking_ms(&self, now: MonoMs) -> Option<u64> {
        self.oldest.map(|it| now.ms_since(it.since))
    }

    /// Records what this gateway and its peers have, and reports whether it reads the store now. Has to be
    /// called several times a second.
    pub fn is_due(&mut self, input: &StoreFallbackInput<'_>) -> bool {
        self.update(input);
        let StoreFallbackInput { progress_at, now, .. } = *input;
        let Some(oldest) = self.oldest else { return false };
        if now < oldest.since.plus_ms(Self::FIRST_MS) || now < self.retry_at {
            return false;
        }
        let is_moving = progress_at.is_some_and(|at| now.ms_since(at) < Self::STUCK_MS);
        if is_moving && now < oldest.since.plus_ms(Self::MAX_PROGRESS_MS) {
            return false;
        }
        let step = u64::from(readers_before_own(input, oldest.position).max(1).ilog2());
        now >= oldest.since.plus_ms(Self::FIRST_MS + step * Self::STEP_MS)
    }

    /// Updates what this gateway lacks.
    fn update(&mut self, input: &StoreFallbackInput<'_>) {
        let StoreFallbackInput { own, peers, now, .. } = *input;
        let is_lacking = |it: &Lack| it.position > own;
        if self.oldest.is_some_and(|it| !is_lacking(&it)) {
            self.oldest = self.later.take().filter(is_lacking);
            self.failures = 0;
        }
        let latest = peers.latest_records(now).map_or(0, |it| it.position);
        if latest <= own.max(self.claimed) {
            return;
        }
        match (&mut self.oldest, &mut self.later) {
            (None, _) => self.oldest = Some(Lack { position: latest, since: now }),
            (Some(oldest), None) if latest > oldest.position => {
                self.later = Some(Lack { position: latest, since: now });
            }
            (Some(_), Some(later)) => later.position = later.position.max(latest),
            (Some(_), None) => {}
        }
    }

    /// Records that this gateway has read the store, and has every change up to `own`.
    pub fn record_read(&mut self, own: u64) {
        let known = [self.oldest, self.later].into_iter().flatten().map(|it| it.position).max();
        self.claimed = known.unwrap_or(0).max(own);
        (self.oldest, self.later) = (None, None);
        self.failures = 0;
    }

    /// Records that the store couldn't be read.
    pub fn record_failure(&mut self, now: MonoMs) {
        let delay_ms = Self::MIN_RETRY_MS.saturating_mul(1_u64 << self.failures.min(16));
        self.retry_at = now.plus_ms(delay_ms.min(Self::MAX_RETRY_MS));
        self.failures += 1;
    }
}

/// Returns the number of gateways that lack the change at `position`, as far as it is known, and read the store
/// before this one.
fn readers_before_own(input: &StoreFallbackInput<'_>, position: u64) -> usize {
    let score = |ip| gateway_score(StoreFallback::ORDER_SUBJECT, GatewayKey::of(ip));
    let own = score(input.peers.own());
    let lacking = input.peers.notified(input.now).filter(|it| it.position < position);
    lacking.filter(|it| !it.is_doubtful && score(it.ip) < own).count()
}
