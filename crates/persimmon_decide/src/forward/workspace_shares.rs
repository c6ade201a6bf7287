//! Each workspace's share of a service.

use std::collections::HashMap;
use std::sync::Arc;

/// Counts this gateway's requests in progress by service and workspace. Callers of every workspace
/// use every gateway, so these counts represent the shares in the whole fleet.
#[derive(Debug, Default)]
pub struct WorkspaceShares {
    services: HashMap<Arc<str>, HashMap<Arc<str>, u32>>,
}

impl WorkspaceShares {
    /// Creates an empty set of counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the start of a request.
    pub fn begin(&mut self, service: &Arc<str>, workspace: &Arc<str>) {
        let of_service = self.services.entry(service.clone()).or_default();
        *of_service.entry(workspace.clone()).or_default() += 1;
    }

    /// Records the end of a request.
    pub fn end(&mut self, service: &str, workspace: &str) {
        let Some(of_service) = self.services.get_mut(service) else { return };
        let Some(count) = of_service.get_mut(workspace) else { return };
        *count -= 1;
        if *count == 0 {
            of_service.remove(workspace);
        }
        if of_service.is_empty() {
            self.services.remove(service);
        }
    }

    /// Returns the workspace's share of the service's requests, from 0 to 1, and the number of
    /// workspaces with requests in progress.
    pub fn share(&self, service: &str, workspace: &str) -> (f64, usize) {
        let Some(of_service) = self.services.get(service) else { return (0.0, 0) };
        let all: u32 = of_service.values().sum();
        let own = of_service.get(workspace).copied().unwrap_or(0);
        (f64::from(own) / f64::from(all.max(1)), of_service.len())
    }
}
