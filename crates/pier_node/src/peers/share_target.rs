//! The targets whose limits the nodes share.

use std::collections;

use pier_config::documents;
use pier_types::{epochs, ids, reports, routes, sizes, times, vms};
use pier_wire::messages;

use crate::handle;

/// One target of this data centre, as the control loops currently see it.
#[derive(Debug, Clone)]
pub(super) struct ShareTarget {
    pub(super) key: messages::ShareKey,
    pub(super) id: ids::TargetId,
    pub(super) pool: routes::PoolKey,
    pub(super) generation: epochs::GroupGeneration,
    pub(super) warm_limit: sizes::RequestCount,
    pub(super) cold_limit: sizes::RequestCount,
    pub(super) state: reports::EngineState,
    pub(super) probed_at: times::BootTime,
}

/// Returns the serving groups, and the VMs of plain services that have evidence.
pub(super) fn gather(
    handle: &handle::NodeHandle,
    document: &documents::ConfigDocument,
) -> collections::BTreeMap<messages::ShareKey, ShareTarget> {
    let groups = handle.groups();
    let serving = groups.health.serving.values();
    let groups = serving.filter_map(|serving| {
        let model = document.models.get(&serving.model)?;
        let id = ids::TargetId::Group(serving.id.clone());
        Some(ShareTarget {
            key: messages::ShareKey::of(&id, serving.generation.get()),
            id,
            pool: routes::PoolKey::Model(serving.model.clone()),
            generation: serving.generation,
            warm_limit: model.warm_limit,
            cold_limit: model.cold_limit,
            state: serving.state,
            probed_at: serving.load.probed_at,
        })
    });
    let (list, evidence) = (handle.vms(), handle.evidence());
    let local = &handle.settings().data_centre;
    let services = list
        .values()
        .filter(|entry| entry.data_centre == *local)
        .filter_map(|entry| {
            let vms::VmPool::Service(name) = &entry.pool else {
                return None;
            };
            let service = document.services.get(name)?;
            let found = evidence.get(&entry.name)?;
            let id = ids::TargetId::Vm(entry.name.clone());
            // The route table uses the incarnation in the VM list as the generation.
            let generation = epochs::GroupGeneration::new(entry.incarnation.get());
            let incarnation = found.report.incarnation.get();
            Some(ShareTarget {
                key: messages::ShareKey::of(&id, incarnation),
                id,
                pool: routes::PoolKey::Service(name.clone()),
                generation,
                warm_limit: service.warm_limit,
                cold_limit: service.cold_limit,
                state: found.report.state,
                probed_at: found.probed_at,
            })
        });
    groups
        .chain(services)
        .map(|target| (target.key, target))
        .collect()
}
