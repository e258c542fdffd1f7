//! The statistics of the study.

use std::collections;

use pier_control::{health, placements, planning};
use pier_types::ids;

use crate::sim_vm;

/// Time at the start in which the groups form and nothing is counted, in seconds.
pub const WARM_UP_SECONDS: u64 = 3_600;

/// Sums over time, and the current values that are added for each second.
#[derive(Debug, Clone, Copy, Default)]
pub struct StudyTotals {
    /// Total downtime of wanted groups, in group seconds.
    pub down: u64,
    /// The part of the downtime that no placement could avoid, in group seconds.
    pub unavoidable: u64,
    /// Total downtime multiplied by the number of members of each group, in VM seconds.
    pub down_vms: u64,
    /// Time of working VMs in groups that lack a member, or without a group while a wanted group is
    /// not formed, in VM seconds.
    pub stranded: u64,
    /// Time of the other working VMs without a group, in VM seconds.
    pub spare: u64,
    /// Simulated time that was counted, in seconds.
    pub seconds: u64,
    /// Number of bytes read from the weight store.
    pub bytes_read: u64,
    now_down: u64,
    now_unavoidable: u64,
    now_down_vms: u64,
    now_stranded: u64,
    now_spare: u64,
}

impl StudyTotals {
    /// Updates the current values from the state of the data centre.
    pub fn update(
        &mut self,
        wanted: &collections::BTreeMap<ids::ModelName, planning::WantedModel>,
        placement: &placements::DataCentrePlacement,
        view: &health::HealthView,
        vms: &collections::BTreeMap<ids::VmName, sim_vm::SimVm>,
    ) {
        let is_up = |name: &ids::VmName| vms.get(name).is_some_and(|vm| vm.is_up);
        let groups = placement.groups();
        self.now_down = 0;
        self.now_down_vms = 0;
        let mut missing_vms = 0;
        for wanted in wanted.values() {
            let serving = view
                .serving
                .values()
                .filter(|group| group.model == wanted.model)
                .count() as u64;
            let placed = groups
                .values()
                .filter(|group| group.model == wanted.model)
                .count() as u64;
            let down = u64::from(wanted.replicas).saturating_sub(serving);
            self.now_down += down;
            self.now_down_vms += down * u64::from(wanted.members);
            missing_vms +=
                u64::from(wanted.replicas).saturating_sub(placed) * u64::from(wanted.members);
        }
        let short = groups
            .values()
            .filter(|group| group.members.iter().any(|slot| !is_up(&slot.vm)));
        let held: usize = short
            .map(|group| group.members.iter().filter(|slot| is_up(&slot.vm)).count())
            .sum();
        let placed: collections::BTreeSet<_> =
            groups.values().flat_map(|group| group.vms()).collect();
        let free = vms
            .iter()
            .filter(|(name, vm)| vm.is_up && !placed.contains(name))
            .count() as u64;
        let left_over = free.min(missing_vms);
        self.now_stranded = held as u64 + left_over;
        self.now_spare = free - left_over;
    }

    /// Sets how many groups currently could not serve under any policy.
    pub fn set_unavoidable(&mut self, missing: u64) {
        self.now_unavoidable = missing;
    }

    /// Adds the current values for a number of seconds to the sums.
    pub fn add(&mut self, seconds: u64) {
        self.down += self.now_down * seconds;
        self.unavoidable += self.now_unavoidable * seconds;
        self.down_vms += self.now_down_vms * seconds;
        self.stranded += self.now_stranded * seconds;
        self.spare += self.now_spare * seconds;
        self.seconds += seconds;
    }

    /// Adds the sums of another run to this one.
    pub fn merge(&mut self, other: &Self) {
        self.down += other.down;
        self.unavoidable += other.unavoidable;
        self.down_vms += other.down_vms;
        self.stranded += other.stranded;
        self.spare += other.spare;
        self.seconds += other.seconds;
        self.bytes_read += other.bytes_read;
    }
}
