//! Revisions of a store that may come back from an older copy.

/// Combines the era of the store with a revision in it into a position, which only rises.
///
/// A store that comes back from a copy gives out revisions again that it had given out before. Each
/// restoration begins an era, so that positions of a later era come after all of an earlier one. A store
/// that names no era is in era 0, where a position is the revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Number of bits of a revision in a position.
    const REVISION_BITS: u32 = 44;
    const MAX_REVISION: u64 = (1 << Self::REVISION_BITS) - 1;
    const MAX_ERA: u64 = u64::MAX >> Self::REVISION_BITS;

    /// Returns the position of a revision in this era.
    pub fn position(self, revision: u64) -> u64 {
        (self.0.min(Self::MAX_ERA) << Self::REVISION_BITS) | revision.min(Self::MAX_REVISION)
    }

    /// Returns the era of a position.
    pub fn of(position: u64) -> Self {
        Self(position >> Self::REVISION_BITS)
    }

    /// Returns the revision of a position in its era.
    pub fn revision(position: u64) -> u64 {
        position & Self::MAX_REVISION
    }
}
