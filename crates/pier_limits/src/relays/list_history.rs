//! The recent changes of the VM list.

use std::collections;

use pier_types::ids;
use pier_wire::messages;

use crate::relays;

/// Maximum number of remembered changes.
const MAX_STEPS: usize = 32;

/// Remembers how the current list came out of earlier ones.
#[derive(Debug)]
pub(crate) struct ListHistory {
    steps: collections::VecDeque<HistoryStep>,
}

#[derive(Debug)]
struct HistoryStep {
    before: messages::ListDigest,
    touched: collections::BTreeSet<ids::VmName>,
}

impl ListHistory {
    /// Creates an empty history.
    pub(crate) const fn new() -> Self {
        Self {
            steps: collections::VecDeque::new(),
        }
    }

    /// Records that one list was replaced by another.
    pub(crate) fn record(
        &mut self,
        before: messages::ListDigest,
        old: &relays::VmMap,
        new: &relays::VmMap,
    ) {
        let touched = old
            .keys()
            .chain(new.keys())
            .filter(|vm| old.get(*vm) != new.get(*vm))
            .cloned()
            .collect();
        self.steps.push_back(HistoryStep { before, touched });
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
    }

    /// Returns the changes from the list with the known digest to the current one; `None` if that
    /// digest is not remembered.
    pub(crate) fn changes_since(
        &self,
        known: messages::ListDigest,
        present: &relays::VmMap,
    ) -> Option<Vec<messages::ListChange>> {
        let start = self.steps.iter().rposition(|step| step.before == known)?;
        let touched = self
            .steps
            .range(start..)
            .flat_map(|step| step.touched.iter().cloned())
            .collect::<collections::BTreeSet<_>>();
        let changes = touched.into_iter().map(|vm| match present.get(&vm) {
            Some(entry) => messages::ListChange::Put(entry.clone()),
            None => messages::ListChange::Gone(vm),
        });
        Some(changes.collect())
    }
}
