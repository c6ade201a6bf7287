//! Interface to the platform on which the gateway runs. An adapter outside this crate implements it
//! with the platform's names and formats.

use std::sync::Arc;

use hyper::header::{HeaderMap, HeaderName};
use persimmon_decide::forward::{Endpoint, RouteTable, StoreRecord};
use thiserror::Error;

/// Names of the headers used between callers, gateways and endpoints.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of one attempt of a caller.
    pub request_id: HeaderName,
    /// Time for which the sender waits for the answer, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Id of the endpoint that should run the request; any other endpoint refuses it.
    pub expected_endpoint: HeaderName,
    /// Workspace of the caller, set by the gateway for the endpoint.
    pub workspace: HeaderName,
    /// Number of prompt tokens and maximum number of output tokens, separated by a comma.
    pub token_usage: HeaderName,
    /// Parts of the prompt.
    pub prompt_parts: HeaderName,
    /// Number of the last event of a stream that the caller has received.
    pub last_event: HeaderName,
    /// Id of the attempt that brought the first event of a stream that the caller takes up again.
    pub first_request_id: HeaderName,
    /// Address of the endpoint from which to copy the cached prefix of the prompt.
    pub fetch_cache_from: HeaderName,
    /// Urgency of the request for an engine, from 0 (first).
    pub urgency: HeaderName,
    /// Signature of the answer by the endpoint.
    pub signature: HeaderName,
    /// Mark of an answer to a request that the endpoint didn't run.
    pub not_run: HeaderName,
    /// Mark with the value 1 of an answer of an endpoint that leaves.
    pub leaving: HeaderName,
    /// Requests per second that an endpoint takes from all gateways together, a decimal number.
    pub rate_limit: HeaderName,
    /// Requests that run and wait at an endpoint, its slots, and the current duration of work there in
    /// percent of the usual one; integers separated by commas.
    pub stated_load: HeaderName,
    /// Headers that only the gateway may set; those of callers are removed.
    pub reserved: Vec<HeaderName>,
}

/// One page of the platform's records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordPage {
    /// The records. One whose value can't be read has an empty value.
    pub records: Vec<StoreRecord>,
    /// Revisions at which records among them were created, in the order of the records.
    pub created: Vec<u64>,
    /// Faults of items that can't be read, wholly or in their value.
    pub unreadable: Vec<DecodeError>,
    /// Number of items, including those that can't be read.
    pub items: usize,
    /// Whether another page follows.
    pub has_more: bool,
    /// Revision of the store when it created the page.
    pub as_of: u64,
}

/// The content of a record.
#[derive(Debug, Clone, PartialEq)]
pub enum DecodedRecord {
    /// An endpoint.
    Endpoint(Endpoint),
    /// The routes in force.
    Routes(RouteTable),
    /// An availability zone that is evacuated as long as the record exists.
    EvacuatedZone(Arc<str>),
    /// A record that gateways don't use.
    Other,
}

/// The subject of a record, as determined by its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordSubject {
    /// The endpoint with this id.
    Endpoint(Arc<str>),
    /// The routes.
    Routes,
    /// The evacuation of this availability zone.
    EvacuatedZone(Arc<str>),
    /// A subject that gateways don't use.
    Other,
}

/// Error for a body or record that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{what} can't be read: {why}")]
pub struct DecodeError {
    /// Kind of the data.
    pub what: &'static str,
    /// Fault in the data.
    pub why: String,
}

/// The platform's names, paths and formats, without any decisions.
pub trait Platform: 'static {
    /// Returns the names of the headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns the number of times that the store has come back from an older copy, as its answer says;
    /// none if it doesn't say.
    ///
    /// # Errors
    ///
    /// The number can't be read.
    fn store_era(&self, headers: &HeaderMap) -> Result<Option<u64>, DecodeError>;

    /// Returns the path for reading the page of records after the key `after`, or the first page.
    fn list_path(&self, after: Option<&str>) -> String;

    /// Returns the path for waiting up to `wait_ms` for changes after `revision`.
    fn watch_path(&self, revision: u64, wait_ms: u64) -> String;

    /// Decodes a page of records.
    ///
    /// # Errors
    ///
    /// The body isn't a valid page.
    fn read_page(&self, body: &[u8]) -> Result<RecordPage, DecodeError>;

    /// Decodes the changes that a watch returned.
    ///
    /// # Errors
    ///
    /// The body isn't a valid list of changes.
    fn read_changes(&self, body: &[u8]) -> Result<RecordPage, DecodeError>;

    /// Returns the subject of the record with this key.
    fn subject(&self, key: &str) -> RecordSubject;

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// The value isn't valid for the kind of record that the key names.
    fn decode(&self, key: &str, value: &[u8]) -> Result<DecodedRecord, DecodeError>;
}
