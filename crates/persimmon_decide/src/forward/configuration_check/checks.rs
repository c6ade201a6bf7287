//! Checks of a configuration by itself.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::{Configuration, Entry, Fault, Finding, Limit};
use crate::forward::Route;

/// Returns the faults of a configuration, whose bodies may take `max_body_bytes`.
pub(super) fn findings(configuration: &Configuration, max_body_bytes: u64) -> Vec<Finding> {
    let mut found = Vec::new();
    check_limits(configuration, max_body_bytes, &mut found);
    check_names(configuration, &mut found);
    check_matches(&configuration.routes, &mut found);
    check_services(configuration, &mut found);
    configuration.routes.iter().for_each(|route| check_times(route, &mut found));
    check_keys(configuration, &mut found);
    found
}

fn check_limits(configuration: &Configuration, max_body_bytes: u64, found: &mut Vec<Finding>) {
    let limits = &configuration.limits;
    let mut add = |fault| found.push(Finding { entry: Entry::Limits, fault });
    let positive = [
        (Limit::Head, limits.max_head_bytes as u64),
        (Limit::HeadTimeout, limits.head_timeout_ms),
        (Limit::IdleTimeout, limits.idle_timeout_ms),
    ];
    for (limit, value) in positive {
        if value == 0 {
            add(Fault::Zero(limit));
        }
    }
    let bytes = limits.max_body_bytes as u64;
    if bytes > max_body_bytes {
        add(Fault::BodyTooLarge { bytes, max: max_body_bytes });
    }
}

/// A table keeps one service of a name, and logs and metrics name routes and workspaces.
fn check_names(configuration: &Configuration, found: &mut Vec<Finding>) {
    let holders = configuration.holders.iter().flatten();
    let routes = configuration.routes.iter().map(|it| it.name.clone());
    let services = configuration.services.iter().map(|it| it.name.clone());
    let workspaces = holders.map(|it| it.workspace.name.clone());
    find_duplicates(routes, Entry::Route, found);
    find_duplicates(services, Entry::Service, found);
    find_duplicates(workspaces, Entry::Workspace, found);
}

fn find_duplicates(
    names: impl Iterator<Item = Arc<str>>,
    entry: fn(Arc<str>) -> Entry,
    found: &mut Vec<Finding>,
) {
    let mut seen = HashSet::new();
    for name in names {
        if !seen.insert(name.clone()) {
            found.push(Finding { entry: entry(name), fault: Fault::DuplicateName });
        }
    }
}

/// Among routes with one host and prefix, a gateway takes the first. It looks hosts up without their port, as
/// they are and in lower case.
fn check_matches(routes: &[Arc<Route>], found: &mut Vec<Finding>) {
    let mut first: HashMap<(&str, &str), &Arc<str>> = HashMap::new();
    for route in routes {
        let mut add =
            |fault| found.push(Finding { entry: Entry::Route(route.name.clone()), fault });
        match first.get(&(&*route.host, &*route.prefix)) {
            Some(by) => add(Fault::Shadowed { by: (*by).clone() }),
            None => {
                first.insert((&route.host, &route.prefix), &route.name);
            }
        }
        if route.host.is_empty() || route.host.contains(':') {
            add(Fault::UnmatchedHost);
        }
        if route.host.bytes().any(|it| it.is_ascii_uppercase()) {
            add(Fault::UppercaseHost);
        }
        // An empty prefix matches every path.
        if !route.prefix.is_empty() && !route.prefix.starts_with('/') {
            add(Fault::NoLeadingSlash);
        }
        if !route.prefix.is_empty() && !route.prefix.ends_with('/') {
            add(Fault::NoTrailingSlash);
        }
    }
}

fn check_services(configuration: &Configuration, found: &mut Vec<Finding>) {
    let listed: HashSet<_> = configuration.services.iter().map(|it| &it.name).collect();
    let mut used = HashSet::new();
    for route in &configuration.routes {
        let mut add =
            |fault| found.push(Finding { entry: Entry::Route(route.name.clone()), fault });
        if route.services.is_empty() {
            add(Fault::NoService);
        }
        for share in &route.services {
            used.insert(&share.service);
            if !listed.contains(&share.service) {
                add(Fault::UnknownService(share.service.clone()));
            }
            if share.weight == 0 {
                add(Fault::ZeroWeight(share.service.clone()));
            }
        }
    }
    for service in &configuration.services {
        if !used.contains(&service.name) {
            let entry = Entry::Service(service.name.clone());
            found.push(Finding { entry, fault: Fault::UnusedService });
        }
    }
}

fn check_times(route: &Route, found: &mut Vec<Finding>) {
    let mut add = |fault| found.push(Finding { entry: Entry::Route(route.name.clone()), fault });
    let (target_ms, timeout_ms) = (route.target_ms, route.timeout_ms);
    if route.max_attempts == 0 {
        add(Fault::Zero(Limit::Attempts));
    }
    if timeout_ms == 0 {
        // Any target is above it.
        return add(Fault::Zero(Limit::Timeout));
    }
    if target_ms > timeout_ms {
        add(Fault::TargetAboveTimeout { target_ms, timeout_ms });
    }
    if let Some(pause_ms) = route.pause_ms.filter(|ms| *ms > timeout_ms) {
        add(Fault::PauseAboveTimeout { pause_ms, timeout_ms });
    }
}

/// The last holder of a key gets the callers of the others.
fn check_keys(configuration: &Configuration, found: &mut Vec<Finding>) {
    let mut held: HashMap<&str, &Arc<str>> = HashMap::new();
    for holder in configuration.holders.iter().flatten() {
        let name = &holder.workspace.name;
        for key in &holder.keys {
            if let Some(by) = held.insert(key, name) {
                let entry = Entry::Workspace(name.clone());
                let fault = match by == name {
                    true => Fault::KeyRepeated,
                    false => Fault::KeyHeldTwice { by: by.clone() },
                };
                found.push(Finding { entry, fault });
            }
        }
    }
}
