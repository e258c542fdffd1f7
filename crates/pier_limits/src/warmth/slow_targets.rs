//! Targets that are slower than their peers.

use std::collections;

use pier_types::ids;

use crate::warmth;

/// A target is slow if its latency is more than this many times the median.
const SLOW_FACTOR: u32 = 3;

/// Minimum number of answers for a target to be compared.
const MIN_ANSWERS: u32 = 8;

/// At most one target in this many may be slow; if more are, all are slow for a common reason.
const SLOW_DIVISOR: usize = 3;

/// Finds slow targets among those that can replace one another.
///
/// A slow target is avoided while others have capacity. If too many are slow at once, the load is
/// the cause and no target counts as slow, so that the remaining ones are not overloaded.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlowTargets;

impl SlowTargets {
    /// Returns the slow targets.
    pub fn find(
        target_latencies: &collections::BTreeMap<ids::TargetId, warmth::TargetLatency>,
    ) -> collections::BTreeSet<ids::TargetId> {
        let judged = || {
            target_latencies
                .iter()
                .filter(|(_, latency)| latency.answers >= MIN_ANSWERS)
        };
        let mut latencies = judged()
            .map(|(_, latency)| latency.average)
            .collect::<Vec<_>>();
        latencies.sort_unstable();
        let Some(median) = latencies.get(latencies.len() / 2).copied() else {
            return collections::BTreeSet::new();
        };
        let slow = judged()
            .filter(|(_, latency)| latency.average > median * SLOW_FACTOR)
            .map(|(target, _)| target.clone())
            .collect::<collections::BTreeSet<_>>();
        if slow.len() > latencies.len() / SLOW_DIVISOR {
            return collections::BTreeSet::new();
        }
        slow
    }
}
