//! Decisions about targets that register and report themselves.
//!
//! Facts and the present time go in, orders and choices come out. Nothing here talks to a network,
//! reads a clock or draws a random number.

pub mod budgets;
pub mod dispatch;
pub mod documents;
pub mod formation;
pub mod loads;
pub mod stalls;
pub mod stewards;
pub mod targets;
