//! `check`: reports the faults and warnings of a records file.

use persimmon_records::UnixMs;

use crate::args::{Args, Flag};
use crate::command::{Command, CommandError};
use crate::records_file::RecordsFile;
use crate::report::Report;

/// The flag that sets the time at which records are evaluated.
pub(crate) const NOW: Flag = Flag::value("now-ms", "MS", "time of evaluation in ms since 1970")
    .with_variable("PERSIMMON_NOW_MS");

/// The `check` command.
pub(crate) const COMMAND: Command = Command {
    name: "check",
    operands: &["FILE"],
    summary: "reports every fault of a records file with its location and remedy, and warnings",
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

/// Returns the time at which records are evaluated: that of the flag, or else the current time.
pub(crate) fn read_now(args: &mut Args) -> UnixMs {
    args.optional("now-ms").map_or_else(wall_clock, UnixMs)
}

fn wall_clock() -> UnixMs {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    UnixMs(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
