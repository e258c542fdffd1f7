//! A limit on retries as a fraction of fresh work.

use std::sync::atomic;

/// What one retry costs.
const RETRY_COST: u64 = 1_000;

/// Tokens that each fresh request adds and each retry takes.
///
/// A budget is kept for each customer and one for the node; a retry takes from both.
///
/// ```
/// use pier_request::retries;
///
/// let budget = retries::RetryBudget::new(100, 1);
/// assert!(budget.take());
/// assert!(!budget.take());
/// for _ in 0..10 {
///     budget.record_request();
/// }
/// assert!(budget.take());
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    tokens: atomic::AtomicU64,
    tokens_per_request: u64,
    capacity: u64,
}

impl RetryBudget {
    /// Allows so many retries for a thousand fresh requests, and so many in a burst.
    pub fn new(retries_per_thousand: u32, burst: u32) -> Self {
        let capacity = u64::from(burst) * RETRY_COST;
        Self {
            tokens: atomic::AtomicU64::new(capacity),
            tokens_per_request: u64::from(retries_per_thousand),
            capacity,
        }
    }

    /// Counts a fresh request.
    pub fn record_request(&self) {
        self.add(self.tokens_per_request);
    }

    /// Takes one retry, if one is left.
    pub fn take(&self) -> bool {
        self.update(|tokens| tokens.checked_sub(RETRY_COST))
    }

    /// Takes one retry from this budget and another one, or from neither.
    pub fn take_both(&self, other: &Self) -> bool {
        if !self.take() {
            return false;
        }
        if other.take() {
            return true;
        }
        self.add(RETRY_COST);
        false
    }

    fn add(&self, tokens: u64) {
        let capacity = self.capacity;
        self.update(|current| Some((current + tokens).min(capacity)));
    }

    fn update(&self, change: impl FnMut(u64) -> Option<u64>) -> bool {
        let order = atomic::Ordering::Relaxed;
        self.tokens.fetch_update(order, order, change).is_ok()
    }
}
