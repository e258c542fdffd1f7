//! What a node tells operators, as JSON.

use pier_types::routes;
use serde_json::json;

use crate::handle;

/// Returns the state of a node.
pub(super) fn status(handle: &handle::NodeHandle) -> serde_json::Value {
    let settings = handle.settings();
    json!({
        "node": handle.name(),
        "data_centre": settings.data_centre,
        "region": settings.region,
        "ready": handle.is_ready(),
        "draining": handle.is_draining(),
        "requests_in_progress": handle.requests_in_progress(),
        "config": config(handle),
        "targets": target_counts(&handle.routes()),
    })
}

/// Returns every target that this node may send new work to.
pub(super) fn groups(handle: &handle::NodeHandle) -> serde_json::Value {
    let table = handle.routes();
    let targets = table.pools.iter().flat_map(|(pool, targets)| {
        targets.iter().map(move |target| {
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
        })
    });
    json!({"groups": targets.collect::<Vec<_>>()})
}

fn config(handle: &handle::NodeHandle) -> serde_json::Value {
    let refused = handle.refused_config();
    let Some(snapshot) = handle.config() else {
        return json!({"version": 0, "refused": refused});
    };
    let data_centres = snapshot.document.data_centres.iter();
    let data_centres =
        data_centres.map(|(name, section)| (name.to_string(), json!(section.state.to_string())));
    let drained = snapshot.document.drained.iter();
    let drained = drained.map(|(vm, reason)| (vm.to_string(), json!(reason)));
    json!({
        "version": snapshot.version,
        "refused": refused,
        "document": snapshot.document.name,
        "data_centres": data_centres.collect::<serde_json::Map<_, _>>(),
        "drained": drained.collect::<serde_json::Map<_, _>>(),
    })
}

fn target_counts(table: &routes::RouteTable) -> serde_json::Value {
    let pools = table.pools.iter();
    let counts = pools.map(|(pool, targets)| (pool.to_string(), json!(targets.len())));
    counts.collect::<serde_json::Map<_, _>>().into()
}
