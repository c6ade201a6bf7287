//! `check`: every fault and warning of a records file.

use persimmon_records::UnixMs;

use crate::args::{Args, Flag};
use crate::command::{Command, CommandError};
use crate::records_file::RecordsFile;
use crate::report::Report;

/// The flag that sets the time at which records are judged.
pub(crate) const NOW: Flag = Flag::value("now-ms", "MS", "milliseconds since 1970 to judge by")
    .with_variable("PERSIMMON_NOW_MS");

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "check",
    operands: &["FILE"],
    summary: "reports every fault of a records file with its place and remedy, and warnings",
    flags: &[NOW],
    run,
};

fn run(mut args: Args) -> Result<Report, CommandError> {
    let file = args.operand("FILE");
    let now = read_now(&mut args);
    let file = args.finish(file)?;
    let RecordsFile { set, head } = RecordsFile::read(&file)?;
    let mut text = format!(
        "generation {}, {} workspaces, {} endpoints, digest {}\n",
        set.generation,
        set.workspaces.len(),
        set.endpoints.len(),
        set.digest()
    );
    if let Some(head) = head {
        let changes = head.change_set.changes.len();
        text.push_str(&format!("head of {} part(s) and {changes} change(s)\n", head.parts.len()));
    }
    for warning in set.warnings(now) {
        text.push_str(&format!("warning: {warning}\n"));
    }
    text.push_str("no faults\n");
    Ok(Report::ok(text))
}

/// The time by which records are judged: as given, or the wall clock's.
pub(crate) fn read_now(args: &mut Args) -> UnixMs {
    args.optional("now-ms").map_or_else(wall_clock, UnixMs)
}

fn wall_clock() -> UnixMs {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    UnixMs(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
