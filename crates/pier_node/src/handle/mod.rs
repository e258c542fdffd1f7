//! The handle to the state that all parts of a node share.

mod config_snapshot;
mod group_snapshot;
mod lease_snapshot;
mod list_snapshot;
mod node_handle;
mod node_views;
mod peer_entry;
mod request_guard;
mod shift_snapshot;

pub use config_snapshot::ConfigSnapshot;
pub use group_snapshot::GroupSnapshot;
pub use lease_snapshot::LeaseSnapshot;
pub use list_snapshot::ListSnapshot;
pub use node_handle::NodeHandle;
use node_views::NodeViews;
pub use peer_entry::PeerEntry;
pub use request_guard::RequestGuard;
pub use shift_snapshot::ShiftSnapshot;
