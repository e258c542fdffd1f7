//! The registrations as a steward knows them.

use std::collections;

use pier_fleet::targets;
use pier_types::{epochs, ids, times};
use serde::{Deserialize, Serialize};

use crate::{links, state};

/// The registrations and marks that a steward has read of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoreSnapshot {
    /// Version of the store; changes up to it are included, and later ones may be.
    pub at: epochs::ObjectVersion,
    /// Data centres that are out of service.
    pub out_of_service: collections::BTreeSet<ids::DataCentreName>,
    pub targets: Vec<targets::TargetEntry>,
}

impl StoreSnapshot {
    /// Returns what this node knows; `None` if it has not read the store yet.
    pub(super) fn take<P: links::FleetPlatform>(
        state: &state::EdgeState<P>,
        now: times::BootTime,
    ) -> Option<Self> {
        // The version is read first, so that no change before it can be missing.
        let at = state.with_follower(|follower| follower.version())?;
        let out_of_service = (*state.out_of_service()).clone();
        let targets = state.with_registry(|registry| {
            let records = registry.records().values();
            let listed = records.filter(|record| record.ends_at.is_none());
            let entries = listed.map(|record| targets::TargetEntry {
                cold_left: record.cold_until.since(now),
                ..record.entry.clone()
            });
            entries.collect()
        });
        Some(Self {
            at,
            out_of_service,
            targets,
        })
    }
}
