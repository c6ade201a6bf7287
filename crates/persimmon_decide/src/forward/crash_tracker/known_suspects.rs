//! Content and prompt parts that are suspected, by kind.

use super::super::Quarantined;
use super::super::crash_suspects::{Crash, CrashSuspects};
use crate::{Fingerprint, MonoMs};

/// Crashes and answers of contents and of prompt parts. Neither kind takes up the other's room.
#[derive(Debug, Default)]
pub(super) struct KnownSuspects {
    pub(super) contents: CrashSuspects,
    pub(super) parts: CrashSuspects,
}

impl KnownSuspects {
    /// Returns the records of the suspect's kind, and its ID there.
    fn records(&self, suspect: Quarantined) -> (&CrashSuspects, u64) {
        match suspect {
            Quarantined::Content(content) => (&self.contents, content.0),
            Quarantined::Part(part) => (&self.parts, part),
        }
    }

    /// Returns what [`Self::records`] does, to change it.
    pub(super) fn records_mut(&mut self, suspect: Quarantined) -> (&mut CrashSuspects, u64) {
        match suspect {
            Quarantined::Content(content) => (&mut self.contents, content.0),
            Quarantined::Part(part) => (&mut self.parts, part),
        }
    }

    /// Returns the crashes of a suspect since its last complete answer, oldest first.
    pub(super) fn crashes(&self, suspect: Quarantined, now: MonoMs) -> &[Crash] {
        let (records, id) = self.records(suspect);
        records.crashes(id, now)
    }

    /// Returns the time at which a request with a suspect was last refused, or of its last crash.
    pub(super) fn last_refused(&self, suspect: Quarantined) -> MonoMs {
        let (records, id) = self.records(suspect);
        records.last_refused(id)
    }

    /// Returns the time of a suspect's last complete answer in the last minute or so.
    pub(super) fn last_answer(&self, suspect: Quarantined, now: MonoMs) -> Option<MonoMs> {
        let (records, id) = self.records(suspect);
        records.last_answer(id, now)
    }

    /// Reports whether there was a complete answer in the last minute or so.
    pub(super) fn is_answered(&self, suspect: Quarantined, now: MonoMs) -> bool {
        self.last_answer(suspect, now).is_some()
    }

    /// Returns the contents and the parts with at least these numbers of crashes.
    pub(super) fn with_crashes(
        &self,
        of_content: usize,
        of_part: usize,
    ) -> impl Iterator<Item = Quarantined> {
        let contents = self.contents.with_crashes(of_content).map(Fingerprint);
        let parts = self.parts.with_crashes(of_part).map(Quarantined::Part);
        contents.map(Quarantined::Content).chain(parts)
    }
}
