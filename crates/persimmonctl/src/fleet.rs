//! Fetches the status of processes of the fleet.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum number of status pages that are fetched concurrently.
const MAX_CONCURRENT_FETCHES: NonZeroUsize = NonZeroUsize::new(16).unwrap();

/// Maximum size of a status page, in bytes.
const MAX_STATUS_BYTES: u64 = 262_144;

/// Maximum size of the HTTP head of a status page, in bytes.
const MAX_HEAD_BYTES: usize = 16_384;

/// The status of one process, as it reports it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ProcessStatus {
    pub(crate) role: String,
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) generation: u64,
    pub(crate) records_source: String,
    pub(crate) leaving: bool,
    pub(crate) load: Load,
    #[serde(default)]
    pub(crate) quarantined: Vec<String>,
    pub(crate) outcomes: Outcomes,
    #[serde(default)]
    pub(crate) refused_records: Option<String>,
    /// The endpoints of a gateway; empty for other roles.
    #[serde(default)]
    pub(crate) endpoints: Vec<EndpointStatus>,
}

/// An endpoint as one gateway sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct EndpointStatus {
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) address: String,
    pub(crate) zone: String,
    /// `in` if the gateway uses the endpoint, else the reason why it doesn't.
    pub(crate) usage: String,
    /// The requests in progress from all gateways.
    pub(crate) requests: u64,
    /// The requests in progress from this gateway.
    pub(crate) own_requests: u64,
    /// The share of recent requests that failed.
    pub(crate) failure_rate: f64,
    /// The time for which requests have waited without any response from the endpoint, in
    /// milliseconds.
    pub(crate) silent_ms: u64,
}

/// The load of one process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Load {
    pub(crate) running: u64,
    pub(crate) waiting: u64,
    pub(crate) mean: f64,
}

/// The numbers of requests by outcome in one process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Outcomes {
    pub(crate) done: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
}

/// The reason why no status could be fetched from a process.
#[derive(Debug, Error)]
pub(crate) enum FetchError {
    /// The process didn't respond.
    #[error("no response: {0}; check that the process runs and that this is its ops address")]
    NoResponse(#[from] minreq::Error),
    /// The response has an HTTP status other than 200.
    #[error("responded with HTTP status {0}; check that this is its ops address")]
    HttpStatus(u16),
    /// The status page can't be parsed.
    #[error("its status page can't be read: {0}; check that tool and daemon have the same version")]
    Unreadable(String),
}

/// The statuses of the fleet's processes at one time, by address.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) statuses: BTreeMap<SocketAddr, Result<ProcessStatus, FetchError>>,
}

impl Fleet {
    /// Fetches the status of each process in `addresses`, with a timeout of `timeout_s` seconds.
    pub(crate) fn fetch(addresses: &[SocketAddr], timeout_s: u64) -> Self {
        let next = AtomicUsize::new(0);
        let fetch_some = || {
            let mut statuses = Vec::new();
            while let Some(address) = addresses.get(next.fetch_add(1, Ordering::Relaxed)) {
                statuses.push((*address, fetch_one(*address, timeout_s)));
            }
            statuses
        };
        let workers = MAX_CONCURRENT_FETCHES.get().min(addresses.len());
        let statuses = thread::scope(|scope| {
            let threads: Vec<_> = (0..workers).map(|_| scope.spawn(fetch_some)).collect();
            threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
        });
        Self { statuses }
    }

    /// Returns the statuses of the processes that responded.
    pub(crate) fn processes(&self) -> impl Iterator<Item = &ProcessStatus> {
        self.statuses.values().flatten()
    }

    /// Returns the addresses without a status, and the errors.
    pub(crate) fn unreachable(&self) -> impl Iterator<Item = (&SocketAddr, &FetchError)> {
        self.statuses.iter().filter_map(|(address, status)| Some((address, status.as_ref().err()?)))
    }

    /// Returns the findings for operators, one sentence each.
    pub(crate) fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        let newest = self.processes().map(|process| process.generation).max().unwrap_or(0);
        for process in self.processes() {
            let name = &process.name;
            if process.generation < newest {
                let generation = process.generation;
                findings.push(format!("{name} has generation {generation} in force, not {newest}"));
            }
            if let Some(reason) = &process.refused_records {
                findings.push(format!("{name} refused records: {reason}"));
            }
            if !process.quarantined.is_empty() {
                let count = process.quarantined.len();
                findings.push(format!("{name} quarantines {count} request(s)"));
            }
        }
        findings
    }
}

fn fetch_one(address: SocketAddr, timeout_s: u64) -> Result<ProcessStatus, FetchError> {
    let response = minreq::get(format!("http://{address}/status"))
        .with_timeout(timeout_s)
        .with_max_headers_size(MAX_HEAD_BYTES)
        .with_max_status_line_length(MAX_HEAD_BYTES)
        .with_follow_redirects(false)
        .send_lazy()?;
    if response.status_code != 200 {
        return Err(FetchError::HttpStatus(response.status_code as u16));
    }
    let mut page = Vec::new();
    let read = response.take(MAX_STATUS_BYTES).read_to_end(&mut page);
    read.map_err(|err| FetchError::Unreadable(err.to_string()))?;
    serde_json::from_slice(&page).map_err(|err| FetchError::Unreadable(err.to_string()))
}
