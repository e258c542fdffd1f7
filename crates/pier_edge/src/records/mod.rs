//! What this node reads from the store, and its own record there.

mod node_record;
mod record_applier;
mod record_loop;
mod store_backoff;

pub(crate) use node_record::spawn as spawn_own;
pub(crate) use record_applier::RecordApplier;
pub(crate) use record_loop::spawn;
pub(crate) use store_backoff::StoreBackoff;

/// Beginning of the names of nodes' records.
pub(crate) const NODE_PREFIX: &str = "node.";
/// Beginning of the names of stewards' records.
pub(crate) const STEWARD_PREFIX: &str = "steward.";
