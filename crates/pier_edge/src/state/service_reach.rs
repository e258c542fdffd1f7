//! Which services this node reaches no target of.

use std::{collections, sync};

use pier_types::ids;

use crate::state;

/// Connections in a row that failed after which a service counts as cut off.
const CUT_OFF_FAILURES: u32 = 3;

/// Counts the connections to targets of each service that failed since the last one that succeeded.
#[derive(Debug, Default)]
pub(crate) struct ServiceReach {
    failures: sync::Mutex<collections::BTreeMap<ids::ServiceName, u32>>,
}

impl ServiceReach {
    /// Records an attempt to connect to a target.
    pub(crate) fn record(&self, service: &ids::ServiceName, has_connected: bool) {
        let mut failures = state::lock(&self.failures);
        if has_connected {
            failures.remove(service);
        } else {
            let count = failures.entry(service.clone()).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Returns whether the last connections to targets of a service all failed.
    pub(crate) fn is_cut_off(&self, service: &ids::ServiceName) -> bool {
        let failures = state::lock(&self.failures);
        failures
            .get(service)
            .is_some_and(|count| *count >= CUT_OFF_FAILURES)
    }
}
