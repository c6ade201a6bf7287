//! Checks a set's records against each other and against the bounds.

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

/// Where the records of a set stood in its text; those beyond the lists stand where they are.
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

/// What is known of endpoints that couldn't be read, so that one fault doesn't cause others in the
/// workspaces that name them.
#[derive(Debug, Default)]
pub(crate) struct Gaps {
    names: Vec<EndpointName>,
    serves: Vec<Serves>,
    has_nameless: bool,
    has_unknown_serves: bool,
}

impl Gaps {
    /// Adds an endpoint that couldn't be read as a whole.
    pub(crate) fn add(&mut self, name: Option<EndpointName>, serves: Option<Serves>) {
        self.has_nameless |= name.is_none();
        self.has_unknown_serves |= serves.is_none();
        self.names.extend(name);
        self.serves.extend(serves);
    }
}

/// What the endpoints of a set offer to workspaces.
#[derive(Debug, Default)]
struct Offers<'a> {
    names: HashSet<&'a EndpointName>,
    models: HashSet<&'a ModelName>,
    services: HashSet<&'a ServiceName>,
    /// Whether an endpoint that couldn't be read may have any name.
    any_name: bool,
    /// Whether an endpoint that couldn't be read may serve anything.
    any_serves: bool,
}

impl<'a> Offers<'a> {
    fn of(set: &'a RecordSet, gaps: &'a Gaps) -> Self {
        let mut offers = Self {
            any_name: gaps.has_nameless,
            any_serves: gaps.has_unknown_serves,
            ..Self::default()
        };
        let endpoints = &set.endpoints;
        offers.names.extend(endpoints.iter().map(|endpoint| &endpoint.name).chain(&gaps.names));
        for serves in endpoints.iter().map(|endpoint| &endpoint.serves).chain(&gaps.serves) {
            match serves {
                Serves::Model(model) => offers.models.insert(model),
                Serves::Service(service) => offers.services.insert(service),
            };
        }
        offers
    }
}

/// Reports every fault of the records in `set`.
pub(crate) fn check_set(set: &RecordSet, positions: &Positions, gaps: &Gaps, faults: &mut Faults) {
    check_generation(set, faults);
    check_count(RecordKind::Workspace, set.workspaces.len(), MAX_WORKSPACES, faults);
    check_count(RecordKind::Endpoint, set.endpoints.len(), MAX_ENDPOINTS, faults);
    policy::check_policy(&set.policy, faults);
    endpoints::check_endpoints(&set.endpoints, positions, faults);
    workspaces::check_workspaces(&set.workspaces, &Offers::of(set, gaps), positions, faults);
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
