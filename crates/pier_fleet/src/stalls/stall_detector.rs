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
pub struct StallDetector {
    /// Lower bound of the limit while streams are running; a single lost packet is retransmitted
    /// in less.
    pub min_silence: time::Duration,
    /// Allowance beyond the longest pass, for the pass itself and the network path to this node.
    pub margin: time::Duration,
    /// The limit is at least this many expected passes.
    pub min_passes: u32,
    /// Lower bound of the limit while no stream is running yet.
    pub first_min_silence: time::Duration,
    /// Expected passes allowed while no stream is running yet.
    pub first_min_passes: u32,
    /// Upper bound of the limit, also for a slow target: callers leave after two seconds, and
    /// another target needs the remaining time.
    pub max_silence: time::Duration,
}

impl Default for StallDetector {
    fn default() -> Self {
        Self {
            min_silence: time::Duration::from_millis(330),
            margin: time::Duration::from_millis(80),
            min_passes: 3,
            first_min_silence: time::Duration::from_millis(450),
            first_min_passes: 5,
            max_silence: time::Duration::from_millis(900),
        }
    }
}

impl StallDetector {
    /// Returns the silence after which a target counts as stuck; `None` while no request is in
    /// flight.
    pub fn limit(&self, facts: &stalls::ProgressFacts) -> Option<time::Duration> {
        if facts.in_flight == 0 {
            return None;
        }
        if facts.running > 0 {
            let longest = facts.longest_pass + facts.longest_pass / 4 + self.margin;
            let expected = facts.pass_time * self.min_passes;
            return Some(
                longest
                    .max(expected)
                    .clamp(self.min_silence, self.max_silence),
            );
        }
        // No answer has begun yet: the first one may take its whole expected time.
        let expected = facts.pass_time * self.first_min_passes;
        Some(expected.clamp(self.first_min_silence, self.max_silence) + facts.first_event * 2)
    }

    /// Returns whether the target is stuck. `is_confirmed` means that most other nodes that use the
    /// target find it stuck; half of the silence is enough then.
    pub fn is_stuck(
        &self,
        facts: &stalls::ProgressFacts,
        is_confirmed: bool,
        now: times::BootTime,
    ) -> bool {
        let silence = now.since(facts.last_progress);
        self.limit(facts).is_some_and(|limit| {
            let limit = if is_confirmed { limit / 2 } else { limit };
            silence >= limit
        })
    }
}
