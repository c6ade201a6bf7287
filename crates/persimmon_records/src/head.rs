//! Published form of a set that is too large for one value: a small head, which lists the digests
//! of the set's parts and includes the latest changes.

use crate::editor::Editor;
use crate::fault::Faults;
use crate::read::{read_change_set, read_head, read_set};
use crate::{
    AdoptError, Change, ChangeSet, Digest, FaultKind, Generation, MAX_VALUE_BYTES, Place,
    RecordErrors, RecordKind, RecordSet, SchemaVersion, SetVersion,
};
use serde::Serialize;

/// Key of the platform's value that contains the whole set or its head.
pub const RECORDS_KEY: &str = "records";

/// Returns the key of the platform's value that contains the part with this digest.
pub fn part_key(digest: Digest) -> String {
    format!("{RECORDS_KEY}/{digest}")
}

/// Description of a set as its parts and the latest changes.
///
/// The parts contain the set at version `base`, and the changes after `base` lead to the published
/// version. Changes up to `base` are included for processes that are a few generations behind.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// The version of the set in the parts.
    pub base: SetVersion,
    /// The digests of the parts; [`part_key`] returns their keys.
    pub parts: Vec<Digest>,
    /// The latest changes and the published version to which they lead.
    pub change_set: ChangeSet,
}

impl Head {
    /// Reads a head from its text.
    ///
    /// # Errors
    ///
    /// Returns all faults, each with its location and remedy.
    pub fn parse(text: &str) -> Result<Self, RecordErrors> {
        read_value(text, read_head)
    }

    /// Returns the published version.
    pub fn version(&self) -> SetVersion {
        self.change_set.version
    }

    /// Builds the published set from the texts of its parts, in the order of the head.
    ///
    /// # Errors
    ///
    /// Returns an error if a part doesn't match its digest or has faults, or if the resulting set
    /// differs from the published one.
    pub fn assemble<T: AsRef<str>>(&self, parts: &[T]) -> Result<RecordSet, AdoptError> {
        let base = self.read_parts(parts)?;
        let mut editor = Editor::new(base);
        if editor.version() != self.base {
            let found = editor.version().digest;
            return Err(AdoptError::Content { published: self.base, found });
        }
        if self.base == self.version() {
            editor.set().check()?;
            return Ok(editor.into_set());
        }
        editor.apply(&self.change_set)?;
        Ok(editor.into_set())
    }

    fn read_parts<T: AsRef<str>>(&self, parts: &[T]) -> Result<RecordSet, AdoptError> {
        let (found, expected) = (parts.len(), self.parts.len());
        if found != expected {
            return Err(AdoptError::PartCount { found, expected });
        }
        let mut faults = Faults::default();
        let mut base = RecordSet { generation: self.base.generation, ..RecordSet::empty() };
        for (index, (text, digest)) in parts.iter().zip(&self.parts).enumerate() {
            if Digest::of_text(text.as_ref()) != *digest {
                return Err(AdoptError::PartContent { index });
            }
            let Some(part) = read_set(text.as_ref(), &mut faults) else { continue };
            if index == 0 {
                base.policy = part.set.policy;
            }
            base.workspaces.extend(part.set.workspaces);
            base.endpoints.extend(part.set.endpoints);
        }
        faults.into_result()?;
        Ok(base)
    }

    /// Returns the head as JSON.
    pub fn to_text(&self) -> String {
        let SetVersion { generation, digest } = self.version();
        let text = HeadText {
            schema_version: SchemaVersion::V2,
            generation,
            digest,
            base: self.base,
            parts: &self.parts,
            after: self.change_set.after,
            changes: &self.change_set.changes,
        };
        serde_json::to_string(&text).expect("heads have only text keys")
    }
}

impl ChangeSet {
    /// Reads a change set from its text.
    ///
    /// # Errors
    ///
    /// Returns all faults, each with its location and remedy.
    pub fn parse(text: &str) -> Result<Self, RecordErrors> {
        read_value(text, read_change_set)
    }

    /// Returns the change set as JSON.
    pub fn to_text(&self) -> String {
        let text = ChangeSetText {
            schema_version: SchemaVersion::V2,
            generation: self.version.generation,
            digest: self.version.digest,
            after: self.after,
            changes: &self.changes,
        };
        serde_json::to_string(&text).expect("change sets have only text keys")
    }
}

/// Value published under [`RECORDS_KEY`].
#[derive(Debug, Clone, PartialEq)]
pub enum Published {
    /// A whole set.
    Set(RecordSet),
    /// The head of a set in parts.
    Head(Head),
}

impl Published {
    /// Reads a whole set or, if the value has the field `parts`, the head of a set in parts.
    ///
    /// # Errors
    ///
    /// Returns all faults, each with its location and remedy.
    pub fn parse(text: &str) -> Result<Self, RecordErrors> {
        if is_head(text) {
            Head::parse(text).map(Self::Head)
        } else {
            RecordSet::parse(text).map(Self::Set)
        }
    }

    /// Returns the published version.
    pub fn version(&self) -> SetVersion {
        match self {
            Self::Set(set) => set.version(),
            Self::Head(head) => head.version(),
        }
    }
}

/// Reports whether `text` is an object with the field `parts`.
fn is_head(text: &str) -> bool {
    #[derive(serde::Deserialize)]
    struct Shape {
        parts: Option<serde::de::IgnoredAny>,
    }
    text.len() <= MAX_VALUE_BYTES
        && serde_json::from_str::<Shape>(text).is_ok_and(|shape| shape.parts.is_some())
}

/// Reads `text` with `read`, unless it exceeds the size of one value.
fn read_value<T>(
    text: &str,
    read: impl FnOnce(&str, &mut Faults) -> Option<T>,
) -> Result<T, RecordErrors> {
    let mut faults = Faults::default();
    let found = text.len();
    let value = if found > MAX_VALUE_BYTES {
        let kind = FaultKind::TooLong { found, max: MAX_VALUE_BYTES };
        faults.push(Place::of(RecordKind::Head), kind);
        None
    } else {
        read(text, &mut faults)
    };
    faults.finish(value)
}

/// The JSON form of a head.
#[derive(Debug, Serialize)]
struct HeadText<'a> {
    schema_version: SchemaVersion,
    generation: Generation,
    digest: Digest,
    base: SetVersion,
    parts: &'a [Digest],
    after: Generation,
    changes: &'a [Change],
}

/// The JSON form of a change set, which processes forward to each other.
#[derive(Debug, Serialize)]
struct ChangeSetText<'a> {
    schema_version: SchemaVersion,
    generation: Generation,
    digest: Digest,
    after: Generation,
    changes: &'a [Change],
}
