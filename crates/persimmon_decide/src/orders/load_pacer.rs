//! When a sidecar may read from the rate-limited weight store.

use persimmon_records::UnixMs;

use crate::membership::{NodeId, VmName};
use crate::recovery::RetryPacer;

/// How many loads the weight store takes, over all sidecars.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadRate {
    /// Loads that may start in a minute.
    pub per_minute: u32,
    /// How far apart two wall clocks may be, in milliseconds.
    pub clock_uncertainty_ms: u64,
}

impl LoadRate {
    const MINUTE_MS: u64 = 60_000;

    /// Milliseconds of one slot, in which one sidecar starts a load. Long enough that no minute
    /// sees too many starts, though clocks disagree.
    pub fn slot_ms(&self) -> u64 {
        (Self::MINUTE_MS + self.clock_uncertainty_ms).div_ceil(u64::from(self.per_minute.max(1)))
    }
}

/// Why a load waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// Until the sidecar's slot.
    Slot,
    /// The weight store refused and said when to come back.
    Throttled,
}

/// A load that waits, for status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadWait {
    /// When it may start, in milliseconds from now.
    pub starts_in_ms: u64,
    /// Why it waits.
    pub reason: WaitReason,
}

/// Paces one sidecar's loads with nothing shared: the published list gives every sidecar a rank, the
/// wall clock counts slots, and in each slot one rank may start.
///
/// The list holds the sidecars that may want to load at once: those whose records a generation
/// changed, or after an engine's crash those of the own zone, which fails as a whole.
///
/// ```
/// use persimmon_decide::orders::{LoadPacer, LoadRate};
/// use persimmon_records::UnixMs;
///
/// let rate = LoadRate { per_minute: 60, clock_uncertainty_ms: 1_000 };
/// let names = ["engine-1", "engine-2"].map(Into::into);
/// let mut pacer = LoadPacer::new(rate, &names[0], &names, UnixMs(0)).unwrap();
/// let wait = pacer.wait(UnixMs(0));
/// assert!(wait.is_none_or(|wait| wait.starts_in_ms <= 2 * rate.slot_ms()));
/// # pacer.throttled(1_000, 0, UnixMs(0));
/// ```
#[derive(Debug)]
pub struct LoadPacer {
    rate: LoadRate,
    starts_at: UnixMs,
    reason: WaitReason,
    refusals: u32,
    backoff: RetryPacer,
}

impl LoadPacer {
    const BACKOFF_BASE_MS: u64 = 1_000;
    const BACKOFF_MAX_MS: u64 = 60_000;

    /// A load wanted from `now` on by the sidecar `own`, one of `names`. None if the list lacks it.
    pub fn new(rate: LoadRate, own: &VmName, names: &[VmName], now: UnixMs) -> Option<Self> {
        let mut ranked: Vec<_> = names.iter().map(|name| (NodeId::of(name), name)).collect();
        ranked.sort_unstable();
        ranked.dedup();
        let rank = ranked.iter().position(|(_, name)| *name == own)?;
        let starts_at = Self::next_slot(rate, rank as u64, ranked.len() as u64, now);
        let backoff = RetryPacer::new(Self::BACKOFF_BASE_MS, Self::BACKOFF_MAX_MS);
        Some(Self { rate, starts_at, reason: WaitReason::Slot, refusals: 0, backoff })
    }

    /// Why and how long the load still waits; none if it may start.
    pub fn wait(&self, now: UnixMs) -> Option<LoadWait> {
        let starts_in_ms = self.starts_at.ms_since(now);
        (starts_in_ms > 0).then_some(LoadWait { starts_in_ms, reason: self.reason })
    }

    /// The weight store refused and asked to be left alone for this long. `random` spreads those
    /// that were refused together, wider with each refusal.
    pub fn throttled(&mut self, retry_after_ms: u64, random: u64, now: UnixMs) {
        let spread_ms = self.backoff.delay_ms(self.refusals, random).max(self.rate.slot_ms());
        self.refusals = self.refusals.saturating_add(1);
        self.starts_at = now.plus_ms(retry_after_ms).plus_ms(spread_ms);
        self.reason = WaitReason::Throttled;
    }

    /// The start of the next slot of a rank.
    fn next_slot(rate: LoadRate, rank: u64, ranks: u64, now: UnixMs) -> UnixMs {
        let slot_ms = rate.slot_ms();
        let slot = now.0.div_ceil(slot_ms);
        let ahead = (rank + ranks - slot % ranks) % ranks;
        UnixMs((slot + ahead) * slot_ms)
    }
}
