//! Validation faults of published records, each with its location and remedy.

use std::fmt;

use thiserror::Error;

use crate::{EndpointName, MAX_FAULTS, MAX_NAME_CHARS, ModelName, ServiceName, WorkspaceName};

/// Maximum number of characters of a published text that a fault quotes.
const MAX_QUOTE_CHARS: usize = 120;

/// Number of faults that [`RecordErrors::summary`] prints in full.
const SUMMARY_FAULTS: usize = 3;

/// Kind of record that has a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKind {
    /// The set itself.
    Set,
    /// The head that names a set's parts and changes.
    Head,
    /// A part of a set.
    Part,
    /// A change to one record.
    Change,
    /// The fleet policy.
    Policy,
    /// A workspace.
    Workspace,
    /// An endpoint.
    Endpoint,
}

impl RecordKind {
    /// Returns the name of the kind in messages, which is that of its field in the published text.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Set => "set",
            Self::Head => "head",
            Self::Part => "parts",
            Self::Change => "changes",
            Self::Policy => "policy",
            Self::Workspace => "workspaces",
            Self::Endpoint => "endpoints",
        }
    }
}

/// Location of a fault, written as `workspaces[3] (swap-desk), limits.quick.in_progress`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The kind of record.
    pub kind: RecordKind,
    /// The record's position in its list, from 0.
    pub index: Option<usize>,
    /// The record's name, if it could be read.
    pub name: Option<String>,
    /// The path of the field, with dots between an object and its fields; `None` for the whole
    /// record.
    pub field: Option<String>,
}

impl Place {
    /// Creates the location of a record that isn't in a list.
    pub fn of(kind: RecordKind) -> Self {
        Self { kind, index: None, name: None, field: None }
    }

    /// Creates the location of the record at `index` in its list.
    pub fn at(kind: RecordKind, index: usize) -> Self {
        Self { index: Some(index), ..Self::of(kind) }
    }

    /// Adds the record's name.
    #[must_use]
    pub fn with_name(mut self, name: &str) -> Self {
        self.name = Some(quote(name));
        self
    }

    /// Narrows the location to a field.
    #[must_use]
    pub fn with_field(mut self, field: impl Into<String>) -> Self {
        self.field = Some(field.into());
        self
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.kind.as_str())?;
        if let Some(index) = self.index {
            write!(f, "[{index}]")?;
        }
        if let Some(name) = &self.name {
            write!(f, " ({name})")?;
        }
        match &self.field {
            Some(field) => write!(f, ", {field}"),
            None => Ok(()),
        }
    }
}

/// Kind of fault; its message includes the remedy.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum FaultKind {
    /// A text longer than permitted.
    #[error("has {found} bytes, over the {max} permitted; remove records that are no longer used")]
    TooLong {
        /// Number of bytes found.
        found: usize,
        /// Maximum number of bytes.
        max: usize,
    },
    /// A text that isn't valid JSON.
    #[error("can't be read: {detail}; correct the JSON there")]
    Syntax {
        /// The message of the JSON parser.
        detail: String,
    },
    /// An unknown schema version.
    #[error("schema version isn't supported; publish schema_version 1 or 2")]
    UnsupportedSchema,
    /// A required field that is absent.
    #[error("is missing; add it")]
    MissingField,
    /// A field that this schema version doesn't have.
    #[error("isn't a field of this schema version; remove it or correct its name")]
    UnknownField,
    /// A field that occurs more than once in an object.
    #[error("occurs more than once; keep one")]
    RepeatedField,
    /// A value of the wrong type or range.
    #[error("can't be read ({detail}); write {expected}")]
    WrongValue {
        /// The message of the JSON parser.
        detail: String,
        /// The expected value.
        expected: &'static str,
    },
    /// A value that isn't a key digest.
    #[error(
        "isn't a key digest; write the 64 hexadecimal digits that `persimmonctl digest` prints"
    )]
    NotKeyDigest,
    /// Generation 0, which is reserved for "no records yet".
    #[error("is 0, but generations start at 1; publish a generation above the last one")]
    ZeroGeneration,
    /// A list with too many entries.
    #[error("has {found} entries, over the {max} permitted; remove those no longer used")]
    TooMany {
        /// Number of entries found.
        found: usize,
        /// Maximum number of entries.
        max: usize,
    },
    /// A name that is empty or too long.
    #[error("has {found} characters; write a name of 1 to {MAX_NAME_CHARS}")]
    NameLength {
        /// Number of characters found.
        found: usize,
    },
    /// A name with characters that aren't permitted.
    #[error(
        "has characters that a name must not have; use letters a-z, A-Z, digits, `-`, `_` and \
             `.`, with a letter or digit first"
    )]
    NameCharacters,
    /// A name that an earlier record of the same kind has.
    #[error("is also the name of the record at [{first}]; rename one")]
    DuplicateName {
        /// The position of the earlier record.
        first: usize,
    },
    /// A key digest that another workspace has.
    #[error("is also a key of workspace {other}; give each workspace keys of its own")]
    DuplicateKeyDigest {
        /// The other workspace.
        other: WorkspaceName,
    },
    /// An entry that occurs earlier in the same list.
    #[error("occurs earlier in the list; remove one")]
    DuplicateEntry,
    /// An endpoint with 0 slots, which could run no requests.
    #[error("is 0; write how many requests the endpoint runs at once, or remove the endpoint")]
    ZeroSlots,
    /// An unspecified address such as 0.0.0.0, to which no process can connect.
    #[error("is an unspecified address; write the one at which the sidecar is reached")]
    UnspecifiedAddress,
    /// An address with port 0.
    #[error("has port 0; write the port at which the sidecar listens")]
    ZeroPort,
    /// An address that another endpoint has.
    #[error("is also the address of endpoint {other}; give each sidecar its own address")]
    DuplicateAddress {
        /// The other endpoint.
        other: EndpointName,
    },
    /// A model that no endpoint serves.
    #[error("names model {0}, which no endpoint serves; correct the name or add an endpoint")]
    UnknownModel(ModelName),
    /// A service that no endpoint serves.
    #[error("names service {0}, which no endpoint serves; correct the name or add an endpoint")]
    UnknownService(ServiceName),
    /// An endpoint that isn't in the set.
    #[error("names endpoint {0}, which isn't in the set; correct the name or add it")]
    UnknownEndpoint(EndpointName),
    /// A load multiple below 1.
    #[error("is {found}; write a number of at least 1, since some endpoint has at least the mean")]
    MultipleBelowOne {
        /// The number found.
        found: f64,
    },
    /// A share outside the range from 0 to 1.
    #[error("is {found}; write a share from 0 to 1")]
    ShareOutside {
        /// The number found.
        found: f64,
    },
    /// A head whose changes begin after its base, or whose base is newer than its version.
    #[error("isn't within the changes; publish the output of `persimmonctl publish-form`")]
    BaseOutsideChanges,
    /// A change whose generation is out of order.
    #[error("is out of order; list changes from the oldest, after `after` and up to `generation`")]
    ChangeOutOfOrder,
    /// A change without a known edit.
    #[error(
        "isn't a known edit; write one of set_policy, upsert_workspace, remove_workspace, \
             upsert_endpoint and remove_endpoint"
    )]
    UnknownEdit,
    /// A load floor of 0, with which an idle fleet would admit no requests.
    #[error("is 0, so an idle fleet would admit no requests; write at least 1")]
    ZeroLoadFloor,
    /// A rate of 0 model loads per minute, at which no engine would ever load another model.
    #[error("is 0, so no engine could load another model; write at least 1")]
    ZeroLoadRate,
}

impl FaultKind {
    /// Creates the fault of a value that isn't as `expected`, from the JSON parser's error.
    pub(crate) fn wrong_value(error: &serde_json::Error, expected: &'static str) -> Self {
        Self::WrongValue { detail: without_position(error), expected }
    }

    /// Creates the fault of a text that isn't valid JSON, from the JSON parser's error.
    pub(crate) fn syntax(error: &serde_json::Error) -> Self {
        Self::Syntax { detail: quote(&error.to_string()) }
    }
}

/// Fault and its location.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("{place}: {kind}")]
pub struct Fault {
    /// The place in the published text.
    pub place: Place,
    /// The kind of fault.
    pub kind: FaultKind,
}

/// Faults of a published text, ordered by kind of record and position.
#[derive(Debug, Clone, PartialEq, Error)]
pub struct RecordErrors {
    /// The reported faults, at least one and at most [`MAX_FAULTS`].
    pub faults: Vec<Fault>,
    /// The number of further faults.
    pub omitted: usize,
}

impl RecordErrors {
    /// Returns the first faults and the number of others, for a log line or a status page.
    pub fn summary(&self) -> String {
        let first: Vec<_> = self.faults.iter().take(SUMMARY_FAULTS).map(Fault::to_string).collect();
        let shown = first.join("; also ");
        match self.faults.len().saturating_sub(SUMMARY_FAULTS) + self.omitted {
            0 => shown,
            more => format!("{shown}; and {more} more, listed by `persimmonctl check`"),
        }
    }
}

impl fmt::Display for RecordErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        if self.omitted > 0 {
            write!(f, "\nand {} more faults; correct these first", self.omitted)?;
        }
        Ok(())
    }
}

/// Collector of the faults of a text while it is being read.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    faults: Vec<Fault>,
    omitted: usize,
}

impl Faults {
    pub(crate) fn push(&mut self, place: Place, kind: FaultKind) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(Fault { place, kind });
        } else {
            self.omitted += 1;
        }
    }

    /// Returns the faults as an error, ordered by kind and position, if there are any.
    pub(crate) fn into_result(self) -> Result<(), RecordErrors> {
        if self.faults.is_empty() { Ok(()) } else { Err(self.into_errors()) }
    }

    /// Returns `value` if there are no faults. A reader that returns `None` must have reported a
    /// fault.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, RecordErrors> {
        debug_assert!(value.is_some() || !self.faults.is_empty());
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => Err(self.into_errors()),
        }
    }

    fn into_errors(mut self) -> RecordErrors {
        self.faults.sort_by_key(|fault| (fault.place.kind, fault.place.index));
        RecordErrors { faults: self.faults, omitted: self.omitted }
    }
}

/// Returns the start of a published text without control characters, to quote in a message.
pub(crate) fn quote(text: &str) -> String {
    text.chars().filter(|char| !char.is_control()).take(MAX_QUOTE_CHARS).collect()
}

/// Returns the start of a name, to quote in a message.
pub(crate) fn shortened(name: &str) -> &str {
    let end = name.char_indices().nth(MAX_NAME_CHARS).map_or(name.len(), |(at, _)| at);
    &name[..end]
}

/// Returns the message of `error` without its line and column, which would be misleading as they
/// count from the start of the field.
fn without_position(error: &serde_json::Error) -> String {
    let message = error.to_string();
    let end = message.rfind(" at line ").unwrap_or(message.len());
    quote(&message[..end])
}
