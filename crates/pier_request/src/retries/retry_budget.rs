//! A limit on retries as a fraction of the requests.

use std::sync::atomic;

/// Tokens that one retry costs; a request adds one token for each retry allowed per thousand.
const RETRY_COST: u64 = 1_000;

/// Token bucket to which each new request adds tokens and from which each retry takes them.
///
/// There is one budget for each customer and one for the node; a retry takes from both.
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
    /// Creates a full bucket that allows `retries_per_thousand` retries for a thousand requests and
    /// holds at most `burst` retries.
    pub fn new(retries_per_thousand: u32, burst: u32) -> Self {
        let capacity = u64::from(burst) * RETRY_COST;
        Self {
            tokens: atomic::AtomicU64::new(capacity),
            tokens_per_request: u64::from(retries_per_thousand),
            capacity,
        }
    }

    /// Adds the tokens for one new request.
    pub fn record_request(&self) {
        self.add(self.tokens_per_request);
    }

    /// Takes the tokens of one retry; returns whether there were enough.
    pub fn take(&self) -> bool {
        self.update(|tokens| tokens.checked_sub(RETRY_COST))
    }

    /// Takes one retry from both this budget and another one, or from neither.
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
