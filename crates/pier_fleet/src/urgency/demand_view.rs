//! The recent demand of all classes.

use crate::urgency;

/// Recent demand by urgency at one model. The default is that of a node which has seen nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DemandView {
    classes: [urgency::ClassDemand; urgency::UrgencyClass::ALL.len()],
}

impl DemandView {
    /// Creates a view from the classes' demand, the most urgent first.
    pub const fn new(classes: [urgency::ClassDemand; urgency::UrgencyClass::ALL.len()]) -> Self {
        Self { classes }
    }

    /// Returns the demand of a class.
    pub const fn of(&self, class: urgency::UrgencyClass) -> &urgency::ClassDemand {
        &self.classes[class.position()]
    }

    /// Returns whether requests of another class than this one arrived lately.
    pub fn has_others(&self, class: urgency::UrgencyClass) -> bool {
        let others = urgency::UrgencyClass::ALL.iter();
        let mut others = others.filter(|other| **other != class);
        others.any(|other| self.of(*other).objective.is_some())
    }
}
