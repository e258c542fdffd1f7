//! JSON list of the groups and targets of a node's data centre.

use std::{collections, sync};

use pier_control::{health, placements};
use pier_types::{ids, routes, vms};
use serde_json::json;

use crate::handle;

/// Returns the groups of the placement, the number of standby VMs in each fabric domain (`spares`),
/// and the targets in the route table.
pub(super) fn groups(handle: &handle::NodeHandle) -> serde_json::Value {
    let snapshot = handle.groups();
    let placement = snapshot.placement.as_ref();
    let groups = placement.map(|placement| list_groups(placement, &snapshot.health));
    let table = handle.routes();
    let targets = table.pools.iter().flat_map(|(pool, targets)| {
        let targets = targets.iter();
        targets.map(move |target| target_line(pool, target))
    });
    json!({
        "groups": groups.unwrap_or_default(),
        "spares": count_standbys(handle, placement),
        "targets": targets.collect::<Vec<_>>(),
    })
}

fn list_groups(
    placement: &placements::DataCentrePlacement,
    health: &health::HealthView,
) -> Vec<serde_json::Value> {
    let groups = placement.groups().iter();
    let lines = groups.map(|(number, group)| {
        let members = group.members.iter().map(|slot| slot.vm.to_string());
        json!({
            "group": placement.group_id(*number),
            "model": group.model,
            "domain": group.domain,
            "generation": group.generation,
            "members": members.collect::<Vec<_>>(),
            "state": state(*number, health),
        })
    });
    lines.collect()
}

/// Counts the live accelerator VMs that belong to no group, by fabric domain.
fn count_standbys(
    handle: &handle::NodeHandle,
    placement: Option<&placements::DataCentrePlacement>,
) -> collections::BTreeMap<ids::DomainName, usize> {
    let groups = placement
        .into_iter()
        .flat_map(|placement| placement.groups().values());
    let placed: collections::BTreeSet<_> = groups.flat_map(|group| group.vms()).collect();
    let list = handle.vms();
    let is_standby = |entry: &&vms::VmEntry| {
        entry.data_centre == handle.settings().data_centre
            && entry.pool == vms::VmPool::Accelerator
            && entry.state == vms::VmState::Live
            && !placed.contains(&entry.name)
    };
    let mut standbys = collections::BTreeMap::new();
    for entry in list.values().filter(is_standby) {
        *standbys.entry(entry.domain.clone()).or_default() += 1;
    }
    standbys
}

/// Returns whether a group serves, and if not, why.
fn state(number: u64, health: &health::HealthView) -> String {
    if health.serving.contains_key(&number) {
        return "serving".to_owned();
    }
    match health.stopped.get(&number) {
        Some(reason) => format!("stopped: {reason}"),
        None => "stopped: not looked at yet".to_owned(),
    }
}

fn target_line(
    pool: &routes::PoolKey,
    target: &sync::Arc<routes::RouteTarget>,
) -> serde_json::Value {
    json!({
        "pool": pool.to_string(),
        "target": target.target.to_string(),
        "data_centre": target.data_centre,
        "address": target.address,
        "generation": target.generation,
        "share": target.share,
        "running": target.load.running,
        "queued": target.load.queued,
    })
}
