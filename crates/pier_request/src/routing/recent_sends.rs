//! The number of requests recently sent to a target.

use std::sync::atomic;

use pier_types::times;

/// Time buckets that are kept, about 2.1 s together.
const BUCKETS: usize = 16;

/// Base-2 logarithm of the bucket length in microseconds; 2^17 µs are about 131 ms.
const BUCKET_SHIFT: u32 = 17;

/// Sends per time bucket; each word holds the bucket's number in its upper half and the count in
/// its lower.
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
        // The closure always returns `Some`, so the update cannot fail.
        let _ = bucket.fetch_update(order, order, |word| Some(count_one(word, number)));
    }

    /// Returns the number of sends since the start of the bucket that contains `start`; sends
    /// before the oldest bucket are not counted.
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

/// Returns the number of the bucket that contains a time; it wraps after about 18 years.
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
