//! Starts and stops a node.

mod edge_daemon;

pub use edge_daemon::run;
