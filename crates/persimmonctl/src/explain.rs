//! `explain`: shows the endpoints that a router would try for a chat, in order, and the reasons.

use persimmon_decide::MonoMs;
use persimmon_decide::load::{
    ChatKey, Directory, EndpointHash, Placement, PlacementRequest, rendezvous_score,
};
use persimmon_records::{
    Endpoint, ModelName, RecordIndex, Serves, UnixMs, Workspace, WorkspaceName,
};

use crate::args::{Args, Flag};
use crate::check::{NOW, read_now};
use crate::command::{Command, CommandError};
use crate::drain::accepts_new_work;
use crate::records_file::RecordsFile;
use crate::report::Report;
use crate::table::Table;

/// The `explain` command.
pub(crate) const COMMAND: Command = Command {
    name: "explain",
    operands: &[],
    summary: "shows which endpoints would be tried for a chat, in which order and why",
    flags: &[
        Flag::value("records", "FILE", "the records file").with_variable("PERSIMMON_RECORDS"),
        Flag::value("workspace", "NAME", "the workspace that calls"),
        Flag::value("model", "NAME", "the model that is asked for"),
        Flag::value("system", "TEXT", "the chat's system message, if it has one"),
        Flag::value("chat", "TEXT", "the first message of the chat's user"),
        NOW,
    ],
    run,
};

/// The chat request to explain.
#[derive(Debug)]
struct Call {
    records: String,
    workspace: WorkspaceName,
    model: ModelName,
    opening: Vec<String>,
}

fn run(mut args: Args) -> Result<Report, CommandError> {
    let records = args.required("records");
    let workspace: Option<String> = args.required("workspace");
    let model: Option<String> = args.required("model");
    let system: Option<String> = args.optional("system");
    let chat: Option<String> = args.required("chat");
    let now = read_now(&mut args);
    let call = (|| {
        Some(Call {
            records: records?,
            workspace: workspace?.as_str().into(),
            model: model?.as_str().into(),
            opening: system.into_iter().chain([chat?]).collect(),
        })
    })();
    let call = args.finish(call)?;
    let index = RecordIndex::new(RecordsFile::read(&call.records)?.set);
    let Some(workspace) = index.workspace(&call.workspace) else {
        let message = format!("the records hold no workspace {}", call.workspace);
        return Err(CommandError::Mismatch(format!("{message}; give a name from the file")));
    };
    if let Some(reason) = refusal(workspace, &call.model, now) {
        return Ok(Report::with_findings(format!("refused before placement: {reason}\n"), true));
    }
    explain(&index, workspace, &call, now)
}

/// Returns the reason why a router refuses the call before placing it, if it does.
fn refusal(workspace: &Workspace, model: &ModelName, now: UnixMs) -> Option<String> {
    let name = &workspace.name;
    if workspace.expires_at.is_some_and(|at| now >= at) {
        return Some(format!("the record of workspace {name} has expired; extend expires_at"));
    }
    let permitted = workspace.models.contains(model);
    (!permitted).then(|| format!("workspace {name} may not use model {model}; add it to models"))
}

fn explain(
    index: &RecordIndex,
    workspace: &Workspace,
    call: &Call,
    now: UnixMs,
) -> Result<Report, CommandError> {
    let opening: Vec<_> = call.opening.iter().map(String::as_str).collect();
    let chat = ChatKey::of(&workspace.name, &call.model, &opening);
    let tried = place(index, workspace, call, chat, now)?;
    let mut table = Table::new(&["ORDER", "ENDPOINT", "ZONE", "SLOTS", "SCORE", "WHY"]);
    for (i, endpoint) in tried.iter().enumerate() {
        let reason = if i == 0 { "first in rank" } else { "next if the previous ones refuse" };
        table.push(row((i + 1).to_string(), endpoint, chat, reason));
    }
    let is_tried = |endpoint: &&Endpoint| tried.iter().any(|tried| tried.name == endpoint.name);
    let mut others: Vec<_> =
        index.endpoints_of_model(&call.model).filter(|endpoint| !is_tried(endpoint)).collect();
    others.sort_by(|a, b| score(a, chat).total_cmp(&score(b, chat)));
    for endpoint in others {
        let reason = skip_reason(workspace, endpoint, now);
        table.push(row("-".into(), endpoint, chat, reason));
    }
    let mut text = format!("chat {chat}, model {}, workspace {}\n", call.model, workspace.name);
    text.push_str(&table.to_text());
    text.push_str(
        "This order is based on the records alone. A router moves holders of the chat's cache to \
         the front,\norders the endpoints after the first by expected cost, and puts overloaded \
         and suspect ones last.\n",
    );
    Ok(Report::with_findings(text, tried.is_empty()))
}

/// Returns the endpoints that a router without load reports would try, in order.
fn place<'a>(
    index: &'a RecordIndex,
    workspace: &Workspace,
    call: &Call,
    chat: ChatKey,
    now: UnixMs,
) -> Result<Vec<&'a Endpoint>, CommandError> {
    let mut directory = Directory::default();
    let applied = directory.apply_records(index.set());
    applied.map_err(|err| CommandError::Mismatch(err.to_string()))?;
    for endpoint in index.endpoints_of_model(&call.model) {
        directory.set_leaving(EndpointHash::of(&endpoint.name), !accepts_new_work(endpoint, now));
    }
    let allowed: Vec<_> = workspace.endpoints.iter().map(EndpointHash::of).collect();
    let req = PlacementRequest {
        chat,
        target: &Serves::Model(call.model.clone()),
        holders: &[],
        allowed: &allowed,
        prompt_tokens: 0,
        tokens_to_generate: 0,
    };
    let candidates = Placement::default().place(&req, &directory, MonoMs(0));
    let found = candidates.iter().filter_map(|candidate| directory.view(candidate.endpoint));
    Ok(found.filter_map(|view| index.endpoint(&view.name)).collect())
}

/// Returns the reason why an endpoint that serves the model wouldn't be tried.
fn skip_reason(workspace: &Workspace, endpoint: &Endpoint, now: UnixMs) -> &'static str {
    let allowed = &workspace.endpoints;
    if !allowed.is_empty() && !allowed.contains(&endpoint.name) {
        "not in the workspace's endpoints"
    } else if endpoint.draining {
        "draining"
    } else if !accepts_new_work(endpoint, now) {
        "its loan has ended"
    } else {
        "ranked after the last candidate"
    }
}

fn row(order: String, endpoint: &Endpoint, chat: ChatKey, reason: &str) -> Vec<String> {
    vec![
        order,
        endpoint.name.to_string(),
        endpoint.zone.to_string(),
        endpoint.slots.to_string(),
        format!("{:.4}", score(endpoint, chat)),
        reason.to_owned(),
    ]
}

/// Returns the endpoint's rendezvous score for the chat; the lowest score ranks first.
fn score(endpoint: &Endpoint, chat: ChatKey) -> f64 {
    rendezvous_score(chat, EndpointHash::of(&endpoint.name), endpoint.slots)
}
