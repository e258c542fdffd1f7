//! Targets that are slower than their peers.

use std::collections;

use pier_types::ids;

use crate::warmth;

/// How many times slower than the median a slow target answers.
const SLOW_FACTOR: u32 = 3;

/// Answers needed for a judgement.
const LEAST_ANSWERS: u32 = 8;

/// One target in this many may be judged slow; more would be a general slowness.
const SLOW_DIVISOR: usize = 3;

/// Finds slow targets among those that can stand in for one another.
///
/// A slow target is avoided while others have room. When too many are slow at once, the cause
/// lies in the load and none is set apart, so that the rest is not overrun.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlowTargets;

impl SlowTargets {
    /// Returns the slow ones.
    pub fn find(
        paces: &collections::BTreeMap<ids::TargetId, warmth::TargetPace>,
    ) -> collections::BTreeSet<ids::TargetId> {
        let judged = || {
            paces
                .iter()
                .filter(|(_, pace)| pace.answers >= LEAST_ANSWERS)
        };
        let mut latencies = judged().map(|(_, pace)| pace.latency).collect::<Vec<_>>();
        latencies.sort_unstable();
        let Some(median) = latencies.get(latencies.len() / 2).copied() else {
            return collections::BTreeSet::new();
        };
        let slow = judged()
            .filter(|(_, pace)| pace.latency > median * SLOW_FACTOR)
            .map(|(target, _)| target.clone())
            .collect::<collections::BTreeSet<_>>();
        if slow.len() > latencies.len() / SLOW_DIVISOR {
            return collections::BTreeSet::new();
        }
        slow
    }
}
