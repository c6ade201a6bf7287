//! Reads records from files: a whole set, or a head with its parts in a subdirectory.

use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use persimmon_records::{Head, MAX_SET_BYTES, Published, RecordSet};

use crate::command::CommandError;

/// The file name of a publication's head.
pub(crate) const HEAD_FILE: &str = "head.json";

/// The directory name of a publication's parts.
pub(crate) const PARTS_DIRECTORY: &str = "parts";

/// The file operand that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// The records of a file.
#[derive(Debug)]
pub(crate) struct RecordsFile {
    /// The set.
    pub(crate) set: RecordSet,
    /// The head, unless the file contains a whole set.
    pub(crate) head: Option<Head>,
}

impl RecordsFile {
    /// Reads the records from `path`, or from standard input if it is `-`.
    pub(crate) fn read(path: &str) -> Result<Self, CommandError> {
        let path = Path::new(path);
        let text = read_text(path)?;
        let published = Published::parse(&text)
            .map_err(|errors| CommandError::Records { path: path.into(), errors })?;
        match published {
            Published::Set(set) => Ok(Self { set, head: None }),
            Published::Head(head) => {
                let set = read_parts(&head, path)?;
                Ok(Self { set, head: Some(head) })
            }
        }
    }
}

/// Returns the path of the part with this digest in a publication's directory.
pub(crate) fn part_file(directory: &Path, digest: impl std::fmt::Display) -> PathBuf {
    directory.join(PARTS_DIRECTORY).join(format!("{digest}.json"))
}

fn read_parts(head: &Head, path: &Path) -> Result<RecordSet, CommandError> {
    let directory = path.parent().unwrap_or(Path::new("."));
    let texts: Vec<_> = head
        .parts
        .iter()
        .map(|digest| read_text(&part_file(directory, digest)))
        .collect::<Result<_, _>>()?;
    head.assemble(&texts).map_err(|source| CommandError::Adopt { path: path.into(), source })
}

/// Reads at most one byte more than the size limit of a set, which is enough for the parser to
/// reject a larger file.
pub(crate) fn read_text(path: &Path) -> Result<String, CommandError> {
    let read = || {
        let mut text = String::new();
        let limit = MAX_SET_BYTES as u64 + 1;
        if path.as_os_str() == STANDARD_INPUT {
            io::stdin().take(limit).read_to_string(&mut text)?;
        } else {
            File::open(path)?.take(limit).read_to_string(&mut text)?;
        }
        Ok(text)
    };
    read().map_err(|source| CommandError::Read { path: path.into(), source })
}
