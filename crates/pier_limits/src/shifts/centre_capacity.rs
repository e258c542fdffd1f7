//! How much load a data centre can handle now.

use pier_types::sizes;

use crate::shifts;

/// The load that a data centre's targets can handle now, compared with that of all its wanted
/// targets when warm.
///
/// A cold target counts with what it can handle while cold: it warms up only by serving requests,
/// and would stay cold without any.
///
/// ```
/// use pier_limits::shifts;
/// use pier_types::sizes;
///
/// let mut capacity = shifts::CentreCapacity::default();
/// capacity.add_wanted(sizes::RequestCount::new(24), 2);
/// capacity.add_serving(sizes::RequestCount::new(24));
/// capacity.add_serving(sizes::RequestCount::new(3));
/// assert_eq!(capacity.available_part().get(), 562);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CentreCapacity {
    wanted: u64,
    serving: u64,
}

impl CentreCapacity {
    /// Adds wanted targets, with the limit of each one when warm.
    pub fn add_wanted(&mut self, warm_limit: sizes::RequestCount, targets: u64) {
        let limits = u64::from(warm_limit.get()).saturating_mul(targets);
        self.wanted = self.wanted.saturating_add(limits);
    }

    /// Adds a serving target, with its current limit.
    pub fn add_serving(&mut self, current_limit: sizes::RequestCount) {
        self.serving = self.serving.saturating_add(current_limit.get().into());
    }

    /// Returns the part of the wanted capacity that can be served now; the whole if no targets
    /// are wanted.
    pub fn available_part(self) -> shifts::ShiftWeight {
        shifts::ShiftWeight::from_ratio(self.serving, self.wanted)
    }
}
