//! Admission control for one pool.

use std::{collections, ptr, sync, sync::atomic, time};

use pier_types::{codes, ids, priorities, sizes};

use crate::admission;

/// Shortest retry-after time that a refusal gives.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(50);

/// Longest retry-after time that a refusal gives.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(10);

/// Retry-after time for a pool without a target: about the time until the repair of a replica group
/// begins.
const NO_TARGET_RETRY_AFTER: time::Duration = time::Duration::from_secs(2);

/// Admits or refuses the requests of one pool without queueing them.
///
/// Each customer is entitled to its weighted share of the capacity, up to its recent demand. Any
/// customer may use capacity that the others do not need.
///
/// ```
/// use pier_request::admission;
/// use pier_types::{codes, priorities, sizes, times};
///
/// let customer = "college".parse()?;
/// let weights = [(customer, sizes::CustomerWeight::new(1))].into();
/// let controller = admission::AdmissionController::default().with_customers(&weights);
/// let customer = "college".parse()?;
/// let request = admission::AdmissionRequest {
///     customer: &customer,
///     priority: priorities::RequestPriority::Normal,
///     load: admission::PoolLoad { capacity: 1, ..admission::PoolLoad::default() },
///     deadline: times::BootTime::from_millis(9_000),
///     now: times::BootTime::from_millis(1_000),
/// };
/// let permit = controller.admit(&request)?;
/// let refusal = controller.admit(&request).unwrap_err();
/// assert_eq!(refusal.code, codes::ResultCode::Overloaded);
/// drop(permit);
/// assert!(controller.admit(&request).is_ok());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct AdmissionController {
    customers: collections::BTreeMap<ids::CustomerName, WeightedCustomer>,
    total_in_flight: sync::Arc<atomic::AtomicU32>,
    service_times: sync::Arc<admission::ServiceTimes>,
    /// Arrivals of requests of normal and of high priority; only whether there were any counts.
    recent_priorities: sync::Arc<[admission::WindowCounter; 2]>,
}

/// A customer's counters, and its weight in the current configuration.
#[derive(Debug, Clone)]
struct WeightedCustomer {
    counters: sync::Arc<admission::CustomerCounters>,
    weight: u32,
}

impl AdmissionController {
    /// Returns a controller for changed customers or weights; requests in flight stay counted.
    #[must_use]
    pub fn with_customers(
        &self,
        weights: &collections::BTreeMap<ids::CustomerName, sizes::CustomerWeight>,
    ) -> Self {
        let mut controller = self.clone();
        controller.customers = weights
            .iter()
            .map(|(customer, weight)| (customer.clone(), self.weighted_customer(customer, *weight)))
            .collect();
        controller
    }

    /// Admits a request or refuses it.
    ///
    /// # Errors
    /// Fails when the customer is unknown, when the pool has no target or is full, when the
    /// customer uses its full share of a full pool, or when the deadline cannot be met.
    pub fn admit(
        &self,
        request: &admission::AdmissionRequest<'_>,
    ) -> Result<admission::AdmissionPermit, admission::AdmissionRefusal> {
        let Some(weighted) = self.customers.get(request.customer) else {
            return Err(refusal(codes::ResultCode::UnknownCustomer, None));
        };
        if request.load.capacity == 0 {
            let code = codes::ResultCode::NoServingTarget;
            return Err(refusal(code, Some(NO_TARGET_RETRY_AFTER)));
        }
        if !self.is_feasible(request) {
            return Err(refusal(codes::ResultCode::DeadlineTooClose, None));
        }
        let counters = &weighted.counters;
        counters.record_arrival(request.now);
        self.record_priority(request);
        let share = self.share(weighted, request);
        if self.try_acquire(counters, share, request) {
            return Ok(self.permit(counters));
        }
        counters.record_refusal(request.now);
        // The share of the only active customer is the whole capacity: at that limit the pool is
        // full, and the customer is not over its share.
        let shares_with_others = share < request.load.capacity;
        Err(self.refuse(shares_with_others && counters.in_flight() >= share))
    }

    /// Returns how many requests are in flight.
    pub fn in_flight(&self) -> u32 {
        self.total_in_flight.load(atomic::Ordering::Relaxed)
    }

    fn weighted_customer(
        &self,
        customer: &ids::CustomerName,
        weight: sizes::CustomerWeight,
    ) -> WeightedCustomer {
        let known = self.customers.get(customer);
        WeightedCustomer {
            counters: known.map_or_else(sync::Arc::default, |known| {
                sync::Arc::clone(&known.counters)
            }),
            weight: weight.get().max(1),
        }
    }

    /// Counts the request as in flight if the customer's share, less the headroom for higher
    /// priorities, has room. Otherwise it may use capacity that neither the unmet shares of other
    /// customers nor the headroom need.
    fn try_acquire(
        &self,
        counters: &admission::CustomerCounters,
        share: u32,
        request: &admission::AdmissionRequest<'_>,
    ) -> bool {
        let capacity = request.load.capacity;
        let headroom = self.headroom(request);
        let own_share = share - share * headroom / 100;
        if counters.try_add(own_share.max(1)) {
            return self.add_to_total(counters, capacity);
        }
        let unmet = self.unmet_share_of_others(counters, request);
        let reserve = unmet.max(capacity * headroom / 100);
        counters.try_add(u32::MAX) && self.add_to_total(counters, capacity.saturating_sub(reserve))
    }

    fn add_to_total(&self, counters: &admission::CustomerCounters, limit: u32) -> bool {
        let order = atomic::Ordering::Relaxed;
        let added = self
            .total_in_flight
            .fetch_update(order, order, |total| (total < limit).then(|| total + 1));
        if added.is_err() {
            counters.remove();
        }
        added.is_ok()
    }

    /// Returns the weighted share of a customer among those with recent demand, at least 1.
    fn share(&self, customer: &WeightedCustomer, request: &admission::AdmissionRequest<'_>) -> u32 {
        let active = self
            .customers
            .values()
            .filter(|weighted| weighted.counters.demand(request.now) > 0);
        let sum: u64 = active.map(|weighted| u64::from(weighted.weight)).sum();
        let share = u64::from(request.load.capacity) * u64::from(customer.weight) / sum.max(1);
        u32::try_from(share).unwrap_or(u32::MAX).max(1)
    }

    /// Returns how many requests the other customers are short of their demand, each counted up to
    /// its share. `counters` are those of the requesting customer.
    fn unmet_share_of_others(
        &self,
        counters: &admission::CustomerCounters,
        request: &admission::AdmissionRequest<'_>,
    ) -> u32 {
        let others = self
            .customers
            .values()
            .filter(|weighted| !ptr::eq(&raw const *weighted.counters, counters));
        others
            .map(|weighted| {
                let share = self.share(weighted, request);
                weighted.counters.unmet_share(share, request.now)
            })
            .fold(0, u32::saturating_add)
    }

    /// Returns the percentage of the capacity reserved for higher priorities; 0 while none of their
    /// requests arrived recently.
    fn headroom(&self, request: &admission::AdmissionRequest<'_>) -> u32 {
        let [normal, high] = &*self.recent_priorities;
        let higher_recent = match request.priority {
            priorities::RequestPriority::Low => {
                normal.recent(request.now).max(high.recent(request.now))
            }
            priorities::RequestPriority::Normal => high.recent(request.now),
            priorities::RequestPriority::High => 0,
        };
        if higher_recent == 0 {
            return 0;
        }
        headroom_percent(request.priority)
    }

    fn record_priority(&self, request: &admission::AdmissionRequest<'_>) {
        let [normal, high] = &*self.recent_priorities;
        match request.priority {
            priorities::RequestPriority::Low => {}
            priorities::RequestPriority::Normal => normal.raise(1, request.now),
            priorities::RequestPriority::High => high.raise(1, request.now),
        }
    }

    /// Returns whether an answer can arrive before the deadline, estimated from the shortest recent
    /// service time and the wait in the targets' queues.
    fn is_feasible(&self, request: &admission::AdmissionRequest<'_>) -> bool {
        let remaining = request.deadline.since(request.now);
        if remaining.is_zero() {
            return false;
        }
        let load = &request.load;
        let wait = self.service_times.mean().saturating_mul(load.queued) / load.running.max(1);
        self.service_times.shortest().saturating_add(wait) <= remaining
    }

    fn refuse(&self, customer_at_share: bool) -> admission::AdmissionRefusal {
        let mean = self.service_times.mean();
        if customer_at_share {
            let retry_after = mean.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            return refusal(codes::ResultCode::CustomerOverShare, Some(retry_after));
        }
        // Expected time until the next of the requests in flight ends.
        let next_end = mean / self.in_flight().max(1);
        let retry_after = next_end.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        refusal(codes::ResultCode::Overloaded, Some(retry_after))
    }

    fn permit(
        &self,
        counters: &sync::Arc<admission::CustomerCounters>,
    ) -> admission::AdmissionPermit {
        admission::AdmissionPermit::new(
            sync::Arc::clone(counters),
            sync::Arc::clone(&self.total_in_flight),
            sync::Arc::clone(&self.service_times),
        )
    }
}

const fn refusal(
    code: codes::ResultCode,
    retry_after: Option<time::Duration>,
) -> admission::AdmissionRefusal {
    admission::AdmissionRefusal { code, retry_after }
}

/// Returns the percentage of the capacity that a priority leaves free for higher ones.
const fn headroom_percent(priority: priorities::RequestPriority) -> u32 {
    match priority {
        priorities::RequestPriority::Low => 20,
        priorities::RequestPriority::Normal => 5,
        priorities::RequestPriority::High => 0,
    }
}
