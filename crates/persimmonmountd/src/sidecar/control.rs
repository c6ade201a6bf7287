//! The control thread of a sidecar: the only one that decides.

use std::sync::Arc;
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError, Sender};
use persimmon_decide::load::{CreditDemand, CreditHome, CreditReply};
use persimmon_decide::recovery::{Phase, Work};

use super::calls::Calls;
use super::command::Command;
use super::core::Core;
use super::runs::Runs;
use crate::common::{LoadStatus, Readiness, RecordsEvent, Status};

/// Longest pause between two looks at what has become due.
const TICK: Duration = Duration::from_millis(100);
/// Time between two sweeps of the ledger, in milliseconds.
const LEDGER_SWEEP_MS: u64 = 10_000;

/// The decisions of one sidecar.
pub(crate) struct Control {
    pub(crate) core: Core,
    pub(crate) runs: Runs,
    pub(crate) calls: Calls,
    pub(crate) readiness: Readiness,
    pub(crate) zone: String,
    pub(crate) records_text: Option<Arc<str>>,
    pub(crate) refused_records: Option<String>,
    pub(crate) records_source: &'static str,
    pub(crate) credits: CreditHome,
    /// Share of the published endpoints that this sidecar sees alive.
    pub(crate) seen_share: f64,
}

impl Control {
    /// Handles commands until the process may end.
    pub(crate) fn run(mut self, commands: &Receiver<Command>) {
        let mut last_tick = self.core.now();
        let mut last_sweep = last_tick;
        loop {
            match commands.recv_timeout(TICK) {
                Ok(command) => self.handle(command),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.core.now();
            if now.ms_since(last_tick) >= TICK.as_millis() as u64 {
                last_tick = now;
                self.tick();
            }
            if now.ms_since(last_sweep) >= LEDGER_SWEEP_MS {
                last_sweep = now;
                self.core.ledger.sweep(now);
            }
            if self.core.leaving.phase(self.core.clocks()) == Phase::Done {
                tracing::info!("sidecar: nothing is in progress; the process ends.");
                return;
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Submit { req, frames, reply } => {
                self.observe();
                send(&reply, self.runs.submit(&mut self.core, req, frames));
            }
            Command::Resume { position, frames, reply } => {
                let refused = self.runs.resume(&mut self.core, &position, frames).err();
                send(&reply, refused);
            }
            Command::Settle { request, reply } => {
                send(&reply, self.runs.settle(&mut self.core, &request));
            }
            Command::Cancel { request } => self.runs.cancel(&mut self.core, &request),
            Command::Acknowledge { key, next } => {
                self.runs.acknowledge(&mut self.core, key, next);
            }
            Command::Claim { req, reply } => {
                self.observe();
                send(&reply, self.calls.claim(&mut self.core, req));
            }
            Command::Call { call, reply } => {
                self.observe();
                self.calls.call(&mut self.core, &call, &reply);
            }
            Command::Credit { demand, reply } => send(&reply, self.grant(&demand)),
            Command::Greet { reply } => send(&reply, self.core.ledger.stamp(self.core.now())),
            Command::Engine(event) => self.runs.on_engine(&mut self.core, event),
            Command::Service(event) => self.calls.on_service(&mut self.core, event),
            Command::Records(event) => self.on_records(event),
            Command::Status { reply } => send(&reply, self.status()),
            Command::Drain => self.core.leaving.signal(self.core.clocks()),
            Command::RecordsText { generation, reply } => {
                let newer = self.core.records().generation.0 > generation;
                send(&reply, self.records_text.clone().filter(|_| newer));
            }
        }
    }

    /// Grants credits of a workspace's limit.
    fn grant(&mut self, demand: &CreditDemand) -> CreditReply {
        let workspace = self.core.workspace(&demand.key.workspace);
        let per_second = workspace
            .map_or(0, |workspace| workspace.limits.get(demand.key.class).requests_per_second);
        self.credits.grant(demand, per_second, self.seen_share, self.core.now())
    }

    /// Lets the decision on leaving see the clocks, so that a pause of the process is noticed
    /// before anything is admitted.
    fn observe(&mut self) {
        let work = Work {
            requests: self.runs.in_progress() + self.calls.in_progress(),
            unacknowledged: self.runs.being_taken(),
        };
        let clocks = self.core.clocks();
        self.core.leaving.observe(work, clocks);
    }

    fn tick(&mut self) {
        self.observe();
        self.runs.tick(&mut self.core);
        let is_serving = self.core.check_serving().is_ok();
        self.readiness.set(is_serving);
        let load = self.runs.load();
        let gauge = &self.core.metrics.in_progress;
        gauge.with_label_values(&["running"]).set(i64::from(load.running));
        gauge.with_label_values(&["waiting"]).set(i64::from(load.waiting));
    }

    fn on_records(&mut self, event: RecordsEvent) {
        match event {
            RecordsEvent::Adopted { records, text, source } => {
                let generation = records.generation;
                tracing::info!("sidecar: records of generation {generation} are in force.");
                self.core.metrics.generation.set(i64::try_from(generation.0).unwrap_or(i64::MAX));
                self.core.set_records(records);
                self.runs.follow_records(&self.core);
                self.records_text = Some(text);
                self.records_source = source;
                self.refused_records = None;
            }
            RecordsEvent::Refused { reason } => {
                tracing::warn!("sidecar: published records are refused: {reason}.");
                self.refused_records = Some(reason);
            }
            RecordsEvent::Confirmed { asked_at, heard } => {
                self.core.leaving.confirm_records(asked_at, heard);
            }
            RecordsEvent::Listed { vms } => {
                let own = vms.vms.iter().find(|vm| vm.name == self.core.name);
                if let Some(vm) = own {
                    let clocks = self.core.clocks();
                    self.core.leaving.set_listed(vm.is_leaving(), clocks);
                }
            }
        }
    }

    fn status(&self) -> Status {
        let load = self.runs.load();
        Status {
            role: "sidecar",
            name: self.core.name.to_string(),
            zone: self.zone.clone(),
            generation: self.core.records().generation.0,
            records_source: self.records_source,
            leaving: self.core.leaving.cause().is_some(),
            load: LoadStatus {
                running: load.running,
                waiting: load.waiting,
                mean: self.runs.mean_per_slot(self.core.now()),
            },
            quarantined: Vec::new(),
            outcomes: self.core.counts(),
            refused_records: self.refused_records.clone(),
        }
    }
}

fn send<T>(reply: &Sender<T>, message: T) {
    // The asker may have given up waiting.
    let _gone = reply.try_send(message);
}
