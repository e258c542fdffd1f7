//! Decision logic for targets that register themselves and report their own state: group
//! formation, dispatch, load limits, stall detection and elections.
//!
//! All functions are deterministic: observed state and the current time are passed in, and orders
//! or choices are returned. Nothing here uses the network, reads a clock or generates random
//! numbers.

pub mod budgets;
pub mod dispatch;
pub mod documents;
pub mod formation;
pub mod loads;
pub mod locality;
pub mod reach;
pub mod stalls;
pub mod stewards;
pub mod targets;
pub mod urgency;
