//! Decisions about control leases, group placement, repair and group health.
//!
//! Every decision is pure: events, evidence and the present time go in, records and actions come
//! out. Nothing here talks to a network, reads a clock or draws a random number.

pub mod health;
pub mod leases;
pub mod loads;
pub mod orders;
pub mod placements;
pub mod planning;
