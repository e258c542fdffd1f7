//! Decides which VMs to query, and records those that do not answer as lost.

use std::{collections, time};

use pier_fleet::targets;
use pier_types::{epochs, ids, times};

use super::data_centre_steward;
use crate::{control, links};

/// Interval between two queries to a member whose registration has ended.
const UNLISTED_QUERY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Age of the store's last answer from which on VMs of groups being formed are queried directly,
/// since their registrations no longer arrive.
const STORE_STALE_AGE: time::Duration = time::Duration::from_millis(1_300);

/// Interval between two rounds of queries to a group that is stuck or being formed.
const GROUP_QUERY_INTERVAL: time::Duration = time::Duration::from_millis(600);

impl<P: links::FleetPlatform> control::DataCentreSteward<P> {
    /// Records that a VM in the incarnation `born` does not answer.
    pub(super) fn mark_lost(&mut self, vm: &ids::VmName, born: epochs::VmIncarnation, cause: &str) {
        if self.liveness.record_loss(vm, born) {
            log::warn!(event = "member-lost", target_vm:% = vm, cause = cause; "");
        }
    }

    /// Queries a VM, and holds its orders for [`data_centre_steward::REFUSAL_BACKOFF`] meanwhile.
    pub(super) fn query(&mut self, vm: &ids::VmName, now: times::BootTime) {
        self.held_until
            .insert(vm.clone(), now.after(data_centre_steward::REFUSAL_BACKOFF));
        let known = self.state.with_registry(|registry| {
            let record = registry.records().get(vm)?;
            Some((record.entry.standing.born, record.entry.address))
        });
        if let Some((born, address)) = known {
            self.client.query(vm.clone(), born, address);
        }
    }

    /// Queries every member of a group whose first member is stuck.
    pub(super) fn query_stuck(
        &mut self,
        records: &collections::BTreeMap<ids::VmName, targets::TargetRecord>,
        now: times::BootTime,
    ) {
        let mut stuck = self.state.with_peers(|peers| peers.stuck(now));
        stuck.extend(self.state.with_loads(|loads| loads.hub.suspected()));
        let slots = self.state.slots();
        let local = slots.iter().filter(|slot| slot.gauge.is_stuck(now));
        stuck.extend(local.map(|slot| slot.vm.clone()));
        for first_member in stuck {
            let Some(record) = records.get(&first_member) else {
                continue;
            };
            let Some(stuck_membership) = &record.entry.standing.membership else {
                continue;
            };
            if !self
                .liveness
                .should_query(&first_member, GROUP_QUERY_INTERVAL, now)
            {
                continue;
            }
            for (vm, member) in records {
                let membership = member.entry.standing.membership.as_ref();
                let born = member.entry.standing.born;
                if now < self.state.pause_end(vm, born) {
                    continue;
                }
                if membership.is_some_and(|membership| membership.group == stuck_membership.group) {
                    let address = member.entry.address;
                    self.client.query_stuck(vm.clone(), born, address);
                }
            }
        }
    }

    /// Queries the members whose registration has ended, as they may still work.
    pub(super) fn query_unlisted(
        &mut self,
        records: &collections::BTreeMap<ids::VmName, targets::TargetRecord>,
        now: times::BootTime,
    ) {
        for (vm, record) in records {
            if !record.is_valid(now) && self.liveness.should_query(vm, UNLISTED_QUERY_INTERVAL, now)
            {
                let born = record.entry.standing.born;
                self.client.query(vm.clone(), born, record.entry.address);
            }
        }
    }

    /// Queries the members of groups that are being formed while the store does not answer.
    pub(super) fn query_forming(
        &mut self,
        records: &collections::BTreeMap<ids::VmName, targets::TargetRecord>,
        now: times::BootTime,
    ) {
        if self.state.store_age(now) < STORE_STALE_AGE {
            return;
        }
        for (vm, record) in records {
            let standing = &record.entry.standing;
            let is_forming = standing.membership.as_ref().is_some_and(|membership| {
                let awaits_open =
                    membership.rank == 0 && membership.phase == targets::GroupPhase::Ready;
                membership.phase == targets::GroupPhase::Joining || awaits_open
            });
            if is_forming && self.liveness.should_query(vm, GROUP_QUERY_INTERVAL, now) {
                self.client
                    .query(vm.clone(), standing.born, record.entry.address);
            }
        }
    }
}
