//! Starts and stops a node.

mod edge_daemon;
mod stop_signals;

pub use edge_daemon::run;
use stop_signals::StopSignals;
