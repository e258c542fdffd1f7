//! Decides which targets may receive new requests.

use std::{collections, sync, time};

use pier_config::documents;
use pier_control::health;
use pier_types::{epochs, ids, routes, sizes, times, vms};

use crate::{handle, requests};

/// The inputs of one routing table, as published by the control loops.
#[derive(Debug, Clone)]
pub struct TableBuilder<'a> {
    /// The data centre of this node.
    pub data_centre: &'a ids::DataCentreName,
    /// The part of new requests that the data centre gets.
    pub shift: handle::ShiftSnapshot,
    /// The configuration in force.
    pub document: &'a documents::ConfigDocument,
    /// The groups of the data centre and their health.
    pub groups: &'a handle::GroupSnapshot,
    /// The VM list.
    pub vms: &'a collections::BTreeMap<ids::VmName, vms::VmEntry>,
    /// The newest evidence of each VM.
    pub evidence: &'a collections::BTreeMap<ids::VmName, health::VmEvidence>,
    /// How many requests this node may have in flight at each target.
    pub shares: &'a collections::BTreeMap<ids::TargetId, sizes::RequestCount>,
    /// Targets that stated in an answer that they leave, and when.
    pub leaving: &'a collections::BTreeMap<requests::TargetKey, times::BootTime>,
}

impl TableBuilder<'_> {
    /// Builds the table of the targets that may currently receive new requests.
    ///
    /// A target is left out when its data centre gets no new requests, when its evidence is stale,
    /// or when it or a member of its group is drained, or is leaving by the VM list, its own report
    /// or its answers. A target of which this node has no share is listed with a share of 0. Every
    /// configured pool is present, so that an empty pool can be distinguished from an unknown one.
    pub fn build(&self, now: times::BootTime) -> routes::RouteTable {
        let mut pools = self.empty_pools();
        if self.shift.is_open() {
            self.add_groups(&mut pools, now);
            self.add_services(&mut pools, now);
        }
        routes::RouteTable { pools }
    }

    fn empty_pools(&self) -> PoolMap {
        let models = self.document.models.keys().cloned();
        let models = models.map(routes::PoolKey::Model);
        let services = self.document.services.keys().cloned();
        let services = services.map(routes::PoolKey::Service);
        models
            .chain(services)
            .map(|pool| (pool, Vec::new()))
            .collect()
    }

    fn add_groups(&self, pools: &mut PoolMap, now: times::BootTime) {
        for (number, serving) in &self.groups.health.serving {
            if serving.fresh_until < now || self.is_group_leaving(*number) {
                continue;
            }
            let target = ids::TargetId::Group(serving.id.clone());
            let route = routes::RouteTarget {
                share: self.share(&target),
                target,
                address: serving.address,
                data_centre: self.data_centre.clone(),
                generation: serving.generation,
                load: serving.load,
            };
            self.add(pools, &routes::PoolKey::Model(serving.model.clone()), route);
        }
    }

    fn add_services(&self, pools: &mut PoolMap, now: times::BootTime) {
        for entry in self.vms.values() {
            let vms::VmPool::Service(service) = &entry.pool else {
                continue;
            };
            let Some(evidence) = self.usable_evidence(entry, now) else {
                continue;
            };
            let target = ids::TargetId::Vm(entry.name.clone());
            let route = routes::RouteTarget {
                share: self.share(&target),
                target,
                address: entry.address,
                data_centre: self.data_centre.clone(),
                generation: epochs::GroupGeneration::new(entry.incarnation.get()),
                load: routes::TargetLoad {
                    running: evidence.report.running,
                    queued: evidence.report.queued,
                    probed_at: evidence.probed_at,
                },
            };
            self.add(pools, &routes::PoolKey::Service(service.clone()), route);
        }
    }

    fn usable_evidence(
        &self,
        entry: &vms::VmEntry,
        now: times::BootTime,
    ) -> Option<&health::VmEvidence> {
        if entry.data_centre != *self.data_centre || self.is_leaving(&entry.name) {
            return None;
        }
        let evidence = self.evidence.get(&entry.name)?;
        evidence.is_fresh(now, self.freshness()).then_some(evidence)
    }

    fn freshness(&self) -> time::Duration {
        self.document.limits.freshness
    }

    fn is_group_leaving(&self, number: u64) -> bool {
        let placement = self.groups.placement.as_ref();
        let group = placement.and_then(|placement| placement.groups().get(&number));
        let Some(group) = group else {
            return true;
        };
        group.members.iter().any(|slot| self.is_leaving(&slot.vm))
    }

    fn is_leaving(&self, vm: &ids::VmName) -> bool {
        let entry = self.vms.get(vm);
        let listed = entry.is_some_and(|entry| entry.state == vms::VmState::Leaving);
        let evidence = self.evidence.get(vm);
        let reported = evidence.is_some_and(|evidence| evidence.report.is_leaving);
        listed || reported || self.document.drained.contains_key(vm)
    }

    /// Adds a target to its pool, unless it states that it leaves or the pool is not configured.
    fn add(&self, pools: &mut PoolMap, pool: &routes::PoolKey, route: routes::RouteTarget) {
        let key = (route.target.clone(), route.generation);
        if self.leaving.contains_key(&key) {
            return;
        }
        if let Some(targets) = pools.get_mut(pool) {
            targets.push(sync::Arc::new(route));
        }
    }

    fn share(&self, target: &ids::TargetId) -> sizes::RequestCount {
        self.shares.get(target).copied().unwrap_or_default()
    }
}

/// The targets of each pool, while the table is built.
type PoolMap = collections::BTreeMap<routes::PoolKey, Vec<sync::Arc<routes::RouteTarget>>>;
