//! Clients of the platform: object API and VM list.
//!
//! They decide nothing and repeat nothing: each call is sent once, and its result tells what is
//! known of it.

mod http;
pub mod lists;
pub mod objects;
