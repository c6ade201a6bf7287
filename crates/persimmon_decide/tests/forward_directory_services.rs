//! Tests of an `EndpointDirectory` with records of services that the routes in force don't name.

use std::collections::HashSet;
use std::sync::Arc;

use persimmon_decide::forward::{Endpoint, EndpointDirectory};
use rstest::rstest;

const SERVICE: &str = "desk";
const UNKNOWN: &str = "nowhere";

fn endpoint(id: &str, started_unix_ms: u64, service: &str) -> Endpoint {
    Endpoint::new(id, Some(started_unix_ms), service.into(), "10.0.0.1:80".parse().unwrap())
}

fn services(names: &[&str]) -> HashSet<Arc<str>> {
    names.iter().map(|it| Arc::from(*it)).collect()
}

fn is_ready(directory: &EndpointDirectory) -> bool {
    directory.ready(SERVICE).any(|it| *it.id == *"one")
}

/// Of two endpoints at one address, the later one succeeds the other only if its service is known.
#[rstest]
fn later_endpoint_succeeds_only_in_a_known_service(
    #[values(false, true)] is_known: bool,
    #[values(0, 1, 2)] set_after: usize,
) {
    let names: &[&str] = if is_known { &[SERVICE, UNKNOWN] } else { &[SERVICE] };
    let mut directory = EndpointDirectory::new();
    for (at, it) in
        [endpoint("one", 1, SERVICE), endpoint("odd", 2, UNKNOWN)].into_iter().enumerate()
    {
        if at == set_after {
            directory.set_services(services(names));
        }
        directory.insert(it);
    }
    if set_after == 2 {
        directory.set_services(services(names));
    }
    assert_eq!(is_ready(&directory), !is_known);
    // A later version of the routes may name the service, or no longer do so.
    directory.set_services(services(&[SERVICE, UNKNOWN]));
    assert!(!is_ready(&directory));
    directory.set_services(services(&[SERVICE]));
    assert!(is_ready(&directory));
}
