//! Compact lookup tables for an adopted record set, built once per set.

use std::cmp::Ordering;
use std::fmt;
use std::sync::Arc;

use crate::editor::Editor;
use crate::{
    AdoptError, ChangeSet, Endpoint, EndpointName, KeyDigest, ModelName, RecordSet, Serves,
    ServiceName, SetVersion, Workspace, WorkspaceName,
};

impl From<RecordSet> for Arc<RecordIndex> {
    fn from(set: RecordSet) -> Self {
        Self::new(RecordIndex::new(set))
    }
}

/// Position of a key digest in the set: the index of its workspace, and of the key therein.
#[derive(Debug, Clone, Copy)]
struct KeyPosition {
    workspace: u32,
    key: u32,
}

/// An adopted set with lookups in logarithmic time. In addition to the set it stores a few bytes
/// and one digest for each record.
///
/// ```
/// use persimmon_records::{KeyDigest, RecordIndex, RecordSet, WorkspaceBuilder};
///
/// let mut set = RecordSet::empty();
/// set.workspaces.push(WorkspaceBuilder::new("swap-desk").with_key("wk-example").build());
/// let index = RecordIndex::new(set);
/// let workspace = index.workspace_by_key(&KeyDigest::of_key("wk-example")).unwrap();
/// assert_eq!(workspace.name.as_str(), "swap-desk");
/// ```
#[derive(Clone)]
pub struct RecordIndex {
    editor: Editor,
    version: SetVersion,
    /// Ordered by digest.
    by_key: Box<[KeyPosition]>,
    /// Positions of endpoints, ordered by what they serve and then by name.
    by_serves: Box<[u32]>,
}

impl RecordIndex {
    /// Builds the lookup tables of `set`. Its names and keys must be unique, as
    /// [`RecordSet::check`] ensures.
    pub fn new(set: RecordSet) -> Self {
        Self::from_editor(Editor::new(set))
    }

    fn from_editor(editor: Editor) -> Self {
        let set = editor.set();
        let mut by_key: Vec<KeyPosition> = Vec::with_capacity(set.workspaces.len());
        for (i, workspace) in set.workspaces.iter().enumerate() {
            let keys = 0..workspace.key_digests.len();
            by_key.extend(keys.map(|key| KeyPosition { workspace: i as u32, key: key as u32 }));
        }
        by_key.sort_by_key(|position| *digest_at(set, *position));
        let mut by_serves: Vec<u32> = (0..set.endpoints.len() as u32).collect();
        by_serves.sort_by(|a, b| serves_at(set, *a).cmp(serves_at(set, *b)));
        Self {
            version: editor.version(),
            by_key: by_key.into(),
            by_serves: by_serves.into(),
            editor,
        }
    }

    /// Returns the indexed set.
    pub fn set(&self) -> &RecordSet {
        self.editor.set()
    }

    /// Returns the set's version, which orders published sets.
    pub fn version(&self) -> SetVersion {
        self.version
    }

    /// Returns the index of this set with `change_set` applied.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`RecordSet::apply`]; this index stays unchanged.
    pub fn apply(&self, change_set: &ChangeSet) -> Result<Self, AdoptError> {
        let mut editor = self.editor.clone();
        editor.apply(change_set)?;
        Ok(Self::from_editor(editor))
    }

    /// Returns the workspace that has a key with this digest.
    pub fn workspace_by_key(&self, digest: &KeyDigest) -> Option<&Workspace> {
        let set = self.set();
        let at = self.by_key.binary_search_by_key(digest, |at| *digest_at(set, *at)).ok()?;
        set.workspaces.get(self.by_key[at].workspace as usize)
    }

    /// Returns the workspace of this name.
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&Workspace> {
        let workspaces = &self.set().workspaces;
        let at = workspaces.binary_search_by(|workspace| workspace.name.cmp(name)).ok()?;
        workspaces.get(at)
    }

    /// Returns the endpoint of this name.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&Endpoint> {
        let endpoints = &self.set().endpoints;
        let at = endpoints.binary_search_by(|endpoint| endpoint.name.cmp(name)).ok()?;
        endpoints.get(at)
    }

    /// Returns the endpoints that serve `model`, ordered by name.
    pub fn endpoints_of_model(
        &self,
        model: &ModelName,
    ) -> impl ExactSizeIterator<Item = &Endpoint> {
        self.serving(|serves| match serves {
            Serves::Model(other) => other.cmp(model),
            Serves::Service(_) => Ordering::Greater,
        })
    }

    /// Returns the workers of `service`, ordered by name.
    pub fn endpoints_of_service(
        &self,
        service: &ServiceName,
    ) -> impl ExactSizeIterator<Item = &Endpoint> {
        self.serving(|serves| match serves {
            Serves::Model(_) => Ordering::Less,
            Serves::Service(other) => other.cmp(service),
        })
    }

    /// Returns each model and service that an endpoint serves, without repetition, models first.
    pub fn served(&self) -> impl Iterator<Item = &Serves> {
        let set = self.set();
        self.by_serves
            .chunk_by(|a, b| serves_at(set, *a) == serves_at(set, *b))
            .map(|endpoints| serves_at(set, endpoints[0]))
    }

    fn serving(
        &self,
        order: impl Fn(&Serves) -> Ordering,
    ) -> impl ExactSizeIterator<Item = &Endpoint> {
        let set = self.set();
        let start = self.by_serves.partition_point(|i| order(serves_at(set, *i)).is_lt());
        let end = self.by_serves.partition_point(|i| order(serves_at(set, *i)).is_le());
        self.by_serves[start..end].iter().map(|i| &set.endpoints[*i as usize])
    }
}

impl fmt::Debug for RecordIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RecordIndex").field("version", &self.version).finish_non_exhaustive()
    }
}

fn digest_at(set: &RecordSet, at: KeyPosition) -> &KeyDigest {
    &set.workspaces[at.workspace as usize].key_digests[at.key as usize]
}

fn serves_at(set: &RecordSet, endpoint: u32) -> &Serves {
    &set.endpoints[endpoint as usize].serves
}
