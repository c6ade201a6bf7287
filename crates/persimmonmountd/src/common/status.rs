//! The JSON document that a process returns to operators at `/status`.

use serde::Serialize;

/// State of a process.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Status {
    pub(crate) role: &'static str,
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) generation: u64,
    pub(crate) records_source: &'static str,
    pub(crate) leaving: bool,
    pub(crate) load: LoadStatus,
    pub(crate) quarantined: Vec<String>,
    pub(crate) outcomes: OutcomeCounts,
    pub(crate) refused_records: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) load_wait: Option<LoadWaitStatus>,
}

/// A load that the engine hasn't completed.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct LoadWaitStatus {
    pub(crate) model: String,
    pub(crate) starts_in_ms: u64,
    pub(crate) reason: &'static str,
}

/// Load of a process.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct LoadStatus {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) mean: f64,
}

/// Number of requests per outcome.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct OutcomeCounts {
    pub(crate) done: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
}
