//! Durations of orders.

use std::time;

/// How long orders live and how often they are repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderSettings {
    /// Longest life of an order, counted by the engine from its arrival.
    pub life: time::Duration,
    /// An order that would live shorter than this is not sent.
    pub least_life: time::Duration,
    /// An order whose effect no report shows is sent again after this time.
    pub resend_after: time::Duration,
    /// Evidence older than this says nothing about which order a VM obeyed.
    pub freshness: time::Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            life: time::Duration::from_secs(2),
            least_life: time::Duration::from_millis(50),
            resend_after: time::Duration::from_secs(2),
            freshness: time::Duration::from_secs(3),
        }
    }
}
