//! Counts recent events in a sliding window.

use std::time;

use pier_types::times;

/// Buckets of the window.
const BUCKETS: usize = 10;

/// Counts events in a window that slides in steps of a tenth of its length.
#[derive(Debug, Clone)]
pub struct WindowCount {
    bucket_length: time::Duration,
    counts: [u32; BUCKETS],
    newest_bucket: u64,
}

impl WindowCount {
    /// Creates a counter over a window.
    pub fn new(window: time::Duration) -> Self {
        Self {
            bucket_length: (window / 10).max(time::Duration::from_millis(1)),
            counts: [0; BUCKETS],
            newest_bucket: 0,
        }
    }

    /// Counts one event.
    pub fn add(&mut self, now: times::BootTime) {
        let index = self.advance(now);
        self.counts[index] = self.counts[index].saturating_add(1);
    }

    /// Returns the number of events in the window.
    pub fn total(&mut self, now: times::BootTime) -> u32 {
        self.advance(now);
        self.counts.iter().sum()
    }

    fn advance(&mut self, now: times::BootTime) -> usize {
        let micros = u64::try_from(self.bucket_length.as_micros()).unwrap_or(u64::MAX);
        let current = now.as_micros() / micros;
        let elapsed = current.saturating_sub(self.newest_bucket);
        for step in 0..elapsed.min(BUCKETS as u64) {
            let index = usize::try_from((current - step) % BUCKETS as u64).unwrap_or(0);
            self.counts[index] = 0;
        }
        self.newest_bucket = self.newest_bucket.max(current);
        usize::try_from(self.newest_bucket % BUCKETS as u64).unwrap_or(0)
    }
}
