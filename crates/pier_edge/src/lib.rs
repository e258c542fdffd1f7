//! The node on a platform whose targets register themselves.
//!
//! Wires the decisions of `pier_fleet` to callers, targets, other nodes and the platform's store.
//! What the platform calls things is known only to the implementation of [`links::FleetPlatform`].

mod control;
mod daemon;
pub mod links;
mod peers;
mod records;
mod serving;
pub mod settings;
mod state;
mod telemetry;

pub use daemon::run;
