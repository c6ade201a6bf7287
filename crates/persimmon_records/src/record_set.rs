//! Record set: the whole configuration at one generation.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::check::{Positions, UnreadableEndpoints, check_set};
use crate::fault::Faults;
use crate::intern::Interner;
use crate::read::read_set;
use crate::{
    Endpoint, EndpointName, FaultKind, KeyDigest, MAX_SET_BYTES, Place, Policy, RecordErrors,
    RecordKind, Workspace,
};

/// Generation number of a record set. A process never replaces its set by one of a lower
/// generation.
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

/// Version of the JSON layout in which a record set was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub enum SchemaVersion {
    /// Layout with one limit for all classes of a workspace together.
    V1,
    /// Layout with separate limits for each class of a workspace.
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

/// All records of one generation, in the newest layout.
///
/// [`RecordSet::parse`] reads and validates its text, and [`RecordSet::to_text`] writes it.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordSet {
    /// The schema version in which the set was written.
    pub schema_version: SchemaVersion,
    /// The generation of the set.
    pub generation: Generation,
    /// The fleet policy.
    pub policy: Policy,
    /// Every workspace.
    pub workspaces: Vec<Workspace>,
    /// Every endpoint.
    pub endpoints: Vec<Endpoint>,
}

impl RecordSet {
    /// Returns a set without workspaces and endpoints, older than every published set.
    pub fn empty() -> Self {
        Self {
            schema_version: SchemaVersion::V2,
            generation: Generation::default(),
            policy: Policy::default(),
            workspaces: Vec::new(),
            endpoints: Vec::new(),
        }
    }

    /// Reads a set from its text, in any supported schema version, and validates it. Returns the
    /// records ordered by name. An expired record is not a fault: it is valid but no longer used.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text, each with its location and remedy. If the schema version is
    /// unknown, the records aren't validated.
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
            check_set(&draft.set, &draft.positions, &draft.unreadable, &mut faults);
        }
        let mut set = faults.finish(draft)?.set;
        set.normalize();
        Ok(set)
    }

    /// Validates a set that was built in memory, as [`RecordSet::parse`] does.
    ///
    /// # Errors
    ///
    /// Returns every fault, each with its location and remedy.
    pub fn check(&self) -> Result<(), RecordErrors> {
        let mut faults = Faults::default();
        check_set(self, &Positions::default(), &UnreadableEndpoints::default(), &mut faults);
        faults.into_result()
    }

    /// Returns the set as JSON in the newest schema version. Equal sets whose records are ordered
    /// by name have the same text.
    pub fn to_text(&self) -> String {
        let text = RecordSetText {
            schema_version: SchemaVersion::V2,
            generation: self.generation,
            policy: &self.policy,
            workspaces: &self.workspaces,
            endpoints: &self.endpoints,
        };
        serde_json::to_string(&text).expect("records have only text keys")
    }

    /// Reports whether the records are ordered by name.
    pub(crate) fn is_normal(&self) -> bool {
        self.workspaces.is_sorted_by(|a, b| a.name <= b.name)
            && self.endpoints.is_sorted_by(|a, b| a.name <= b.name)
    }

    /// Sorts the records by name and interns their names.
    pub(crate) fn normalize(&mut self) {
        self.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        self.endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        Interner::default().intern(self);
    }

    /// Returns the workspace that has a key with this digest, by linear search. For adopted sets
    /// use [`RecordIndex`](crate::RecordIndex).
    pub fn workspace_by_key(&self, digest: KeyDigest) -> Option<&Workspace> {
        self.workspaces.iter().find(|workspace| workspace.key_digests.contains(&digest))
    }

    /// Returns the endpoint of this name, by linear search.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.endpoints.iter().find(|endpoint| endpoint.name == *name)
    }
}

/// The JSON form of a set, as [`RecordSet::to_text`] writes it.
#[derive(Debug, Serialize)]
struct RecordSetText<'a> {
    schema_version: SchemaVersion,
    generation: Generation,
    policy: &'a Policy,
    workspaces: &'a [Workspace],
    endpoints: &'a [Endpoint],
}
