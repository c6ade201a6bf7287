//! `diff`: lists the differences between two record sets.

use persimmon_records::{Edit, RecordSet};
use serde::Serialize;
use serde_json::Value;

use crate::args::Args;
use crate::command::{Command, CommandError};
use crate::records_file::RecordsFile;
use crate::report::Report;

/// The `diff` command.
pub(crate) const COMMAND: Command = Command {
    name: "diff",
    operands: &["OLD", "NEW"],
    summary: "lists added (+), removed (-) and changed (~) records of two files; exits 1 if any",
    flags: &[],
    run,
};

fn run(args: Args) -> Result<Report, CommandError> {
    let files = args.operand("OLD").zip(args.operand("NEW"));
    let (old, new) = args.finish(files)?;
    let (old, new) = (RecordsFile::read(&old)?.set, RecordsFile::read(&new)?.set);
    let edits = old.edits_to(&new);
    let mut text = format!("generation {} -> {}\n", old.generation, new.generation);
    for edit in &edits {
        text.push_str(&describe(edit, &old));
    }
    if !edits.is_empty() && new.generation <= old.generation {
        text.push_str("warning: the new generation isn't higher, so no process will adopt it\n");
    }
    if edits.is_empty() {
        text.push_str("no differences\n");
    }
    Ok(Report::with_findings(text, !edits.is_empty()))
}

/// Returns the output lines for one edit of `old`.
fn describe(edit: &Edit, old: &RecordSet) -> String {
    match edit {
        Edit::SetPolicy(policy) => changes("policy", &old.policy, policy),
        Edit::RemoveWorkspace(name) => format!("- workspaces ({name})\n"),
        Edit::RemoveEndpoint(name) => format!("- endpoints ({name})\n"),
        Edit::UpsertWorkspace(new) => {
            let place = format!("workspaces ({})", new.name);
            match old.workspaces.iter().find(|old| old.name == new.name) {
                Some(old) => changes(&place, old, new),
                None => format!("+ {place}\n"),
            }
        }
        Edit::UpsertEndpoint(new) => {
            let place = format!("endpoints ({})", new.name);
            match old.endpoint(&new.name) {
                Some(old) => changes(&place, old, new),
                None => format!("+ {place}\n"),
            }
        }
    }
}

/// Returns one line for each field that differs.
fn changes<T: Serialize>(place: &str, old: &T, new: &T) -> String {
    let json = |record: &T| serde_json::to_value(record).unwrap_or_default();
    let mut lines = String::new();
    compare(place, "", &json(old), &json(new), &mut lines);
    lines
}

fn compare(place: &str, field: &str, old: &Value, new: &Value, lines: &mut String) {
    let (Value::Object(old_fields), Value::Object(new_fields)) = (old, new) else {
        if old != new {
            lines.push_str(&format!("~ {place}, {field}: {old} -> {new}\n"));
        }
        return;
    };
    let absent = Value::Null;
    let removed = old_fields.keys().filter(|name| !new_fields.contains_key(*name));
    for name in new_fields.keys().chain(removed) {
        let inner = if field.is_empty() { name.clone() } else { format!("{field}.{name}") };
        let old = old_fields.get(name).unwrap_or(&absent);
        let new = new_fields.get(name).unwrap_or(&absent);
        compare(place, &inner, old, new, lines);
    }
}
