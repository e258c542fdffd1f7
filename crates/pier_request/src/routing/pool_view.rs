//! The targets of one pool, prepared for routing decisions.

use std::collections;

use pier_types::ids;

use crate::{admission, routing};

/// Targets sampled at random for each decision.
const SAMPLE_SIZE: usize = 3;

/// Most holders of a prefix that a decision considers.
const MAX_HOLDERS: usize = 4;

/// Interchangeable targets, with those of the local data centre kept separate.
#[derive(Debug, Clone, Default)]
pub struct PoolView {
    local: Vec<routing::RouteEntry>,
    remote: Vec<routing::RouteEntry>,
    local_index: collections::BTreeMap<ids::TargetId, usize>,
    load: admission::PoolLoad,
}

impl PoolView {
    /// Adds a target.
    pub(super) fn add(&mut self, entry: routing::RouteEntry, is_local: bool) {
        self.load.add(&entry.target);
        if !is_local {
            self.remote.push(entry);
            return;
        }
        let index = self.local.len();
        self.local_index.insert(entry.target.target.clone(), index);
        self.local.push(entry);
    }

    /// Returns every target, those of the local data centre first.
    pub fn entries(&self) -> impl Iterator<Item = &routing::RouteEntry> {
        self.local.iter().chain(&self.remote)
    }

    /// Returns the load of the pool at the time the route table was built.
    pub const fn load(&self) -> admission::PoolLoad {
        self.load
    }

    /// Chooses a target and acquires a permit for it.
    ///
    /// Targets of the local data centre come first. Among them, the least loaded holder of the
    /// prompt's prefix is preferred to the least loaded target of a random sample unless its load
    /// is much higher.
    ///
    /// # Errors
    /// Fails when no untried target serves, or when all of them have their share in use.
    pub fn choose(
        &self,
        request: &routing::RouteRequest<'_>,
    ) -> Result<routing::RoutePermit, routing::RouteRefusal> {
        let mut random = request.random;
        if let Some(permit) = self.choose_local(request, &mut random) {
            return Ok(permit);
        }
        if let Some(permit) = choose_from(&self.remote, request, &mut random) {
            return Ok(permit);
        }
        let mut untried = self.entries().filter(|entry| is_untried(entry, request));
        if untried.next().is_some() {
            return Err(routing::RouteRefusal::AllFull);
        }
        Err(routing::RouteRefusal::NoTarget)
    }

    fn choose_local(
        &self,
        request: &routing::RouteRequest<'_>,
        random: &mut u64,
    ) -> Option<routing::RoutePermit> {
        let holder = self.best_holder(request, random);
        let sampled = best_sampled(&self.local, request, random);
        let preferred = match (holder, sampled) {
            (Some((entry, score)), Some((_other, best)))
                if score <= max_holder_score(entry, best) =>
            {
                Some(entry)
            }
            (Some((entry, _score)), None) | (_, Some((entry, _score))) => Some(entry),
            (None, None) => None,
        };
        if let Some(permit) = preferred.and_then(|entry| entry.acquire(request.now)) {
            return Some(permit);
        }
        first_available(&self.local, request, random)
    }

    fn best_holder(
        &self,
        request: &routing::RouteRequest<'_>,
        random: &mut u64,
    ) -> Option<(&routing::RouteEntry, u64)> {
        let holders = request.holders?;
        let start = routing::index_below(routing::next_random(random), holders.len());
        let targets = holders.iter().cycle().skip(start).take(holders.len());
        let indexes = targets.filter_map(|target| self.local_index.get(target));
        let entries = indexes.filter_map(|index| self.local.get(*index));
        entries
            .filter(|entry| is_eligible(entry, request))
            .take(MAX_HOLDERS)
            .map(|entry| (entry, entry.score(request.now)))
            .min_by_key(|(_entry, score)| *score)
    }
}

fn choose_from(
    entries: &[routing::RouteEntry],
    request: &routing::RouteRequest<'_>,
    random: &mut u64,
) -> Option<routing::RoutePermit> {
    let sampled = best_sampled(entries, request, random);
    let permit = sampled.and_then(|(entry, _score)| entry.acquire(request.now));
    permit.or_else(|| first_available(entries, request, random))
}

/// Returns the highest score at which the holder of a prefix is still preferred.
///
/// A cached prefix saves part of the prefill of one request. This is worth two more requests, or
/// half as much load again, but must not let a popular prefix overload its holder.
fn max_holder_score(holder: &routing::RouteEntry, best: u64) -> u64 {
    let one_request = super::route_entry::SCORE_SCALE / u64::from(holder.limit().get().max(1));
    best + (best / 2).max(one_request * 2)
}

fn best_sampled<'a>(
    entries: &'a [routing::RouteEntry],
    request: &routing::RouteRequest<'_>,
    random: &mut u64,
) -> Option<(&'a routing::RouteEntry, u64)> {
    let draws = (0..SAMPLE_SIZE).filter_map(|_draw| {
        let index = routing::index_below(routing::next_random(random), entries.len());
        entries.get(index)
    });
    draws
        .filter(|entry| is_eligible(entry, request))
        .map(|entry| (entry, entry.score(request.now)))
        .min_by_key(|(_entry, score)| *score)
}

/// Acquires a permit from the first target with room, starting at a random index.
///
/// Finds the last free shares when a random sample misses them.
fn first_available(
    entries: &[routing::RouteEntry],
    request: &routing::RouteRequest<'_>,
    random: &mut u64,
) -> Option<routing::RoutePermit> {
    let start = routing::index_below(routing::next_random(random), entries.len());
    let (before, after) = entries.split_at(start);
    after
        .iter()
        .chain(before)
        .filter(|entry| is_eligible(entry, request))
        .find_map(|entry| entry.acquire(request.now))
}

fn is_eligible(entry: &routing::RouteEntry, request: &routing::RouteRequest<'_>) -> bool {
    entry.has_room() && !request.tried.contains(&entry.target.target)
}

fn is_untried(entry: &routing::RouteEntry, request: &routing::RouteRequest<'_>) -> bool {
    entry.limit().get() > 0 && !request.tried.contains(&entry.target.target)
}
