//! What a configuration changes of the one in force.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::sync::Arc;

use super::{Configuration, Entry, Fault, Finding, KeyHolder};
use crate::forward::{CallerLimits, Route, ServiceSpec};

/// A part of an entry, as text.
type Part = (&'static str, String);

/// Returns what the configuration `new` changes.
pub(super) fn findings(new: &Configuration, in_force: &Configuration) -> Vec<Finding> {
    let mut found = Vec::new();
    let (version, before) = (new.version, in_force.version);
    if version <= before {
        let fault = Fault::VersionNotHigher { version, in_force: before };
        found.push(Finding { entry: Entry::Configuration, fault });
    }
    compare_parts(&Entry::Limits, &limits(&in_force.limits), &limits(&new.limits), &mut found);
    let routes = |it: &Configuration| -> BTreeMap<_, _> {
        it.routes.iter().map(|it| (it.name.clone(), route(it))).collect()
    };
    compare(&routes(in_force), &routes(new), Entry::Route, &mut found);
    let services = |it: &Configuration| -> BTreeMap<_, _> {
        it.services.iter().map(|it| (it.name.clone(), service(it))).collect()
    };
    compare(&services(in_force), &services(new), Entry::Service, &mut found);
    let workspaces = |it: &Configuration| -> BTreeMap<_, _> {
        let holders = it.holders.iter().flatten();
        holders.map(|it| (it.workspace.name.clone(), workspace(it))).collect()
    };
    compare(&workspaces(in_force), &workspaces(new), Entry::Workspace, &mut found);
    compare_keys(new, in_force, &mut found);
    found
}

fn text(value: impl Debug) -> String {
    format!("{value:?}")
}

fn limits(limits: &CallerLimits) -> Vec<Part> {
    vec![
        ("limit on the size of a request head", text(limits.max_head_bytes)),
        ("limit on the size of a body", text(limits.max_body_bytes)),
        ("time-out of a request head", text(limits.head_timeout_ms)),
        ("idle time-out of a connection", text(limits.idle_timeout_ms)),
    ]
}

fn route(route: &Route) -> Vec<Part> {
    let services: Vec<_> =
        route.services.iter().map(|it| format!("{} {}", it.service, it.weight)).collect();
    vec![
        ("host", text(&route.host)),
        ("prefix", text(&route.prefix)),
        ("streams", text(route.is_stream)),
        ("repeatable", text(route.repeatable)),
        ("time-out", text(route.timeout_ms)),
        ("target", text(route.target_ms)),
        ("target for pauses", text(route.pause_ms)),
        ("priority", text(route.priority)),
        ("attempts", text(route.max_attempts)),
        ("public", text(route.is_public)),
        ("prompts", text(route.has_prompt)),
        ("services", services.join(", ")),
    ]
}

fn service(service: &ServiceSpec) -> Vec<Part> {
    vec![
        ("connections", text(service.max_connections)),
        ("engine", text(&service.engine)),
        ("cold terms", text(service.cold)),
    ]
}

fn workspace(holder: &KeyHolder) -> Vec<Part> {
    vec![("priority", text(holder.workspace.priority))]
}

fn compare(
    in_force: &BTreeMap<Arc<str>, Vec<Part>>,
    new: &BTreeMap<Arc<str>, Vec<Part>>,
    entry: fn(Arc<str>) -> Entry,
    found: &mut Vec<Finding>,
) {
    for name in in_force.keys().chain(new.keys()).collect::<BTreeSet<_>>() {
        let entry = entry(name.clone());
        match (in_force.get(name), new.get(name)) {
            (Some(from), Some(to)) => compare_parts(&entry, from, to, found),
            (None, _) => found.push(Finding { entry, fault: Fault::Added }),
            (_, None) => found.push(Finding { entry, fault: Fault::Removed }),
        }
    }
}

fn compare_parts(entry: &Entry, in_force: &[Part], new: &[Part], found: &mut Vec<Finding>) {
    for ((what, from), (_, to)) in in_force.iter().zip(new) {
        if from != to {
            let fault = Fault::Changed { what, from: from.clone(), to: to.clone() };
            found.push(Finding { entry: entry.clone(), fault });
        }
    }
}

fn compare_keys(new: &Configuration, in_force: &Configuration, found: &mut Vec<Finding>) {
    if in_force.holders.is_some() && new.holders.is_none() {
        found.push(Finding { entry: Entry::Configuration, fault: Fault::KeysDropped });
    }
    let keys = |it: &Configuration| -> BTreeMap<Arc<str>, BTreeSet<Arc<str>>> {
        let mut keys: BTreeMap<Arc<str>, BTreeSet<Arc<str>>> = BTreeMap::new();
        for holder in it.holders.iter().flatten() {
            let of = keys.entry(holder.workspace.name.clone()).or_default();
            of.extend(holder.keys.iter().cloned());
        }
        keys
    };
    let (before, now, none) = (keys(in_force), keys(new), BTreeSet::new());
    for name in before.keys().chain(now.keys()).collect::<BTreeSet<_>>() {
        let (old, new) = (before.get(name).unwrap_or(&none), now.get(name).unwrap_or(&none));
        let (added, removed) = (new.difference(old).count(), old.difference(new).count());
        if added + removed > 0 {
            let entry = Entry::Workspace(name.clone());
            found.push(Finding { entry, fault: Fault::KeysChanged { added, removed } });
        }
    }
}
