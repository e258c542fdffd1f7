//! Counts of waiting requests by urgency.

use std::sync::atomic;

use pier_fleet::urgency;

const RELAXED: atomic::Ordering = atomic::Ordering::Relaxed;

/// Counts the waiting requests at a target that are not of middle urgency.
#[derive(Debug, Default)]
pub(crate) struct MixGauge {
    urgent: WorkGauge,
    deferred: WorkGauge,
}

#[derive(Debug, Default)]
struct WorkGauge {
    requests: atomic::AtomicU32,
    prompt: atomic::AtomicU64,
}

impl MixGauge {
    pub(crate) fn add(&self, class: urgency::UrgencyClass, prompt: u64) {
        if let Some(work) = self.of(class) {
            work.requests.fetch_add(1, RELAXED);
            work.prompt.fetch_add(prompt, RELAXED);
        }
    }

    /// Takes back what [`Self::add`] counted.
    pub(crate) fn remove(&self, class: urgency::UrgencyClass, prompt: u64) {
        if let Some(work) = self.of(class) {
            work.requests.fetch_sub(1, RELAXED);
            work.prompt.fetch_sub(prompt, RELAXED);
        }
    }

    pub(crate) fn get(&self) -> urgency::WaitingMix {
        urgency::WaitingMix {
            urgent: self.urgent.get(),
            deferred: self.deferred.get(),
        }
    }

    pub(crate) fn set(&self, mix: urgency::WaitingMix) {
        self.urgent.set(mix.urgent);
        self.deferred.set(mix.deferred);
    }

    const fn of(&self, class: urgency::UrgencyClass) -> Option<&WorkGauge> {
        match class {
            urgency::UrgencyClass::Urgent => Some(&self.urgent),
            urgency::UrgencyClass::Middle => None,
            urgency::UrgencyClass::Deferred => Some(&self.deferred),
        }
    }
}

impl WorkGauge {
    fn get(&self) -> urgency::WaitingWork {
        urgency::WaitingWork {
            requests: self.requests.load(RELAXED),
            prompt: self.prompt.load(RELAXED),
        }
    }

    fn set(&self, work: urgency::WaitingWork) {
        self.requests.store(work.requests, RELAXED);
        self.prompt.store(work.prompt, RELAXED);
    }
}
