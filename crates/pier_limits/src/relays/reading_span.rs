//! The time span of a reading of the platform.

use pier_types::times;

/// Bounds of the time at which the platform answered, by this node's own clock.
///
/// ```
/// use pier_limits::relays;
/// use pier_types::times;
///
/// let at = times::BootTime::from_millis;
/// let early = relays::ReadingSpan { from: at(10), to: at(30) };
/// let late = relays::ReadingSpan { from: at(30), to: at(40) };
/// assert!(late.follows(early));
/// assert!(!early.follows(late));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadingSpan {
    /// The platform answered at this time or later.
    pub from: times::BootTime,
    /// The platform answered at this time or earlier.
    pub to: times::BootTime,
}

impl ReadingSpan {
    /// Returns whether this reading certainly came after another one.
    pub fn follows(self, earlier: Self) -> bool {
        self.from >= earlier.to
    }

    /// Returns the span of a list that both readings returned; a different list has to follow
    /// both of them to replace it.
    #[must_use]
    pub fn joined(self, other: Self) -> Self {
        Self {
            from: self.from.max(other.from),
            to: self.to.max(other.to),
        }
    }
}
