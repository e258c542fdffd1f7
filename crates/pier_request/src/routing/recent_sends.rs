//! How many requests went to a target lately.

use std::sync::atomic;

use pier_types::times;

/// Buckets of time that are kept.
const BUCKETS: usize = 16;

/// A bucket spans 2 to the power of this many microseconds, about 131 ms.
const BUCKET_SHIFT: u32 = 17;

/// Sends by bucket of time; each word holds the bucket's number above and its count below.
#[derive(Debug, Default)]
pub(super) struct RecentSends {
    buckets: [atomic::AtomicU64; BUCKETS],
}

impl RecentSends {
    /// Counts a send.
    pub(super) fn add(&self, now: times::BootTime) {
        let number = bucket_number(now);
        let bucket = &self.buckets[number as usize % BUCKETS];
        let order = atomic::Ordering::Relaxed;
        // An update that always succeeds can be ignored.
        let _ = bucket.fetch_update(order, order, |word| Some(count_one(word, number)));
    }

    /// Returns the sends since a time; those before the oldest bucket are forgotten.
    pub(super) fn since(&self, start: times::BootTime) -> u32 {
        let first = bucket_number(start);
        let words = self
            .buckets
            .iter()
            .map(|bucket| bucket.load(atomic::Ordering::Relaxed));
        words
            .filter(|word| high(*word) >= first)
            .map(low)
            .fold(0, u32::saturating_add)
    }
}

/// Returns the number of the bucket of a time; it wraps after decades.
fn bucket_number(now: times::BootTime) -> u32 {
    low(now.as_micros() >> BUCKET_SHIFT)
}

fn count_one(word: u64, number: u32) -> u64 {
    let count = if high(word) == number { low(word) } else { 0 };
    (u64::from(number) << 32) | u64::from(count.saturating_add(1))
}

const fn high(word: u64) -> u32 {
    (word >> 32) as u32
}

#[expect(clippy::cast_possible_truncation, reason = "the lower half is meant")]
const fn low(word: u64) -> u32 {
    word as u32
}
