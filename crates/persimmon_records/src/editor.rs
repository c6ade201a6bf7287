//! Applies changes to a set and updates its digests.

use crate::check::{Positions, UnreadableEndpoints, check_set};
use crate::fault::Faults;
use crate::intern::Interner;
use crate::set_digests::SetDigests;
use crate::{AdoptError, Change, ChangeSet, Digest, Edit, RecordSet, SchemaVersion, SetVersion};

/// A set that is being edited, with its records ordered by name.
#[derive(Debug, Clone)]
pub(crate) struct Editor {
    set: RecordSet,
    digests: SetDigests,
}

impl Editor {
    pub(crate) fn new(mut set: RecordSet) -> Self {
        set.normalize();
        let digests = SetDigests::of(&set);
        Self { set, digests }
    }

    pub(crate) fn set(&self) -> &RecordSet {
        &self.set
    }

    pub(crate) fn into_set(self) -> RecordSet {
        self.set
    }

    pub(crate) fn version(&self) -> SetVersion {
        SetVersion { generation: self.set.generation, digest: self.digests.combined() }
    }

    /// Applies the changes that are newer than the set. After an error the set may be partly
    /// edited and must be discarded.
    pub(crate) fn apply(&mut self, change_set: &ChangeSet) -> Result<(), AdoptError> {
        let have = self.set.generation;
        let published = change_set.version;
        if published.generation <= have {
            return Err(AdoptError::NotNewer { published: published.generation, have });
        }
        if have < change_set.after {
            return Err(AdoptError::Gap { have, after: change_set.after });
        }
        for change in change_set.changes.iter().filter(|change| change.generation > have) {
            self.edit(change);
        }
        self.set.generation = published.generation;
        self.set.schema_version = SchemaVersion::V2;
        let found = self.digests.combined();
        if found != published.digest {
            return Err(AdoptError::Content { published, found });
        }
        let mut faults = Faults::default();
        check_set(&self.set, &Positions::default(), &UnreadableEndpoints::default(), &mut faults);
        faults.into_result()?;
        Interner::default().intern(&mut self.set);
        Ok(())
    }

    fn edit(&mut self, change: &Change) {
        let Self { set, digests } = self;
        match &change.edit {
            Edit::SetPolicy(policy) => {
                set.policy = policy.clone();
                digests.policy = Digest::of_record(policy);
            }
            Edit::UpsertWorkspace(workspace) => {
                let at = set.workspaces.binary_search_by(|old| old.name.cmp(&workspace.name));
                upsert(at, &mut set.workspaces, workspace.clone(), &mut digests.workspaces);
            }
            Edit::RemoveWorkspace(name) => {
                let at = set.workspaces.binary_search_by(|old| old.name.cmp(name));
                remove(at, &mut set.workspaces, &mut digests.workspaces);
            }
            Edit::UpsertEndpoint(endpoint) => {
                let at = set.endpoints.binary_search_by(|old| old.name.cmp(&endpoint.name));
                upsert(at, &mut set.endpoints, endpoint.clone(), &mut digests.endpoints);
            }
            Edit::RemoveEndpoint(name) => {
                let at = set.endpoints.binary_search_by(|old| old.name.cmp(name));
                remove(at, &mut set.endpoints, &mut digests.endpoints);
            }
        }
    }
}

/// Replaces the record at `Ok(at)`, or inserts it at `Err(at)`, as `binary_search` returns them.
fn upsert<R: serde::Serialize>(
    at: Result<usize, usize>,
    records: &mut Vec<R>,
    record: R,
    digests: &mut Vec<Digest>,
) {
    let digest = Digest::of_record(&record);
    match at {
        Ok(i) => {
            records[i] = record;
            digests[i] = digest;
        }
        Err(i) => {
            records.insert(i, record);
            digests.insert(i, digest);
        }
    }
}

/// Removes the record at `Ok(at)`; does nothing if the search didn't find it.
fn remove<R>(at: Result<usize, usize>, records: &mut Vec<R>, digests: &mut Vec<Digest>) {
    if let Ok(i) = at {
        records.remove(i);
        digests.remove(i);
    }
}
