//! What a process reports of itself to operators at `/status`.

use serde::Serialize;

/// The state of one process.
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

/// A model that the engine is to load and hasn't yet.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct LoadWaitStatus {
    pub(crate) model: String,
    pub(crate) starts_in_ms: u64,
    pub(crate) reason: &'static str,
}

/// The load of one process.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct LoadStatus {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) mean: f64,
}

/// How many requests ended in each way.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct OutcomeCounts {
    pub(crate) done: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
}
