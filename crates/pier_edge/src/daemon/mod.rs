//! Starts and stops a node.

mod edge_daemon;
mod task_guard;

pub use edge_daemon::run;
pub(crate) use task_guard::spawn_loop;
