//! The targets that currently take requests.

use std::{collections, sync};

use pier_types::ids;

use crate::state;

/// The targets of each service.
#[derive(Debug, Default)]
pub(crate) struct ServingTable {
    pub services: collections::BTreeMap<ids::ServiceName, ServicePool>,
}

/// The targets of one service.
#[derive(Debug, Default)]
pub(crate) struct ServicePool {
    /// Targets of a plain service.
    pub plain: Vec<sync::Arc<state::TargetSlot>>,
    /// First members of serving groups, by model.
    pub groups: collections::BTreeMap<ids::ModelName, Vec<sync::Arc<state::TargetSlot>>>,
}

impl ServicePool {
    /// Returns the number of targets.
    pub(crate) fn count(&self) -> usize {
        self.slots().count()
    }

    /// Returns all targets.
    pub(crate) fn slots(&self) -> impl Iterator<Item = &sync::Arc<state::TargetSlot>> {
        self.plain.iter().chain(self.groups.values().flatten())
    }

    /// Returns the targets for a request; the model matters only for services with groups.
    pub(crate) fn candidates(
        &self,
        model: Option<&ids::ModelName>,
    ) -> &[sync::Arc<state::TargetSlot>] {
        match model {
            Some(model) if !self.groups.is_empty() => {
                self.groups.get(model).map_or(&[], Vec::as_slice)
            }
            _ => &self.plain,
        }
    }
}
