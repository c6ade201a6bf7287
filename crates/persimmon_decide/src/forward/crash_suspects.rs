//! Content or prompt parts that were in progress at endpoints that crashed.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::MonoMs;
use crate::load::EndpointHash;

/// An endpoint that crashed while it ran a suspect.
#[derive(Debug, Clone, Copy)]
pub(super) struct Crash {
    pub(super) endpoint: EndpointHash,
    /// Time at which the suspect's request was sent.
    pub(super) sent_at: MonoMs,
    /// Time at which a gateway learned of the crash.
    pub(super) at: MonoMs,
    /// Number of requests with the suspect that the endpoint left without an answer, as far as one
    /// gateway knows.
    pub(super) requests: u32,
}

/// Times of recent complete answers, in two generations. When a new generation starts, the older one
/// is dropped.
#[derive(Debug, Default)]
struct Answered {
    newer: HashMap<u64, MonoMs>,
    older: HashMap<u64, MonoMs>,
    rotated_at: MonoMs,
}

impl Answered {
    /// Length of a generation, in milliseconds. Frequently requested content is answered again
    /// within it, and content that starts to cause crashes remains in the set for at most two
    /// generations.
    const GENERATION_MS: u64 = 30_000;
    /// Maximum number of suspects in a generation; two generations use about 300 KB.
    const MAX_SUSPECTS: usize = 4_096;

    fn record(&mut self, suspect: u64, at: MonoMs, now: MonoMs) {
        self.rotate(now);
        if let Some(known) = self.newer.get_mut(&suspect) {
            *known = at.max(*known);
        } else if self.newer.len() < Self::MAX_SUSPECTS {
            self.newer.insert(suspect, at);
        }
    }

    fn rotate(&mut self, now: MonoMs) {
        let age_ms = now.ms_since(self.rotated_at);
        if age_ms < Self::GENERATION_MS {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age_ms >= 2 * Self::GENERATION_MS {
            self.older.clear();
        }
        self.rotated_at = now;
    }

    /// Returns the time of a suspect's last answer in the two generations.
    fn last(&self, suspect: u64, now: MonoMs) -> Option<MonoMs> {
        let age_ms = now.ms_since(self.rotated_at);
        let newer = self.newer.get(&suspect).filter(|_| age_ms < 2 * Self::GENERATION_MS);
        let older = self.older.get(&suspect).filter(|_| age_ms < Self::GENERATION_MS);
        newer.or(older).copied()
    }
}

/// What is known of a suspect since its last complete answer.
#[derive(Debug, Default)]
struct Suspect {
    /// Crashes, oldest first; at least one.
    crashes: Vec<Crash>,
    /// Time at which a request with the suspect was last refused; zero if none was.
    refused_at: MonoMs,
}

impl Suspect {
    /// Returns the time at which a request with the suspect was last refused, or of its last crash.
    fn last_refused(&self) -> MonoMs {
        last_crash(&self.crashes).max(self.refused_at)
    }

    fn is_live(&self, now: MonoMs) -> bool {
        now.ms_since(self.last_refused()) < CrashSuspects::CRASH_TTL_MS
    }
}

/// Crashes since the last complete answer, by suspect.
#[derive(Debug, Default)]
pub(super) struct CrashSuspects {
    suspects: HashMap<u64, Suspect>,
    answered: Answered,
}

impl CrashSuspects {
    /// Time for which the crashes of a suspect are stored after the last one, or after a request was last refused
    /// for them, in milliseconds. Callers repeat a request that crashed an endpoint within minutes.
    const CRASH_TTL_MS: u64 = 300_000;
    /// Age up to which crashes count as recent in digests, in milliseconds: all gateways receive
    /// several digests within it.
    const RECENT_MS: u64 = 10_000;
    /// Maximum number of recent crashes of one suspect in a digest. Gateways keep those of earlier
    /// digests.
    const MAX_RECENT_PER_SUSPECT: usize = 16;
    /// Maximum number of older crashes in a digest.
    const MAX_OLD: usize = 12;
    /// Maximum number of them of one suspect, enough to refuse it.
    const MAX_OLD_PER_SUSPECT: usize = 6;
    /// Maximum number of crashes stored for one suspect.
    const MAX_CRASHES: usize = 32;
    /// Maximum number of suspects.
    const MAX_SUSPECTS: usize = 512;

    /// Records a complete answer at the time `at`, which clears the suspect of earlier crashes.
    /// Returns whether there were any.
    pub(super) fn record_answered(&mut self, suspect: u64, at: MonoMs, now: MonoMs) -> bool {
        self.answered.record(suspect, at, now);
        let Some(known) = self.suspects.get_mut(&suspect) else { return false };
        let count = known.crashes.len();
        known.crashes.retain(|it| it.at > at);
        let is_cleared = known.crashes.len() < count;
        if known.crashes.is_empty() {
            self.suspects.remove(&suspect);
        }
        is_cleared
    }

    /// Records that a request with a suspect was refused at the time `at`, so that its crashes stay known.
    pub(super) fn record_refused(&mut self, suspect: u64, at: MonoMs) {
        if let Some(known) = self.suspects.get_mut(&suspect) {
            known.refused_at = at.max(known.refused_at);
        }
    }

    /// Returns the time at which a request with a suspect was last refused, or of its last crash.
    pub(super) fn last_refused(&self, suspect: u64) -> MonoMs {
        self.suspects.get(&suspect).map_or(MonoMs(0), Suspect::last_refused)
    }

    /// Records a crash under one more request with the suspect. Returns whether it adds to what is
    /// known of the endpoints.
    pub(super) fn record_crash(&mut self, suspect: u64, crash: Crash, now: MonoMs) -> bool {
        self.merge_crash(suspect, crash, u32::saturating_add, now)
    }

    /// Records a crash that a peer reports. Returns whether it adds to what is known of the
    /// endpoints.
    pub(super) fn record_peer_crash(&mut self, suspect: u64, crash: Crash, now: MonoMs) -> bool {
        self.merge_crash(suspect, crash, u32::max, now)
    }

    fn merge_crash(
        &mut self,
        suspect: u64,
        crash: Crash,
        merge_requests: fn(u32, u32) -> u32,
        now: MonoMs,
    ) -> bool {
        // A peer may report a crash that an answer has cleared here.
        if self.answered.last(suspect, now).is_some_and(|answered| crash.at < answered) {
            return false;
        }
        if !self.suspects.contains_key(&suspect) {
            self.make_room(now);
        }
        let crashes = &mut self.suspects.entry(suspect).or_default().crashes;
        if let Some(known) = crashes.iter_mut().find(|it| it.endpoint == crash.endpoint) {
            let is_later = crash.sent_at > known.sent_at;
            known.sent_at = crash.sent_at.max(known.sent_at);
            known.requests = merge_requests(known.requests, crash.requests);
            return is_later;
        }
        if crashes.len() >= Self::MAX_CRASHES {
            remove_closest(crashes);
        }
        let index = crashes.partition_point(|it| it.at <= crash.at);
        crashes.insert(index, crash);
        true
    }

    /// Removes expired suspects, and then the least suspect one, if there are too many.
    fn make_room(&mut self, now: MonoMs) {
        if self.suspects.len() < Self::MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, known| known.is_live(now));
        if self.suspects.len() < Self::MAX_SUSPECTS {
            return;
        }
        let order = |crashes: &[Crash]| (crashes.len(), crashes.last().map(|it| it.at));
        let least = self.suspects.iter().min_by_key(|(_, known)| order(&known.crashes));
        if let Some(suspect) = least.map(|(suspect, _)| *suspect) {
            self.suspects.remove(&suspect);
        }
    }

    /// Returns the crashes of a suspect since its last complete answer, oldest first.
    pub(super) fn crashes(&self, suspect: u64, now: MonoMs) -> &[Crash] {
        let known = self.suspects.get(&suspect).filter(|it| it.is_live(now));
        known.map_or(&[], |it| &it.crashes)
    }

    /// Reports whether there was a complete answer in the last minute or so.
    pub(super) fn is_answered(&self, suspect: u64, now: MonoMs) -> bool {
        self.last_answer(suspect, now).is_some()
    }

    /// Returns the time of the last complete answer in the last minute or so.
    pub(super) fn last_answer(&self, suspect: u64, now: MonoMs) -> Option<MonoMs> {
        self.answered.last(suspect, now)
    }

    /// Returns the suspects with at least `count` crashes.
    pub(super) fn with_crashes(&self, count: usize) -> impl Iterator<Item = u64> {
        let suspects = self.suspects.iter().filter(move |(_, it)| it.crashes.len() >= count);
        suspects.map(|(suspect, _)| *suspect)
    }

    /// Returns the crashes that the other gateways need first, for the digest: at most `count` recent
    /// ones, and a few older ones, for gateways that have just started. Those of the likeliest suspects
    /// come first, so that what most requests have in common doesn't crowd out the cause.
    pub(super) fn most_urgent(&self, count: usize, now: MonoMs) -> Vec<(u64, Crash)> {
        let is_recent = |crashes: &[Crash]| now.ms_since(last_crash(crashes)) <= Self::RECENT_MS;
        let live = self.suspects.iter().filter(|(_, it)| it.is_live(now));
        let mut live: Vec<_> = live.map(|(suspect, it)| (suspect, &it.crashes)).collect();
        live.sort_by_cached_key(|(suspect, crashes)| {
            let likelihood = likelihood(crashes, self.is_answered(**suspect, now));
            (Reverse((likelihood, last_crash(crashes))), **suspect)
        });
        let (recent, old): (Vec<_>, Vec<_>) =
            live.into_iter().partition(|(_, crashes)| is_recent(crashes));
        let recent = recent.into_iter().flat_map(|(suspect, crashes)| {
            let newest = crashes.iter().rev().take(Self::MAX_RECENT_PER_SUSPECT);
            newest.map(|crash| (*suspect, *crash))
        });
        let old = old.into_iter().flat_map(|(suspect, crashes)| {
            let step = crashes.len().div_ceil(Self::MAX_OLD_PER_SUSPECT);
            crashes.iter().step_by(step).map(|crash| (*suspect, *crash))
        });
        recent.take(count).chain(old.take(Self::MAX_OLD)).collect()
    }
}

/// Returns how well a suspect explains its crashes: better the more there are, worse the more requests
/// with it were in progress, since what most requests have in common is in progress at any endpoint
/// that crashes, and worse if it was answered recently.
pub(super) fn likelihood(crashes: &[Crash], is_answered: bool) -> u64 {
    const SCALE: u64 = 1_000;
    const ANSWERED_DIVISOR: u64 = 2;
    let count = crashes.len() as u64;
    let requests: u64 = crashes.iter().map(|it| u64::from(it.requests)).sum();
    let divisor = if is_answered { ANSWERED_DIVISOR } else { 1 };
    count * count * SCALE / requests.max(1) / divisor
}

/// Removes the crash that came soonest after another one, which tells least.
fn remove_closest(crashes: &mut Vec<Crash>) {
    let gap_ms = |index: &usize| crashes[*index].at.ms_since(crashes[*index - 1].at);
    if let Some(index) = (1..crashes.len()).min_by_key(gap_ms) {
        crashes.remove(index);
    }
}

fn last_crash(crashes: &[Crash]) -> MonoMs {
    crashes.last().map_or(MonoMs(0), |crash| crash.at)
}
