//! What a data centre bears now.

use pier_types::sizes;

use crate::shifts;

/// What a data centre's targets bear now, against what all that are wanted bear when warm.
///
/// A cold target counts with what it bears while cold: it gets warm by work, and with none it
/// would stay cold.
///
/// ```
/// use pier_limits::shifts;
/// use pier_types::sizes;
///
/// let mut capacity = shifts::CentreCapacity::default();
/// capacity.want(sizes::RequestCount::new(24), 2);
/// capacity.serve(sizes::RequestCount::new(24));
/// capacity.serve(sizes::RequestCount::new(3));
/// assert_eq!(capacity.part().get(), 562);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CentreCapacity {
    wanted: u64,
    serving: u64,
}

impl CentreCapacity {
    /// Adds targets that are wanted, with the limit of each when warm.
    pub fn want(&mut self, warm_limit: sizes::RequestCount, targets: u64) {
        let limits = u64::from(warm_limit.get()).saturating_mul(targets);
        self.wanted = self.wanted.saturating_add(limits);
    }

    /// Adds a target that serves, with what it bears now.
    pub fn serve(&mut self, bearable: sizes::RequestCount) {
        self.serving = self.serving.saturating_add(bearable.get().into());
    }

    /// Returns which part of what is wanted can be borne; the whole where nothing is wanted.
    pub fn part(self) -> shifts::ShiftWeight {
        shifts::ShiftWeight::of_parts(self.serving, self.wanted)
    }
}
