//! What this node reads from the store, and its own record there.

mod node_record;
mod record_keeper;
mod record_loop;
mod watch_pause;

pub(crate) use node_record::spawn as spawn_own;
pub(crate) use record_keeper::RecordKeeper;
pub(crate) use record_loop::spawn;
pub(crate) use watch_pause::WatchPause;

/// Beginning of the names of nodes' records.
pub(crate) const NODE_PREFIX: &str = "node.";
/// Beginning of the names of stewards' records.
pub(crate) const STEWARD_PREFIX: &str = "steward.";
