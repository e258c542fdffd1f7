//! Counts recent events in a sliding window.

use std::time;

use pier_types::times;

/// Buckets of the window.
const PARTS: usize = 10;

/// Counts events in a window that slides in steps of a tenth of its length.
#[derive(Debug, Clone)]
pub struct WindowCount {
    part: time::Duration,
    counts: [u32; PARTS],
    newest: u64,
}

impl WindowCount {
    /// Creates a counter over a window.
    pub fn new(window: time::Duration) -> Self {
        Self {
            part: (window / 10).max(time::Duration::from_millis(1)),
            counts: [0; PARTS],
            newest: 0,
        }
    }

    /// Counts one event.
    pub fn add(&mut self, now: times::BootTime) {
        let at = self.roll(now);
        self.counts[at] = self.counts[at].saturating_add(1);
    }

    /// Returns the number of events in the window.
    pub fn total(&mut self, now: times::BootTime) -> u32 {
        self.roll(now);
        self.counts.iter().sum()
    }

    fn roll(&mut self, now: times::BootTime) -> usize {
        let micros = u64::try_from(self.part.as_micros()).unwrap_or(u64::MAX);
        let present = now.as_micros() / micros;
        let passed = present.saturating_sub(self.newest);
        for step in 0..passed.min(PARTS as u64) {
            let at = usize::try_from((present - step) % PARTS as u64).unwrap_or(0);
            self.counts[at] = 0;
        }
        self.newest = self.newest.max(present);
        usize::try_from(self.newest % PARTS as u64).unwrap_or(0)
    }
}
