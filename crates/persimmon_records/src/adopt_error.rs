//! Errors that prevent a process from adopting a published set or change set.

use thiserror::Error;

use crate::{Digest, Generation, RecordErrors, SetVersion};

/// The reason why a published set or change set can't be adopted. The current set stays in force.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum AdoptError {
    /// The resulting set has faults.
    #[error(transparent)]
    Faults(#[from] RecordErrors),
    /// The set in force is of the same or a later generation.
    #[error("generation {published} isn't above {have}, which is in force; publish a higher one")]
    NotNewer {
        /// The published generation.
        published: Generation,
        /// The generation in force.
        have: Generation,
    },
    /// The generations between the set in force and the first change are missing.
    #[error(
        "generation {have} is in force, but the changes begin after {after}; read the whole set"
    )]
    Gap {
        /// The generation in force.
        have: Generation,
        /// The generation before the first change.
        after: Generation,
    },
    /// The set built from the changes or parts differs from the published one.
    #[error(
        "the resulting records have the digest {}, but {published} was published; read the whole \
         set; if that fails too, two operators published at once: publish the next generation",
        found.short()
    )]
    Content {
        /// The published version.
        published: SetVersion,
        /// The digest of the set that was built.
        found: Digest,
    },
    /// The number of parts read differs from the number that the head lists.
    #[error("{found} parts were read, but the head lists {expected}; read each part once")]
    PartCount {
        /// Number of parts read.
        found: usize,
        /// Number of parts that the head lists.
        expected: usize,
    },
    /// The content of a part doesn't match the digest in its key.
    #[error("part {index} doesn't match the digest in its key; read or publish it again")]
    PartContent {
        /// The part's position in the head, from 0.
        index: usize,
    },
}
