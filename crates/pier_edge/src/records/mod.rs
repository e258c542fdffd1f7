//! Reads the records of the store and writes this node's own.

mod node_record;
mod record_applier;
mod record_loop;
mod record_outage;
mod record_source;
mod store_backoff;

pub(crate) use node_record::spawn as spawn_node_record;
pub(crate) use record_applier::RecordApplier;
pub(crate) use record_loop::spawn;
pub(crate) use record_source::RELAY_WATCH_TIMEOUT;
pub(crate) use store_backoff::StoreBackoff;

/// Name of the record of crashes.
pub(crate) const CRASH_RECORD: &str = "crashes";
/// Prefix of the names of nodes' records.
pub(crate) const NODE_PREFIX: &str = "node.";
/// Prefix of the names of stewards' records.
pub(crate) const STEWARD_PREFIX: &str = "steward.";
