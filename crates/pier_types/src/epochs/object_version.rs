//! Versions of a store that may come back from an older copy of itself.

use crate::epochs;

/// Bits of a version that hold the revision; the store's numbers fit in them.
const REVISION_BITS: u32 = 48;

const REVISION_MASK: u64 = (1 << REVISION_BITS) - 1;

const MAX_ERA: u64 = u64::MAX >> REVISION_BITS;

impl epochs::ObjectVersion {
    /// Creates the version of a revision in an era of the store; a revision of 0, for an object that
    /// does not exist, is the same in all eras.
    ///
    /// Each version of a later era is above all versions of the earlier ones.
    pub const fn in_era(era: epochs::StoreEra, revision: u64) -> Self {
        if revision == 0 {
            return Self::new(0);
        }
        let era = if era.get() > MAX_ERA {
            MAX_ERA
        } else {
            era.get()
        };
        Self::new(era << REVISION_BITS | revision & REVISION_MASK)
    }

    /// Returns the era; 0 for a store without eras, and for an object that does not exist.
    pub const fn era(self) -> epochs::StoreEra {
        epochs::StoreEra::new(self.get() >> REVISION_BITS)
    }

    /// Returns the revision within the era.
    pub const fn revision(self) -> u64 {
        self.get() & REVISION_MASK
    }
}
