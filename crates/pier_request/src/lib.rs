//! Decisions about one request: admission, routing, attempts, retries and one-time claims.
//!
//! Everything here is decided from arguments: the present time, random numbers and what the network
//! did are handed in by the daemon.

pub mod admission;
pub mod attempts;
pub mod claims;
pub mod quarantine;
pub mod retries;
pub mod routing;
