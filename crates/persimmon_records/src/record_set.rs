//! The whole configuration at one generation.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::check::{Gaps, Positions, check_set};
use crate::fault::Faults;
use crate::intern::Interner;
use crate::read::read_set;
use crate::{
    Endpoint, EndpointName, FaultKind, KeyDigest, MAX_SET_BYTES, Place, Policy, RecordErrors,
    RecordKind, Workspace,
};

/// Orders record sets: a process never goes back to a lower one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The layout in which a record set was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub enum SchemaVersion {
    /// One limit for every class of a workspace.
    V1,
    /// Limits for each class of a workspace.
    V2,
}

impl From<SchemaVersion> for u32 {
    fn from(version: SchemaVersion) -> Self {
        match version {
            SchemaVersion::V1 => 1,
            SchemaVersion::V2 => 2,
        }
    }
}

impl TryFrom<u32> for SchemaVersion {
    type Error = String;

    fn try_from(number: u32) -> Result<Self, Self::Error> {
        match number {
            1 => Ok(Self::V1),
            2 => Ok(Self::V2),
            other => Err(format!("schema_version {other} is not supported; publish 1 or 2")),
        }
    }
}

/// Every record in force at one generation, in the newest layout.
///
/// Its text is read by [`RecordSet::parse`], which checks all of it, and written by
/// [`RecordSet::to_text`].
#[derive(Debug, Clone, PartialEq)]
pub struct RecordSet {
    /// The layout that the set was written in.
    pub schema_version: SchemaVersion,
    /// The generation of the set.
    pub generation: Generation,
    /// Settings of the whole fleet.
    pub policy: Policy,
    /// Every workspace.
    pub workspaces: Vec<Workspace>,
    /// Every endpoint.
    pub endpoints: Vec<Endpoint>,
}

impl RecordSet {
    /// A set without workspaces or endpoints, older than any that is published.
    pub fn empty() -> Self {
        Self {
            schema_version: SchemaVersion::V2,
            generation: Generation::default(),
            policy: Policy::default(),
            workspaces: Vec::new(),
            endpoints: Vec::new(),
        }
    }

    /// Reads a set from its text, in any supported schema version, and checks all of it. Records
    /// come out ordered by name. An expired record is no fault: time alone ends its use.
    ///
    /// # Errors
    ///
    /// Every fault of the text at once, each with its place and remedy. When the schema version is
    /// unknown the records aren't judged.
    ///
    /// ```
    /// use persimmon_records::RecordSet;
    ///
    /// let set = RecordSet::parse(r#"{"schema_version": 2, "generation": 1}"#).unwrap();
    /// assert!(set.workspaces.is_empty());
    ///
    /// let errors = RecordSet::parse(r#"{"schema_version": 2, "generatoin": 1}"#).unwrap_err();
    /// assert_eq!(errors.faults.len(), 2);
    /// ```
    pub fn parse(text: &str) -> Result<Self, RecordErrors> {
        let mut faults = Faults::default();
        let found = text.len();
        if found > MAX_SET_BYTES {
            let kind = FaultKind::TooLong { found, max: MAX_SET_BYTES };
            faults.push(Place::of(RecordKind::Set), kind);
        }
        let draft = if found > MAX_SET_BYTES { None } else { read_set(text, &mut faults) };
        if let Some(draft) = &draft {
            check_set(&draft.set, &draft.positions, &draft.gaps, &mut faults);
        }
        let mut set = faults.finish(draft)?.set;
        set.normalize();
        Ok(set)
    }

    /// Checks a set that was built in the program, as [`RecordSet::parse`] does.
    ///
    /// # Errors
    ///
    /// Every fault at once, each with its place and remedy.
    pub fn check(&self) -> Result<(), RecordErrors> {
        let mut faults = Faults::default();
        check_set(self, &Positions::default(), &Gaps::default(), &mut faults);
        faults.into_result()
    }

    /// The set as JSON in the newest schema version, one text for equal sets whose records are
    /// ordered by name.
    pub fn to_text(&self) -> String {
        let canonical = Canonical {
            schema_version: SchemaVersion::V2,
            generation: self.generation,
            policy: &self.policy,
            workspaces: &self.workspaces,
            endpoints: &self.endpoints,
        };
        serde_json::to_string(&canonical).expect("records have only text keys")
    }

    /// Whether records are ordered by name.
    pub(crate) fn is_normal(&self) -> bool {
        self.workspaces.is_sorted_by(|a, b| a.name <= b.name)
            && self.endpoints.is_sorted_by(|a, b| a.name <= b.name)
    }

    /// Orders records by name and lets equal names share their text.
    pub(crate) fn normalize(&mut self) {
        self.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        self.endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        Interner::default().intern(self);
    }

    /// The workspace whose key has this digest, by a search through every record; adopted sets are
    /// asked through [`RecordIndex`](crate::RecordIndex).
    pub fn workspace_by_key(&self, digest: KeyDigest) -> Option<&Workspace> {
        self.workspaces.iter().find(|workspace| workspace.key_digests.contains(&digest))
    }

    /// The endpoint of this name, by a search through every record.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.endpoints.iter().find(|endpoint| endpoint.name == *name)
    }
}

/// A set as [`RecordSet::to_text`] writes it.
#[derive(Debug, Serialize)]
struct Canonical<'a> {
    schema_version: SchemaVersion,
    generation: Generation,
    policy: &'a Policy,
    workspaces: &'a [Workspace],
    endpoints: &'a [Endpoint],
}
