//! `check-routes`: reports the faults of a gateways' configuration, and what it changes.

use std::path::Path;

use persimmon_decide::forward::configuration_check::{
    Configuration, ConfigurationCheck, Finding, Severity,
};
use persimmon_platform::{UnreadablePart, read_configuration};
use serde_json::{Value, json};

use crate::args::{Args, Flag};
use crate::command::{Command, CommandError};
use crate::records_file::read_text;
use crate::report::{Exit, Report};

const BYTES_PER_MB: u64 = 1024 * 1024;

/// The `check-routes` command.
pub(crate) const COMMAND: Command = Command {
    name: "check-routes",
    operands: &["FILE"],
    summary: "reports faults of a gateways' configuration; exits 1 for warnings, 2 for errors",
    flags: &[
        Flag::value("against", "FILE", "the configuration in force, to list what changes"),
        Flag::switch("json", "prints one JSON object"),
        Flag::value("memory-mb", "MB", "the memory of a gateway in MB")
            .with_variable("PERSIMMON_MEMORY_MB")
            .with_default("160"),
    ],
    run,
};

/// One finding, as it is printed.
#[derive(Debug)]
struct Line {
    severity: Severity,
    entry: String,
    fault: &'static str,
    message: String,
    remedy: Option<&'static str>,
}

fn run(mut args: Args) -> Result<Report, CommandError> {
    let file = args.operand("FILE");
    let in_force: Option<String> = args.optional("against");
    let memory_mb: Option<u64> = args.optional("memory-mb");
    if memory_mb == Some(0) {
        args.add_fault("--memory-mb must be above zero");
    }
    let is_json = args.switch("json");
    let (file, memory_mb) = args.finish(file.zip(memory_mb))?;
    let mut lines = Vec::new();
    let new = read(&file, &mut lines)?;
    let old = match &in_force {
        Some(file) => read(file, &mut lines)?,
        None => None,
    };
    let check =
        ConfigurationCheck::default().with_memory_bytes(memory_mb.saturating_mul(BYTES_PER_MB));
    let findings = match (new, old) {
        (Some(new), Some(old)) => check.check_against(&new, &old),
        (Some(new), None) => check.check(&new),
        (None, _) => Vec::new(),
    };
    lines.extend(findings.iter().map(Line::from));
    Ok(report(&lines, is_json))
}

/// Reads a configuration, or adds what can't be read of it.
fn read(file: &str, lines: &mut Vec<Line>) -> Result<Option<Configuration>, CommandError> {
    match read_configuration(read_text(Path::new(file))?.as_bytes()) {
        Ok(configuration) => Ok(Some(configuration)),
        Err(parts) => {
            lines.extend(parts.into_iter().map(|it| Line::unreadable(file, it)));
            Ok(None)
        }
    }
}

impl Line {
    fn unreadable(file: &str, part: UnreadablePart) -> Self {
        Self {
            severity: Severity::Error,
            entry: format!("{file}, {}", part.place),
            fault: "unreadable",
            message: part.why,
            remedy: Some("correct it; nothing else was checked"),
        }
    }

    fn to_json(&self) -> Value {
        json!({
            "severity": self.severity.name(), "entry": self.entry, "fault": self.fault,
            "message": self.message, "remedy": self.remedy,
        })
    }

    fn to_text(&self) -> String {
        let remedy = self.remedy.map(|it| format!("; {it}")).unwrap_or_default();
        format!("{}: {}: {}{remedy}\n", self.severity.name(), self.entry, self.message)
    }
}

impl From<&Finding> for Line {
    fn from(finding: &Finding) -> Self {
        Self {
            severity: finding.severity(),
            entry: finding.entry.to_string(),
            fault: finding.fault.name(),
            message: finding.fault.to_string(),
            remedy: finding.fault.remedy(),
        }
    }
}

fn report(lines: &[Line], is_json: bool) -> Report {
    let count = |severity| lines.iter().filter(|it| it.severity == severity).count();
    let errors = count(Severity::Error);
    let (warnings, changes) = (count(Severity::Warning), count(Severity::Change));
    let text = match is_json {
        true => {
            let findings: Vec<_> = lines.iter().map(Line::to_json).collect();
            let counts = json!({
                "errors": errors, "warnings": warnings, "changes": changes, "findings": findings,
            });
            format!("{counts}\n")
        }
        false => {
            let listed: String = lines.iter().map(Line::to_text).collect();
            format!("{listed}{errors} error(s), {warnings} warning(s), {changes} change(s)\n")
        }
    };
    let exit = match (errors, warnings) {
        (0, 0) => Exit::Ok,
        (0, _) => Exit::Findings,
        _ => Exit::Usage,
    };
    Report { exit, ..Report::ok(text) }
}
