//! Readers of heads and change sets.

use serde_json::value::RawValue;

use crate::fault::Faults;
use crate::read::endpoint::EndpointDraft;
use crate::read::fields::{Fields, record};
use crate::read::policy::read_policy;
use crate::read::set::read_version;
use crate::read::workspace::read_workspace;
use crate::{
    Change, ChangeSet, Digest, Edit, FaultKind, Generation, Head, MAX_CHANGES, MAX_PARTS, Place,
    RecordKind, SchemaVersion, SetVersion,
};

/// Reads a head, reporting every fault.
pub(crate) fn read_head(text: &str, faults: &mut Faults) -> Option<Head> {
    let mut fields = Fields::read(text, Place::of(RecordKind::Head), faults)?;
    let base = read_base(&mut fields, faults);
    let parts = read_parts(&mut fields, faults);
    let change_set = read_changes(&mut fields, faults);
    let place = fields.place("base");
    fields.report_unknown(faults);
    let (base, change_set) = (base?, change_set?);
    let reachable = change_set.after <= base.generation && base <= change_set.version;
    if !reachable {
        faults.push(place, FaultKind::BaseOutsideChanges);
    }
    Some(Head { base, parts, change_set })
}

/// Reads a change set, reporting every fault.
pub(crate) fn read_change_set(text: &str, faults: &mut Faults) -> Option<ChangeSet> {
    let mut fields = Fields::read(text, Place::of(RecordKind::Head), faults)?;
    let change_set = read_changes(&mut fields, faults);
    fields.report_unknown(faults);
    change_set
}

fn read_base(fields: &mut Fields<'_>, faults: &mut Faults) -> Option<SetVersion> {
    if !fields.has("base") {
        faults.push(fields.place("base"), FaultKind::MissingField);
    }
    let mut base = fields.object("base", faults)?;
    let version = read_set_version(&mut base, faults);
    base.report_unknown(faults);
    version
}

fn read_parts(fields: &mut Fields<'_>, faults: &mut Faults) -> Vec<Digest> {
    let parts: Vec<Digest> = fields.values("parts", MAX_PARTS, "64 hexadecimal digits", faults);
    if parts.is_empty() {
        faults.push(fields.place("parts"), FaultKind::MissingField);
    }
    parts
}

fn read_set_version(fields: &mut Fields<'_>, faults: &mut Faults) -> Option<SetVersion> {
    let generation = fields.required("generation", "a whole number of at least 1", faults);
    let digest = fields.required("digest", "64 hexadecimal digits", faults);
    if generation == Some(Generation(0)) {
        faults.push(fields.place("generation"), FaultKind::ZeroGeneration);
    }
    Some(SetVersion { generation: generation?, digest: digest? })
}

fn read_changes(fields: &mut Fields<'_>, faults: &mut Faults) -> Option<ChangeSet> {
    let layout = read_version(fields, faults);
    if layout == Some(SchemaVersion::V1) {
        faults.push(fields.place("schema_version"), FaultKind::UnsupportedSchema);
    }
    let version = read_set_version(fields, faults);
    let after: Option<Generation> = fields.required("after", "a whole number", faults);
    let list = fields.list("changes", MAX_CHANGES, faults);
    let mut changes = Vec::with_capacity(list.len());
    for (i, raw) in list.into_iter().enumerate() {
        changes.extend(read_change(raw, i, faults));
    }
    let change_set = ChangeSet { version: version?, after: after?, changes };
    check_order(&change_set, faults);
    Some(change_set)
}

fn read_change(raw: &RawValue, index: usize, faults: &mut Faults) -> Option<Change> {
    let mut fields = record(raw, RecordKind::Change, index, faults)?;
    let generation = fields.required("generation", "a whole number", faults);
    let edit: Option<&RawValue> = fields.required("edit", "an object with one edit", faults);
    fields.report_unknown(faults);
    let edit = read_edit(edit?, index, faults);
    Some(Change { generation: generation?, edit: edit? })
}

fn read_edit(raw: &RawValue, index: usize, faults: &mut Faults) -> Option<Edit> {
    let mut fields = record(raw, RecordKind::Change, index, faults)?;
    let names = [
        "set_policy",
        "upsert_workspace",
        "remove_workspace",
        "upsert_endpoint",
        "remove_endpoint",
    ];
    let Some(name) = names.into_iter().find(|name| fields.has(name)) else {
        faults.push(fields.place("edit"), FaultKind::UnknownEdit);
        return None;
    };
    let edit = match name {
        "remove_workspace" => fields.required(name, "a name", faults).map(Edit::RemoveWorkspace),
        "remove_endpoint" => fields.required(name, "a name", faults).map(Edit::RemoveEndpoint),
        _ => {
            let raw = fields.take_raw(name, faults)?;
            record(raw, RecordKind::Change, index, faults)
                .and_then(|record| read_edited_record(name, record, faults))
        }
    };
    fields.report_unknown(faults);
    edit
}

fn read_edited_record(name: &str, record: Fields<'_>, faults: &mut Faults) -> Option<Edit> {
    match name {
        "set_policy" => Some(Edit::SetPolicy(read_policy(record, faults))),
        "upsert_workspace" => {
            read_workspace(record, SchemaVersion::V2, faults).map(Edit::UpsertWorkspace)
        }
        _ => EndpointDraft::read(record, faults).endpoint().map(Edit::UpsertEndpoint),
    }
}

/// Reports changes that aren't in ascending order of generation, and those that aren't after
/// `after` or are above the generation of the version.
fn check_order(change_set: &ChangeSet, faults: &mut Faults) {
    let mut lowest = Generation(change_set.after.0.saturating_add(1));
    for (i, change) in change_set.changes.iter().enumerate() {
        if change.generation < lowest || change.generation > change_set.version.generation {
            let place = Place::at(RecordKind::Change, i).with_field("generation");
            faults.push(place, FaultKind::ChangeOutOfOrder);
        }
        lowest = lowest.max(change.generation);
    }
}
