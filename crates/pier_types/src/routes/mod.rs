//! The routing table that the control loops publish and that requests read.

mod pool_key;
mod route_table;
mod route_target;
mod target_load;

pub use pool_key::PoolKey;
pub use route_table::RouteTable;
pub use route_target::RouteTarget;
pub use target_load::TargetLoad;
