//! Tests of zones that the operator evacuates and takes back.

use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{Endpoint, EndpointDirectory, EvacuatedZones};
use rstest::rstest;

const SERVICE: &str = "chat";

fn endpoint(id: &str, zone: &str) -> Endpoint {
    let address = SocketAddr::from(([10, 0, 0, id.as_bytes()[0]], 8_000));
    Endpoint::new(id, Some(1), SERVICE.into(), address).with_zone(zone)
}

fn ready(directory: &EndpointDirectory) -> Vec<&str> {
    directory.ready(SERVICE).map(|it| &*it.id).collect()
}

/// A gateway that starts may read the two records in either order.
#[rstest]
fn endpoints_in_an_evacuated_zone_arent_ready_until_it_is_taken_back(
    #[values(false, true)] is_evacuated_first: bool,
) {
    let zone: Arc<str> = "zone-a".into();
    let mut directory = EndpointDirectory::new();
    if is_evacuated_first {
        assert!(directory.evacuated_mut().insert(&zone, MonoMs(5)));
    }
    directory.insert(endpoint("a", "zone-a"));
    directory.insert(endpoint("b", "zone-b"));
    if !is_evacuated_first {
        assert_eq!(ready(&directory), ["a", "b"]);
        assert!(directory.evacuated_mut().insert(&zone, MonoMs(5)));
    }
    assert_eq!(ready(&directory), ["b"]);
    // It is still published: its requests in progress go on.
    assert_eq!(directory.of_service(SERVICE).len(), 2);
    assert!(directory.evacuated_mut().remove("zone-a"));
    assert_eq!(ready(&directory), ["a", "b"]);
}

#[test]
fn replaced_endpoint_in_an_evacuated_zone_isnt_tried_again() {
    let mut directory = EndpointDirectory::new();
    directory.insert(endpoint("a", "zone-a"));
    directory.mark_replaced(endpoint("a", "zone-a").hash, MonoMs(0));
    assert_eq!(directory.replaced(SERVICE).count(), 1);
    directory.evacuated_mut().insert(&"zone-a".into(), MonoMs(0));
    assert_eq!(directory.replaced(SERVICE).count(), 0);
}

/// The operator writes the record again after the store was restored from an older copy: the evacuation began
/// with the first one.
#[test]
fn evacuation_that_is_written_again_began_with_the_first_record() {
    let mut zones = EvacuatedZones::new();
    assert!(zones.insert(&"zone-a".into(), MonoMs(5)));
    assert!(!zones.insert(&"zone-a".into(), MonoMs(9)));
    let listed: Vec<_> = zones.iter().map(|(zone, since)| (&**zone, since)).collect();
    assert_eq!(listed, [("zone-a", MonoMs(5))]);
    assert!(!zones.remove("zone-b"));
    assert!(zones.remove("zone-a"));
    assert!(zones.is_empty());
}
