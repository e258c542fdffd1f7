//! The load at one target.

use std::ops;

use serde::{Deserialize, Serialize};

use crate::urgency;

/// Requests in flight at one target, from one node or from several.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Requests whose answer has begun.
    pub running: u32,
    /// Requests whose answer has not begun.
    pub waiting: u32,
    /// Prompt tokens of the waiting requests.
    pub waiting_prompt: u64,
    /// The waiting requests by urgency. It is not part of the encoding, which earlier builds read.
    #[serde(skip)]
    pub mix: urgency::WaitingMix,
}

impl TargetLoad {
    /// Returns this load minus `part`.
    #[must_use]
    pub const fn without(self, part: Self) -> Self {
        Self {
            running: self.running.saturating_sub(part.running),
            waiting: self.waiting.saturating_sub(part.waiting),
            waiting_prompt: self.waiting_prompt.saturating_sub(part.waiting_prompt),
            mix: self.mix.without(part.mix),
        }
    }
}

impl ops::AddAssign for TargetLoad {
    fn add_assign(&mut self, rhs: Self) {
        self.running = self.running.saturating_add(rhs.running);
        self.waiting = self.waiting.saturating_add(rhs.waiting);
        self.waiting_prompt = self.waiting_prompt.saturating_add(rhs.waiting_prompt);
        self.mix += rhs.mix;
    }
}
