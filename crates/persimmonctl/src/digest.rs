//! `digest`: computes the digest of a workspace key.

use std::io::{self, Read};

use persimmon_records::KeyDigest;

use crate::args::Args;
use crate::command::{Command, CommandError};
use crate::report::Report;

/// Maximum length of a workspace key, in bytes.
const MAX_KEY_BYTES: usize = 4_096;

/// The `digest` command.
pub(crate) const COMMAND: Command = Command {
    name: "digest",
    operands: &[],
    summary: "reads a workspace key on standard input and prints its digest for the records",
    flags: &[],
    run,
};

fn run(args: Args) -> Result<Report, CommandError> {
    args.finish(Some(()))?;
    let mut text = String::new();
    let limit = MAX_KEY_BYTES as u64 + 2;
    let read = io::stdin().take(limit).read_to_string(&mut text);
    read.map_err(|source| CommandError::Read { path: "standard input".into(), source })?;
    let key = text.strip_suffix('\n').unwrap_or(&text);
    let key = key.strip_suffix('\r').unwrap_or(key);
    let permitted = |byte: u8| byte.is_ascii_graphic();
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !key.bytes().all(permitted) {
        let message = format!(
            "the key must be one line of 1 to {MAX_KEY_BYTES} printable ASCII characters without \
             spaces; write it to standard input"
        );
        return Err(CommandError::Mismatch(message));
    }
    Ok(Report::ok(format!("{}\n", KeyDigest::of_key(key))))
}
