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
    delayed: collections::BTreeMap<u64, times::BootTime>,
}

impl LoadQueue {
    /// Creates an empty queue.
    pub fn new(settings: loads::LoadSettings) -> Self {
        Self {
            settings,
            admitted: collections::BTreeMap::new(),
            delayed: collections::BTreeMap::new(),
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
        let needs: Vec<_> = groups
            .filter_map(|group| loads::LoadNeed::of(input, *group))
            .collect();
        self.forget_ended(&needs, input);
        self.adopt_loading(&needs, input);
        let mut active = self.active_members(&needs);
        for need in self.waiting(&needs, input) {
            let fits = active + need.members <= self.settings.active_vms();
            if active > 0 && !fits {
                break;
            }
            active += need.members;
            self.start(need.group, input);
        }
        self.admitted.keys().copied().collect()
    }

    /// Removes admitted loads that ended, belong to an earlier generation, or timed out.
    fn forget_ended(&mut self, needs: &[loads::LoadNeed], input: &loads::LoadInput<'_>) {
        let needed: collections::BTreeSet<_> = needs.iter().map(|need| need.group).collect();
        let timeout = self.settings.timeout;
        let delayed = &mut self.delayed;
        self.admitted.retain(|group, load| {
            let is_overdue = input.now.since(load.since) >= timeout;
            if is_overdue {
                delayed.insert(*group, input.now);
            }
            let is_current = newest_generation(input, *group) == Some(load.generation);
            needed.contains(group) && is_current && !is_overdue
        });
        delayed.retain(|group, since| needed.contains(group) && input.now.since(*since) < timeout);
    }

    /// Admits the loads in progress that an earlier lease holder started.
    fn adopt_loading(&mut self, needs: &[loads::LoadNeed], input: &loads::LoadInput<'_>) {
        let loading = needs.iter().filter(|need| need.is_loading);
        let fresh: Vec<_> = loading
            .map(|need| need.group)
            .filter(|group| !self.admitted.contains_key(group) && !self.delayed.contains_key(group))
            .collect();
        for group in fresh {
            self.start(group, input);
        }
    }

    /// Returns the number of VMs in admitted groups that still lack weights.
    fn active_members(&self, needs: &[loads::LoadNeed]) -> u64 {
        let active = needs
            .iter()
            .filter(|need| self.admitted.contains_key(&need.group));
        active.map(|need| need.members).sum()
    }

    /// Returns the groups that wait for admission, in order of priority.
    fn waiting(
        &self,
        needs: &[loads::LoadNeed],
        input: &loads::LoadInput<'_>,
    ) -> Vec<loads::LoadNeed> {
        let waiting = needs
            .iter()
            .filter(|need| !self.admitted.contains_key(&need.group));
        let mut waiting: Vec<_> = waiting.copied().collect();
        waiting.sort_by_key(|need| {
            let model = input
                .placement
                .groups()
                .get(&need.group)
                .map(|group| &group.model);
            let served = model.map_or(0, |model| input.served_permille(model));
            let is_delayed = self.delayed.contains_key(&need.group);
            (
                is_delayed,
                need.is_successor,
                served,
                need.bytes,
                need.group,
            )
        });
        waiting
    }

    /// Admits a load.
    fn start(&mut self, group: u64, input: &loads::LoadInput<'_>) {
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
