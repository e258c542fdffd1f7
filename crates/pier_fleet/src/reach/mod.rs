//! Detects that a node reaches no target of a service, although others may.

mod reach_tracker;
mod service_reach;

pub use reach_tracker::ReachTracker;
use service_reach::ServiceReach;
