//! `status`: what each process of the fleet has in force and is doing.

use std::net::SocketAddr;

use serde::Serialize;

use crate::args::{Args, Flag};
use crate::command::{Command, CommandError};
use crate::fleet::{Fleet, ProcessStatus};
use crate::report::{Exit, Report};
use crate::table::Table;

/// Processes that one command asks.
const MAX_PROCESSES: usize = 8_192;

/// The longest wait for one process in seconds.
const MAX_TIMEOUT_S: u64 = 60;

/// The flag that names the processes.
pub(crate) const PROCESS: Flag = Flag::value("process", "ADDRESS", "a process's ops address")
    .repeated()
    .with_variable("PERSIMMON_PROCESSES");

/// The flag that bounds the wait for one process.
pub(crate) const TIMEOUT: Flag =
    Flag::value("timeout-s", "SECONDS", "longest wait for one process, 1 to 60")
        .with_variable("PERSIMMON_TIMEOUT_S")
        .with_default("2");

/// The flag that asks for JSON.
pub(crate) const JSON: Flag = Flag::switch("json", "prints JSON in place of a table");

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "status",
    operands: &[],
    summary: "shows what each process has in force and is doing, and points out disagreement",
    flags: &[PROCESS, TIMEOUT, JSON],
    run,
};

/// Which processes are asked, and how the answers are shown.
#[derive(Debug)]
pub(crate) struct Poll {
    processes: Vec<SocketAddr>,
    timeout_s: u64,
    json: bool,
}

fn run(mut args: Args) -> Result<Report, CommandError> {
    let poll = Poll::from_args(&mut args);
    Ok(args.finish(poll)?.report())
}

impl Poll {
    /// Takes the flags, noting faults.
    pub(crate) fn from_args(args: &mut Args) -> Option<Self> {
        let mut processes: Vec<SocketAddr> = args.values("process");
        processes.sort_unstable();
        processes.dedup();
        if processes.len() > MAX_PROCESSES {
            args.add_fault(format!("--process is given too often; give at most {MAX_PROCESSES}"));
        }
        let timeout_s: u64 = args.required("timeout-s")?;
        if !(1..=MAX_TIMEOUT_S).contains(&timeout_s) {
            args.add_fault(format!("--timeout-s is {timeout_s}; give 1 to {MAX_TIMEOUT_S}"));
        }
        Some(Self { processes, timeout_s, json: args.switch("json") })
    }

    /// Asks every process once.
    pub(crate) fn fetch(&self) -> Fleet {
        Fleet::fetch(&self.processes, self.timeout_s)
    }

    /// Whether the answers are shown as JSON.
    pub(crate) fn wants_json(&self) -> bool {
        self.json
    }

    /// Asks every process once, and reports what it has in force.
    pub(crate) fn report(&self) -> Report {
        let fleet = self.fetch();
        let findings = fleet.findings();
        let exit = if fleet.unreachable().next().is_some() {
            Exit::Unreachable
        } else if findings.is_empty() {
            Exit::Ok
        } else {
            Exit::Findings
        };
        let text = if self.json { json(&fleet, &findings) } else { table(&fleet, &findings) };
        Report { exit, ..Report::ok(text) }
    }
}

fn table(fleet: &Fleet, findings: &[String]) -> String {
    let mut table = Table::new(&[
        "PROCESS",
        "ROLE",
        "ZONE",
        "GENERATION",
        "FROM",
        "LEAVING",
        "RUNNING",
        "WAITING",
        "MEAN",
        "QUARANTINED",
        "DONE",
        "NOT-RUN",
        "UNKNOWN",
    ]);
    for process in fleet.processes() {
        table.push(row(process));
    }
    let mut text = table.to_text() + &unreachable_lines(fleet);
    for finding in findings {
        text.push_str(&format!("finding: {finding}\n"));
    }
    text
}

/// The processes that gave no status, one line each.
pub(crate) fn unreachable_lines(fleet: &Fleet) -> String {
    let line = |(address, reason)| format!("unreachable: {address}: {reason}\n");
    fleet.unreachable().map(line).collect()
}

fn row(process: &ProcessStatus) -> Vec<String> {
    let ProcessStatus { load, outcomes, .. } = process;
    vec![
        process.name.clone(),
        process.role.clone(),
        process.zone.clone(),
        process.generation.to_string(),
        process.records_source.clone(),
        if process.leaving { "yes" } else { "no" }.to_owned(),
        load.running.to_string(),
        load.waiting.to_string(),
        format!("{:.2}", load.mean),
        process.quarantined.len().to_string(),
        outcomes.done.to_string(),
        outcomes.not_run.to_string(),
        outcomes.unknown.to_string(),
    ]
}

/// A status as JSON.
#[derive(Debug, Serialize)]
struct StatusJson<'a> {
    processes: Vec<&'a ProcessStatus>,
    unreachable: Vec<UnreachableJson>,
    findings: &'a [String],
}

/// A process that gave no status.
#[derive(Debug, Serialize)]
struct UnreachableJson {
    address: SocketAddr,
    reason: String,
}

fn json(fleet: &Fleet, findings: &[String]) -> String {
    let unreachable = fleet
        .unreachable()
        .map(|(address, reason)| UnreachableJson { address: *address, reason: reason.to_string() });
    let status = StatusJson {
        processes: fleet.processes().collect(),
        unreachable: unreachable.collect(),
        findings,
    };
    let text = serde_json::to_string(&status).expect("a status has only text keys");
    format!("{text}\n")
}
