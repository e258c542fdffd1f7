//! Ids, sizes, rates, times and result codes that every other crate speaks.
//!
//! The lowest crate of the workspace: it depends on none of the others, reads no clock except in
//! [`times::clocks`], and decides nothing.

pub mod codes;
pub mod epochs;
pub mod ids;
mod macros;
pub mod priorities;
pub mod rates;
pub mod reports;
pub mod routes;
pub mod sizes;
pub mod times;
pub mod vms;
