//! The targets of one pool.

use std::collections;

use pier_types::ids;

use crate::{admission, routing};

/// Targets drawn at random for each decision.
const CANDIDATES: usize = 3;

/// Most holders of a prefix that are looked at.
const HOLDERS: usize = 4;

/// Targets that can stand in for one another, those of the own data centre apart.
#[derive(Debug, Clone, Default)]
pub struct PoolView {
    local: Vec<routing::RouteEntry>,
    remote: Vec<routing::RouteEntry>,
    places: collections::BTreeMap<ids::TargetId, usize>,
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
        let place = self.local.len();
        self.places.insert(entry.target.target.clone(), place);
        self.local.push(entry);
    }

    /// Returns every target, those of the own data centre first.
    pub fn entries(&self) -> impl Iterator<Item = &routing::RouteEntry> {
        self.local.iter().chain(&self.remote)
    }

    /// Returns the load of the pool when the table was made.
    pub const fn load(&self) -> admission::PoolLoad {
        self.load
    }

    /// Chooses a target and takes a permit there.
    ///
    /// # Errors
    /// Fails when no target serves, or when all have their share in use.
    pub fn choose(
        &self,
        question: &routing::RouteQuestion<'_>,
    ) -> Result<routing::RoutePermit, routing::RouteRefusal> {
        let mut random = question.random;
        if let Some(permit) = self.choose_local(question, &mut random) {
            return Ok(permit);
        }
        if let Some(permit) = choose_any(&self.remote, question, &mut random) {
            return Ok(permit);
        }
        let mut untried = self.entries().filter(|entry| may_serve(entry, question));
        if untried.next().is_some() {
            return Err(routing::RouteRefusal::AllFull);
        }
        Err(routing::RouteRefusal::NoTarget)
    }

    fn choose_local(
        &self,
        question: &routing::RouteQuestion<'_>,
        random: &mut u64,
    ) -> Option<routing::RoutePermit> {
        let holder = self.best_holder(question, random);
        let sampled = best_sampled(&self.local, question, random);
        let favoured = match (holder, sampled) {
            (Some((entry, score)), Some((_other, best)))
                if score <= most_for_holder(entry, best) =>
            {
                Some(entry)
            }
            (Some((entry, _score)), None) | (_, Some((entry, _score))) => Some(entry),
            (None, None) => None,
        };
        if let Some(permit) = favoured.and_then(|entry| entry.acquire(question.now)) {
            return Some(permit);
        }
        scan(&self.local, question, random)
    }

    fn best_holder(
        &self,
        question: &routing::RouteQuestion<'_>,
        random: &mut u64,
    ) -> Option<(&routing::RouteEntry, u64)> {
        let holders = question.holders?;
        let start = routing::index_below(routing::next_random(random), holders.len());
        let places = holders.iter().cycle().skip(start).take(holders.len());
        let places = places.filter_map(|target| self.places.get(target));
        let entries = places.filter_map(|place| self.local.get(*place));
        entries
            .filter(|entry| is_eligible(entry, question))
            .take(HOLDERS)
            .map(|entry| (entry, entry.score(question.now)))
            .min_by_key(|(_entry, score)| *score)
    }
}

fn choose_any(
    entries: &[routing::RouteEntry],
    question: &routing::RouteQuestion<'_>,
    random: &mut u64,
) -> Option<routing::RoutePermit> {
    let sampled = best_sampled(entries, question, random);
    let permit = sampled.and_then(|(entry, _score)| entry.acquire(question.now));
    permit.or_else(|| scan(entries, question, random))
}

/// Returns the score up to which the holder of a prefix is preferred.
///
/// A prefix saves part of the work of one request, so that it is worth waiting for two others, or
/// for half as much load again, but not for the crowd that a popular prefix would draw.
fn most_for_holder(holder: &routing::RouteEntry, best: u64) -> u64 {
    let one = super::route_entry::FULL_SCORE / u64::from(holder.limit().get().max(1));
    best + (best / 2).max(one * 2)
}

fn best_sampled<'a>(
    entries: &'a [routing::RouteEntry],
    question: &routing::RouteQuestion<'_>,
    random: &mut u64,
) -> Option<(&'a routing::RouteEntry, u64)> {
    let draws = (0..CANDIDATES).filter_map(|_draw| {
        let index = routing::index_below(routing::next_random(random), entries.len());
        entries.get(index)
    });
    draws
        .filter(|entry| is_eligible(entry, question))
        .map(|entry| (entry, entry.score(question.now)))
        .min_by_key(|(_entry, score)| *score)
}

/// Takes the first permit from a random place on, when few targets are left that could serve.
fn scan(
    entries: &[routing::RouteEntry],
    question: &routing::RouteQuestion<'_>,
    random: &mut u64,
) -> Option<routing::RoutePermit> {
    let start = routing::index_below(routing::next_random(random), entries.len());
    let (before, after) = entries.split_at(start);
    after
        .iter()
        .chain(before)
        .filter(|entry| is_eligible(entry, question))
        .find_map(|entry| entry.acquire(question.now))
}

fn is_eligible(entry: &routing::RouteEntry, question: &routing::RouteQuestion<'_>) -> bool {
    entry.has_room() && !question.tried.contains(&entry.target.target)
}

fn may_serve(entry: &routing::RouteEntry, question: &routing::RouteQuestion<'_>) -> bool {
    entry.limit().get() > 0 && !question.tried.contains(&entry.target.target)
}
