//! Pacing of reads from the rate-limited weight store.

use persimmon_records::UnixMs;

use crate::membership::{NodeId, VmName};
use crate::recovery::RetryPacer;

/// Rate limit of the weight store, over all sidecars.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadRate {
    /// Maximum number of loads that start in a minute.
    pub per_minute: u32,
    /// Maximum difference between two wall clocks, in milliseconds.
    pub clock_uncertainty_ms: u64,
}

impl LoadRate {
    const MINUTE_MS: u64 = 60_000;

    /// Returns the length of a slot, in which one sidecar may start a load, in milliseconds. It
    /// includes the clock uncertainty, so that no minute has too many starts although clocks
    /// differ.
    pub fn slot_ms(&self) -> u64 {
        (Self::MINUTE_MS + self.clock_uncertainty_ms).div_ceil(u64::from(self.per_minute.max(1)))
    }
}

/// Reason why a load waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// The sidecar's slot hasn't started.
    Slot,
    /// The weight store refused the load and gave a retry delay.
    Throttled,
}

/// Delay of a load, for status reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadWait {
    /// Time until the load may start, in milliseconds.
    pub starts_in_ms: u64,
    /// Reason for the delay.
    pub reason: WaitReason,
}

/// Paces the loads of one sidecar without communication between sidecars. The published list gives
/// every sidecar a rank, the wall clock is divided into numbered slots, and in each slot one rank
/// may start a load.
///
/// The list contains the sidecars that may need to load at the same time: those whose records
/// changed with a generation, or, after an engine crash, those of its own availability zone, since
/// a zone fails as a whole.
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

    /// Creates the pacer for a load that the sidecar `own` needs from `now` on. Returns `None` if
    /// `names` doesn't contain `own`.
    pub fn new(rate: LoadRate, own: &VmName, names: &[VmName], now: UnixMs) -> Option<Self> {
        let mut ranked: Vec<_> = names.iter().map(|name| (NodeId::of(name), name)).collect();
        ranked.sort_unstable();
        ranked.dedup();
        let rank = ranked.iter().position(|(_, name)| *name == own)?;
        let starts_at = Self::next_slot(rate, rank as u64, ranked.len() as u64, now);
        let backoff = RetryPacer::new(Self::BACKOFF_BASE_MS, Self::BACKOFF_MAX_MS);
        Some(Self { rate, starts_at, reason: WaitReason::Slot, refusals: 0, backoff })
    }

    /// Returns the remaining delay and its reason, or `None` if the load may start.
    pub fn wait(&self, now: UnixMs) -> Option<LoadWait> {
        let starts_in_ms = self.starts_at.ms_since(now);
        (starts_in_ms > 0).then_some(LoadWait { starts_in_ms, reason: self.reason })
    }

    /// Records that the weight store refused the load and asked for a retry after `retry_after_ms`.
    /// `random` adds a delay that spreads out sidecars refused at the same time; its range grows
    /// with each refusal.
    pub fn throttled(&mut self, retry_after_ms: u64, random: u64, now: UnixMs) {
        let spread_ms = self.backoff.delay_ms(self.refusals, random).max(self.rate.slot_ms());
        self.refusals = self.refusals.saturating_add(1);
        self.starts_at = now.plus_ms(retry_after_ms).plus_ms(spread_ms);
        self.reason = WaitReason::Throttled;
    }

    /// Returns the start of the next slot of a rank.
    fn next_slot(rate: LoadRate, rank: u64, ranks: u64, now: UnixMs) -> UnixMs {
        let slot_ms = rate.slot_ms();
        let slot = now.0.div_ceil(slot_ms);
        let ahead = (rank + ranks - slot % ranks) % ranks;
        UnixMs((slot + ahead) * slot_ms)
    }
}
