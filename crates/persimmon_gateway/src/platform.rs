//! What the gateway needs of the platform on which it runs. An adapter outside this crate knows the
//! platform's names and formats.

use std::sync::Arc;

use hyper::header::HeaderName;
use persimmon_decide::forward::{Endpoint, RouteTable, StoreRecord};
use thiserror::Error;

/// Names of the headers that callers, gateway and endpoints use.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The identity of one attempt of a caller.
    pub request_id: HeaderName,
    /// Milliseconds that the sender waits for the answer.
    pub deadline_ms: HeaderName,
    /// The endpoint that a request is meant for; any other refuses it.
    pub expected_endpoint: HeaderName,
    /// The caller's workspace, which the gateway tells the endpoint.
    pub workspace: HeaderName,
    /// Prompt tokens and the most output tokens, parted by a comma.
    pub token_usage: HeaderName,
    /// The parts of a prompt.
    pub prompt_parts: HeaderName,
    /// The last event that a caller has received of a stream.
    pub last_event: HeaderName,
    /// The endpoint from which a prompt's cached start is copied.
    pub fetch_cache_from: HeaderName,
    /// How urgent a request is for an engine; 0 is first.
    pub urgency: HeaderName,
    /// An endpoint's signature of its answer.
    pub signature: HeaderName,
    /// Present if the endpoint didn't run the request.
    pub not_run: HeaderName,
    /// Headers that only the gateway sets; a caller's are dropped.
    pub reserved: Vec<HeaderName>,
}

/// One page of the platform's records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordPage {
    /// The records.
    pub records: Vec<StoreRecord>,
    /// Whether another page follows.
    pub has_more: bool,
    /// The store's revision when the page was made.
    pub as_of: u64,
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodedRecord {
    /// An endpoint.
    Endpoint(Endpoint),
    /// The routes in force.
    Routes(RouteTable),
    /// Nothing that concerns a gateway.
    Other,
}

/// What a record's key says is described by it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordSubject {
    /// The endpoint with this identity.
    Endpoint(Arc<str>),
    /// The routes.
    Routes,
    /// Something else.
    Other,
}

/// A body or record that can't be read.
#[derive(Debug, Error)]
#[error("{what} can't be read: {why}")]
pub struct DecodeError {
    /// What was read.
    pub what: &'static str,
    /// What is wrong with it.
    pub why: String,
}

/// The platform's names, paths and formats. Nothing here decides.
pub trait Platform: 'static {
    /// The headers' names.
    fn headers(&self) -> &HeaderNames;

    /// The path that reads a page of the records, after the key `after` if there is one.
    fn list_path(&self, after: Option<&str>) -> String;

    /// The path that waits up to `wait_ms` for changes after `revision`.
    fn watch_path(&self, revision: u64, wait_ms: u64) -> String;

    /// Reads a page of records.
    ///
    /// # Errors
    ///
    /// The body isn't a page.
    fn read_page(&self, body: &[u8]) -> Result<RecordPage, DecodeError>;

    /// Reads the changes that a watch returned.
    ///
    /// # Errors
    ///
    /// The body isn't a list of changes.
    fn read_changes(&self, body: &[u8]) -> Result<RecordPage, DecodeError>;

    /// What a record with this key describes.
    fn subject(&self, key: &str) -> RecordSubject;

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// The record isn't one that this platform's parties write.
    fn decode(&self, key: &str, value: &[u8]) -> Result<DecodedRecord, DecodeError>;
}
