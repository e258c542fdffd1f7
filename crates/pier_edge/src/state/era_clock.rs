//! The era of the store, which rises when it comes back from an older copy of itself.

use std::{sync, time};

use pier_types::{epochs, times};
use tokio::sync::watch;

use crate::{links, state};

/// Time that the operator and the VMs may need to write again what the copy lacks.
const CATCH_UP_TIME: time::Duration = time::Duration::from_secs(5);

/// The known era, and when it rose last.
#[derive(Debug, Default)]
pub(super) struct EraClock {
    known: sync::Mutex<Option<epochs::StoreEra>>,
    risen_at: watch::Sender<Option<times::BootTime>>,
}

impl EraClock {
    /// Records the era of an answer; returns whether it is later than that of an earlier answer.
    fn observe(&self, era: epochs::StoreEra, now: times::BootTime) -> bool {
        let mut known = state::lock(&self.known);
        let former = *known;
        *known = former.max(Some(era));
        let has_risen = former.is_some_and(|former| former < era);
        if has_risen {
            self.risen_at.send_replace(Some(now));
        }
        has_risen
    }

    fn is_catching_up(&self, now: times::BootTime) -> bool {
        let risen_at = *self.risen_at.borrow();
        risen_at.is_some_and(|at| now.since(at) < CATCH_UP_TIME)
    }
}

impl<P: links::FleetPlatform> state::EdgeState<P> {
    /// Records the era of an answer of the store. When it has risen, missing registrations may still
    /// come back, and what this node wrote is written again.
    pub(crate) fn observe_era(&self, version: epochs::ObjectVersion, now: times::BootTime) {
        if !self.shared.era.observe(version.era(), now) {
            return;
        }
        log::warn!(event = "store-copy", era:% = version.era(); "");
        self.with_registry(|registry| registry.note_store_copy(now.after(CATCH_UP_TIME), now));
        self.crashes().write_again();
    }

    /// Returns whether the store has come back from a copy so recently that marks may be missing
    /// which the operator will write again.
    pub(crate) fn is_catching_up(&self, now: times::BootTime) -> bool {
        self.shared.era.is_catching_up(now)
    }

    /// Returns a receiver that changes when the store comes back from a copy from now on.
    pub(crate) fn watch_era(&self) -> watch::Receiver<Option<times::BootTime>> {
        self.shared.era.risen_at.subscribe()
    }
}
