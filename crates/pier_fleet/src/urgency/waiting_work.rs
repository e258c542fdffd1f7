//! Work that waits at a target.

use std::ops;

use serde::{Deserialize, Serialize};

/// Requests that wait, and the tokens of their prompts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingWork {
    /// Number of requests.
    pub requests: u32,
    /// Prompt tokens of these requests.
    pub prompt: u64,
}

impl WaitingWork {
    /// Returns this work minus `part`.
    #[must_use]
    pub const fn without(self, part: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(part.requests),
            prompt: self.prompt.saturating_sub(part.prompt),
        }
    }

    /// Returns the part of this work that `requests` of its requests have, by the mean prompt.
    #[must_use]
    pub fn part(self, requests: u32) -> Self {
        let requests = requests.min(self.requests);
        let total = u64::from(self.requests.max(1));
        Self {
            requests,
            prompt: self.prompt.saturating_mul(u64::from(requests)) / total,
        }
    }
}

impl ops::AddAssign for WaitingWork {
    fn add_assign(&mut self, rhs: Self) {
        self.requests = self.requests.saturating_add(rhs.requests);
        self.prompt = self.prompt.saturating_add(rhs.prompt);
    }
}
