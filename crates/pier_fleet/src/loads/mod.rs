//! How the nodes of a large fleet learn one another's load within a tenth of a second.
//!
//! Each node reports its own load to one node of its data centre, the hub, whenever it changes. The
//! hub adds the reports up and sends the sums back to all, and to the hubs of the other data centres.
//! A node's cost so grows with the targets and not with the nodes.

mod hub_choice;
mod load_digest;
mod load_follower;
mod load_hub;
mod load_report;
mod target_load;

pub use hub_choice::HubChoice;
pub use load_digest::LoadDigest;
pub use load_follower::LoadFollower;
pub use load_hub::LoadHub;
pub use load_report::LoadReport;
pub use target_load::TargetLoad;
