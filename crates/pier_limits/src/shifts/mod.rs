//! Shifts load when a data centre goes out of service and when it returns.
//!
//! Guarantees that a data centre which operators have taken out of service receives no new work
//! after a few seconds.

mod centre_capacity;
mod data_centre_shift;
mod shift_policy;
mod shift_weight;

pub use centre_capacity::CentreCapacity;
pub use data_centre_shift::DataCentreShift;
pub use shift_policy::ShiftPolicy;
pub use shift_weight::ShiftWeight;
