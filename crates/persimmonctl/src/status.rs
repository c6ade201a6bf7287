//! `status`: shows the records in force, load and outcomes of each process of the fleet.

use std::net::SocketAddr;

use serde::Serialize;

use crate::args::{Args, Flag};
use crate::command::{Command, CommandError};
use crate::fleet::{Fleet, ProcessStatus};
use crate::report::{Exit, Report};
use crate::table::Table;

/// Maximum number of processes per command.
const MAX_PROCESSES: usize = 8_192;

/// Maximum timeout for one process, in seconds.
const MAX_TIMEOUT_S: u64 = 60;

/// The flag with the addresses of the processes.
pub(crate) const PROCESS: Flag = Flag::value("process", "ADDRESS", "a process's ops address")
    .repeated()
    .with_variable("PERSIMMON_PROCESSES");

/// The flag with the timeout for one process.
pub(crate) const TIMEOUT: Flag =
    Flag::value("timeout-s", "SECONDS", "timeout for one process, 1 to 60")
        .with_variable("PERSIMMON_TIMEOUT_S")
        .with_default("2");

/// The flag for JSON output.
pub(crate) const JSON: Flag = Flag::switch("json", "prints JSON instead of a table");

/// The `status` command.
pub(crate) const COMMAND: Command = Command {
    name: "status",
    operands: &[],
    summary: "shows each process's records, load and outcomes, and points out differences",
    flags: &[PROCESS, TIMEOUT, JSON],
    run,
};

/// The processes to poll and the output format.
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
    /// Reads the flags, and records faults in `args`.
    pub(crate) fn from_args(args: &mut Args) -> Option<Self> {
        let mut processes: Vec<SocketAddr> = args.values("process");
        processes.sort_unstable();
        processes.dedup();
        if processes.len() > MAX_PROCESSES {
            args.add_fault(format!("too many --process flags; give at most {MAX_PROCESSES}"));
        }
        let timeout_s: u64 = args.required("timeout-s")?;
        if !(1..=MAX_TIMEOUT_S).contains(&timeout_s) {
            args.add_fault(format!("--timeout-s is {timeout_s}; give 1 to {MAX_TIMEOUT_S}"));
        }
        Some(Self { processes, timeout_s, json: args.switch("json") })
    }

    /// Fetches the status of every process once.
    pub(crate) fn fetch(&self) -> Fleet {
        Fleet::fetch(&self.processes, self.timeout_s)
    }

    /// Reports whether the output is JSON.
    pub(crate) fn wants_json(&self) -> bool {
        self.json
    }

    /// Fetches the status of every process once and returns the report.
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

/// Returns one line for each process whose status couldn't be fetched.
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

/// The JSON output of one poll.
#[derive(Debug, Serialize)]
struct StatusJson<'a> {
    processes: Vec<&'a ProcessStatus>,
    unreachable: Vec<UnreachableJson>,
    findings: &'a [String],
}

/// A process whose status couldn't be fetched.
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
