//! `drain`: previews the capacity that remains when an endpoint drains.

use std::collections::BTreeMap;

use persimmon_records::{
    Endpoint, EndpointName, RecordIndex, Serves, UnixMs, Workspace, WorkspaceName, ZoneName,
};

use crate::args::Args;
use crate::check::{NOW, read_now};
use crate::command::{Command, CommandError};
use crate::records_file::RecordsFile;
use crate::report::Report;
use crate::table::Table;

/// The `drain` command.
pub(crate) const COMMAND: Command = Command {
    name: "drain",
    operands: &["FILE", "ENDPOINT"],
    summary: "previews a drain: slots left per zone, and workspaces that lose their last endpoint",
    flags: &[NOW],
    run,
};

/// The slots in one zone before and after the drain.
#[derive(Debug, Default)]
struct Slots {
    before: u64,
    after: u64,
}

fn run(mut args: Args) -> Result<Report, CommandError> {
    let operands = args.operand("FILE").zip(args.operand("ENDPOINT"));
    let now = read_now(&mut args);
    let (file, name) = args.finish(operands)?;
    let index = RecordIndex::new(RecordsFile::read(&file)?.set);
    let name = EndpointName::from(name.as_str());
    let Some(drained) = index.endpoint(&name) else {
        let message = format!("the records hold no endpoint {name}; give a name from {file}");
        return Err(CommandError::Mismatch(message));
    };
    let peers: Vec<_> = match &drained.serves {
        Serves::Model(model) => index.endpoints_of_model(model).collect(),
        Serves::Service(service) => index.endpoints_of_service(service).collect(),
    };
    let serving: Vec<_> = peers.into_iter().filter(|peer| accepts_new_work(peer, now)).collect();
    let lost = workspaces_losing_last(&index, drained, &serving);
    let mut text = describe(drained, &serving);
    if !serving.iter().any(|endpoint| endpoint.name == drained.name) {
        text.push_str("the endpoint already accepts no new work\n");
    }
    for workspace in &lost {
        text.push_str(&format!("workspace {workspace} loses its last endpoint for it\n"));
    }
    if lost.is_empty() {
        text.push_str("no workspace loses its last endpoint\n");
    }
    Ok(Report::with_findings(text, !lost.is_empty()))
}

/// Reports whether the endpoint accepts new work at `now`: it isn't draining and its loan hasn't
/// ended.
pub(crate) fn accepts_new_work(endpoint: &Endpoint, now: UnixMs) -> bool {
    !endpoint.draining && endpoint.loan_ends_at.is_none_or(|ends| now < ends)
}

/// Returns a table of the slots per zone before and after the drain.
fn describe(drained: &Endpoint, serving: &[&Endpoint]) -> String {
    let mut zones = BTreeMap::<&ZoneName, Slots>::new();
    for endpoint in serving {
        let slots = zones.entry(&endpoint.zone).or_default();
        slots.before += u64::from(endpoint.slots);
        if endpoint.name != drained.name {
            slots.after += u64::from(endpoint.slots);
        }
    }
    let target = match &drained.serves {
        Serves::Model(model) => format!("model {model}"),
        Serves::Service(service) => format!("service {service}"),
    };
    let mut table = Table::new(&["ZONE", "SLOTS", "AFTER"]);
    let (mut before, mut after) = (0, 0);
    for (zone, slots) in zones {
        before += slots.before;
        after += slots.after;
        table.push(vec![zone.to_string(), slots.before.to_string(), slots.after.to_string()]);
    }
    table.push(vec!["all".into(), before.to_string(), after.to_string()]);
    format!("{target} without {}:\n{}", drained.name, table.to_text())
}

/// Returns the workspaces for which `drained` is the last usable endpoint of its model or service.
fn workspaces_losing_last(
    index: &RecordIndex,
    drained: &Endpoint,
    serving: &[&Endpoint],
) -> Vec<WorkspaceName> {
    let may_use = |workspace: &Workspace, endpoint: &Endpoint| {
        let allowed = &workspace.endpoints;
        allowed.is_empty() || allowed.contains(&endpoint.name)
    };
    let loses_last = |workspace: &&Workspace| {
        let wants = match &drained.serves {
            Serves::Model(model) => workspace.models.contains(model),
            Serves::Service(service) => workspace.services.contains(service),
        };
        let mut usable = serving.iter().filter(|endpoint| may_use(workspace, endpoint));
        wants
            && usable.clone().any(|endpoint| endpoint.name == drained.name)
            && usable.all(|endpoint| endpoint.name == drained.name)
    };
    index
        .set()
        .workspaces
        .iter()
        .filter(loses_last)
        .map(|workspace| workspace.name.clone())
        .collect()
}
