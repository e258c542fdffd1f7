//! Exchange of load between the nodes of a large fleet, within a tenth of a second.
//!
//! Each node reports changes of its own load to one node of its data centre, the hub. The hub sums
//! up the reports and sends the totals to all nodes of the data centre and to the hubs of the
//! other data centres. The cost for a node therefore grows with the number of targets and not with
//! the number of nodes.

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
