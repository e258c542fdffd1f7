//! Judges silence.

use std::time;

use pier_types::times;

use crate::stalls;

/// Judges from silence that a group moves nothing any more.
///
/// All streams of a group move in the same passes, so a lost member silences them together. This
/// is free evidence within a few passes, well before the group itself reports its loss.
#[derive(Debug, Clone, Copy)]
pub struct StallJudge {
    /// Least silence of running streams that counts: a packet that is lost once comes again in less.
    pub floor: time::Duration,
    /// What a pass and the way to this node may take beyond the longest pass.
    pub margin: time::Duration,
    /// Expected passes without progress that count in any case.
    pub passes: u32,
    /// Least silence that counts before any stream runs.
    pub first_floor: time::Duration,
    /// Expected passes without progress that count before any stream runs.
    pub first_passes: u32,
    /// Silence of running streams that counts at a slow target too: callers leave after two
    /// seconds, and another target needs the rest.
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
    /// Returns the silence after which a target counts as stuck; none while nothing is expected.
    pub fn limit(&self, facts: &stalls::ProgressFacts) -> Option<time::Duration> {
        if facts.in_flight == 0 {
            return None;
        }
        if facts.running > 0 {
            let longest = facts.longest_pass + facts.longest_pass / 4 + self.margin;
            let usual = facts.pass_time * self.passes;
            return Some(longest.max(usual).clamp(self.floor, self.ceiling));
        }
        // Only requests that have not begun: the first one may take its whole expected time.
        let moving = facts.pass_time * self.first_passes;
        Some(moving.clamp(self.first_floor, self.ceiling) + facts.first_event * 2)
    }

    /// Tells whether the target is stuck; half of the silence is enough once most other nodes that
    /// use the target find it so.
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
