//! Changes of single records, so that a change costs its own bytes and not those of the whole set.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::editor::Editor;
use crate::{
    AdoptError, Endpoint, EndpointName, Generation, Policy, RecordSet, SetVersion, Workspace,
    WorkspaceName,
};

/// What happens to one record.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Replaces the fleet policy.
    SetPolicy(Policy),
    /// Adds the workspace or replaces the one of its name.
    UpsertWorkspace(Workspace),
    /// Removes the workspace.
    RemoveWorkspace(WorkspaceName),
    /// Adds the endpoint or replaces the one of its name.
    UpsertEndpoint(Endpoint),
    /// Removes the endpoint.
    RemoveEndpoint(EndpointName),
}

/// One edit and the generation that brought it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// The generation.
    pub generation: Generation,
    /// The edit.
    pub edit: Edit,
}

/// Every change after one generation up to the version to which they lead.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeSet {
    /// The version that results.
    pub version: SetVersion,
    /// The changes begin after this generation.
    pub after: Generation,
    /// The changes, the oldest first.
    pub changes: Vec<Change>,
}

impl ChangeSet {
    /// The change set that a process needs whose set is of `generation`; `None` if it needs none
    /// or if the changes begin later, so that it has to read the whole set.
    ///
    /// Processes that pass changes on send each other only this.
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
    /// The set that `change_set` makes of this one, in full or not at all.
    ///
    /// # Errors
    ///
    /// [`AdoptError`] if the changes begin later than this set, aren't newer, lead to other content
    /// than the publisher had, or lead to a set with faults.
    pub fn apply(&self, change_set: &ChangeSet) -> Result<Self, AdoptError> {
        let mut editor = Editor::new(self.clone());
        editor.apply(change_set)?;
        Ok(editor.into_set())
    }

    /// The edits that make `next` of this set, ordered by kind and name.
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

/// How two lists of one kind of record differ.
#[derive(Debug)]
struct Diff<'a, R, N> {
    /// Records that are new or different.
    changed: Vec<&'a R>,
    /// Names that are gone.
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
