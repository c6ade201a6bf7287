//! State that all decisions of a sidecar share: clock, ledger, records and shutdown state.

use std::sync::Arc;

use persimmon_decide::membership::NodeId;
use persimmon_decide::outcome::{Ledger, LedgerLimits, Outcome, Refusal};
use persimmon_decide::recovery::{
    Clocks, HoldReason, Leaving, LeavingSettings, NotServing, RecordStatus,
};
use persimmon_decide::{Fingerprint, MonoMs};
use persimmon_records::{
    Endpoint, EndpointName, Policy, RecordIndex, RecordSet, VmName, Workspace, WorkspaceName,
};
use persimmon_wire::Refused;

use crate::common::{Clock, FleetState, Metrics, OutcomeCounts, ProcessRun};

/// Retry delay sent to routers while the sidecar can't confirm its records, in milliseconds.
const RECORDS_RETRY_MS: u64 = 1_000;

/// Minimum retry delay sent to routers until the engine has loaded its model, in milliseconds.
const LOAD_RETRY_MS: u64 = 1_000;

/// State shared by model requests and service calls.
pub(crate) struct Core {
    pub(crate) name: EndpointName,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) ledger: Ledger,
    pub(crate) leaving: Leaving,
    records: Arc<RecordIndex>,
    endpoint: Option<Endpoint>,
    counts: OutcomeCounts,
    pub(crate) fleet: FleetState,
    /// Milliseconds until the engine starts to load its assigned model, or `None` if no load is
    /// pending.
    pub(crate) load_starts_in_ms: Option<u64>,
}

impl Core {
    /// Creates the state of a process that has just started.
    pub(crate) fn new(
        name: EndpointName,
        metrics: Metrics,
        process: ProcessRun,
        fleet: FleetState,
    ) -> Self {
        let ProcessRun { incarnation, clock } = process;
        let clocks = Clocks { mono: clock.now(), wall: clock.unix() };
        Self {
            name,
            clock,
            metrics,
            ledger: Ledger::new(incarnation, LedgerLimits::default()),
            leaving: Leaving::new(LeavingSettings::default(), clocks),
            records: Arc::new(RecordIndex::new(RecordSet::empty())),
            endpoint: None,
            counts: OutcomeCounts::default(),
            fleet,
            load_starts_in_ms: None,
        }
    }

    /// Returns the monotonic time.
    pub(crate) fn now(&self) -> MonoMs {
        self.clock.now()
    }

    /// Reads the monotonic clock and the wall clock.
    pub(crate) fn clocks(&self) -> Clocks {
        Clocks { mono: self.clock.now(), wall: self.clock.unix() }
    }

    /// Returns the records in force.
    pub(crate) fn records(&self) -> &RecordIndex {
        &self.records
    }

    /// Returns the record of this sidecar's endpoint.
    pub(crate) fn endpoint(&self) -> Option<&Endpoint> {
        self.endpoint.as_ref()
    }

    /// Returns the policy in force.
    pub(crate) fn policy(&self) -> &Policy {
        &self.records.set().policy
    }

    /// Returns the record of a workspace unless it has expired.
    pub(crate) fn workspace(&self, name: &WorkspaceName) -> Option<&Workspace> {
        let wall = self.clock.unix();
        self.records
            .workspace(name)
            .filter(|workspace| workspace.expires_at.is_none_or(|at| wall < at))
    }

    /// Returns the number of requests per outcome.
    pub(crate) fn counts(&self) -> OutcomeCounts {
        self.counts
    }

    /// Puts records into force.
    pub(crate) fn set_records(&mut self, records: Arc<RecordIndex>) {
        let clocks = self.clocks();
        self.endpoint = records.endpoint(&self.name).cloned();
        let status = RecordStatus::of_endpoint(self.endpoint.as_ref());
        self.leaving.set_records(status, records.version().generation, clocks);
        self.records = records;
    }

    /// Checks whether the sidecar accepts new requests and its engine has its model.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the request.
    pub(crate) fn check_serving(&self) -> Result<(), Refused> {
        self.check_accepting()?;
        match self.load_starts_in_ms {
            Some(starts_in_ms) => Err(Refused {
                refusal: Refusal::EndpointDown,
                retry_after_ms: starts_in_ms.max(LOAD_RETRY_MS),
            }),
            None => Ok(()),
        }
    }

    /// Checks whether the sidecar accepts new requests, even if its engine still loads a model.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the request.
    pub(crate) fn check_accepting(&self) -> Result<(), Refused> {
        if !self.fleet.is_ready() {
            let refusal = Refusal::StaleRecords;
            return Err(Refused { refusal, retry_after_ms: RECORDS_RETRY_MS });
        }
        self.leaving.check(self.clocks()).map_err(|not_serving| match not_serving {
            NotServing::Leaving(_) | NotServing::OnHold(HoldReason::LeavingBeforeReady(_)) => {
                Refused { refusal: Refusal::Leaving, retry_after_ms: 0 }
            }
            NotServing::OnHold(_) => {
                Refused { refusal: Refusal::StaleRecords, retry_after_ms: RECORDS_RETRY_MS }
            }
        })
    }

    /// Records that what runs beside this sidecar crashed while requests with this content ran on it.
    pub(crate) fn record_crash(&mut self, in_progress: impl IntoIterator<Item = Fingerprint>) {
        let site = NodeId::of(&VmName::new(self.name.as_str()));
        let now = self.now();
        self.fleet.quarantine_mut().record_crash(in_progress, site, now);
    }

    /// Counts a refusal in the metrics.
    pub(crate) fn count_refusal(&self, refused: &Refused) {
        self.metrics.refusals.with_label_values(&[refused.refusal.as_str()]).inc();
    }

    /// Counts the outcome of a request in the status and the metrics.
    pub(crate) fn count_outcome(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Done => &mut self.counts.done,
            Outcome::NotRun => &mut self.counts.not_run,
            Outcome::Unknown => &mut self.counts.unknown,
        };
        *counter += 1;
        self.metrics.outcomes.with_label_values(&[outcome.as_str()]).inc();
    }
}
