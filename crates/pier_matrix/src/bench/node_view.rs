//! What a node knows about its targets, as text for failure messages.

use pier_node::handle;
use pier_types::times;

/// Describes the routes, the groups that do not serve, the age of each VM's probe evidence, and the
/// shares.
pub fn node_view(handle: &handle::NodeHandle, now: times::BootTime) -> String {
    let mut parts = Vec::new();
    for (pool, targets) in &handle.routes().pools {
        for target in targets {
            let age = now.since(target.load.probed_at).as_millis();
            let (id, share) = (&target.target, target.share);
            parts.push(format!("route {pool} {id} share={share} age_ms={age}"));
        }
    }
    for (group, reason) in &handle.groups().health.stopped {
        parts.push(format!("stopped {group} {reason}"));
    }
    for (vm, evidence) in handle.evidence().iter() {
        let age = now.since(evidence.probed_at).as_millis();
        parts.push(format!("evidence {vm} age_ms={age}"));
    }
    for (target, share) in handle.shares().iter() {
        parts.push(format!("share {target} {share}"));
    }
    parts.join("; ")
}
