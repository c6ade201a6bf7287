//! The platform's list of VMs, which lags and on which processes may disagree.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ZoneName;

/// Names a VM of the fleet: a router's, or an endpoint's with the sidecar beside it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VmName(Arc<str>);

impl VmName {
    /// Wraps `text` as it stands.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// The text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for VmName {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}

impl fmt::Display for VmName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// A router.
    Router,
    /// An endpoint and its sidecar.
    Endpoint,
}

/// Whether the platform is about to take a VM away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be taken away.
    Leaving,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name, unique in the list.
    pub name: VmName,
    /// What runs there.
    pub role: VmRole,
    /// Where its process takes digests and calls of other processes.
    pub peer: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is leaving.
    pub state: VmState,
}

/// The list at one version. A process never goes back to a lower one.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VmList {
    /// The platform's version of the list.
    pub version: u64,
    /// Every VM.
    pub vms: Vec<Vm>,
}
