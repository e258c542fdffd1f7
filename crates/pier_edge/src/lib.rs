//! The node on a platform whose targets register themselves.
//!
//! Connects the decisions of `pier_fleet` to callers, targets, other nodes and the platform's
//! store. The platform's own names and formats are known only to the implementation of
//! [`links::FleetPlatform`].

mod contacts;
mod control;
mod crashes;
mod daemon;
pub mod links;
mod peers;
mod records;
mod serving;
pub mod settings;
mod state;
mod telemetry;

pub use daemon::run;
