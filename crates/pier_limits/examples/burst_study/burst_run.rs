//! One run of the model.

use std::time;

use pier_types::times;
use rand::{Rng, SeedableRng, rngs};

use crate::burst_model;

/// Time between two steps, in milliseconds.
const STEP: u64 = 50;
/// Time between two checks whether an ask is due, in milliseconds; the same as in the daemon.
const SHARE_STEP: u64 = 100;
/// Counting starts at this time, in milliseconds.
const WARM_UP: u64 = 20_000;
const END: u64 = 120_000;
/// Time between two bursts, in milliseconds: longer than the duration of a request.
const BURST_PERIOD: u64 = 9_700;
/// Mean duration of a request, in milliseconds.
const MEAN_SERVICE: u64 = 3_500;

/// How nodes get their shares, and which nodes are tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BurstVariant {
    Wishes,
    Dealt,
    Sibling,
}

#[derive(Debug, Clone, Copy)]
pub struct BurstSettings {
    pub nodes: usize,
    /// The steady load, in percent of the sum of all limits.
    pub use_percent: u32,
    /// Number of requests in one burst.
    pub burst: u32,
    pub variant: BurstVariant,
}

/// The counts of one or more runs.
#[derive(Debug, Default)]
pub struct BurstCount {
    pub arrivals: u32,
    /// Requests that were refused while the data centre as a whole had free capacity.
    pub with_room: u32,
    /// Maximum number of requests above a target's limit at any time.
    pub over_limit: u32,
    pub asks: u32,
}

impl BurstCount {
    pub fn add(&mut self, other: &Self) {
        self.arrivals += other.arrivals;
        self.with_room += other.with_room;
        self.over_limit = self.over_limit.max(other.over_limit);
        self.asks += other.asks;
    }

    /// Returns the number of asks per node and second.
    pub fn ask_rate(&self, nodes: usize, runs: u64) -> f64 {
        let seconds = END as f64 / 1_000.0 * runs as f64;
        f64::from(self.asks) / seconds / nodes as f64
    }
}

pub struct BurstRun {
    rng: rngs::StdRng,
    settings: BurstSettings,
    model: burst_model::BurstModel,
    now: times::BootTime,
    count: BurstCount,
}

impl BurstRun {
    pub fn new(seed: u64, settings: BurstSettings) -> Self {
        let only_wanted = settings.variant == BurstVariant::Wishes;
        Self {
            rng: rngs::StdRng::seed_from_u64(seed),
            settings,
            model: burst_model::BurstModel::new(settings.nodes, only_wanted),
            now: times::BootTime::default(),
            count: BurstCount::default(),
        }
    }

    pub fn finish(mut self) -> BurstCount {
        for millis in (STEP..END).step_by(usize::try_from(STEP).unwrap_or(1)) {
            self.now = times::BootTime::from_millis(millis);
            let over = self.model.advance(self.now);
            self.count.over_limit = self.count.over_limit.max(over);
            if millis.is_multiple_of(SHARE_STEP) {
                self.model.share(self.now);
            }
            self.arrive(millis);
        }
        self.count.asks = self.model.asks;
        self.count
    }

    fn arrive(&mut self, millis: u64) {
        let limit = u64::from(burst_model::LIMIT.get() * burst_model::TARGETS);
        let thousandths = limit * u64::from(self.settings.use_percent) * 10 * STEP / MEAN_SERVICE;
        let more = self.rng.random_range(0..1_000) < thousandths % 1_000;
        for _ in 0..thousandths / 1_000 + u64::from(more) {
            let node = self.rng.random_range(0..self.settings.nodes);
            self.request(node, millis);
        }
        if millis.is_multiple_of(BURST_PERIOD) {
            let node = self.rng.random_range(0..self.settings.nodes);
            for _ in 0..self.settings.burst {
                self.request(node, millis);
            }
        }
    }

    fn request(&mut self, node: usize, millis: u64) {
        let service = self.rng.random_range(2_000..5_000);
        let other = self.rng.random_range(1..self.settings.nodes);
        let sibling = (node + other) % self.settings.nodes;
        let ends_at = self.now.after(time::Duration::from_millis(service));
        let mut started = self.model.start(node, ends_at, self.now);
        if !started && self.settings.variant == BurstVariant::Sibling {
            started = self.model.start(sibling, ends_at, self.now);
        }
        if millis >= WARM_UP {
            self.count.arrivals += 1;
            self.count.with_room += u32::from(!started && self.model.free_capacity() > 0);
        }
    }
}
