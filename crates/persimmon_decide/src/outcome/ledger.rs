//! The sidecar's ledger of calls: which ones began, and how they ended.

use std::collections::BTreeMap;

use thiserror::Error;

use super::ledger_entry::{Entry, Progress, RecordedAnswer};
use super::{
    Answer, LedgerCounts, LedgerKey, LedgerLimits, PresentedCall, Refusal, Repeatability, Settled,
    Stamp,
};
use crate::{Incarnation, MonoMs};

/// The decision about a call that was presented to the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
    /// Run the call now, then call [`Ledger::finish`], [`Ledger::fail`] or [`Ledger::withdraw`].
    Run,
    /// Wait for the run in progress and return its answer.
    Attach,
    /// Return this recorded answer.
    Repeat(Answer),
    /// Return the frames of the answer that [`super::OutputStore`] still retains.
    RepeatStream,
    /// Refuse the call.
    Refuse(Refusal),
}

/// The error for a report about a call that isn't running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the call isn't running in this ledger; report the end of each run once")]
pub struct LedgerError;

/// A record of the calls that began in this incarnation of the sidecar.
///
/// An entry is evicted only after all stamps that were issued before the call's end have expired.
/// So if a stamp of this incarnation hasn't expired and the call has no entry, it never began.
///
/// The sidecar calls [`Self::begin`] before all other checks. If one of these then refuses the
/// call, the sidecar withdraws the entry, so that copies still in flight are refused as well.
///
/// ```
/// use persimmon_decide::outcome::{
///     Begin, Ledger, LedgerKey, LedgerLimits, PresentedCall, Refusal, Repeatability,
/// };
/// use persimmon_decide::{Fingerprint, Incarnation, MonoMs, RequestId};
///
/// let mut ledger = Ledger::new(Incarnation(7), LedgerLimits::default());
/// let call = PresentedCall {
///     key: LedgerKey::of_request(&"swap-desk".into(), RequestId(1)),
///     stamp: ledger.stamp(MonoMs(0)),
///     fingerprint: Fingerprint::of(b"body"),
///     repeatability: Repeatability::Once,
/// };
/// assert_eq!(ledger.begin(&call, MonoMs(5)), Begin::Run);
/// assert_eq!(ledger.begin(&call, MonoMs(6)), Begin::Attach);
/// ```
#[derive(Debug)]
pub struct Ledger {
    incarnation: Incarnation,
    limits: LedgerLimits,
    entries: BTreeMap<LedgerKey, Entry>,
    answer_bytes: usize,
    /// Calls without an entry are refused if their stamp was issued at or before this time.
    refused_through: Option<MonoMs>,
    /// The latest time passed in, so that the ledger's time never goes back.
    latest: MonoMs,
    /// No entry can be evicted before this time.
    next_sweep_at: MonoMs,
}

impl Ledger {
    /// Creates an empty ledger for one incarnation of a sidecar.
    pub fn new(incarnation: Incarnation, limits: LedgerLimits) -> Self {
        Self {
            incarnation,
            limits,
            entries: BTreeMap::new(),
            answer_bytes: 0,
            refused_through: None,
            latest: MonoMs::default(),
            next_sweep_at: MonoMs::default(),
        }
    }

    /// Issues a stamp at `now`.
    pub fn stamp(&self, now: MonoMs) -> Stamp {
        Stamp { incarnation: self.incarnation, issued_at: now.max(self.latest) }
    }

    /// Returns the numbers of entries and of recorded bytes.
    pub fn counts(&self) -> LedgerCounts {
        LedgerCounts { entries: self.entries.len(), answer_bytes: self.answer_bytes }
    }

    /// Issues the stamp of a claim for `key`. An entry that the call already has is retained at
    /// least until the claim expires.
    ///
    /// # Errors
    ///
    /// [`Refusal::LedgerFull`] if the ledger has no room for the call at present.
    pub fn issue(&mut self, key: LedgerKey, now: MonoMs) -> Result<Stamp, Refusal> {
        let now = self.advance(now);
        let keep_until = now.plus_ms(self.limits.claim_ttl_ms);
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.keep_until = entry.keep_until.max(keep_until);
        } else if !self.make_room(now) {
            return Err(Refusal::LedgerFull);
        }
        Ok(self.stamp(now))
    }

    /// Decides whether a call may run. The caller must read `now` after it received the call and
    /// immediately before the decision, so that a process that was suspended in between notices
    /// that the stamp has expired.
    pub fn begin(&mut self, presented: &PresentedCall, now: MonoMs) -> Begin {
        let now = self.advance(now);
        if !self.issued_here(presented.stamp, now) {
            return Begin::Refuse(Refusal::WrongIncarnation);
        }
        let entry = self.entries.get(&presented.key);
        let begin = match entry {
            Some(entry) => decide_known(entry, presented),
            None if self.is_refused(presented.stamp) => Some(Begin::Refuse(Refusal::Tombstoned)),
            None => None,
        };
        let expired = self.has_expired(presented.stamp, presented.repeatability, now);
        match begin {
            // The call may have run and its entry may have been evicted, so the outcome is unknown.
            None | Some(Begin::Refuse(Refusal::Tombstoned)) if expired => {
                Begin::Refuse(expiry_refusal(presented.repeatability))
            }
            None => self.admit(presented, now),
            Some(begin) => begin,
        }
    }

    /// Records that the complete answer was received; `None` stands for a streamed answer.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] if the call isn't running.
    pub fn finish(
        &mut self,
        key: LedgerKey,
        answer: Option<Answer>,
        now: MonoMs,
    ) -> Result<(), LedgerError> {
        let free = self.limits.max_answer_bytes.saturating_sub(self.answer_bytes);
        let recorded = match answer {
            None => RecordedAnswer::Stream,
            Some(answer) if answer.body.len() <= free => RecordedAnswer::Kept(answer),
            Some(_) => RecordedAnswer::NotKept,
        };
        let entry = self.end_run(key, now)?;
        entry.progress = Progress::Done(recorded);
        let bytes = entry.answer_bytes();
        self.answer_bytes += bytes;
        Ok(())
    }

    /// Records that the call began and that its outcome will remain unknown.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] if the call isn't running.
    pub fn fail(&mut self, key: LedgerKey, now: MonoMs) -> Result<(), LedgerError> {
        let entry = self.end_run(key, now)?;
        entry.progress = Progress::Unknown;
        entry.ran_before = true;
        Ok(())
    }

    /// Records that the call was refused after [`Self::begin`], before any part of it was sent to
    /// the endpoint. Copies with stamps issued up to `now` are refused from then on.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] if the call isn't running.
    pub fn withdraw(&mut self, key: LedgerKey, now: MonoMs) -> Result<(), LedgerError> {
        let now = self.advance(now);
        let entry = self.end_run(key, now)?;
        entry.progress = if entry.ran_before { Progress::Unknown } else { Progress::Refused };
        entry.refused_through = Some(now);
        Ok(())
    }

    /// Returns the status of a call, and ensures that a call that hasn't begun never will.
    pub fn settle(
        &mut self,
        key: LedgerKey,
        stamp: Stamp,
        repeatability: Repeatability,
        now: MonoMs,
    ) -> Settled {
        let now = self.advance(now);
        if !self.issued_here(stamp, now) {
            return Settled::Unknown;
        }
        let expired = self.has_expired(stamp, repeatability, now);
        let ttl_ms = self.limits.ttl_ms(repeatability);
        let settled = match self.entries.get_mut(&key) {
            Some(entry) => settle_known(entry, stamp, now, ttl_ms),
            None if expired => return Settled::Unknown,
            None => {
                self.refuse_unstarted(key, repeatability, now);
                return Settled::NotRun;
            }
        };
        let is_definite = settled != Settled::NotRun || !expired;
        if is_definite { settled } else { Settled::Unknown }
    }

    /// Evicts the entries of calls whose stamps have all expired, and returns their number.
    pub fn sweep(&mut self, now: MonoMs) -> usize {
        let now = self.advance(now);
        let before = self.entries.len();
        self.entries.retain(|_, entry| !entry.may_evict(now));
        self.answer_bytes = self.entries.values().map(Entry::answer_bytes).sum();
        let shortest = self.limits.claim_ttl_ms.min(self.limits.request_ttl_ms);
        let ended = self.entries.values().filter(|entry| !entry.is_running());
        let first = ended.map(|entry| entry.keep_until).min();
        let soonest = now.plus_ms(shortest);
        self.next_sweep_at = first.map_or(soonest, |at| at.min(soonest));
        before - self.entries.len()
    }

    fn advance(&mut self, now: MonoMs) -> MonoMs {
        self.latest = self.latest.max(now);
        self.latest
    }

    /// Reports whether this incarnation issued the stamp.
    fn issued_here(&self, stamp: Stamp, now: MonoMs) -> bool {
        stamp.incarnation == self.incarnation && stamp.issued_at <= now
    }

    fn has_expired(&self, stamp: Stamp, repeatability: Repeatability, now: MonoMs) -> bool {
        now > stamp.issued_at.plus_ms(self.limits.ttl_ms(repeatability))
    }

    /// Reports whether a call with this stamp is refused if it has no entry.
    fn is_refused(&self, stamp: Stamp) -> bool {
        self.refused_through.is_some_and(|through| stamp.issued_at <= through)
    }

    /// Evicts expired entries if the ledger is full, and reports whether another entry fits.
    fn make_room(&mut self, now: MonoMs) -> bool {
        let full = self.entries.len() >= self.limits.max_entries;
        if full && now > self.next_sweep_at {
            self.sweep(now);
        }
        self.entries.len() < self.limits.max_entries
    }

    /// Starts a run and records it in the call's entry, which it adds if necessary.
    fn admit(&mut self, presented: &PresentedCall, now: MonoMs) -> Begin {
        let known = self.entries.contains_key(&presented.key);
        if !known && !self.make_room(now) {
            // There is no room for a tombstone, without which a copy of this call could still run
            // later. So all calls without an entry and with a stamp up to now are refused.
            self.refused_through = Some(now);
            return Begin::Refuse(Refusal::LedgerFull);
        }
        let keep_until = now.plus_ms(self.limits.ttl_ms(presented.repeatability));
        let entry = self.entries.entry(presented.key).or_insert_with(|| new_entry(presented));
        entry.progress = Progress::Running;
        entry.fingerprint = presented.fingerprint;
        entry.repeatability = presented.repeatability;
        entry.keep_until = entry.keep_until.max(keep_until);
        Begin::Run
    }

    /// Refuses a call that has no entry for all stamps up to `now`: adds a tombstone, or if the
    /// ledger is full, refuses all calls without an entry.
    fn refuse_unstarted(&mut self, key: LedgerKey, repeatability: Repeatability, now: MonoMs) {
        if !self.make_room(now) {
            self.refused_through = Some(now);
            return;
        }
        let tombstone = Entry {
            progress: Progress::Refused,
            fingerprint: crate::Fingerprint(0),
            repeatability,
            refused_through: Some(now),
            ran_before: false,
            keep_until: now.plus_ms(self.limits.ttl_ms(repeatability)),
        };
        self.entries.insert(key, tombstone);
    }

    /// Returns the entry of a run that ends at `now`, and extends its retention by the TTL.
    fn end_run(&mut self, key: LedgerKey, now: MonoMs) -> Result<&mut Entry, LedgerError> {
        let now = self.advance(now);
        let entry = self.entries.get_mut(&key).ok_or(LedgerError)?;
        if !entry.is_running() {
            return Err(LedgerError);
        }
        let keep_until = now.plus_ms(self.limits.ttl_ms(entry.repeatability));
        entry.keep_until = entry.keep_until.max(keep_until);
        Ok(entry)
    }
}

/// Decides about a call that has an entry; `None` if it may run.
fn decide_known(entry: &Entry, presented: &PresentedCall) -> Option<Begin> {
    if entry.refuses(presented.stamp.issued_at) {
        return Some(Begin::Refuse(tombstone_refusal(entry)));
    }
    if matches!(entry.progress, Progress::Refused) {
        return None;
    }
    if entry.fingerprint != presented.fingerprint {
        return Some(Begin::Refuse(Refusal::BodyMismatch));
    }
    match &entry.progress {
        Progress::Refused => None,
        Progress::Running => Some(Begin::Attach),
        Progress::Done(RecordedAnswer::Kept(answer)) => Some(Begin::Repeat(answer.clone())),
        Progress::Done(RecordedAnswer::Stream) => Some(Begin::RepeatStream),
        Progress::Done(RecordedAnswer::NotKept) => Some(Begin::Refuse(Refusal::AnswerNotKept)),
        Progress::Unknown if may_rerun(entry, presented) => None,
        Progress::Unknown => Some(Begin::Refuse(Refusal::EarlierRunUnknown)),
    }
}

/// Returns the refusal for a call whose stamp the entry's tombstone covers.
fn tombstone_refusal(entry: &Entry) -> Refusal {
    if entry.ran_before { Refusal::EarlierRunUnknown } else { Refusal::Tombstoned }
}

fn may_rerun(entry: &Entry, presented: &PresentedCall) -> bool {
    let kinds = [entry.repeatability, presented.repeatability];
    kinds == [Repeatability::Repeatable; 2]
}

fn expiry_refusal(repeatability: Repeatability) -> Refusal {
    match repeatability {
        Repeatability::Once => Refusal::ExpiredClaim,
        Repeatability::Repeatable => Refusal::StaleStamp,
    }
}

fn settle_known(entry: &mut Entry, stamp: Stamp, now: MonoMs, ttl_ms: u64) -> Settled {
    if entry.refuses(stamp.issued_at) {
        return if entry.ran_before { Settled::Unknown } else { Settled::NotRun };
    }
    match &entry.progress {
        Progress::Running => Settled::Started,
        Progress::Done(_) => Settled::Done,
        Progress::Unknown => Settled::Unknown,
        Progress::Refused => {
            entry.refused_through = Some(now);
            entry.keep_until = entry.keep_until.max(now.plus_ms(ttl_ms));
            Settled::NotRun
        }
    }
}

fn new_entry(presented: &PresentedCall) -> Entry {
    Entry {
        progress: Progress::Running,
        fingerprint: presented.fingerprint,
        repeatability: presented.repeatability,
        refused_through: None,
        ran_before: false,
        keep_until: MonoMs::default(),
    }
}
