//! Keeps the promise that overload is refused early and cheaply, and that no customer starves
//! another one.
//!
//! Nothing is queued: a request is admitted or refused at once, by atomics alone. See
//! `docs/design/admission.md`.

mod admission_gate;
mod admission_question;
mod admission_refusal;
mod admission_ticket;
mod customer_lane;
mod pool_load;
mod service_clock;
mod window_counter;

pub use admission_gate::AdmissionGate;
pub use admission_question::AdmissionQuestion;
pub use admission_refusal::AdmissionRefusal;
pub use admission_ticket::AdmissionTicket;
use customer_lane::CustomerLane;
pub use pool_load::PoolLoad;
pub use service_clock::ServiceClock;
use window_counter::WindowCounter;
