//! Transfer of record sets between processes.

use std::sync::Arc;

use persimmon_records::SetVersion;

use crate::convert::WireError;
use crate::datagram::read_version;
use crate::fleet_capnp as schema;

/// Reply to a process that may have an older record set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordsUpdate {
    /// The replying process has no higher version in force, or no records at all.
    Unchanged {
        /// The version in force at the replying process, if there is one.
        in_force: Option<SetVersion>,
    },
    /// The changes from the requester's version to the one in force, as text.
    Changes {
        /// The version in force.
        in_force: SetVersion,
        /// The change set.
        text: Arc<str>,
    },
    /// The whole set in force, as text.
    Whole {
        /// The version in force.
        in_force: SetVersion,
        /// The set.
        text: Arc<str>,
    },
}

impl RecordsUpdate {
    /// Returns the version in force at the replying process.
    pub fn in_force(&self) -> Option<SetVersion> {
        match self {
            Self::Unchanged { in_force } => *in_force,
            Self::Changes { in_force, .. } | Self::Whole { in_force, .. } => Some(*in_force),
        }
    }

    /// Writes the message.
    pub fn write(&self, mut builder: schema::records_update::Builder<'_>) {
        write_set_version(builder.reborrow().init_in_force(), self.in_force());
        match self {
            Self::Unchanged { .. } => builder.set_unchanged(()),
            Self::Changes { text, .. } => builder.set_changes(&**text),
            Self::Whole { text, .. } => builder.set_whole(&**text),
        }
    }

    /// Reads the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed.
    pub fn read(reader: schema::records_update::Reader<'_>) -> Result<Self, WireError> {
        let in_force = read_set_version(reader.get_in_force()?)?;
        let missing = || WireError::Field("record set version");
        Ok(match reader.which()? {
            schema::records_update::Unchanged(()) => Self::Unchanged { in_force },
            schema::records_update::Changes(text) => Self::Changes {
                in_force: in_force.ok_or_else(missing)?,
                text: Arc::from(text?.to_str()?),
            },
            schema::records_update::Whole(text) => Self::Whole {
                in_force: in_force.ok_or_else(missing)?,
                text: Arc::from(text?.to_str()?),
            },
        })
    }
}

/// Writes the version that is in force at a process; `None` if it has no records.
pub fn write_set_version(mut builder: schema::set_version::Builder<'_>, have: Option<SetVersion>) {
    if let Some(version) = have {
        builder.set_generation(version.generation.0);
        builder.set_digest(version.digest.as_bytes());
    }
}

/// Reads the version that is in force at a process; `None` if it has no records.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub fn read_set_version(
    reader: schema::set_version::Reader<'_>,
) -> Result<Option<SetVersion>, WireError> {
    Ok(read_version(reader.get_generation(), reader.get_digest()?))
}
