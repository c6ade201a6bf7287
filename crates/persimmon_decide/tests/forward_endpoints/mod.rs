//! Published endpoints for the tests of forwarding.

use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_decide::forward::{Endpoint, EndpointDirectory};
use persimmon_decide::load::EndpointHash;

/// Returns the endpoints of a service, each with as many slots, and their hashes.
pub(crate) fn publish(
    service: &str,
    endpoints: u8,
    slots: u32,
) -> (EndpointDirectory, Vec<EndpointHash>) {
    let service: Arc<str> = service.into();
    let mut directory = EndpointDirectory::new();
    let mut hashes = Vec::new();
    for number in 0..endpoints {
        let address = SocketAddr::from(([10, 0, 0, number], 8_000));
        let id = format!("endpoint-{number}");
        let endpoint = Endpoint::new(&id, Some(1), service.clone(), address).with_slots(slots);
        hashes.push(endpoint.hash);
        directory.insert(endpoint);
    }
    (directory, hashes)
}
