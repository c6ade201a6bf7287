//! Reader of whole sets and of parts.

use serde_json::value::RawValue;

use crate::check::{Positions, UnreadableEndpoints};
use crate::fault::Faults;
use crate::read::endpoint::EndpointDraft;
use crate::read::fields::{Fields, record};
use crate::read::policy::read_policy;
use crate::read::workspace::read_workspace;
use crate::{
    FaultKind, Generation, MAX_ENDPOINTS, MAX_WORKSPACES, Place, RecordKind, RecordSet,
    SchemaVersion,
};

/// The records of a set that could be read.
#[derive(Debug)]
pub(crate) struct SetDraft {
    /// The set of these records.
    pub(crate) set: RecordSet,
    /// Their positions in the lists of the text.
    pub(crate) positions: Positions,
    /// The known names and models or services of endpoints that couldn't be read.
    pub(crate) unreadable: UnreadableEndpoints,
}

/// Reads a set, reporting every fault of its fields. Returns `None` if the schema version is
/// unknown, since the records can't be validated then.
pub(crate) fn read_set(text: &str, faults: &mut Faults) -> Option<SetDraft> {
    let mut fields = Fields::read(text, Place::of(RecordKind::Set), faults)?;
    let version = read_version(&mut fields, faults);
    let generation: Option<Generation> =
        fields.required("generation", "a whole number above the last one", faults);
    let version = version?;

    let mut draft = SetDraft {
        set: RecordSet { generation: generation.unwrap_or(Generation(1)), ..RecordSet::empty() },
        positions: Positions::default(),
        unreadable: UnreadableEndpoints::default(),
    };
    draft.set.schema_version = version;
    if let Some(raw) = fields.take_raw("policy", faults)
        && let Some(policy) = Fields::read(raw.get(), Place::of(RecordKind::Policy), faults)
    {
        draft.set.policy = read_policy(policy, faults);
    }
    draft.read_endpoints(fields.list("endpoints", MAX_ENDPOINTS, faults), faults);
    draft.read_workspaces(fields.list("workspaces", MAX_WORKSPACES, faults), faults);
    fields.report_unknown(faults);
    Some(draft)
}

pub(super) fn read_version(fields: &mut Fields<'_>, faults: &mut Faults) -> Option<SchemaVersion> {
    let number: u32 = fields.required("schema_version", "1 or 2", faults)?;
    let version = SchemaVersion::try_from(number).ok();
    if version.is_none() {
        faults.push(fields.place("schema_version"), FaultKind::UnsupportedSchema);
    }
    version
}

impl SetDraft {
    fn read_endpoints(&mut self, list: Vec<&RawValue>, faults: &mut Faults) {
        for (i, raw) in list.into_iter().enumerate() {
            let draft = record(raw, RecordKind::Endpoint, i, faults)
                .map(|fields| EndpointDraft::read(fields, faults))
                .unwrap_or_default();
            match draft.endpoint() {
                Some(endpoint) => {
                    self.set.endpoints.push(endpoint);
                    self.positions.endpoints.push(i);
                }
                None => self.unreadable.add(draft.name, draft.serves),
            }
        }
    }

    fn read_workspaces(&mut self, list: Vec<&RawValue>, faults: &mut Faults) {
        let version = self.set.schema_version;
        for (i, raw) in list.into_iter().enumerate() {
            let workspace = record(raw, RecordKind::Workspace, i, faults)
                .and_then(|fields| read_workspace(fields, version, faults));
            if let Some(workspace) = workspace {
                self.set.workspaces.push(workspace);
                self.positions.workspaces.push(i);
            }
        }
    }
}
