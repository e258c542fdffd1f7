//! A count or peak over the present and the last window of time.

use std::sync::atomic;

use pier_types::times;

/// A window spans 2 to the power of this many microseconds, about 4 s.
const WINDOW_SHIFT: u32 = 22;

/// Two windows; each word holds the window's number above and its value below.
#[derive(Debug, Default)]
pub(super) struct WindowCounter {
    windows: [atomic::AtomicU64; 2],
}

impl WindowCounter {
    /// Adds one to the present window and returns its count.
    pub(super) fn add(&self, now: times::BootTime) -> u32 {
        self.update(now, |value| value.saturating_add(1))
    }

    /// Raises the present window to a value.
    pub(super) fn raise(&self, value: u32, now: times::BootTime) {
        self.update(now, |old| old.max(value));
    }

    /// Returns the greatest value of the present and the last window.
    pub(super) fn recent(&self, now: times::BootTime) -> u32 {
        let present = window_number(now);
        let words = self
            .windows
            .iter()
            .map(|window| window.load(atomic::Ordering::Relaxed));
        words
            .filter(|word| present.wrapping_sub(high(*word)) <= 1)
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

/// Returns the number of the window of a time, from 2 on so that an unused word is never recent.
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
