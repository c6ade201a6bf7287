//! What a gateway tells the others, several times a second.

use std::net::IpAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{EndpointLoad, Outcomes};
use crate::load::EndpointHash;

/// An endpoint that has read a part of prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartHolder {
    /// The part.
    pub part: u64,
    /// The endpoint.
    pub endpoint: EndpointHash,
}

/// Another gateway, and when it was last heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Its address.
    pub ip: IpAddr,
    /// Milliseconds since it was heard of.
    pub age_ms: u32,
}

/// Requests for a service and repeated sends to it in one window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServiceRetries {
    /// Callers' requests.
    pub fresh: u32,
    /// Sends beyond the first of a request.
    pub repeated: u32,
}

/// One gateway's view, small enough for a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Random for each life of a gateway.
    pub incarnation: u64,
    /// Counts the digests of a life; an older one that arrives later is dropped.
    pub sequence: u64,
    /// The highest revision of any record that the gateway knows.
    pub revision: u64,
    /// Milliseconds since the store last answered the gateway; none if it doesn't watch the store.
    pub store_age_ms: Option<u32>,
    /// Whether the gateway is shutting down.
    pub is_leaving: bool,
    /// Requests in progress.
    pub loads: Vec<(EndpointHash, EndpointLoad)>,
    /// Endpoints that it leaves out, with the milliseconds left.
    pub ejections: Vec<(EndpointHash, u64)>,
    /// Outcomes at endpoints that failed somebody lately.
    pub outcomes: Vec<(EndpointHash, Outcomes)>,
    /// Counts for the retry bound, by service.
    pub retries: Vec<(Arc<str>, ServiceRetries)>,
    /// Contents that crashed endpoints.
    pub crashes: Vec<(u64, EndpointHash)>,
    /// Endpoints that have read parts of prompts.
    pub holders: Vec<PartHolder>,
    /// Other gateways.
    pub peers: Vec<PeerAddress>,
}
