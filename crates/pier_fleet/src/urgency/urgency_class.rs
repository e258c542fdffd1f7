//! The urgency of a request.

use std::fmt;

/// Urgency of a request, the most urgent first. Targets start waiting requests in this order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum UrgencyClass {
    /// Rank 0, and streams that are resumed.
    Urgent,
    /// Rank 1, and requests of nodes that do not tell the urgency.
    #[default]
    Middle,
    /// Rank 2 and above.
    Deferred,
}

impl UrgencyClass {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Middle, Self::Deferred];

    /// Returns the class of a priority rank.
    pub const fn of_rank(rank: u8) -> Self {
        match rank {
            0 => Self::Urgent,
            1 => Self::Middle,
            _ => Self::Deferred,
        }
    }

    /// Returns the position in [`Self::ALL`].
    pub const fn position(self) -> usize {
        match self {
            Self::Urgent => 0,
            Self::Middle => 1,
            Self::Deferred => 2,
        }
    }

    /// Returns the classes that are more urgent than this one.
    pub fn more_urgent(self) -> &'static [Self] {
        &Self::ALL[..self.position()]
    }

    /// Returns the name in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Middle => "middle",
            Self::Deferred => "deferred",
        }
    }
}

impl fmt::Display for UrgencyClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
