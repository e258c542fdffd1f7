//! A rate-limited store of model weights.

use std::{sync, time};

use pier_types::{rates, sizes, times};

use crate::serve;

/// A weight store that serves one read at a time; clones share their state.
///
/// ```
/// use pier_fakes::engine;
/// use pier_types::{rates, sizes, times};
///
/// let store = engine::WeightStore::new(rates::ByteRate::new(100));
/// let start = times::BootTime::from_millis(0);
/// let first = store.reserve(sizes::ByteSize::new(50), start);
/// let second = store.reserve(sizes::ByteSize::new(50), start);
/// assert_eq!(first, times::BootTime::from_millis(500));
/// assert_eq!(second, times::BootTime::from_millis(1_000));
/// ```
#[derive(Debug, Clone)]
pub struct WeightStore {
    rate: rates::ByteRate,
    free_at: sync::Arc<sync::Mutex<times::BootTime>>,
}

impl WeightStore {
    /// Creates a store with the given read rate.
    pub fn new(rate: rates::ByteRate) -> Self {
        Self {
            rate,
            free_at: sync::Arc::default(),
        }
    }

    /// Queues a read; returns the time at which it ends.
    pub fn reserve(&self, size: sizes::ByteSize, now: times::BootTime) -> times::BootTime {
        let micros = size.get().saturating_mul(1_000_000) / self.rate.get().max(1);
        let mut free_at = serve::lock(&self.free_at);
        let start = now.max(*free_at);
        *free_at = start.after(time::Duration::from_micros(micros));
        *free_at
    }
}
