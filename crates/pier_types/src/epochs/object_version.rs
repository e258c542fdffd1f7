//! Versions of a store that may come back from an older copy of itself.

use crate::epochs;

/// Bits of a version that hold the revision: those of a whole number in JSON.
const REVISION_BITS: u32 = 53;

const REVISION_MASK: u64 = (1 << REVISION_BITS) - 1;

const ERA_MASK: u64 = u64::MAX >> REVISION_BITS;

impl epochs::StoreEra {
    /// Returns the part of the era that a version holds.
    #[must_use]
    pub const fn truncated(self) -> Self {
        Self::new(self.get() & ERA_MASK)
    }
}

impl epochs::ObjectVersion {
    /// Creates the version of a revision in an era of the store; a revision of 0, for an object that
    /// does not exist, is the same in all eras.
    ///
    /// Each version of a later era is above all versions of the earlier ones, until the era exceeds
    /// the bits that are left for it.
    pub const fn in_era(era: epochs::StoreEra, revision: u64) -> Self {
        if revision == 0 {
            return Self::new(0);
        }
        Self::new(era.truncated().get() << REVISION_BITS | revision & REVISION_MASK)
    }

    /// Returns the era, truncated; 0 for a store without eras, and for an object that does not exist.
    pub const fn era(self) -> epochs::StoreEra {
        epochs::StoreEra::new(self.get() >> REVISION_BITS)
    }

    /// Returns the revision within the era.
    pub const fn revision(self) -> u64 {
        self.get() & REVISION_MASK
    }
}
