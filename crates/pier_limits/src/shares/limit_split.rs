//! The two parts of a limit.

use pier_types::sizes;

/// One part in this many of a limit is split by slot; the rest is granted on request.
const FIXED_DIVISOR: u32 = 4;

/// One part in this many of the pool is the maximum that one of many nodes may hold.
const NODE_DIVISOR: u32 = 4;

/// A limit's fixed part and its pool, which always add up to the limit.
///
/// Neither part is ever used for the other, so that nothing is counted twice when nodes change
/// from granted shares to the fixed split and back.
///
/// ```
/// use pier_limits::shares;
/// use pier_types::sizes;
///
/// let split = shares::LimitSplit::of(sizes::RequestCount::new(64));
/// assert_eq!((split.fixed.get(), split.pool.get()), (16, 48));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSplit {
    /// Split over the slots; needs no lease holder.
    pub fixed: sizes::RequestCount,
    /// Granted by the lease holder.
    pub pool: sizes::RequestCount,
}

impl LimitSplit {
    /// Splits a limit; when the limit rises, neither part falls.
    pub const fn of(limit: sizes::RequestCount) -> Self {
        let fixed = limit.get() / FIXED_DIVISOR;
        Self {
            fixed: sizes::RequestCount::new(fixed),
            pool: sizes::RequestCount::new(limit.get() - fixed),
        }
    }

    /// Returns the maximum of the pool that one node may hold: a quarter, or an equal part if
    /// there are fewer than four slots; at least 1 unless the pool is empty.
    ///
    /// This is also the upper bound for a node that has not reported since the lease holder
    /// changed.
    pub fn node_cap(self, slots: u32) -> sizes::RequestCount {
        let divisor = slots.clamp(1, NODE_DIVISOR);
        sizes::RequestCount::new(self.pool.get().div_ceil(divisor))
    }
}
