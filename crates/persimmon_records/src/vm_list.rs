//! The platform's list of VMs. It lags behind the real state, and processes may have different
//! versions of it.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ZoneName;

/// Name of a VM, which runs either a router, or an endpoint and its sidecar.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VmName(Arc<str>);

impl VmName {
    /// Wraps `text` unchanged.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the text of the name.
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

/// Role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// The VM runs a router.
    Router,
    /// The VM runs an endpoint and its sidecar.
    Endpoint,
}

/// State of a VM: whether the platform is about to remove it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The platform is about to remove the VM.
    Leaving,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name, unique in the list.
    pub name: VmName,
    /// The VM's role.
    pub role: VmRole,
    /// The address at which its process receives membership digests and calls of other processes.
    pub peer: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether the VM is about to be removed.
    pub state: VmState,
}

/// List of VMs at one version. A process never replaces its list by one of a lower version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VmList {
    /// The platform's version of the list.
    pub version: u64,
    /// Every VM.
    pub vms: Vec<Vm>,
}
