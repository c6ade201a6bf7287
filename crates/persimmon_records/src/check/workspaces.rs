//! Validation of workspaces.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use super::names::name_fault;
use super::{Positions, ReferenceTargets};
use crate::fault::{Faults, shortened};
use crate::{
    FaultKind, KeyDigest, MAX_WORKSPACE_KEYS, MAX_WORKSPACE_NAMES, Place, RecordKind, Workspace,
    WorkspaceName,
};

/// Reports every fault of single workspaces, names and keys that occur twice, and references to
/// models, services or endpoints that don't exist.
pub(super) fn check_workspaces(
    workspaces: &[Workspace],
    targets: &ReferenceTargets<'_>,
    positions: &Positions,
    faults: &mut Faults,
) {
    let mut first_by_name = HashMap::<&WorkspaceName, usize>::with_capacity(workspaces.len());
    let mut owner_by_key = HashMap::<KeyDigest, &Workspace>::with_capacity(workspaces.len());
    for (i, workspace) in workspaces.iter().enumerate() {
        let position = positions.workspace(i);
        let place = Place::at(RecordKind::Workspace, position).with_name(workspace.name.as_str());
        check_workspace(workspace, targets, &place, faults);
        check_keys(workspace, &mut owner_by_key, &place, faults);
        match first_by_name.get(&workspace.name) {
            Some(&first) => {
                faults.push(place.with_field("name"), FaultKind::DuplicateName { first });
            }
            None => {
                first_by_name.insert(&workspace.name, position);
            }
        }
    }
}

fn check_workspace(
    workspace: &Workspace,
    targets: &ReferenceTargets<'_>,
    place: &Place,
    faults: &mut Faults,
) {
    if let Some(kind) = name_fault(workspace.name.as_str()) {
        faults.push(place.clone().with_field("name"), kind);
    }
    check_list("models", &workspace.models, place, faults, |model| {
        let known = targets.may_serve_anything || targets.models.contains(model);
        (!known).then(|| FaultKind::UnknownModel(shortened(model.as_str()).into()))
    });
    check_list("services", &workspace.services, place, faults, |service| {
        let known = targets.may_serve_anything || targets.services.contains(service);
        (!known).then(|| FaultKind::UnknownService(shortened(service.as_str()).into()))
    });
    check_list("endpoints", &workspace.endpoints, place, faults, |endpoint| {
        let known = targets.may_have_any_name || targets.names.contains(endpoint);
        (!known).then(|| FaultKind::UnknownEndpoint(shortened(endpoint.as_str()).into()))
    });
}

/// Reports a list that is too long, repeated entries, and the fault that `unknown` returns for an
/// entry.
fn check_list<T: Eq + Hash>(
    field: &str,
    list: &[T],
    place: &Place,
    faults: &mut Faults,
    unknown: impl Fn(&T) -> Option<FaultKind>,
) {
    if list.len() > MAX_WORKSPACE_NAMES {
        let kind = FaultKind::TooMany { found: list.len(), max: MAX_WORKSPACE_NAMES };
        faults.push(place.clone().with_field(field), kind);
        return;
    }
    let mut seen = HashSet::with_capacity(list.len());
    for (i, entry) in list.iter().enumerate() {
        let fault =
            if seen.insert(entry) { unknown(entry) } else { Some(FaultKind::DuplicateEntry) };
        if let Some(kind) = fault {
            faults.push(place.clone().with_field(format!("{field}[{i}]")), kind);
        }
    }
}

fn check_keys<'a>(
    workspace: &'a Workspace,
    owner_by_key: &mut HashMap<KeyDigest, &'a Workspace>,
    place: &Place,
    faults: &mut Faults,
) {
    let found = workspace.key_digests.len();
    if found > MAX_WORKSPACE_KEYS {
        let kind = FaultKind::TooMany { found, max: MAX_WORKSPACE_KEYS };
        faults.push(place.clone().with_field("key_digests"), kind);
    }
    for (i, digest) in workspace.key_digests.iter().enumerate() {
        let Some(owner) = owner_by_key.get(digest) else {
            owner_by_key.insert(*digest, workspace);
            continue;
        };
        let kind = if std::ptr::eq(*owner, workspace) {
            FaultKind::DuplicateEntry
        } else {
            FaultKind::DuplicateKeyDigest { other: owner.name.clone() }
        };
        faults.push(place.clone().with_field(format!("key_digests[{i}]")), kind);
    }
}
