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
    /// Least silence of running streams that counts.
    pub floor: time::Duration,
    /// Passes without progress that count.
    pub passes: u32,
    /// Silence of running streams that counts at a slow target too: callers leave after two
    /// seconds, and another target needs the rest.
    pub ceiling: time::Duration,
}

impl Default for StallJudge {
    fn default() -> Self {
        Self {
            floor: time::Duration::from_millis(450),
            passes: 5,
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
        let moving = (facts.pass_time * self.passes).clamp(self.floor, self.ceiling);
        if facts.running > 0 {
            return Some(moving);
        }
        // Only requests that have not begun: the first one may take its whole expected time.
        Some(moving + facts.first_event * 2)
    }

    /// Tells whether the target is stuck.
    pub fn is_stuck(&self, facts: &stalls::ProgressFacts, now: times::BootTime) -> bool {
        self.limit(facts)
            .is_some_and(|limit| now.since(facts.last_progress) >= limit)
    }
}
