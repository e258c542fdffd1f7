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

    /// Returns how many requests compete with those of a class for each one that is sent, 1 or more:
    /// all that arrive of this and more urgent classes, and the less urgent ones that are sent.
    pub fn competing_per_send(&self, class: urgency::UrgencyClass) -> f64 {
        let classes = urgency::UrgencyClass::ALL.iter();
        let competing: u32 = classes
            .map(|other| {
                let demand = self.of(*other);
                if *other <= class {
                    demand.wanted_permille
                } else {
                    demand.sent_permille
                }
            })
            .sum();
        f64::from(competing.max(1_000)) / 1_000.0
    }

    /// Returns the mean prompt tokens of the requests that arrived; `None` if none did.
    pub fn mean_prompt(&self) -> Option<f64> {
        let (mut requests, mut tokens) = (0.0, 0.0);
        for class in &self.classes {
            let wanted = f64::from(class.wanted_permille);
            requests += wanted;
            tokens += wanted * class.prompt as f64;
        }
        (requests > 0.0).then(|| tokens / requests)
    }

    /// Returns whether requests of another class than this one arrived lately.
    pub fn has_others(&self, class: urgency::UrgencyClass) -> bool {
        let others = urgency::UrgencyClass::ALL.iter();
        let mut others = others.filter(|other| **other != class);
        others.any(|other| self.of(*other).objective.is_some())
    }
}
