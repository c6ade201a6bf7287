//! Quarantine of requests that crash the endpoints on which they run.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use thiserror::Error;

use super::{QuarantineSettings, SuspectMark, Suspicion, Verdict};
use crate::membership::NodeId;
use crate::{Fingerprint, MonoMs};

const MS_PER_S: u64 = 1_000;

/// Whether a request may run concurrently with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunMode {
    /// Concurrently with other requests.
    Shared,
    /// Alone on its probation endpoint, because an endpoint crashed while it was in progress.
    Alone {
        /// The endpoint that crashed, which must not run it again.
        crashed: NodeId,
    },
}

/// A definite refusal: the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum QuarantineRefusal {
    /// Two different endpoints crashed while requests with this content were in progress.
    #[error(
        "more than one endpoint crashed while running this request, so it is refused; change it, \
         or report it to the operators if it must run as it is"
    )]
    Quarantined {
        /// When the caller may try again, in seconds.
        retry_after_s: u64,
    },
    /// An endpoint crashed while a request with this content was in progress, and the suspicion
    /// is still spreading to all routers.
    #[error("an endpoint crashed while this request was in progress; send it again later")]
    TooSoon {
        /// When the caller may try again, in seconds.
        retry_after_s: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    site: NodeId,
    verdict: Verdict,
    recorded_at: MonoMs,
    expires_at: MonoMs,
}

/// Records the requests that were in progress when endpoints crashed. Each router and sidecar has
/// one and merges the marks from digests and replies into it.
///
/// The first crash makes every request in progress a suspect. A suspect is refused until its
/// mark has reached all routers. Then it may run alone, on an endpoint that all routers derive from
/// the request's fingerprint. If it ends there, it is cleared; if it crashes this second endpoint,
/// it is quarantined. Routers never retry a request that was in progress during a crash; they
/// return the failure to the caller.
///
/// ```
/// use persimmon_decide::membership::NodeId;
/// use persimmon_decide::recovery::{Quarantine, QuarantineSettings, RunMode};
/// use persimmon_decide::{Fingerprint, MonoMs};
///
/// let mut quarantine = Quarantine::new(QuarantineSettings::default());
/// let request = Fingerprint::of(b"{}");
/// assert_eq!(quarantine.check(request, MonoMs(0)), Ok(RunMode::Shared));
/// quarantine.record_crash([request], NodeId(1), MonoMs(0));
/// assert!(quarantine.check(request, MonoMs(0)).is_err());
/// let later = quarantine.check(request, MonoMs(15_000));
/// assert_eq!(later, Ok(RunMode::Alone { crashed: NodeId(1) }));
/// ```
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    entries: BTreeMap<Fingerprint, Entry>,
    has_changed: bool,
}

impl Quarantine {
    /// Maximum number of fingerprints. A new one beyond it evicts the suspect that expires first,
    /// or if there is none, the quarantined one that expires first.
    pub const MAX_FINGERPRINTS: usize = 1_024;
    const FIRST_SUSPICION: Verdict = Verdict::Open { round: 0, suspicion: Suspicion::Suspect };

    /// Creates an empty quarantine.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self { settings, entries: BTreeMap::new(), has_changed: false }
    }

    /// Records that the endpoint `site` crashed while the requests `in_progress` ran on it. A
    /// sidecar calls it when its engine crashes, a router when the sidecar has crashed as well.
    pub fn record_crash(
        &mut self,
        in_progress: impl IntoIterator<Item = Fingerprint>,
        site: NodeId,
        now: MonoMs,
    ) {
        for fingerprint in in_progress {
            let verdict = match self.entries.get(&fingerprint).map(|entry| entry.verdict) {
                None => Self::FIRST_SUSPICION,
                Some(Verdict::Open { round, suspicion: Suspicion::Cleared }) => {
                    let round = round.saturating_add(1);
                    Verdict::Open { round, suspicion: Suspicion::Suspect }
                }
                Some(verdict) => verdict,
            };
            self.merge(fingerprint, self.new_entry(site, verdict, now), now);
        }
    }

    /// Records that a suspect ran alone without a crash.
    pub fn record_clean_run(&mut self, fingerprint: Fingerprint, now: MonoMs) {
        let Some(entry) = self.entries.get(&fingerprint).copied() else { return };
        if let Verdict::Open { round, suspicion: Suspicion::Suspect } = entry.verdict {
            let verdict = Verdict::Open { round, suspicion: Suspicion::Cleared };
            self.merge(fingerprint, self.new_entry(entry.site, verdict, now), now);
        }
    }

    /// Merges a mark from a digest or a reply.
    pub fn merge_mark(&mut self, mark: &SuspectMark, now: MonoMs) {
        let max_ttl_s = self.ttl_s(mark.verdict);
        let ttl_s = mark.ttl_s.min(max_ttl_s);
        let age_s = u64::from(max_ttl_s - ttl_s);
        let entry = Entry {
            site: mark.site,
            verdict: mark.verdict,
            recorded_at: MonoMs(now.0.saturating_sub(age_s * MS_PER_S)),
            expires_at: now.plus_ms(u64::from(ttl_s) * MS_PER_S),
        };
        self.merge(mark.fingerprint, entry, now);
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: MonoMs) {
        self.entries.retain(|_, entry| entry.expires_at > now);
    }

    /// Reports whether any verdict has changed since the last call, so that the marks should be
    /// sent without delay.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Returns how a request may run.
    ///
    /// # Errors
    ///
    /// Returns a definite refusal. A router that receives it from a sidecar must not try another
    /// endpoint.
    pub fn check(
        &self,
        fingerprint: Fingerprint,
        now: MonoMs,
    ) -> Result<RunMode, QuarantineRefusal> {
        let entry = self.entries.get(&fingerprint).filter(|entry| entry.expires_at > now);
        let Some(entry) = entry else { return Ok(RunMode::Shared) };
        let spread_until = entry.recorded_at.plus_ms(u64::from(self.settings.spread_s) * MS_PER_S);
        match entry.verdict {
            Verdict::Quarantined => {
                let retry_after_s = entry.expires_at.ms_since(now).div_ceil(MS_PER_S);
                Err(QuarantineRefusal::Quarantined { retry_after_s })
            }
            Verdict::Open { suspicion: Suspicion::Cleared, .. } => Ok(RunMode::Shared),
            Verdict::Open { .. } if now < spread_until => {
                let retry_after_s = spread_until.ms_since(now).div_ceil(MS_PER_S);
                Err(QuarantineRefusal::TooSoon { retry_after_s })
            }
            Verdict::Open { .. } => Ok(RunMode::Alone { crashed: entry.site }),
        }
    }

    /// Returns the mark of a fingerprint, to send with replies.
    pub fn mark(&self, fingerprint: Fingerprint, now: MonoMs) -> Option<SuspectMark> {
        let entry = self.entries.get(&fingerprint).filter(|entry| entry.expires_at > now)?;
        let ttl_s = entry.expires_at.ms_since(now).div_ceil(MS_PER_S);
        Some(SuspectMark {
            fingerprint,
            site: entry.site,
            verdict: entry.verdict,
            ttl_s: u16::try_from(ttl_s).unwrap_or(u16::MAX),
        })
    }

    /// Returns at most `count` marks for a digest: the newest first; among marks of the same time,
    /// quarantined ones first.
    pub fn marks(&self, count: usize, now: MonoMs) -> Vec<SuspectMark> {
        let mut newest: Vec<_> = self
            .entries
            .iter()
            .map(|(fingerprint, entry)| (Reverse((entry.recorded_at, entry.verdict)), *fingerprint))
            .collect();
        newest.sort_unstable();
        let marks = newest.into_iter().filter_map(|(_, fingerprint)| self.mark(fingerprint, now));
        marks.take(count).collect()
    }

    /// Returns the quarantined fingerprints, for the status report.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> {
        let quarantined =
            self.entries.iter().filter(|(_, entry)| entry.verdict == Verdict::Quarantined);
        quarantined.map(|(fingerprint, _)| *fingerprint)
    }

    /// Selects the endpoint of `candidates` on which a suspect may run alone, never the one that
    /// crashed. Routers with the same candidates select the same endpoint.
    pub fn probation_endpoint(
        fingerprint: Fingerprint,
        crashed: NodeId,
        candidates: impl IntoIterator<Item = NodeId>,
    ) -> Option<NodeId> {
        let key = format!("{:016x}", fingerprint.0);
        let others = candidates.into_iter().filter(|node| *node != crashed);
        others.max_by_key(|node| (node.weight_for(&key), *node))
    }

    /// Merges a new state of a fingerprint. Suspicions of the same round from two different
    /// endpoints result in quarantine.
    fn merge(&mut self, fingerprint: Fingerprint, new: Entry, now: MonoMs) {
        if new.expires_at <= now {
            return;
        }
        let entry = self.entries.get(&fingerprint).copied().filter(|entry| entry.expires_at > now);
        let merged = match entry {
            None => new,
            Some(entry) if entry.is_same_suspicion_at_other_site(&new) => {
                self.new_entry(new.site, Verdict::Quarantined, now)
            }
            Some(entry) if new.verdict > entry.verdict => new,
            Some(entry) => Entry { expires_at: entry.expires_at.max(new.expires_at), ..entry },
        };
        self.has_changed |= entry.is_none_or(|entry| merged.verdict != entry.verdict);
        self.evict_for(fingerprint);
        self.entries.insert(fingerprint, merged);
    }

    fn evict_for(&mut self, fingerprint: Fingerprint) {
        if self.entries.len() < Self::MAX_FINGERPRINTS || self.entries.contains_key(&fingerprint) {
            return;
        }
        let rank = |entry: &Entry| (entry.verdict == Verdict::Quarantined, entry.expires_at);
        let first_to_evict = self.entries.iter().min_by_key(|(_, entry)| rank(entry));
        if let Some(first_to_evict) = first_to_evict.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&first_to_evict);
        }
    }

    fn ttl_s(&self, verdict: Verdict) -> u16 {
        match verdict {
            Verdict::Quarantined => self.settings.quarantine_s,
            Verdict::Open { .. } => self.settings.suspect_s,
        }
    }

    fn new_entry(&self, site: NodeId, verdict: Verdict, now: MonoMs) -> Entry {
        let ttl_ms = u64::from(self.ttl_s(verdict)) * MS_PER_S;
        Entry { site, verdict, recorded_at: now, expires_at: now.plus_ms(ttl_ms) }
    }
}

impl Entry {
    fn is_same_suspicion_at_other_site(&self, other: &Self) -> bool {
        let is_suspect = |entry: &Self| {
            matches!(entry.verdict, Verdict::Open { suspicion: Suspicion::Suspect, .. })
        };
        self.verdict == other.verdict && is_suspect(self) && self.site != other.site
    }
}
