//! The whole configuration at one generation.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Endpoint, EndpointName, KeyDigest, Policy, Workspace};

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
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordSet {
    /// The layout that the set was written in.
    pub schema_version: SchemaVersion,
    /// The generation of the set.
    pub generation: Generation,
    /// Settings of the whole fleet.
    #[serde(default)]
    pub policy: Policy,
    /// Every workspace.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// Every endpoint.
    #[serde(default)]
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

    /// The workspace whose key has this digest.
    pub fn workspace_by_key(&self, digest: KeyDigest) -> Option<&Workspace> {
        self.workspaces.iter().find(|workspace| workspace.key_digests.contains(&digest))
    }

    /// The endpoint of this name.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.endpoints.iter().find(|endpoint| endpoint.name == *name)
    }
}
