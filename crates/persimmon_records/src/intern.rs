//! Interning of names: equal names of a set share one allocation, since thousands of records name
//! the same few models, zones and lenders.

use std::collections::HashSet;
use std::sync::Arc;

use crate::{Endpoint, RecordSet, Serves, Workspace};

/// Set of the name texts seen so far.
#[derive(Debug, Default)]
pub(crate) struct Interner(HashSet<Arc<str>>);

impl Interner {
    /// Makes equal names in `set` share one allocation.
    pub(crate) fn intern(mut self, set: &mut RecordSet) {
        for endpoint in &mut set.endpoints {
            self.intern_endpoint(endpoint);
        }
        for workspace in &mut set.workspaces {
            self.intern_workspace(workspace);
        }
    }

    fn intern_endpoint(&mut self, endpoint: &mut Endpoint) {
        self.share(endpoint.name.shared_mut());
        self.share(endpoint.zone.shared_mut());
        self.share(endpoint.lender.shared_mut());
        match &mut endpoint.serves {
            Serves::Model(model) => self.share(model.shared_mut()),
            Serves::Service(service) => self.share(service.shared_mut()),
        }
    }

    fn intern_workspace(&mut self, workspace: &mut Workspace) {
        self.share(workspace.name.shared_mut());
        for model in &mut workspace.models {
            self.share(model.shared_mut());
        }
        for service in &mut workspace.services {
            self.share(service.shared_mut());
        }
        for endpoint in &mut workspace.endpoints {
            self.share(endpoint.shared_mut());
        }
        workspace.key_digests.shrink_to_fit();
        workspace.models.shrink_to_fit();
        workspace.services.shrink_to_fit();
        workspace.endpoints.shrink_to_fit();
    }

    fn share(&mut self, text: &mut Arc<str>) {
        match self.0.get(text) {
            Some(shared) => *text = Arc::clone(shared),
            None => {
                self.0.insert(Arc::clone(text));
            }
        }
    }
}
