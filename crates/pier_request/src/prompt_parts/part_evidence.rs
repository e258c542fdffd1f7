//! The crashes of a part, and the verdict on all parts.

use std::{cmp, collections, time};

use pier_types::{ids, times};

use crate::prompt_parts;

/// Fewest crashes, which no other part explains, that hold a part.
const MIN_CRASHES: usize = 4;

/// Fewest different requests on these crashes; one request that crashes targets by itself is the
/// matter of [`quarantine`](crate::quarantine).
const MIN_REQUESTS: usize = 3;

/// Crashes that a part may have missed and still be as suspect as one with more.
const MAX_MISSED_CRASHES: usize = 1;

/// Fewest crashes of a part that can be held, alone or with others.
const MIN_SUSPECT_CRASHES: usize = MIN_CRASHES - MAX_MISSED_CRASHES;

/// The marks that count against one part.
#[derive(Debug)]
pub(super) struct PartEvidence<'a> {
    pub part: ids::PromptPart,
    crashes: collections::BTreeMap<&'a prompt_parts::CrashId, times::BootTime>,
    requests: collections::BTreeSet<ids::RequestFingerprint>,
}

impl<'a> PartEvidence<'a> {
    /// Creates the evidence of a part without marks.
    pub(super) const fn new(part: ids::PromptPart) -> Self {
        Self {
            part,
            crashes: collections::BTreeMap::new(),
            requests: collections::BTreeSet::new(),
        }
    }

    /// Adds a mark that counts.
    pub(super) fn add(
        &mut self,
        crash: &'a prompt_parts::CrashId,
        request: ids::RequestFingerprint,
        seen_at: times::BootTime,
    ) {
        self.crashes.insert(crash, seen_at);
        self.requests.insert(request);
    }

    fn last_crash(&self) -> times::BootTime {
        self.crashes.values().copied().max().unwrap_or_default()
    }

    /// Returns whether this part was on the same crashes as one that was on at least as many.
    fn is_like(&self, other: &Self) -> bool {
        let missed = other.crashes.len().saturating_sub(self.crashes.len());
        missed <= MAX_MISSED_CRASHES
            && self
                .crashes
                .keys()
                .all(|crash| other.crashes.contains_key(crash))
    }

    /// Returns until when the part is held by the crashes that none of the `others` was on; `None`
    /// if it is not.
    fn held_until(&self, others: &[&Self], lifetime: time::Duration) -> Option<times::BootTime> {
        if self.requests.len() < MIN_REQUESTS {
            return None;
        }
        let unexplained = self.crashes.iter().filter(|(crash, _seen_at)| {
            !others
                .iter()
                .any(|other| other.crashes.contains_key(*crash))
        });
        let mut times: Vec<_> = unexplained.map(|(_crash, seen_at)| *seen_at).collect();
        times.sort_unstable_by_key(|at| cmp::Reverse(*at));
        // Too few crashes are left once this one expires.
        let last = times.get(MIN_CRASHES - 1)?;
        Some(last.after(lifetime))
    }

    /// Returns the parts that the evidence holds; marks count for `lifetime`.
    pub(super) fn judge(
        mut evidence: Vec<Self>,
        lifetime: time::Duration,
    ) -> prompt_parts::PartQuarantine {
        evidence.retain(|part| part.crashes.len() >= MIN_SUSPECT_CRASHES);
        // Of two parts with as many crashes, the one with the latest goes on crashing targets.
        evidence.sort_by_key(|part| cmp::Reverse((part.crashes.len(), part.last_crash())));
        let mut leaders: Vec<&Self> = Vec::new();
        let mut quarantine = prompt_parts::PartQuarantine::default();
        for part in &evidence {
            let like = leaders.iter().position(|leader| part.is_like(leader));
            if let Some(position) = like {
                quarantine.held[position].parts.insert(part.part);
                continue;
            }
            let Some(until) = part.held_until(&leaders, lifetime) else {
                continue;
            };
            leaders.push(part);
            quarantine.held.push(prompt_parts::HeldParts {
                parts: collections::BTreeSet::from([part.part]),
                until,
            });
            let crashes = part.crashes.keys().map(|crash| (*crash).clone());
            quarantine.crashes.extend(crashes);
        }
        quarantine
    }
}
