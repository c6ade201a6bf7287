//! Tests of published endpoints that aren't used: they have said that they leave, or were replaced.

use std::net::SocketAddr;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{Endpoint, EndpointDirectory};
use persimmon_decide::load::EndpointHash;

const SERVICE: &str = "chat";

fn endpoint(started_ms: u64) -> Endpoint {
    let address = SocketAddr::from(([10, 0, 0, 1], 8_000));
    Endpoint::new("endpoint-1", Some(started_ms), SERVICE.into(), address)
}

fn is_ready(directory: &EndpointDirectory) -> bool {
    directory.ready(SERVICE).next().is_some()
}

#[test]
fn leaving_endpoint_isnt_ready_whatever_its_record_says() {
    let mut directory = EndpointDirectory::new();
    directory.insert(endpoint(1));
    assert!(directory.mark_leaving(endpoint(1).hash, MonoMs(0)));
    assert!(!directory.mark_leaving(endpoint(1).hash, MonoMs(1)), "the mark isn't new");
    assert!(!is_ready(&directory));
    directory.insert(endpoint(1));
    assert!(!is_ready(&directory));
    directory.remove("endpoint-1");
    directory.insert(endpoint(1));
    assert!(!is_ready(&directory));
    assert_eq!(directory.leaving().collect::<Vec<_>>(), [endpoint(1).hash]);
}

#[test]
fn endpoint_that_started_again_is_ready() {
    let mut directory = EndpointDirectory::new();
    directory.insert(endpoint(1));
    directory.mark_leaving(endpoint(1).hash, MonoMs(0));
    directory.insert(endpoint(2));
    assert!(is_ready(&directory));
    assert_eq!(directory.leaving().count(), 0);
}

#[test]
fn mark_outlives_a_lapsed_record_but_not_the_endpoint() {
    let kept_ms = EndpointDirectory::LEAVING_KEPT_MS;
    let mut directory = EndpointDirectory::new();
    directory.insert(endpoint(1));
    directory.mark_leaving(endpoint(1).hash, MonoMs(0));
    directory.expire_marks(MonoMs(2 * kept_ms));
    assert!(directory.is_leaving(endpoint(1).hash), "the endpoint is still published");
    directory.remove("endpoint-1");
    directory.expire_marks(MonoMs(3 * kept_ms - 1));
    assert!(directory.is_leaving(endpoint(1).hash));
    directory.expire_marks(MonoMs(3 * kept_ms));
    assert!(!directory.is_leaving(endpoint(1).hash));
}

#[test]
fn marks_are_bounded() {
    let mut directory = EndpointDirectory::new();
    let most = EndpointDirectory::MAX_LEAVING as u64;
    assert!((0..most).all(|number| directory.mark_leaving(EndpointHash(number), MonoMs(0))));
    assert!(!directory.mark_leaving(EndpointHash(most), MonoMs(0)));
    assert!(!directory.is_leaving(EndpointHash(most)));
}

fn endpoint_at(id: &str, started_ms: Option<u64>, port: u16) -> Endpoint {
    let address = SocketAddr::from(([10, 0, 0, 1], port));
    Endpoint::new(id, started_ms, SERVICE.into(), address)
}

fn ready(directory: &EndpointDirectory) -> Vec<&str> {
    directory.ready(SERVICE).map(|it| &*it.id).collect()
}

#[test]
fn endpoint_isnt_ready_while_a_later_one_has_its_address() {
    let mut directory = EndpointDirectory::new();
    directory.insert(endpoint_at("old", Some(1), 1));
    directory.insert(endpoint_at("other", Some(1), 2));
    assert_eq!(ready(&directory), ["old", "other"]);
    directory.insert(endpoint_at("new", Some(2), 1));
    assert_eq!(ready(&directory), ["other", "new"]);
    // Its record is written again, for example by a delayed write.
    directory.insert(endpoint_at("old", Some(1), 1));
    assert_eq!(ready(&directory), ["other", "new"]);
    directory.remove("new");
    assert_eq!(ready(&directory), ["other", "old"]);
}

#[test]
fn endpoints_without_different_starts_dont_replace_each_other() {
    let mut directory = EndpointDirectory::new();
    directory.insert(endpoint_at("a", None, 1));
    directory.insert(endpoint_at("b", None, 1));
    directory.insert(endpoint_at("c", Some(5), 2));
    directory.insert(endpoint_at("d", Some(5), 2));
    assert_eq!(ready(&directory), ["a", "b", "c", "d"]);
}

#[test]
fn endpoint_isnt_ready_after_another_process_answered_at_its_address() {
    let mut directory = EndpointDirectory::new();
    directory.insert(endpoint(1));
    directory.mark_replaced(endpoint(1).hash, MonoMs(0));
    directory.insert(endpoint(1));
    assert!(!is_ready(&directory));
    assert_eq!(directory.replaced(SERVICE).count(), 1);
    directory.expire_marks(MonoMs(EndpointDirectory::REPLACED_KEPT_MS - 1));
    assert!(!is_ready(&directory));
    directory.expire_marks(MonoMs(EndpointDirectory::REPLACED_KEPT_MS));
    assert!(is_ready(&directory));
    // Another start of it isn't meant.
    directory.mark_replaced(endpoint(1).hash, MonoMs(6_000));
    directory.insert(endpoint(2));
    assert!(is_ready(&directory));
}
