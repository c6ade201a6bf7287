//! Reader of workspace records in each schema version.

use crate::fault::Faults;
use crate::read::fields::Fields;
use crate::{
    FaultKind, KeyDigest, Limits, MAX_WORKSPACE_KEYS, MAX_WORKSPACE_NAMES, PerClass, SchemaVersion,
    Workspace, WorkspaceName,
};

/// Limits of a workspace in the form of the newest schema version.
#[derive(Debug, Default)]
struct WorkspaceLimits {
    per_class: PerClass<Limits>,
    total: Option<Limits>,
}

/// Reads a workspace, reporting every fault of its fields. Returns `None` if its name can't be
/// read.
pub(crate) fn read_workspace(
    mut fields: Fields<'_>,
    version: SchemaVersion,
    faults: &mut Faults,
) -> Option<Workspace> {
    let name: Option<WorkspaceName> = fields.required("name", "a name", faults);
    if let Some(name) = &name {
        fields.set_name(name.as_str());
    }
    let key_digests = read_key_digests(&mut fields, faults);
    let models = fields.values("models", MAX_WORKSPACE_NAMES, "the name of a model", faults);
    let services = fields.values("services", MAX_WORKSPACE_NAMES, "the name of a service", faults);
    let endpoints =
        fields.values("endpoints", MAX_WORKSPACE_NAMES, "the name of an endpoint", faults);
    let limits = match version {
        SchemaVersion::V1 => read_limits_v1(&mut fields, faults),
        SchemaVersion::V2 => read_limits_v2(&mut fields, faults),
    };
    let default_class = fields.optional("default_class", "quick, conversation or drafting", faults);
    let expires_at = fields.optional("expires_at", "milliseconds since 1970", faults);
    fields.report_unknown(faults);
    Some(Workspace {
        name: name?,
        key_digests,
        models,
        services,
        endpoints,
        limits: limits.per_class,
        total_limits: limits.total,
        default_class: default_class.unwrap_or_default(),
        expires_at,
    })
}

/// Reads the key digests. The text of a malformed one isn't quoted in the fault, since it could be
/// a key.
fn read_key_digests(fields: &mut Fields<'_>, faults: &mut Faults) -> Vec<KeyDigest> {
    if !fields.has("key_digests") {
        faults.push(fields.place("key_digests"), FaultKind::MissingField);
    }
    let list = fields.list("key_digests", MAX_WORKSPACE_KEYS, faults);
    let mut digests = Vec::with_capacity(list.len());
    for (i, raw) in list.into_iter().enumerate() {
        match serde_json::from_str(raw.get()) {
            Ok(digest) => digests.push(digest),
            Err(_) => {
                faults.push(fields.place(&format!("key_digests[{i}]")), FaultKind::NotKeyDigest);
            }
        }
    }
    digests
}

/// Reads the limits of version 1, which has one limit for all classes together. It becomes the
/// limit on the total and on each class, so that one class may use all of it. Splitting it between
/// the classes would refuse requests that version 1 admitted; setting it per class without the
/// total would admit three times as many.
fn read_limits_v1(fields: &mut Fields<'_>, faults: &mut Faults) -> WorkspaceLimits {
    let one = read_limits(fields, "limits", faults).unwrap_or_default();
    WorkspaceLimits { per_class: PerClass::all(one), total: Some(one) }
}

/// Reads the limits of version 2: one for each class, and optionally one on the total.
fn read_limits_v2(fields: &mut Fields<'_>, faults: &mut Faults) -> WorkspaceLimits {
    let total = read_limits(fields, "total_limits", faults);
    let Some(mut classes) = fields.object("limits", faults) else {
        return WorkspaceLimits { total, ..Default::default() };
    };
    let per_class = PerClass {
        quick: read_class_limits(&mut classes, "quick", faults),
        conversation: read_class_limits(&mut classes, "conversation", faults),
        drafting: read_class_limits(&mut classes, "drafting", faults),
    };
    classes.report_unknown(faults);
    WorkspaceLimits { per_class, total }
}

fn read_class_limits(classes: &mut Fields<'_>, name: &str, faults: &mut Faults) -> Limits {
    if !classes.has(name) {
        faults.push(classes.place(name), FaultKind::MissingField);
    }
    read_limits(classes, name, faults).unwrap_or_default()
}

fn read_limits(fields: &mut Fields<'_>, name: &str, faults: &mut Faults) -> Option<Limits> {
    let mut limits = fields.object(name, faults)?;
    let expected = "a whole number";
    let requests_per_second = limits.required("requests_per_second", expected, faults);
    let in_progress = limits.required("in_progress", expected, faults);
    limits.report_unknown(faults);
    Some(Limits { requests_per_second: requests_per_second?, in_progress: in_progress? })
}
