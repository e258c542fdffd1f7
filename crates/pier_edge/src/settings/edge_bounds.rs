//! Limits that the operators set.

use std::time;

/// Limits on draining and on the retries of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EdgeBounds {
    /// Time from SIGTERM until the process is killed.
    pub grace: time::Duration,
    /// Time within which no request may reach a target any more that has registered as leaving.
    pub leaving: time::Duration,
    /// How many of a hundred requests may be sent to another data centre while a target of the own
    /// one is available.
    pub remote_percent: u32,
    /// Retries allowed per fresh request of a service.
    pub retry_ratio: f64,
    /// Additional retries allowed in one window, over all nodes.
    pub retry_burst: u32,
    /// Length of the window in which requests and retries are counted.
    pub retry_window: time::Duration,
}
