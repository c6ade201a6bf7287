//! Validation of the length and characters of names.

use crate::{FaultKind, MAX_NAME_CHARS};

/// Returns the fault of `name`, if it has one.
pub(super) fn name_fault(name: &str) -> Option<FaultKind> {
    let found = name.chars().count();
    if found == 0 || found > MAX_NAME_CHARS {
        return Some(FaultKind::NameLength { found });
    }
    let has_valid_start = name.starts_with(|char: char| char.is_ascii_alphanumeric());
    let has_valid_chars = name.chars().all(is_name_char);
    if has_valid_start && has_valid_chars { None } else { Some(FaultKind::NameCharacters) }
}

fn is_name_char(char: char) -> bool {
    char.is_ascii_alphanumeric() || matches!(char, '-' | '_' | '.')
}
