//! Bounds that the platform's operators set.

use std::time;

/// Figures of the settings that bound what nodes do together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EdgeBounds {
    /// Time from SIGTERM until the process is killed.
    pub grace: time::Duration,
    /// Retries allowed for each fresh request of a service.
    pub retry_ratio: f64,
    /// Retries allowed beyond that in one window, over all nodes.
    pub retry_burst: u32,
    /// Length of that window.
    pub retry_window: time::Duration,
}
