//! Divides a target's request rate among the nodes.

use pier_types::{epochs, ids, rates};
use xxhash_rust::xxh3;

/// How much more a node of the target's data centre gets than another one, as traffic between data
/// centres is expensive.
const LOCAL_WEIGHT: f64 = 3.0;

/// Nodes beyond one for each request a second that share a rate. With as many as the nodes of a small
/// fleet and one saved request each, any four seconds stay below one and a half times the rate.
const EXTRA_SHARERS: usize = 2;

/// A node that may share a target's rate.
#[derive(Debug, Clone, Copy)]
pub struct RateCandidate<'a> {
    /// The node's name.
    pub node: &'a ids::NodeName,
    /// Whether it is in the target's data centre.
    pub is_local: bool,
}

/// Returns the part of a node in a target's rate, from 0 to 1.
///
/// All nodes that know the same others choose the same sharers, by a hash of target and node. They are
/// no more than about the requests a second, as many small parts would be left unused, or used in one
/// instant.
pub fn share_rate(
    vm: &ids::VmName,
    born: epochs::VmIncarnation,
    rate: rates::RequestMilliRate,
    local_node: &ids::NodeName,
    candidates: &[RateCandidate<'_>],
) -> f64 {
    let weight = |candidate: &RateCandidate<'_>| {
        if candidate.is_local {
            LOCAL_WEIGHT
        } else {
            1.0
        }
    };
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|candidate| {
            let draw = draw(vm, born, candidate.node);
            // The sharer's chance grows with its weight.
            (-draw.ln() / weight(candidate), candidate)
        })
        .collect();
    ranked.sort_by(|(first, left), (second, right)| {
        first.total_cmp(second).then(left.node.cmp(right.node))
    });
    let whole = usize::try_from(rate.get() / 1_000).unwrap_or(usize::MAX);
    let sharers = match whole {
        0 => 1,
        whole => whole.saturating_add(EXTRA_SHARERS),
    };
    ranked.truncate(sharers);
    let sum: f64 = ranked
        .iter()
        .map(|(_score, candidate)| weight(candidate))
        .sum();
    let own = ranked
        .iter()
        .find(|(_score, candidate)| candidate.node == local_node);
    own.map_or(0.0, |(_score, candidate)| weight(candidate) / sum)
}

/// Returns a number above 0 and up to 1 that is the same at all nodes.
fn draw(vm: &ids::VmName, born: epochs::VmIncarnation, node: &ids::NodeName) -> f64 {
    let hash = xxh3::xxh3_64(format!("{vm}/{born}/{node}").as_bytes());
    let high = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    (f64::from(high) + 1.0) / (f64::from(u32::MAX) + 1.0)
}
