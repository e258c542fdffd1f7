//! A count or peak over the current and the previous time window.

use std::sync::atomic;

use pier_types::times;

/// Base-2 logarithm of the window's length in microseconds; 2^22 µs are about 4.2 s.
const WINDOW_SHIFT: u32 = 22;

/// Two windows; each word holds the window's number in its upper half and the value in its lower.
#[derive(Debug, Default)]
pub(super) struct WindowCounter {
    windows: [atomic::AtomicU64; 2],
}

impl WindowCounter {
    /// Adds one to the current window and returns its count.
    pub(super) fn add(&self, now: times::BootTime) -> u32 {
        self.update(now, |value| value.saturating_add(1))
    }

    /// Raises the value of the current window to at least `value`.
    pub(super) fn raise(&self, value: u32, now: times::BootTime) {
        self.update(now, |old| old.max(value));
    }

    /// Returns the greater value of the current and the previous window.
    pub(super) fn recent(&self, now: times::BootTime) -> u32 {
        let current = window_number(now);
        let words = self
            .windows
            .iter()
            .map(|window| window.load(atomic::Ordering::Relaxed));
        words
            .filter(|word| current.wrapping_sub(high(*word)) <= 1)
            .map(low)
            .max()
            .unwrap_or(0)
    }

    fn update(&self, now: times::BootTime, change: impl Fn(u32) -> u32) -> u32 {
        let number = window_number(now);
        let window = &self.windows[number as usize % 2];
        let order = atomic::Ordering::Relaxed;
        let value_of = |word| if high(word) == number { low(word) } else { 0 };
        let changed = |word| {
            let value = change(value_of(word));
            Some((u64::from(number) << 32) | u64::from(value))
        };
        let old = window.fetch_update(order, order, changed);
        change(value_of(old.unwrap_or(0)))
    }
}

/// Returns the number of the window that contains a time; numbers start at 2, so that the initial
/// word 0 is never recent.
fn window_number(now: times::BootTime) -> u32 {
    low(now.as_micros() >> WINDOW_SHIFT).wrapping_add(2)
}

const fn high(word: u64) -> u32 {
    (word >> 32) as u32
}

#[expect(clippy::cast_possible_truncation, reason = "the lower half is meant")]
const fn low(word: u64) -> u32 {
    word as u32
}
