//! Admission to one pool.

use std::{collections, ptr, sync, sync::atomic, time};

use pier_types::{codes, ids, priorities, sizes};

use crate::admission;

/// Shortest time that a caller is told to stay away.
const LEAST_RETRY_AFTER: time::Duration = time::Duration::from_millis(50);

/// Longest time that a caller is told to stay away.
const MOST_RETRY_AFTER: time::Duration = time::Duration::from_secs(10);

/// Time to stay away from a pool without a target; about what a repair of a group takes to begin.
const NO_TARGET_RETRY_AFTER: time::Duration = time::Duration::from_secs(2);

/// Admits or refuses the requests of one pool at once.
///
/// Each customer is owed its weighted share of the capacity, as far as it lately wanted it. What
/// nobody wants, everybody may use.
///
/// ```
/// use pier_request::admission;
/// use pier_types::{codes, priorities, sizes, times};
///
/// let customer = "college".parse()?;
/// let weights = [(customer, sizes::CustomerWeight::new(1))].into();
/// let gate = admission::AdmissionGate::default().with_customers(&weights);
/// let customer = "college".parse()?;
/// let question = admission::AdmissionQuestion {
///     customer: &customer,
///     priority: priorities::RequestPriority::Normal,
///     load: admission::PoolLoad { capacity: 1, ..admission::PoolLoad::default() },
///     deadline: times::BootTime::from_millis(9_000),
///     now: times::BootTime::from_millis(1_000),
/// };
/// let ticket = gate.admit(&question)?;
/// let refusal = gate.admit(&question).unwrap_err();
/// assert_eq!(refusal.code, codes::ResultCode::Overloaded);
/// drop(ticket);
/// assert!(gate.admit(&question).is_ok());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct AdmissionGate {
    lanes: collections::BTreeMap<ids::CustomerName, WeightedLane>,
    total: sync::Arc<atomic::AtomicU32>,
    clock: sync::Arc<admission::ServiceClock>,
    seen: sync::Arc<[admission::WindowCounter; 2]>,
}

/// A customer's counters and its weight by the present configuration.
#[derive(Debug, Clone)]
struct WeightedLane {
    lane: sync::Arc<admission::CustomerLane>,
    weight: u32,
}

impl AdmissionGate {
    /// Returns the gate for other customers or weights; requests in flight stay counted.
    #[must_use]
    pub fn with_customers(
        &self,
        weights: &collections::BTreeMap<ids::CustomerName, sizes::CustomerWeight>,
    ) -> Self {
        let mut gate = self.clone();
        gate.lanes = weights
            .iter()
            .map(|(customer, weight)| (customer.clone(), self.lane(customer, *weight)))
            .collect();
        gate
    }

    /// Admits a request or refuses it.
    ///
    /// # Errors
    /// Fails when the pool is full, when the customer has its share of a full pool, or when the
    /// deadline can not be met.
    pub fn admit(
        &self,
        question: &admission::AdmissionQuestion<'_>,
    ) -> Result<admission::AdmissionTicket, admission::AdmissionRefusal> {
        let Some(weighted) = self.lanes.get(question.customer) else {
            return Err(refusal(codes::ResultCode::UnknownCustomer, None));
        };
        if question.load.capacity == 0 {
            let code = codes::ResultCode::NoServingTarget;
            return Err(refusal(code, Some(NO_TARGET_RETRY_AFTER)));
        }
        if !self.is_feasible(question) {
            return Err(refusal(codes::ResultCode::DeadlineTooClose, None));
        }
        let lane = &weighted.lane;
        lane.note_arrival(question.now);
        self.note_priority(question);
        let share = self.share(weighted, question);
        if self.try_take(lane, share, question) {
            return Ok(self.ticket(lane));
        }
        lane.note_refusal(question.now);
        // Alone, a customer that has its share has all there is.
        let shares_with_others = share < question.load.capacity;
        Err(self.refuse(shares_with_others && lane.in_flight() >= share))
    }

    /// Returns how many requests are in flight.
    pub fn in_flight(&self) -> u32 {
        self.total.load(atomic::Ordering::Relaxed)
    }

    fn lane(&self, customer: &ids::CustomerName, weight: sizes::CustomerWeight) -> WeightedLane {
        let known = self.lanes.get(customer);
        WeightedLane {
            lane: known.map_or_else(sync::Arc::default, |known| sync::Arc::clone(&known.lane)),
            weight: weight.get().max(1),
        }
    }

    fn try_take(
        &self,
        lane: &admission::CustomerLane,
        share: u32,
        question: &admission::AdmissionQuestion<'_>,
    ) -> bool {
        let capacity = question.load.capacity;
        let headroom = self.headroom(question);
        let own_share = share - share * headroom / 100;
        if lane.try_add(own_share.max(1)) {
            return self.add_or_undo(lane, capacity);
        }
        let owed = self.owed_to_others(lane, question);
        let reserve = owed.max(capacity * headroom / 100);
        lane.try_add(u32::MAX) && self.add_or_undo(lane, capacity.saturating_sub(reserve))
    }

    fn add_or_undo(&self, lane: &admission::CustomerLane, limit: u32) -> bool {
        let order = atomic::Ordering::Relaxed;
        let added = self
            .total
            .fetch_update(order, order, |total| (total < limit).then(|| total + 1));
        if added.is_err() {
            lane.remove();
        }
        added.is_ok()
    }

    /// Returns the weighted share of a customer among those that lately sent requests, at least 1.
    fn share(&self, own: &WeightedLane, question: &admission::AdmissionQuestion<'_>) -> u32 {
        let active = self
            .lanes
            .values()
            .filter(|weighted| weighted.lane.demand(question.now) > 0);
        let sum: u64 = active.map(|weighted| u64::from(weighted.weight)).sum();
        let share = u64::from(question.load.capacity) * u64::from(own.weight) / sum.max(1);
        u32::try_from(share).unwrap_or(u32::MAX).max(1)
    }

    fn owed_to_others(
        &self,
        own: &admission::CustomerLane,
        question: &admission::AdmissionQuestion<'_>,
    ) -> u32 {
        let others = self
            .lanes
            .values()
            .filter(|weighted| !ptr::eq(&raw const *weighted.lane, own));
        others
            .map(|weighted| {
                let share = self.share(weighted, question);
                weighted.lane.owed(share, question.now)
            })
            .fold(0, u32::saturating_add)
    }

    /// Returns the hundredths that are left to higher priorities; none while there are no such
    /// requests.
    fn headroom(&self, question: &admission::AdmissionQuestion<'_>) -> u32 {
        let [normal, high] = &*self.seen;
        let higher_seen = match question.priority {
            priorities::RequestPriority::Low => {
                normal.recent(question.now).max(high.recent(question.now))
            }
            priorities::RequestPriority::Normal => high.recent(question.now),
            priorities::RequestPriority::High => 0,
        };
        if higher_seen == 0 {
            return 0;
        }
        headroom_percent(question.priority)
    }

    fn note_priority(&self, question: &admission::AdmissionQuestion<'_>) {
        let [normal, high] = &*self.seen;
        match question.priority {
            priorities::RequestPriority::Low => {}
            priorities::RequestPriority::Normal => normal.raise(1, question.now),
            priorities::RequestPriority::High => high.raise(1, question.now),
        }
    }

    /// Tells whether an answer can come before the deadline, by the shortest time seen lately and
    /// by what waits in the targets.
    fn is_feasible(&self, question: &admission::AdmissionQuestion<'_>) -> bool {
        let remaining = question.deadline.since(question.now);
        if remaining.is_zero() {
            return false;
        }
        let load = &question.load;
        let wait = self.clock.mean().saturating_mul(load.queued) / load.running.max(1);
        self.clock.floor().saturating_add(wait) <= remaining
    }

    fn refuse(&self, has_share: bool) -> admission::AdmissionRefusal {
        let mean = self.clock.mean();
        if has_share {
            let retry_after = mean.clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER);
            return refusal(codes::ResultCode::CustomerOverShare, Some(retry_after));
        }
        // One of the requests in flight ends about this soon.
        let next_end = mean / self.in_flight().max(1);
        let retry_after = next_end.clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER);
        refusal(codes::ResultCode::Overloaded, Some(retry_after))
    }

    fn ticket(&self, lane: &sync::Arc<admission::CustomerLane>) -> admission::AdmissionTicket {
        admission::AdmissionTicket::new(
            sync::Arc::clone(lane),
            sync::Arc::clone(&self.total),
            sync::Arc::clone(&self.clock),
        )
    }
}

const fn refusal(
    code: codes::ResultCode,
    retry_after: Option<time::Duration>,
) -> admission::AdmissionRefusal {
    admission::AdmissionRefusal { code, retry_after }
}

/// Returns the hundredths of a full pool that are left to higher priorities.
const fn headroom_percent(priority: priorities::RequestPriority) -> u32 {
    match priority {
        priorities::RequestPriority::Low => 20,
        priorities::RequestPriority::Normal => 5,
        priorities::RequestPriority::High => 0,
    }
}
