//! Decides from silence whether a target is stuck.

use std::time;

use pier_types::times;

use crate::stalls;

/// Detects a stuck group by its silence.
///
/// All streams of a group advance in the same passes, so a lost member silences them together.
/// This shows within a few passes and without probes, well before the group itself reports the
/// loss.
#[derive(Debug, Clone, Copy)]
pub struct StallJudge {
    /// Lower bound of the limit while streams are running; a single lost packet is retransmitted
    /// in less.
    pub floor: time::Duration,
    /// Allowance beyond the longest pass, for the pass itself and the network path to this node.
    pub margin: time::Duration,
    /// The limit is at least this many expected passes.
    pub passes: u32,
    /// Lower bound of the limit while no stream is running yet.
    pub first_floor: time::Duration,
    /// Expected passes allowed while no stream is running yet.
    pub first_passes: u32,
    /// Upper bound of the limit, also for a slow target: callers leave after two seconds, and
    /// another target needs the remaining time.
    pub ceiling: time::Duration,
}

impl Default for StallJudge {
    fn default() -> Self {
        Self {
            floor: time::Duration::from_millis(330),
            margin: time::Duration::from_millis(80),
            passes: 3,
            first_floor: time::Duration::from_millis(450),
            first_passes: 5,
            ceiling: time::Duration::from_millis(900),
        }
    }
}

impl StallJudge {
    /// Returns the silence after which a target counts as stuck; `None` while no request is in
    /// flight.
    pub fn limit(&self, facts: &stalls::ProgressFacts) -> Option<time::Duration> {
        if facts.in_flight == 0 {
            return None;
        }
        if facts.running > 0 {
            let longest = facts.longest_pass + facts.longest_pass / 4 + self.margin;
            let usual = facts.pass_time * self.passes;
            return Some(longest.max(usual).clamp(self.floor, self.ceiling));
        }
        // No answer has begun yet: the first one may take its whole expected time.
        let moving = facts.pass_time * self.first_passes;
        Some(moving.clamp(self.first_floor, self.ceiling) + facts.first_event * 2)
    }

    /// Returns whether the target is stuck. `is_told` means that most other nodes that use the
    /// target find it stuck; half of the silence is enough then.
    pub fn is_stuck(
        &self,
        facts: &stalls::ProgressFacts,
        is_told: bool,
        now: times::BootTime,
    ) -> bool {
        let silence = now.since(facts.last_progress);
        self.limit(facts).is_some_and(|limit| {
            let limit = if is_told { limit / 2 } else { limit };
            silence >= limit
        })
    }
}
