//! The urgency of the loads in a message.

use pier_fleet::{loads, urgency};
use serde::{Deserialize, Serialize};

use crate::peers;

/// The urgency of what waits at the targets in a message, in the message's order. Targets where
/// nothing waits are left out, and all are if everything is of middle urgency.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LoadMixes(Vec<LoadMix>);

/// The urgency of what waits at one target. Where it is the same for all, it takes one byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum LoadMix {
    Middle,
    Urgent,
    Deferred,
    Mixed {
        urgent: urgency::WaitingWork,
        deferred: urgency::WaitingWork,
    },
}

impl LoadMixes {
    /// Returns the urgency of the loads in a message.
    pub(super) fn of(message: &peers::PeerMessage) -> Self {
        let waiting = message.loads().filter(|load| load.waiting > 0);
        let mixes: Vec<_> = waiting.map(LoadMix::of).collect();
        let is_plain = mixes.iter().all(|mix| *mix == LoadMix::Middle);
        Self(if is_plain { Vec::new() } else { mixes })
    }

    /// Sets the urgency of the loads in the message that this came with.
    pub(super) fn apply(&self, message: &mut peers::PeerMessage) {
        let waiting = message.loads_mut().filter(|load| load.waiting > 0);
        for (load, mix) in waiting.zip(&self.0) {
            load.mix = mix.of_load(load);
        }
    }
}

impl LoadMix {
    fn of(load: &loads::TargetLoad) -> Self {
        let all = waiting_work(load);
        let urgency::WaitingMix { urgent, deferred } = load.mix;
        let none = urgency::WaitingWork::default();
        if urgent == all {
            Self::Urgent
        } else if deferred == all {
            Self::Deferred
        } else if urgent == none && deferred == none {
            Self::Middle
        } else {
            Self::Mixed { urgent, deferred }
        }
    }

    fn of_load(self, load: &loads::TargetLoad) -> urgency::WaitingMix {
        let all = waiting_work(load);
        let none = urgency::WaitingWork::default();
        let (urgent, deferred) = match self {
            Self::Middle => (none, none),
            Self::Urgent => (all, none),
            Self::Deferred => (none, all),
            Self::Mixed { urgent, deferred } => (urgent, deferred),
        };
        urgency::WaitingMix { urgent, deferred }
    }
}

const fn waiting_work(load: &loads::TargetLoad) -> urgency::WaitingWork {
    urgency::WaitingWork {
        requests: load.waiting,
        prompt: load.waiting_prompt,
    }
}
