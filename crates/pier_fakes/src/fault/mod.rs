//! Faults that a test sets on a fake.

mod fault_kind;
mod fault_set;
mod fault_spec;

pub use fault_kind::FaultKind;
pub use fault_set::FaultSet;
pub use fault_spec::FaultSpec;
