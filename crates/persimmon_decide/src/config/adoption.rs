//! Adoption of record sets: the choice of the set that is in force in a process.

use std::fmt::Display;
use std::sync::Arc;

use persimmon_records::{RecordIndex, SetVersion};
use thiserror::Error;

use crate::membership::VmName;

/// The source of a record set.
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
    /// The set's version.
    pub version: SetVersion,
    /// The set with its lookup tables.
    pub set: Arc<RecordIndex>,
    /// The set's source.
    pub read_from: Source,
}

/// A record set that was refused because at least one record is faulty.
#[derive(Debug, Clone, Error)]
#[error("record set refused, the last good one stays in force: {error}")]
pub struct RefusedSet<E: Display> {
    /// The set's claimed version, if that could be read.
    pub version: Option<SetVersion>,
    /// The set's source.
    pub read_from: Source,
    /// All faults, each with its record, field and remedy.
    pub error: E,
}

/// Two different record sets that were published under the same generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error(
    "two record sets were published at once: {kept} is in force and {dropped} is not; merge them \
     and publish the result under a higher generation"
)]
pub struct Conflict {
    /// The set with the higher digest, which all processes choose.
    pub kept: SetVersion,
    /// The set with the lower digest.
    pub dropped: SetVersion,
}

/// The result of offering a record set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// The set came into force.
    Adopted,
    /// The set was already in force.
    Known,
    /// A set with a higher version is in force.
    Older,
    /// The set is faulty; see [`Adoption::refused`].
    Refused,
}

/// The record set in force. Its version only rises, regardless of the order in which sets are
/// offered and of their source.
///
/// `E` describes the faults of a set that can't be adopted.
///
/// ```
/// use persimmon_decide::config::{Adoption, OfferResult, Source};
/// use persimmon_records::{AdoptError, Generation, RecordSet};
///
/// let set = |generation| RecordSet { generation: Generation(generation), ..RecordSet::empty() };
/// let mut adoption = Adoption::<AdoptError>::default();
/// let offered = |adoption: &mut Adoption<AdoptError>, generation| {
///     let set = set(generation);
///     adoption.offer(Source::Platform, set.version(), || Ok(set))
/// };
/// assert_eq!(offered(&mut adoption, 7), OfferResult::Adopted);
/// assert_eq!(offered(&mut adoption, 6), OfferResult::Older);
/// ```
#[derive(Debug)]
pub struct Adoption<E: Display> {
    in_force: Option<InForce>,
    refused: Option<RefusedSet<E>>,
    conflict: Option<Conflict>,
}

impl<E: Display> Default for Adoption<E> {
    fn default() -> Self {
        Self { in_force: None, refused: None, conflict: None }
    }
}

impl<E: Display> Adoption<E> {
    /// Adopts an offered set if its version is higher than the one in force and `read` finds no
    /// fault in it. Doesn't call `read` for a set that is in force, older, or was refused last.
    pub fn offer<S: Into<Arc<RecordIndex>>>(
        &mut self,
        source: Source,
        version: SetVersion,
        read: impl FnOnce() -> Result<S, E>,
    ) -> OfferResult {
        self.note_version(version);
        if self.version() == Some(version) {
            return OfferResult::Known;
        }
        if self.version() > Some(version) {
            return OfferResult::Older;
        }
        if self.has_refused(version) {
            return OfferResult::Refused;
        }
        match read() {
            Ok(set) => self.adopt(source, set.into()),
            Err(error) => {
                self.refuse(source, Some(version), error);
                OfferResult::Refused
            }
        }
    }

    /// Records a set that couldn't be read or adopted. The set in force stays.
    pub fn refuse(&mut self, source: Source, version: Option<SetVersion>, error: E) {
        self.refused = Some(RefusedSet { version, read_from: source, error });
    }

    /// Records that some process has `version` in force, so that a conflict is reported even if
    /// this process never read the other set.
    pub fn note_version(&mut self, version: SetVersion) {
        let Some(in_force) = self.version() else { return };
        if version.conflicts_with(&in_force) {
            let kept = version.max(in_force);
            let dropped = version.min(in_force);
            self.conflict = Some(Conflict { kept, dropped });
        }
    }

    /// Returns the set in force.
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<SetVersion> {
        self.in_force.as_ref().map(|in_force| in_force.version)
    }

    /// Reports whether to fetch a set of the announced version.
    pub fn wants(&self, version: SetVersion) -> bool {
        Some(version) > self.version() && !self.has_refused(version)
    }

    /// Returns the set that was refused last, until a newer one is adopted.
    pub fn refused(&self) -> Option<&RefusedSet<E>> {
        self.refused.as_ref()
    }

    /// Returns a conflict between two sets, until a higher generation is in force.
    pub fn conflict(&self) -> Option<Conflict> {
        self.conflict
    }

    fn has_refused(&self, version: SetVersion) -> bool {
        self.refused.as_ref().is_some_and(|refused| refused.version == Some(version))
    }

    /// Puts a set into force under the version that the set itself states, so that an offer with a
    /// wrong version can't replace a newer set with an older one.
    fn adopt(&mut self, source: Source, set: Arc<RecordIndex>) -> OfferResult {
        let version = set.version();
        let held = self.version();
        if held >= Some(version) {
            return OfferResult::Older;
        }
        if held.is_none_or(|held| version.generation > held.generation) {
            self.conflict = None;
        }
        self.refused = None;
        self.in_force = Some(InForce { version, set, read_from: source });
        OfferResult::Adopted
    }
}
