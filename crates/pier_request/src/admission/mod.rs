//! Admission control: refuses overload early and cheaply, and keeps one customer from starving
//! another.
//!
//! There is no queue and no lock: a request is admitted or refused at once, on the basis of atomic
//! counters. See `docs/design/admission.md`.

mod admission_controller;
mod admission_permit;
mod admission_refusal;
mod admission_request;
mod customer_counters;
mod pool_load;
mod service_times;
mod window_counter;

pub use admission_controller::AdmissionController;
pub use admission_permit::AdmissionPermit;
pub use admission_refusal::AdmissionRefusal;
pub use admission_request::AdmissionRequest;
use customer_counters::CustomerCounters;
pub use pool_load::PoolLoad;
pub use service_times::ServiceTimes;
use window_counter::WindowCounter;
