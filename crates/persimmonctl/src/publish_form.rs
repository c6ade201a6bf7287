//! `publish-form`: writes the files from which an operator publishes a record set.

use std::fs;
use std::path::Path;

use persimmon_records::{Head, Publication, RECORDS_KEY, RecordSet};

use crate::args::{Args, Flag};
use crate::command::{Command, CommandError};
use crate::records_file::{HEAD_FILE, PARTS_DIRECTORY, RecordsFile, part_file};
use crate::report::Report;

/// The `publish-form` command.
pub(crate) const COMMAND: Command = Command {
    name: "publish-form",
    operands: &["FILE"],
    summary: "writes the head and parts of a set to a directory, to be published by other means",
    flags: &[
        Flag::value("out", "DIRECTORY", "the directory to write head.json and parts/ to"),
        Flag::value("previous", "DIRECTORY", "the directory of the publication now in force"),
    ],
    run,
};

fn run(mut args: Args) -> Result<Report, CommandError> {
    let file = args.operand("FILE");
    let out: Option<String> = args.required("out");
    let previous: Option<String> = args.optional("previous");
    let (file, out) = args.finish(file.zip(out))?;
    let set = RecordsFile::read(&file)?.set;
    let publication = match &previous {
        None => Publication::first(&set),
        Some(previous) => next_publication(previous, &set)?,
    };
    verify(&publication.head, Path::new(&file))?;
    let report = write(&publication, Path::new(&out))?;
    if let Some(previous) = previous {
        copy_unchanged_parts(&publication.head, Path::new(&previous), Path::new(&out))?;
    }
    Ok(report)
}

/// Copies the parts that the head references and that haven't changed, so that `out` contains the
/// complete publication.
fn copy_unchanged_parts(head: &Head, previous: &Path, out: &Path) -> Result<(), CommandError> {
    for digest in &head.parts {
        let (from, to) = (part_file(previous, digest), part_file(out, digest));
        if !to.exists() {
            fs::copy(&from, &to).map_err(|source| CommandError::Write { path: to, source })?;
        }
    }
    Ok(())
}

/// Returns the publication of `set` that follows the one in `directory`.
fn next_publication(directory: &str, set: &RecordSet) -> Result<Publication, CommandError> {
    let path = Path::new(directory).join(HEAD_FILE);
    let previous = RecordsFile::read(&path.to_string_lossy())?;
    let Some(head) = previous.head else {
        let message =
            format!("{} contains a whole set, not a head; omit --previous", path.display());
        return Err(CommandError::Mismatch(message));
    };
    Publication::next(&head, &previous.set, set)
        .map_err(|source| CommandError::Adopt { path, source })
}

/// Parses the head as the processes do, so that the command writes none that they would reject.
fn verify(head: &Head, path: &Path) -> Result<(), CommandError> {
    let read = Head::parse(&head.to_text());
    read.map(drop).map_err(|errors| CommandError::Records { path: path.into(), errors })
}

fn write(publication: &Publication, out: &Path) -> Result<Report, CommandError> {
    let parts = out.join(PARTS_DIRECTORY);
    fs::create_dir_all(&parts)
        .map_err(|source| CommandError::Write { path: parts.clone(), source })?;
    let mut text = "publish in this order, each file as the value of its key:\n".to_owned();
    for part in &publication.new_parts {
        let file = part_file(out, part.digest);
        write_file(&file, &part.text)?;
        text.push_str(&format!("{} <- {}\n", part.key(), file.display()));
    }
    let file = out.join(HEAD_FILE);
    let head = publication.head.to_text();
    write_file(&file, &head)?;
    text.push_str(&format!("{RECORDS_KEY} <- {} ({} bytes)\n", file.display(), head.len()));
    Ok(Report::ok(text))
}

fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    fs::write(path, text).map_err(|source| CommandError::Write { path: path.into(), source })
}
