//! The sidecar's ledger: which calls began, and what became of them.

use std::collections::BTreeMap;

use thiserror::Error;

use super::ledger_entry::{Entry, Progress, Recorded};
use super::{
    Answer, LedgerCounts, LedgerKey, LedgerLimits, PresentedCall, Refusal, Repeatability, Settled,
    Stamp,
};
use crate::{Incarnation, MonoMs};

/// What to do with a call that was presented.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
    /// Run it now, then report [`Ledger::finish`], [`Ledger::fail`] or [`Ledger::withdraw`].
    Run,
    /// Wait for the one in progress and give its answer.
    Attach,
    /// Give this answer, recorded earlier.
    Repeat(Answer),
    /// Give the frames that [`super::OutputStore`] still keeps of the answer.
    RepeatStream,
    /// Refuse it.
    Refuse(Refusal),
}

/// A call was reported on that isn't running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the call isn't running in this ledger; report each run's end once")]
pub struct LedgerError;

/// Remembers which calls began in this life of the sidecar.
///
/// An entry is forgotten only once no stamp made before its end can be presented any more. So for
/// a stamp of this life that hasn't expired, no entry means that the call never began.
///
/// The sidecar asks [`Self::begin`] first and checks everything else afterwards; if it then refuses
/// the call, it withdraws the entry, and copies still under way are refused as well.
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
    /// Calls without an entry whose stamp isn't later than this are refused.
    refused_through: Option<MonoMs>,
    /// The latest time seen, so that time never goes back.
    latest: MonoMs,
    /// No entry can be forgotten before this time.
    next_sweep_at: MonoMs,
}

impl Ledger {
    /// An empty ledger of one life of a sidecar.
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

    /// The stamp to hand out at `now`.
    pub fn stamp(&self, now: MonoMs) -> Stamp {
        Stamp { incarnation: self.incarnation, issued_at: now.max(self.latest) }
    }

    /// What the ledger holds.
    pub fn counts(&self) -> LedgerCounts {
        LedgerCounts { entries: self.entries.len(), answer_bytes: self.answer_bytes }
    }

    /// Issues the stamp of a claim for `key`, and remembers the call for as long as the claim can
    /// be presented.
    ///
    /// # Errors
    ///
    /// [`Refusal::LedgerFull`] if the call couldn't be begun now.
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

    /// Decides on a call that arrived. `now` must be read after the call was received and just
    /// before the decision, so that a process that was frozen meanwhile sees how late it is.
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
            // An expired call may have run and have been forgotten: nothing definite can be said.
            None | Some(Begin::Refuse(Refusal::Tombstoned)) if expired => {
                Begin::Refuse(expiry_refusal(presented.repeatability))
            }
            None => self.admit(presented, now),
            Some(begin) => begin,
        }
    }

    /// Records that the call's whole answer was seen; `None` for an answer that is a stream.
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
            None => Recorded::Stream,
            Some(answer) if answer.body.len() <= free => Recorded::Kept(answer),
            Some(_) => Recorded::NotKept,
        };
        let entry = self.end_run(key, now)?;
        entry.progress = Progress::Done(recorded);
        let bytes = entry.answer_bytes();
        self.answer_bytes += bytes;
        Ok(())
    }

    /// Records that the call began and that its end won't be seen.
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

    /// Records that the call was refused after [`Self::begin`], before anything of it was sent to
    /// the endpoint. Copies of it that arrive later are refused.
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

    /// Says what became of a call, and makes sure that one that hasn't begun never will.
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

    /// Forgets what can no longer be presented, and returns how many entries that were.
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

    /// Whether this life made the stamp.
    fn issued_here(&self, stamp: Stamp, now: MonoMs) -> bool {
        stamp.incarnation == self.incarnation && stamp.issued_at <= now
    }

    fn has_expired(&self, stamp: Stamp, repeatability: Repeatability, now: MonoMs) -> bool {
        now > stamp.issued_at.plus_ms(self.limits.ttl_ms(repeatability))
    }

    /// Whether calls without an entry are refused up to this stamp.
    fn is_refused(&self, stamp: Stamp) -> bool {
        self.refused_through.is_some_and(|through| stamp.issued_at <= through)
    }

    /// Whether another entry fits, after forgetting what may be forgotten.
    fn make_room(&mut self, now: MonoMs) -> bool {
        let full = self.entries.len() >= self.limits.max_entries;
        if full && now > self.next_sweep_at {
            self.sweep(now);
        }
        self.entries.len() < self.limits.max_entries
    }

    /// Starts a run, in the call's entry if it has one.
    fn admit(&mut self, presented: &PresentedCall, now: MonoMs) -> Begin {
        let known = self.entries.contains_key(&presented.key);
        if !known && !self.make_room(now) {
            // Without an entry a copy of the call could still run later, so every call of this
            // age that hasn't begun is refused from now on.
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

    /// Refuses every presentation of a call without an entry whose stamp was made until now.
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

    /// The entry of a run that ends at `now`, kept for a further life.
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

/// What an entry says about a presentation; `None` if the call may run.
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
        Progress::Done(Recorded::Kept(answer)) => Some(Begin::Repeat(answer.clone())),
        Progress::Done(Recorded::Stream) => Some(Begin::RepeatStream),
        Progress::Done(Recorded::NotKept) => Some(Begin::Refuse(Refusal::AnswerNotKept)),
        Progress::Unknown if may_rerun(entry, presented) => None,
        Progress::Unknown => Some(Begin::Refuse(Refusal::EarlierRunUnknown)),
    }
}

/// The refusal of a presentation that a tombstone covers.
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
