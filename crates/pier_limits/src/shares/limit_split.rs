//! The two parts of a limit.

use pier_types::sizes;

/// One part in this many of a limit is split by slot; the rest is lent.
const FIXED_DIVISOR: u32 = 4;

/// One part in this many of the pool is the most that one of many nodes may hold.
const NODE_DIVISOR: u32 = 4;

/// A limit's fixed part and its pool; together they are the limit, at every moment.
///
/// Neither part is ever used for the other, so that going from lent shares to the fixed split and
/// back counts nothing twice.
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
    /// Split over the slots, whether or not somebody can be asked.
    pub fixed: sizes::RequestCount,
    /// Lent by the lease holder.
    pub pool: sizes::RequestCount,
}

impl LimitSplit {
    /// Splits a limit; both parts only rise when the limit rises.
    pub const fn of(limit: sizes::RequestCount) -> Self {
        let fixed = limit.get() / FIXED_DIVISOR;
        Self {
            fixed: sizes::RequestCount::new(fixed),
            pool: sizes::RequestCount::new(limit.get() - fixed),
        }
    }

    /// Returns the most of the pool that one node may hold: a quarter, or an equal part where there
    /// are fewer slots; at least 1 while there is a pool.
    ///
    /// It bounds what a node that was not heard of since a change of the lease holder may have.
    pub fn node_cap(self, slots: u32) -> sizes::RequestCount {
        let divisor = slots.clamp(1, NODE_DIVISOR);
        sizes::RequestCount::new(self.pool.get().div_ceil(divisor))
    }
}
