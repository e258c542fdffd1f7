//! What waits at a target, by urgency.

use std::ops;

use crate::urgency;

/// The urgent and the deferred part of the work that waits at a target; the rest is of middle
/// urgency. The default therefore also describes work of unknown urgency.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitingMix {
    /// Work of [`urgency::UrgencyClass::Urgent`].
    pub urgent: urgency::WaitingWork,
    /// Work of [`urgency::UrgencyClass::Deferred`].
    pub deferred: urgency::WaitingWork,
}

impl WaitingMix {
    /// Returns this mix minus `part`.
    #[must_use]
    pub const fn without(self, part: Self) -> Self {
        Self {
            urgent: self.urgent.without(part.urgent),
            deferred: self.deferred.without(part.deferred),
        }
    }

    /// Returns the part of `total` that is of this urgency or more urgent.
    #[must_use]
    pub const fn up_to(
        &self,
        class: urgency::UrgencyClass,
        total: urgency::WaitingWork,
    ) -> urgency::WaitingWork {
        match class {
            // The parts may have been counted a moment apart from the total.
            urgency::UrgencyClass::Urgent => total.without(total.without(self.urgent)),
            urgency::UrgencyClass::Middle => total.without(self.deferred),
            urgency::UrgencyClass::Deferred => total,
        }
    }
}

impl ops::AddAssign for WaitingMix {
    fn add_assign(&mut self, rhs: Self) {
        self.urgent += rhs.urgent;
        self.deferred += rhs.deferred;
    }
}
