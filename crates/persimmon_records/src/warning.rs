//! Warnings about records that are valid but probably not what the operator intended.

use std::collections::HashSet;
use std::fmt;

use thiserror::Error;

use crate::{
    Class, Endpoint, EndpointName, Place, RecordKind, RecordSet, Serves, UnixMs, Workspace,
};

/// Cause of a warning, with the remedy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WarningKind {
    /// The workspace's record has expired.
    #[error("has passed, so its callers are refused; extend it or remove the workspace")]
    Expired,
    /// The endpoint's loan has ended.
    #[error(
        "has passed, so the endpoint admits no requests; extend the loan or remove the endpoint"
    )]
    LoanEnded,
    /// The workspace has no keys, so nobody can call.
    #[error("is empty, so nobody can call; add a digest from `persimmonctl digest`")]
    NoKeys,
    /// The workspace may use no model and no service.
    #[error("may use no model and no service; add one or remove the workspace")]
    NothingToUse,
    /// A limit is 0, so that all requests of a class or of the whole workspace are refused.
    #[error("is 0, so its requests are refused; raise it unless that is intended")]
    Closed,
    /// No endpoint that accepts requests serves this model or service to the workspace.
    #[error("{0} has no endpoint that admits this workspace; add one or extend a loan")]
    Unserved(String),
}

/// Warning and its place in the set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warning {
    /// The place in the set.
    pub place: Place,
    /// The cause, with the remedy.
    pub kind: WarningKind,
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.kind)
    }
}

impl RecordSet {
    /// Returns warnings about what the operator probably didn't intend, as of `now`.
    pub fn warnings(&self, now: UnixMs) -> Vec<Warning> {
        let mut warnings = Vec::new();
        let ended = |endpoint: &Endpoint| endpoint.loan_ends_at.is_some_and(|ends| ends <= now);
        for endpoint in self.endpoints.iter().filter(|endpoint| ended(endpoint)) {
            let place = Place::of(RecordKind::Endpoint).with_name(endpoint.name.as_str());
            let place = place.with_field("loan_ends_at");
            warnings.push(Warning { place, kind: WarningKind::LoanEnded });
        }
        let admits_requests = |endpoint: &&Endpoint| !endpoint.draining && !ended(endpoint);
        let serving: Vec<_> = self.endpoints.iter().filter(admits_requests).collect();
        let offered = serving.iter().map(|endpoint| &endpoint.serves).collect();
        for workspace in &self.workspaces {
            let place = Place::of(RecordKind::Workspace).with_name(workspace.name.as_str());
            let mut collector = WorkspaceWarnings { place, warnings: &mut warnings };
            collector.check_record(workspace, now);
            collector.check_targets(workspace, &serving, &offered);
        }
        warnings
    }
}

/// Collects the warnings about one workspace.
struct WorkspaceWarnings<'a> {
    place: Place,
    warnings: &'a mut Vec<Warning>,
}

impl WorkspaceWarnings<'_> {
    fn warn(&mut self, field: &str, kind: WarningKind) {
        let place = self.place.clone().with_field(field);
        self.warnings.push(Warning { place, kind });
    }

    fn check_record(&mut self, workspace: &Workspace, now: UnixMs) {
        if workspace.expires_at.is_some_and(|at| at <= now) {
            self.warn("expires_at", WarningKind::Expired);
        }
        if workspace.key_digests.is_empty() {
            self.warn("key_digests", WarningKind::NoKeys);
        }
        if workspace.models.is_empty() && workspace.services.is_empty() {
            self.warn("models", WarningKind::NothingToUse);
        }
        for class in Class::ALL {
            if workspace.limits.get(class).is_closed() {
                self.warn(&format!("limits.{}", class.as_str()), WarningKind::Closed);
            }
        }
        if workspace.total_limits.is_some_and(|limits| limits.is_closed()) {
            self.warn("total_limits", WarningKind::Closed);
        }
    }

    fn check_targets(
        &mut self,
        workspace: &Workspace,
        serving: &[&Endpoint],
        offered: &HashSet<&Serves>,
    ) {
        let models = workspace.models.iter().cloned().map(Serves::Model);
        let services = workspace.services.iter().cloned().map(Serves::Service);
        let allowed: HashSet<&EndpointName> = workspace.endpoints.iter().collect();
        for target in models.chain(services) {
            let served = if allowed.is_empty() {
                offered.contains(&target)
            } else {
                let mut usable = serving.iter().filter(|endpoint| allowed.contains(&endpoint.name));
                usable.any(|endpoint| endpoint.serves == target)
            };
            if served {
                continue;
            }
            let (field, name) = match &target {
                Serves::Model(model) => ("models", model.as_str()),
                Serves::Service(service) => ("services", service.as_str()),
            };
            self.warn(field, WarningKind::Unserved(name.to_owned()));
        }
    }
}
