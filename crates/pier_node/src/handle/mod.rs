//! The handle that every part of a node shares.

mod config_snapshot;
mod node_handle;
mod request_guard;

pub use config_snapshot::ConfigSnapshot;
pub use node_handle::NodeHandle;
pub use request_guard::RequestGuard;
