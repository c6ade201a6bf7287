//! Checks a configuration before it is published.

mod checks;
mod differences;
mod finding;

use std::fmt;
use std::sync::Arc;

pub use finding::{Entry, Fault, Finding, Limit, Severity};

use super::{CallerLimits, MemoryBudget, Route, ServiceSpec, Workspace};

/// Memory of a gateway's VM if the settings don't state it, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 160 * 1024 * 1024;

/// A workspace and the keys of its callers.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// The workspace.
    pub workspace: Workspace,
    /// Its keys.
    pub keys: Vec<Arc<str>>,
}

impl fmt::Debug for KeyHolder {
    /// Leaves the keys out, which are secret.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let keys = self.keys.len();
        f.debug_struct("KeyHolder")
            .field("workspace", &self.workspace)
            .field("keys", &keys)
            .finish()
    }
}

/// A configuration as it was written. Unlike [`RouteTable`](super::RouteTable), it keeps entries that hide
/// others, and their order.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version of the configuration.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Routes.
    pub routes: Vec<Arc<Route>>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Workspaces; none if callers need no key.
    pub holders: Option<Vec<KeyHolder>>,
}

/// Checks configurations.
///
/// Gateways take any configuration that can be read: an entry that hides another one, or a limit that no request
/// can keep, shows only in what callers get. The check names them before callers do.
#[derive(Debug)]
pub struct ConfigurationCheck {
    memory_bytes: u64,
}

impl Default for ConfigurationCheck {
    fn default() -> Self {
        Self { memory_bytes: DEFAULT_MEMORY_BYTES }
    }
}

impl ConfigurationCheck {
    /// Sets the memory of a gateway's VM, in bytes.
    #[must_use]
    pub fn with_memory_bytes(self, memory_bytes: u64) -> Self {
        Self { memory_bytes }
    }

    /// Checks a configuration by itself. Errors come first.
    pub fn check(&self, configuration: &Configuration) -> Vec<Finding> {
        let budget = MemoryBudget::for_process(self.memory_bytes);
        let max_body_bytes = u64::try_from(budget.max_body_bytes()).unwrap_or(u64::MAX);
        sorted(checks::findings(configuration, max_body_bytes))
    }

    /// Checks a configuration, and lists what it changes of the one in force.
    pub fn check_against(&self, new: &Configuration, in_force: &Configuration) -> Vec<Finding> {
        let mut findings = self.check(new);
        findings.extend(differences::findings(new, in_force));
        sorted(findings)
    }
}

fn sorted(mut findings: Vec<Finding>) -> Vec<Finding> {
    findings.sort_by_key(|it| std::cmp::Reverse(it.severity()));
    findings
}
