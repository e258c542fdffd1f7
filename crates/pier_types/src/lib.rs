//! Shared types: identifiers, sizes, rates, times and result codes.
//!
//! This is the lowest crate of the workspace: it depends on none of the others, contains no
//! decision logic and reads clocks only in [`times::clocks`].

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
