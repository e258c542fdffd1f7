//! Durations for sending orders.

use std::time;

/// When orders expire and how often they are repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderSettings {
    /// The longest lifetime of an order, counted by the engine from its arrival.
    pub lifetime: time::Duration,
    /// An order with a shorter remaining lifetime than this is not sent.
    pub min_lifetime: time::Duration,
    /// An order is sent again after this time if no report shows its effect.
    pub resend_after: time::Duration,
    /// A report older than this is not used to determine which order a VM has applied.
    pub freshness: time::Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            lifetime: time::Duration::from_secs(2),
            min_lifetime: time::Duration::from_millis(50),
            resend_after: time::Duration::from_secs(2),
            freshness: time::Duration::from_secs(3),
        }
    }
}
