//! Decisions about one request: admission, routing, attempts, retries and one-time claims.
//!
//! The crate does no I/O: the daemon passes in the current time, random numbers and the results of
//! network calls.

pub mod admission;
pub mod attempts;
pub mod claims;
mod marks;
pub mod prompt_parts;
pub mod quarantine;
pub mod retries;
pub mod routing;
