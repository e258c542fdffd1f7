//! What is asked of admission.

use pier_types::{ids, priorities, times};

use crate::admission;

/// One request that arrived.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Who sent it.
    pub customer: &'a ids::CustomerName,
    /// Its priority, within what the customer may use.
    pub priority: priorities::RequestPriority,
    /// The load of the pool that it needs.
    pub load: admission::PoolLoad,
    /// When the caller stops waiting.
    pub deadline: times::BootTime,
    /// The present time.
    pub now: times::BootTime,
}
