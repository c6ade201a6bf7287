//! Why a published set or change set can't be adopted.

use thiserror::Error;

use crate::{Digest, Generation, RecordErrors, SetVersion};

/// Why a published set or change set can't be adopted. The set in force stays as it is.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum AdoptError {
    /// The set that results has faults.
    #[error(transparent)]
    Faults(#[from] RecordErrors),
    /// The set in force is as new or newer.
    #[error("generation {published} isn't above {have}, which is in force; publish a higher one")]
    NotNewer {
        /// The generation published.
        published: Generation,
        /// The generation in force.
        have: Generation,
    },
    /// The changes begin after a later generation than the one in force.
    #[error(
        "the changes begin after generation {after}, but {have} is in force; read the whole set"
    )]
    Gap {
        /// The generation in force.
        have: Generation,
        /// The generation after which the changes begin.
        after: Generation,
    },
    /// The changes or parts lead to other content than the publisher had.
    #[error(
        "the records lead to content {}, not to the published {published}; read the whole set, and \
         if it fails too, publish the next generation, since two operators published at once",
        found.short()
    )]
    Content {
        /// The version published.
        published: SetVersion,
        /// The digest that the records have.
        found: Digest,
    },
    /// More or fewer parts were read than the head names.
    #[error("{found} parts were read, but the head names {expected}; read each part once")]
    PartCount {
        /// Parts read.
        found: usize,
        /// Parts named.
        expected: usize,
    },
    /// A part has other content than its key says.
    #[error("part {index} isn't the text that its key names; read it again or publish it again")]
    PartContent {
        /// The part's position in the head, from 0.
        index: usize,
    },
}
