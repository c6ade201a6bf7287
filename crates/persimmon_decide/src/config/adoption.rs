//! Which record set a process has in force.

use std::fmt::Display;
use std::sync::Arc;

use persimmon_records::RecordSet;
use thiserror::Error;

use super::{SetDigest, Version};
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
    pub version: Version,
    /// The set.
    pub set: Arc<RecordSet>,
    /// The set as published, to pass on to peers.
    pub text: Arc<str>,
    /// Where it was read.
    pub read_from: Source,
}

/// A record set that was refused as a whole.
#[derive(Debug, Clone, Error)]
#[error("record set refused, the last good one stays in force: {error}")]
pub struct Refused<E: Display> {
    /// The digest of the refused set.
    pub digest: SetDigest,
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
    pub kept: Version,
    /// The set that lost.
    pub dropped: Version,
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

/// Holds the record set in force. It only ever moves up the order of [`Version`], whatever order
/// sets are offered in and whoever offers them.
///
/// `E` describes the faults of a set that can't be adopted.
///
/// ```
/// use persimmon_decide::config::{Adoption, Source, Verdict};
/// use persimmon_records::{Generation, RecordSet};
///
/// let read = |text: &str| -> Result<RecordSet, String> {
///     let generation = text.parse().map(Generation).map_err(|_| "not a number".to_owned())?;
///     Ok(RecordSet { generation, ..RecordSet::empty() })
/// };
/// let mut adoption = Adoption::default();
/// assert_eq!(adoption.offer(Source::Platform, "7", read), Verdict::Adopted);
/// assert_eq!(adoption.offer(Source::Platform, "6", read), Verdict::Older);
/// assert_eq!(adoption.offer(Source::Platform, "x", read), Verdict::Refused);
/// assert_eq!(adoption.in_force().unwrap().set.generation, Generation(7));
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
    /// Reads and checks the whole of an offered set and adopts it if it is higher than the one in
    /// force. A text that was refused before isn't read again.
    pub fn offer(
        &mut self,
        source: Source,
        text: &str,
        read: impl FnOnce(&str) -> Result<RecordSet, E>,
    ) -> Verdict {
        let digest = SetDigest::of(text);
        if self.version().is_some_and(|version| version.digest == digest) {
            return Verdict::Known;
        }
        if self.has_refused(digest) {
            return Verdict::Refused;
        }
        match read(text) {
            Ok(set) => self.consider(source, text, digest, set),
            Err(error) => {
                self.refused = Some(Refused { digest, read_from: source, error });
                Verdict::Refused
            }
        }
    }

    /// Notes that somebody has `version` in force, so that a conflict is reported even where the
    /// losing set was never read.
    pub fn note_version(&mut self, version: Version) {
        let Some(in_force) = self.version() else { return };
        if version.generation == in_force.generation && version.digest != in_force.digest {
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
    pub fn version(&self) -> Option<Version> {
        self.in_force.as_ref().map(|in_force| in_force.version)
    }

    /// Whether a set that somebody announced is worth fetching.
    pub fn wants(&self, version: Version) -> bool {
        let is_higher = self.version().is_none_or(|in_force| version > in_force);
        is_higher && !self.has_refused(version.digest)
    }

    /// The set refused last, until a newer one is adopted.
    pub fn refused(&self) -> Option<&Refused<E>> {
        self.refused.as_ref()
    }

    /// Two sets published at once, until a higher generation is in force.
    pub fn conflict(&self) -> Option<Conflict> {
        self.conflict
    }

    fn has_refused(&self, digest: SetDigest) -> bool {
        self.refused.as_ref().is_some_and(|refused| refused.digest == digest)
    }

    fn consider(
        &mut self,
        source: Source,
        text: &str,
        digest: SetDigest,
        set: RecordSet,
    ) -> Verdict {
        let version = Version { generation: set.generation, digest };
        self.note_version(version);
        if self.version().is_some_and(|in_force| version < in_force) {
            return Verdict::Older;
        }
        if self.version().is_none_or(|held| version.generation > held.generation) {
            self.conflict = None;
        }
        self.refused = None;
        self.in_force =
            Some(InForce { version, set: Arc::new(set), text: Arc::from(text), read_from: source });
        Verdict::Adopted
    }
}
