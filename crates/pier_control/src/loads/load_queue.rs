//! The queue of groups that load weights.

use std::collections;

use pier_types::{epochs, rates, times};

use crate::loads;

/// Admits as many loads at a time as the store's read rate allows.
///
/// Its state need not survive a change of the lease holder: a new holder finds the loads in
/// progress in the engines' reports.
#[derive(Debug, Clone)]
pub struct LoadQueue {
    settings: loads::LoadSettings,
    admitted: collections::BTreeMap<u64, loads::AdmittedLoad>,
    timed_out: collections::BTreeMap<u64, times::BootTime>,
}

impl LoadQueue {
    /// Creates an empty queue.
    pub fn new(settings: loads::LoadSettings) -> Self {
        Self {
            settings,
            admitted: collections::BTreeMap::new(),
            timed_out: collections::BTreeMap::new(),
        }
    }

    /// Sets the total read rate of the store.
    pub fn set_store_rate(&mut self, rate: rates::ByteRate) {
        self.settings.store_rate = rate;
    }

    /// Returns the groups that may load now.
    ///
    /// Groups whose last load timed out come last, and groups with a successor come after those
    /// without one. Then the model that serves the smallest share of its replicas comes first, and
    /// then the group with the fewest bytes to load.
    pub fn admit(&mut self, input: &loads::LoadInput<'_>) -> collections::BTreeSet<u64> {
        let groups = input.placement.groups().keys();
        let pending: Vec<_> = groups
            .filter_map(|group| loads::PendingLoad::of(input, *group))
            .collect();
        self.remove_ended(&pending, input);
        self.admit_loading(&pending, input);
        let mut active = self.active_members(&pending);
        for load in self.waiting(&pending, input) {
            let fits = active + load.members <= self.settings.max_active_vms();
            if active > 0 && !fits {
                break;
            }
            active += load.members;
            self.admit_group(load.group, input);
        }
        self.admitted.keys().copied().collect()
    }

    /// Removes admitted loads that ended, belong to an earlier generation, or timed out.
    fn remove_ended(&mut self, pending: &[loads::PendingLoad], input: &loads::LoadInput<'_>) {
        let needed: collections::BTreeSet<_> = pending.iter().map(|load| load.group).collect();
        let timeout = self.settings.timeout;
        let timed_out = &mut self.timed_out;
        self.admitted.retain(|group, load| {
            let is_overdue = input.now.since(load.since) >= timeout;
            if is_overdue {
                timed_out.insert(*group, input.now);
            }
            let is_current = newest_generation(input, *group) == Some(load.generation);
            needed.contains(group) && is_current && !is_overdue
        });
        timed_out
            .retain(|group, since| needed.contains(group) && input.now.since(*since) < timeout);
    }

    /// Admits the loads in progress that an earlier lease holder started.
    fn admit_loading(&mut self, pending: &[loads::PendingLoad], input: &loads::LoadInput<'_>) {
        let loading = pending.iter().filter(|load| load.is_loading);
        let fresh: Vec<_> = loading
            .map(|load| load.group)
            .filter(|group| {
                !self.admitted.contains_key(group) && !self.timed_out.contains_key(group)
            })
            .collect();
        for group in fresh {
            self.admit_group(group, input);
        }
    }

    /// Returns the number of VMs in admitted groups that still lack weights.
    fn active_members(&self, pending: &[loads::PendingLoad]) -> u64 {
        let active = pending
            .iter()
            .filter(|load| self.admitted.contains_key(&load.group));
        active.map(|load| load.members).sum()
    }

    /// Returns the groups that wait for admission, in order of priority.
    fn waiting(
        &self,
        pending: &[loads::PendingLoad],
        input: &loads::LoadInput<'_>,
    ) -> Vec<loads::PendingLoad> {
        let waiting = pending
            .iter()
            .filter(|load| !self.admitted.contains_key(&load.group));
        let mut waiting: Vec<_> = waiting.copied().collect();
        waiting.sort_by_key(|load| {
            let model = input
                .placement
                .groups()
                .get(&load.group)
                .map(|group| &group.model);
            let served = model.map_or(0, |model| input.served_permille(model));
            let has_timed_out = self.timed_out.contains_key(&load.group);
            (
                has_timed_out,
                load.is_successor,
                served,
                load.bytes,
                load.group,
            )
        });
        waiting
    }

    /// Admits a load.
    fn admit_group(&mut self, group: u64, input: &loads::LoadInput<'_>) {
        if let Some(generation) = newest_generation(input, group) {
            let since = input.now;
            self.admitted
                .insert(group, loads::AdmittedLoad { generation, since });
        }
    }
}

/// Returns the generation for which a group loads: its successor's, or its own without one.
fn newest_generation(input: &loads::LoadInput<'_>, group: u64) -> Option<epochs::GroupGeneration> {
    let placement = input.placement.groups().get(&group)?;
    let next = placement.successor.as_ref().map(|next| next.generation);
    Some(next.unwrap_or(placement.generation))
}
