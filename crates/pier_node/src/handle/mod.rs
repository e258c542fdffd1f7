//! The handle that every part of a node shares.

mod node_handle;
mod request_guard;

pub use node_handle::NodeHandle;
pub use request_guard::RequestGuard;
