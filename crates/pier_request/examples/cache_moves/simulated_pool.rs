//! The groups of one model in one data centre, with the same routing rule as `PoolView`.

use std::collections;

use rand::{Rng, rngs};

use crate::{cache_loss, lru_cache};

/// Groups of the model.
const GROUPS: usize = 10;

/// Service time of a request.
const SERVICE_MS: u64 = 2_000;

/// Time in which a node pulls the cache events of every group once.
const INDEX_MS: u64 = 4_000;

/// Groups sampled for each choice.
const SAMPLE_SIZE: usize = 3;

/// The groups, and a node's view of their caches.
#[derive(Debug)]
pub struct SimulatedPool {
    caches: Vec<lru_cache::LruCache>,
    known: Vec<lru_cache::LruCache>,
    ends: Vec<collections::VecDeque<u64>>,
}

impl Default for SimulatedPool {
    fn default() -> Self {
        Self {
            caches: vec![lru_cache::LruCache::default(); GROUPS],
            known: vec![lru_cache::LruCache::default(); GROUPS],
            ends: vec![collections::VecDeque::new(); GROUPS],
        }
    }
}

impl SimulatedPool {
    /// Applies a loss of caches.
    pub fn lose(&mut self, loss: cache_loss::CacheLoss) {
        match loss {
            cache_loss::CacheLoss::None | cache_loss::CacheLoss::AllImported => {}
            cache_loss::CacheLoss::OneGroup => self.forget(0),
            cache_loss::CacheLoss::OneGroupMoved => {
                self.move_away(0);
                self.forget(0);
            }
            cache_loss::CacheLoss::All => (0..GROUPS).for_each(|group| self.forget(group)),
        }
    }

    /// Serves one request; returns whether its prefix was cached.
    pub fn serve(&mut self, prefix: usize, now_ms: u64, rng: &mut rngs::StdRng) -> bool {
        let turn = usize::try_from(now_ms * GROUPS as u64 / INDEX_MS).unwrap_or(0) % GROUPS;
        self.known[turn] = self.caches[turn].clone();
        for ends in &mut self.ends {
            while ends.front().is_some_and(|end| *end <= now_ms) {
                ends.pop_front();
            }
        }
        let group = self.choose(prefix, rng);
        self.ends[group].push_back(now_ms + SERVICE_MS);
        self.caches[group].touch(prefix)
    }

    /// Chooses the least loaded of the sampled groups, or a holder that is not much more loaded.
    fn choose(&self, prefix: usize, rng: &mut rngs::StdRng) -> usize {
        let load = |group: &usize| self.ends[*group].len();
        let drawn = (0..SAMPLE_SIZE).map(|_draw| rng.random_range(0..GROUPS));
        let best = drawn.min_by_key(load).unwrap_or(0);
        let bound = (load(&best) + load(&best) / 2).max(load(&best) + 2);
        let holders = (0..GROUPS).filter(|group| self.known[*group].holds(prefix));
        holders
            .filter(|group| load(group) <= bound)
            .min_by_key(load)
            .unwrap_or(best)
    }

    fn forget(&mut self, group: usize) {
        self.caches[group] = lru_cache::LruCache::default();
        self.known[group] = lru_cache::LruCache::default();
    }

    /// Copies the more recently used half of the prefixes that only this group holds to the other
    /// groups in turn.
    fn move_away(&mut self, group: usize) {
        let others: Vec<usize> = (0..GROUPS).filter(|other| *other != group).collect();
        let sole = self.caches[group].prefixes().filter(|prefix| {
            let mut holders = others.iter();
            !holders.any(|other| self.caches[*other].holds(*prefix))
        });
        let sole: Vec<usize> = sole.collect();
        for (number, prefix) in sole.iter().skip(sole.len() / 2).enumerate() {
            self.caches[others[number % others.len()]].touch(*prefix);
        }
    }
}
