//! The input of an admission decision.

use pier_types::{ids, priorities, times};

use crate::admission;

/// One request that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// The customer that sent it.
    pub customer: &'a ids::CustomerName,
    /// Its priority, already limited to the customer's highest.
    pub priority: priorities::RequestPriority,
    /// The load of the pool that serves it.
    pub load: admission::PoolLoad,
    /// When the caller stops waiting.
    pub deadline: times::BootTime,
    /// The current time.
    pub now: times::BootTime,
}
