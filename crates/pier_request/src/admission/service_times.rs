//! Recent service times of a pool.

use std::{sync::atomic, time};

/// Inverse of the weight of one sample in the moving mean.
const MEAN_DIVISOR: u64 = 16;

/// Inverse of the weight of a longer sample in the shortest time, which thus rises slowly when all
/// requests take longer.
const SHORTEST_DIVISOR: u64 = 256;

/// Moving mean and recent minimum of the service time; zero while unknown.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    mean_micros: atomic::AtomicU64,
    shortest_micros: atomic::AtomicU64,
}

impl ServiceTimes {
    /// Adds the time from the dispatch of a request to the end of its answer.
    pub fn record(&self, elapsed: time::Duration) {
        let sample = u64::try_from(elapsed.as_micros())
            .unwrap_or(u64::MAX)
            .max(1);
        update(&self.mean_micros, |mean| {
            move_towards(mean, sample, MEAN_DIVISOR)
        });
        update(&self.shortest_micros, |shortest| {
            if sample < shortest {
                sample
            } else {
                move_towards(shortest, sample, SHORTEST_DIVISOR)
            }
        });
    }

    /// Returns the recent mean service time.
    pub fn mean(&self) -> time::Duration {
        time::Duration::from_micros(self.mean_micros.load(atomic::Ordering::Relaxed))
    }

    /// Returns the shortest recent service time.
    pub fn shortest(&self) -> time::Duration {
        time::Duration::from_micros(self.shortest_micros.load(atomic::Ordering::Relaxed))
    }
}

fn update(cell: &atomic::AtomicU64, change: impl Fn(u64) -> u64) {
    let order = atomic::Ordering::Relaxed;
    // The closure always returns `Some`, so the update cannot fail.
    let _ = cell.fetch_update(order, order, |old| Some(change(old)));
}

/// Moves a value towards a sample by the difference over `divisor`; the first sample replaces the
/// zero.
const fn move_towards(value: u64, sample: u64, divisor: u64) -> u64 {
    if value == 0 {
        return sample;
    }
    if sample >= value {
        return value + (sample - value) / divisor;
    }
    value - (value - sample) / divisor
}
