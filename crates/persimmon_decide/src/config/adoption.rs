//! Which record set a process has in force.

use std::fmt::Display;
use std::sync::Arc;

use persimmon_records::{RecordIndex, SetVersion};
use thiserror::Error;

use crate::membership::VmName;

/// Where a record set was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The platform's configuration service.
    Platform,
    /// Another process of the fleet.
    Peer(VmName),
}

/// The record set in force.
#[derive(Debug, Clone)]
pub struct InForce {
    /// The set's place in the order of sets.
    pub version: SetVersion,
    /// The set with its lookups.
    pub set: Arc<RecordIndex>,
    /// Where it was read.
    pub read_from: Source,
}

/// A record set that was refused as a whole.
#[derive(Debug, Clone, Error)]
#[error("record set refused, the last good one stays in force: {error}")]
pub struct Refused<E: Display> {
    /// The version that it claimed, if it could be read that far.
    pub version: Option<SetVersion>,
    /// Where it was read.
    pub read_from: Source,
    /// Every fault, each with its record, field and remedy.
    pub error: E,
}

/// Two different record sets of one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error(
    "two record sets were published at once: {kept} is in force and {dropped} is not; merge them \
     and publish the result under a higher generation"
)]
pub struct Conflict {
    /// The set of the higher digest, which is in force everywhere.
    pub kept: SetVersion,
    /// The set that lost.
    pub dropped: SetVersion,
}

/// What became of an offered record set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is in force from now on.
    Adopted,
    /// It was in force already.
    Known,
    /// A higher one is in force.
    Older,
    /// It is faulty; see [`Adoption::refused`].
    Refused,
}

/// Holds the record set in force. It only ever moves up the order of [`SetVersion`], whatever order
/// sets are offered in and whoever offers them.
///
/// `E` describes the faults of a set that can't be adopted.
///
/// ```
/// use persimmon_decide::config::{Adoption, Source, Verdict};
/// use persimmon_records::{AdoptError, Generation, RecordSet};
///
/// let set = |generation| RecordSet { generation: Generation(generation), ..RecordSet::empty() };
/// let mut adoption = Adoption::<AdoptError>::default();
/// let offered = |adoption: &mut Adoption<AdoptError>, generation| {
///     let set = set(generation);
///     adoption.offer(Source::Platform, set.version(), || Ok(set))
/// };
/// assert_eq!(offered(&mut adoption, 7), Verdict::Adopted);
/// assert_eq!(offered(&mut adoption, 6), Verdict::Older);
/// ```
#[derive(Debug)]
pub struct Adoption<E: Display> {
    in_force: Option<InForce>,
    refused: Option<Refused<E>>,
    conflict: Option<Conflict>,
}

impl<E: Display> Default for Adoption<E> {
    fn default() -> Self {
        Self { in_force: None, refused: None, conflict: None }
    }
}

impl<E: Display> Adoption<E> {
    /// Adopts an offered set if it is higher than the one in force and `read` finds the whole of it
    /// free of faults. `read` isn't called for a set that is known, older or refused before.
    pub fn offer<S: Into<Arc<RecordIndex>>>(
        &mut self,
        source: Source,
        version: SetVersion,
        read: impl FnOnce() -> Result<S, E>,
    ) -> Verdict {
        self.note_version(version);
        if self.version() == Some(version) {
            return Verdict::Known;
        }
        if self.version() > Some(version) {
            return Verdict::Older;
        }
        if self.has_refused(version) {
            return Verdict::Refused;
        }
        match read() {
            Ok(set) => self.adopt(source, set.into()),
            Err(error) => {
                self.refuse(source, Some(version), error);
                Verdict::Refused
            }
        }
    }

    /// Notes a set that couldn't be read or adopted. The one in force stays.
    pub fn refuse(&mut self, source: Source, version: Option<SetVersion>, error: E) {
        self.refused = Some(Refused { version, read_from: source, error });
    }

    /// Notes that somebody has `version` in force, so that a conflict is reported even where the
    /// losing set was never read.
    pub fn note_version(&mut self, version: SetVersion) {
        let Some(in_force) = self.version() else { return };
        if version.conflicts_with(&in_force) {
            let kept = version.max(in_force);
            let dropped = version.min(in_force);
            self.conflict = Some(Conflict { kept, dropped });
        }
    }

    /// The set in force.
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// The version in force.
    pub fn version(&self) -> Option<SetVersion> {
        self.in_force.as_ref().map(|in_force| in_force.version)
    }

    /// Whether a set that somebody announced is worth fetching.
    pub fn wants(&self, version: SetVersion) -> bool {
        Some(version) > self.version() && !self.has_refused(version)
    }

    /// The set refused last, until a newer one is adopted.
    pub fn refused(&self) -> Option<&Refused<E>> {
        self.refused.as_ref()
    }

    /// Two sets published at once, until a higher generation is in force.
    pub fn conflict(&self) -> Option<Conflict> {
        self.conflict
    }

    fn has_refused(&self, version: SetVersion) -> bool {
        self.refused.as_ref().is_some_and(|refused| refused.version == Some(version))
    }

    /// Takes the version from the set itself, so that an offer under a wrong version can't move
    /// the process back.
    fn adopt(&mut self, source: Source, set: Arc<RecordIndex>) -> Verdict {
        let version = set.version();
        let held = self.version();
        if held >= Some(version) {
            return Verdict::Older;
        }
        if held.is_none_or(|held| version.generation > held.generation) {
            self.conflict = None;
        }
        self.refused = None;
        self.in_force = Some(InForce { version, set, read_from: source });
        Verdict::Adopted
    }
}
