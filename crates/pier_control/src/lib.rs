//! Decisions about control leases, group placement, repair and group health.
//!
//! All code here is free of side effects: it takes events, probe results and the current time, and
//! returns records and actions. It does no I/O, reads no clock and generates no random numbers.

pub mod health;
pub mod leases;
pub mod loads;
pub mod orders;
pub mod placements;
pub mod planning;
