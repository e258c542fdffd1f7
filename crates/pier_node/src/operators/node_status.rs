//! JSON status of a node for operators.

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
        "lease": lease(handle),
        "peers": peers(handle),
        "targets": target_counts(&handle.routes()),
    })
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

fn lease(handle: &handle::NodeHandle) -> serde_json::Value {
    let Some(snapshot) = handle.lease() else {
        return json!("none seen");
    };
    json!({
        "holder": snapshot.record.holder,
        "term": snapshot.record.term,
        "held_here": snapshot.held_until.is_some(),
    })
}

fn peers(handle: &handle::NodeHandle) -> serde_json::Value {
    let peers = handle.peers();
    let names = peers.iter().map(|peer| peer.node.to_string());
    json!(names.collect::<Vec<_>>())
}

fn target_counts(table: &routes::RouteTable) -> serde_json::Value {
    let pools = table.pools.iter();
    let counts = pools.map(|(pool, targets)| (pool.to_string(), json!(targets.len())));
    counts.collect::<serde_json::Map<_, _>>().into()
}
