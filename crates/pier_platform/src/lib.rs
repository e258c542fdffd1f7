//! Clients of the platform: object API and VM list.
//!
//! The clients make no decisions and do not retry: each call is sent once, and its result says what
//! is known about its effect.

mod http;
pub mod lists;
pub mod objects;
