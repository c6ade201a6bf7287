//! Validation of a set's records, against each other and against the bounds.

mod endpoints;
mod names;
mod policy;
mod workspaces;

use std::collections::HashSet;

use crate::fault::Faults;
use crate::{
    EndpointName, FaultKind, Generation, MAX_ENDPOINTS, MAX_WORKSPACES, ModelName, Place,
    RecordKind, RecordSet, Serves, ServiceName,
};

/// Positions of the set's records in the lists of its text. They differ from the positions in the
/// set if some records couldn't be read. Records beyond these lists have the same position in both.
#[derive(Debug, Default)]
pub(crate) struct Positions {
    pub(crate) workspaces: Vec<usize>,
    pub(crate) endpoints: Vec<usize>,
}

impl Positions {
    fn workspace(&self, i: usize) -> usize {
        self.workspaces.get(i).copied().unwrap_or(i)
    }

    fn endpoint(&self, i: usize) -> usize {
        self.endpoints.get(i).copied().unwrap_or(i)
    }
}

/// Known names and models or services of endpoints that couldn't be read, so that a fault in an
/// endpoint doesn't cause further faults in the workspaces that refer to it.
#[derive(Debug, Default)]
pub(crate) struct UnreadableEndpoints {
    names: Vec<EndpointName>,
    serves: Vec<Serves>,
    has_unknown_name: bool,
    has_unknown_serves: bool,
}

impl UnreadableEndpoints {
    /// Adds an endpoint that couldn't be read completely.
    pub(crate) fn add(&mut self, name: Option<EndpointName>, serves: Option<Serves>) {
        self.has_unknown_name |= name.is_none();
        self.has_unknown_serves |= serves.is_none();
        self.names.extend(name);
        self.serves.extend(serves);
    }
}

/// Names, models and services of a set's endpoints, to which workspaces may refer.
#[derive(Debug, Default)]
struct ReferenceTargets<'a> {
    names: HashSet<&'a EndpointName>,
    models: HashSet<&'a ModelName>,
    services: HashSet<&'a ServiceName>,
    /// Whether the name of some endpoint couldn't be read, so that any name may exist.
    may_have_any_name: bool,
    /// Whether it is unknown what some endpoint serves, so that anything may be served.
    may_serve_anything: bool,
}

impl<'a> ReferenceTargets<'a> {
    fn of(set: &'a RecordSet, unreadable: &'a UnreadableEndpoints) -> Self {
        let mut targets = Self {
            may_have_any_name: unreadable.has_unknown_name,
            may_serve_anything: unreadable.has_unknown_serves,
            ..Self::default()
        };
        let endpoints = &set.endpoints;
        targets
            .names
            .extend(endpoints.iter().map(|endpoint| &endpoint.name).chain(&unreadable.names));
        for serves in endpoints.iter().map(|endpoint| &endpoint.serves).chain(&unreadable.serves) {
            match serves {
                Serves::Model(model) => targets.models.insert(model),
                Serves::Service(service) => targets.services.insert(service),
            };
        }
        targets
    }
}

/// Reports every fault of the records in `set`.
pub(crate) fn check_set(
    set: &RecordSet,
    positions: &Positions,
    unreadable: &UnreadableEndpoints,
    faults: &mut Faults,
) {
    check_generation(set, faults);
    check_count(RecordKind::Workspace, set.workspaces.len(), MAX_WORKSPACES, faults);
    check_count(RecordKind::Endpoint, set.endpoints.len(), MAX_ENDPOINTS, faults);
    policy::check_policy(&set.policy, faults);
    endpoints::check_endpoints(&set.endpoints, positions, faults);
    workspaces::check_workspaces(
        &set.workspaces,
        &ReferenceTargets::of(set, unreadable),
        positions,
        faults,
    );
}

fn check_generation(set: &RecordSet, faults: &mut Faults) {
    if set.generation == Generation(0) {
        let place = Place::of(RecordKind::Set).with_field("generation");
        faults.push(place, FaultKind::ZeroGeneration);
    }
}

fn check_count(kind: RecordKind, found: usize, max: usize, faults: &mut Faults) {
    if found > max {
        faults.push(Place::of(kind), FaultKind::TooMany { found, max });
    }
}
