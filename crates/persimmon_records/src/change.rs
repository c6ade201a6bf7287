//! Changes to single records, so that publishing a change transfers the changed record instead of
//! the whole set.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::editor::Editor;
use crate::{
    AdoptError, Endpoint, EndpointName, Generation, Policy, RecordSet, SetVersion, Workspace,
    WorkspaceName,
};

/// Edit of one record.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Replaces the fleet policy.
    SetPolicy(Policy),
    /// Adds the workspace, or replaces the workspace of the same name.
    UpsertWorkspace(Workspace),
    /// Removes the workspace.
    RemoveWorkspace(WorkspaceName),
    /// Adds the endpoint, or replaces the endpoint of the same name.
    UpsertEndpoint(Endpoint),
    /// Removes the endpoint.
    RemoveEndpoint(EndpointName),
}

/// One edit and the generation that introduced it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// The generation.
    pub generation: Generation,
    /// The edit.
    pub edit: Edit,
}

/// All changes after one generation, up to and including a published version.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeSet {
    /// The version that results from applying the changes.
    pub version: SetVersion,
    /// The generation before the first change. The changes apply to sets of this generation or
    /// later.
    pub after: Generation,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

impl ChangeSet {
    /// Returns the changes that a process at `generation` lacks. Returns `None` if it lacks none,
    /// or if the oldest change here is too new for it, so that it has to read the whole set.
    ///
    /// Processes that forward changes to each other send only this subset.
    pub fn since(&self, generation: Generation) -> Option<Self> {
        if generation < self.after || generation >= self.version.generation {
            return None;
        }
        let newer = |change: &&Change| change.generation > generation;
        let changes = self.changes.iter().filter(newer).cloned().collect();
        Some(Self { version: self.version, after: generation, changes })
    }
}

impl RecordSet {
    /// Returns this set with `change_set` applied. Either all changes are applied or none.
    ///
    /// # Errors
    ///
    /// Returns an error if changes are missing between this set and `change_set`, if `change_set`
    /// isn't newer, or if the resulting set differs from the publisher's or has faults.
    pub fn apply(&self, change_set: &ChangeSet) -> Result<Self, AdoptError> {
        let mut editor = Editor::new(self.clone());
        editor.apply(change_set)?;
        Ok(editor.into_set())
    }

    /// Returns the edits that turn this set into `next`, ordered by kind and name.
    pub fn edits_to(&self, next: &Self) -> Vec<Edit> {
        let mut edits = Vec::new();
        if self.policy != next.policy {
            edits.push(Edit::SetPolicy(next.policy.clone()));
        }
        let endpoints = Diff::of(&self.endpoints, &next.endpoints, |endpoint| &endpoint.name);
        let workspaces = Diff::of(&self.workspaces, &next.workspaces, |workspace| &workspace.name);
        edits.extend(endpoints.changed.into_iter().cloned().map(Edit::UpsertEndpoint));
        edits.extend(workspaces.changed.into_iter().cloned().map(Edit::UpsertWorkspace));
        edits.extend(workspaces.removed.into_iter().cloned().map(Edit::RemoveWorkspace));
        edits.extend(endpoints.removed.into_iter().cloned().map(Edit::RemoveEndpoint));
        edits
    }
}

/// Difference between two lists of one kind of record.
#[derive(Debug)]
struct Diff<'a, R, N> {
    /// Records that were added or replaced.
    changed: Vec<&'a R>,
    /// Names of records that were removed.
    removed: Vec<&'a N>,
}

impl<'a, R: PartialEq, N: Ord> Diff<'a, R, N> {
    fn of(before: &'a [R], after: &'a [R], name: impl Fn(&R) -> &N) -> Self {
        let old: BTreeMap<&N, &R> = before.iter().map(|record| (name(record), record)).collect();
        let new: BTreeMap<&N, &R> = after.iter().map(|record| (name(record), record)).collect();
        let differs =
            |(name, record): (&&'a N, &&'a R)| (old.get(*name) != Some(record)).then_some(*record);
        let changed = new.iter().filter_map(differs).collect();
        let removed = old.keys().filter(|name| !new.contains_key(**name)).copied().collect();
        Self { changed, removed }
    }
}
